package test

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "rewrite docs/VERBS.md and the expected output of the cases")

// TestVerbsPage compares docs/VERBS.md with the help texts of the programs.
func TestVerbsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Verbs\n\nMade from the programs' help: go test ./test -run 'Verbs|Cases' -update\n")
	for _, args := range [][]string{
		{"primrosed", "-help"}, {"primrose", "help"}, {"primrose", "help", "check"}, {"primrose", "help", "plan"}, {"primrose", "help", "confirm"},
		{"primrose", "help", "status"}, {"primrose", "help", "audit"}, {"primrose", "help", "show"}, {"primrose", "help", "key"},
		{"primrose", "help", "replace"}, {"primrose", "help", "drain"}, {"primrose", "help", "target"}, {"primrose", "help", "trial"}, {"primrose", "help", "explain"},
	} {
		out, _ := exec.Command(filepath.Join(programFolder, args[0]), args[1:]...).CombinedOutput()
		page.WriteString("\n## " + strings.Join(args, " ") + "\n\n```\n" + string(out) + "```\n")
	}
	expect(t, filepath.Join("..", "docs", "VERBS.md"), page.String())
}

// TestCases runs the command of each folder in cases and compares its output and
// exit status with the expected ones.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("cases/*")
	qt.Assert(t, err, qt.IsNil)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			command, err := os.ReadFile(filepath.Join(folder, "cmd"))
			qt.Assert(t, err, qt.IsNil)
			args := strings.Fields(string(command))
			c := exec.Command(filepath.Join(programFolder, args[0]), args[1:]...)
			c.Dir = folder
			out, _ := c.CombinedOutput()
			expect(t, filepath.Join(folder, "expout"), string(out)+"exit "+c.ProcessState.String()+"\n")
		})
	}
}

// expect compares got with the content of a file; with -update it writes the file
// first.
func expect(t *testing.T, file, got string) {
	if *update {
		qt.Assert(t, os.WriteFile(file, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}
