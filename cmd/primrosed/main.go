// Command primrosed is the daemon that runs beside one instance.
package main

import (
	"os"

	"github.com/primrosewall/primrosewall/pkg/launcher"
	"github.com/primrosewall/primrosewall/platform"
)

func main() {
	interfaces := launcher.Interfaces{platform.Name: platform.New()}
	os.Exit(launcher.Main(os.Args[1:], interfaces, os.Stdout, os.Stderr))
}
