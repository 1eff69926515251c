// Command mutator checks that tests detect faults. For each entry of
// test/mutants.json it disables one mechanism in a copy of the source and runs the
// test that must then fail. The working tree stays unchanged. It is run by hand
// from the root of the repository: go run ./test/mutator [NAME...]
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/decoder"
)

// mutant is one change to the source that disables a mechanism.
type mutant struct {
	Name string `json:"name"`
	// File contains Old exactly once; New replaces it.
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
	// Test is the test, in Package, that must fail.
	Package string `json:"package"`
	Test    string `json:"test"`
}

// mutants is the content of the list file.
type mutants struct {
	Mutants []mutant `json:"mutants"`
}

const listFile = "test/mutants.json"

func main() {
	missed, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutator:", err)
		os.Exit(2)
	}
	if missed > 0 {
		os.Exit(1)
	}
}

// run tries the named mutants, or all, and returns how many were not detected.
func run(names []string) (int, error) {
	source, err := os.ReadFile(listFile)
	if err != nil {
		return 0, err
	}
	all := &mutants{}
	if _, err := decoder.Decode(listFile, source, all); err != nil {
		return 0, err
	}
	missed := 0
	passing := map[string]bool{}
	for _, m := range all.Mutants {
		if len(names) > 0 && !slices.Contains(names, m.Name) {
			continue
		}
		if key := m.Package + m.Test; !passing[key] {
			if out, err := m.test(os.Getenv("GOFLAGS")); err != nil {
				return missed, fmt.Errorf("test %s fails on the unchanged source: %s", m.Test, out)
			}
			passing[key] = true
		}
		detected, err := m.isDetected()
		if err != nil {
			return missed, fmt.Errorf("%s: %w", m.Name, err)
		}
		word := "noticed"
		if !detected {
			word = "MISSED"
			missed++
		}
		fmt.Printf("%s mutant=%s package=%s test=%s\n", word, m.Name, m.Package, m.Test)
	}
	return missed, nil
}

// isDetected builds the changed source and reports whether the test fails on it.
func (m *mutant) isDetected() (bool, error) {
	source, err := os.ReadFile(m.File)
	if err != nil {
		return false, err
	}
	if strings.Count(string(source), m.Old) != 1 {
		return false, fmt.Errorf("%s does not contain the text exactly once: %s", m.File, m.Old)
	}
	folder, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(folder)
	overlay, err := m.overlay(folder, strings.Replace(string(source), m.Old, m.New, 1))
	if err != nil {
		return false, err
	}
	flags := os.Getenv("GOFLAGS") + " -overlay=" + overlay
	build := exec.Command("go", "build", "./...")
	build.Env = append(os.Environ(), "GOFLAGS="+flags)
	if out, err := build.CombinedOutput(); err != nil {
		return false, fmt.Errorf("the changed source does not build: %s", out)
	}
	out, err := m.test(flags)
	if strings.Contains(out, "no tests to run") {
		return false, fmt.Errorf("no test %s in %s", m.Test, m.Package)
	}
	return err != nil, nil
}

// test runs the mutant's test with the given GOFLAGS and returns its output.
func (m *mutant) test(flags string) (string, error) {
	c := exec.Command("go", "test", "-count=1", "-run", "^"+m.Test+"$", m.Package)
	c.Env = append(os.Environ(), "GOFLAGS="+flags)
	out, err := c.CombinedOutput()
	return string(out), err
}

// overlay writes the changed source and a file for the build flag -overlay that
// substitutes it, and returns the name of that file.
func (m *mutant) overlay(folder, source string) (string, error) {
	changed := filepath.Join(folder, filepath.Base(m.File))
	if err := os.WriteFile(changed, []byte(source), 0o600); err != nil {
		return "", err
	}
	here, err := os.Getwd()
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]map[string]string{"Replace": {filepath.Join(here, m.File): changed}})
	if err != nil {
		return "", err
	}
	file := filepath.Join(folder, "overlay.json")
	return file, os.WriteFile(file, text, 0o600)
}
