package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names are the platform's names for calls, headers, fields and settings. They stand in
// a file of their own, as only the platform's folders name them in their sources.
var names = func() (n struct {
	Heartbeat, Deregister, Put                  string
	Base, Expected, Deadline, NotRun, Signature string
	Cold, Prefix, Objective                     string
	Ports, Target                               string
}) {
	check(json.Unmarshal(namesText, &n))
	return n
}()
