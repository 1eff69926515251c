// Command primrosed is the daemon of one instance.
package main

import (
	"os"

	"github.com/primrosewall/primrosewall/pkg/launcher"
	"github.com/primrosewall/primrosewall/platform"
)

func main() {
	faces := launcher.Interfaces{platform.Name: platform.New()}
	os.Exit(launcher.Main(os.Args[1:], faces, os.Stdout, os.Stderr))
}
