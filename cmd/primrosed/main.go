// Command primrosed is the daemon of one instance.
package main

import (
	"os"

	"github.com/primrosewall/primrosewall/pkg/launcher"
)

func main() { os.Exit(launcher.Main(os.Args[1:], os.Stdout, os.Stderr)) }
