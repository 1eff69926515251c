// Command standin plays the cases of the second review. It starts the project's own
// programs as separate processes on loopback addresses, with settings made from the
// templates of the deploy file, and stands in for clients, servers, the operator and the
// platform around them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to what plays it. It returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) bool{
	"extra":  playExtra,
	"stop":   playStop,
	"forget": playForget,
	"behind": playBehind,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return exitNotRun
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f := &fleet{root: root, record: &recorder{file: record}}
	defer f.close()
	defer func() {
		if r := recover(); r != nil {
			f.record.add("not run: %v", r)
			fmt.Fprintln(os.Stderr, "standin: not run:", r)
			code = exitNotRun
		}
	}()
	f.record.begin()
	f.record.add("case %s, trouble %t", os.Args[1], trouble)
	if cases[os.Args[1]](f, trouble) {
		f.record.add("the rule was broken")
		return exitBroken
	}
	f.record.add("the rule held")
	return exitHeld
}
