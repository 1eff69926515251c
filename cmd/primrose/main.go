// Command primrose is the command-line tool for operators.
package main

import (
	"os"

	"github.com/primrosewall/primrosewall/pkg/commander"
)

func main() { os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr)) }
