package checker

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/declarer"
)

func findings(t *testing.T, text string) []string {
	d, err := declarer.Parse("test", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	var list []string
	for _, f := range Check(d) {
		list = append(list, f.Field+": "+f.Text)
	}
	return list
}

// TestEachMistakeIsFound guards against a mistake that an operator is not told of.
func TestEachMistakeIsFound(t *testing.T) {
	key := declarer.HashKey("a key of the tests")
	for text, want := range map[string]string{
		`{"routes": [{"name": "a", "path": "/x", "service": "s"}, {"name": "b", "path": "/x/", "service": "s", "methods": ["GET"]}]}`:      "routes/1: route b never matches: route a",
		`{"routes": [{"name": "a", "path": "/x", "host": "H", "service": "s"}, {"name": "b", "path": "/x", "host": "h", "service": "s"}]}`: "routes/1: route b never matches",
		`{"routes": [{"name": "a", "path": "/x", "host": "h:80", "service": "s"}]}`:                                                        "routes/0/host: is \"h:80\" and never matches",
		`{"routes": [{"name": "a", "path": "/x", "methods": ["get"], "service": "s"}]}`:                                                    "routes/0/methods/0: is \"get\"",
		`{"routes": [{"name": "a", "path": "/x?y", "service": "s"}]}`:                                                                      "routes/0/path: is \"/x?y\"",
		`{"routes": [{"name": "a", "path": "/x", "service": "s", "timeout": 100, "objective": 200}]}`:                                      "routes/0/objective: is 200 ms",
		`{"routes": [{"name": "a", "path": "/x", "service": "s", "objective": 20000}]}`:                                                    "given up after 10000 ms",
		`{"routes": [{"name": "a", "path": "/x", "split": [{"service": "s", "weight": 0}, {"service": "t", "weight": 1}]}]}`:               "routes/0/split/0: service s has weight 0",
		`{"routes": [{"name": "a", "path": "/x", "service": "s", "unsafe": true, "retries": 2}]}`:                                          "routes/0/retries: is 2",
		`{"services": {"s": {"health": "/h"}}}`:                                                                                            "services/s: no route leads to it",
		`{"teams": {"a": {"keys": [], "rate": 10, "burst": 10}}}`:                                                                          "teams/a/keys: is empty",
		`{"teams": {"a": {"keys": ["` + key + `"], "rate": 0, "burst": 0}}}`:                                                               "teams/a/rate: is 0",
		`{"teams": {"a": {"keys": ["` + key + `"], "rate": 100, "burst": 9}}}`:                                                             "teams/a/burst: is 9",
		`{"limits": {"head": 3000, "idle": 2000}}`:                                                                                         "limits/head: is 3000 ms",
		`{"limits": {"header": 65536}}`:                                                                                                    "limits/header: is 65536 bytes",
		`{"limits": {"head": 20000}}`:                                                                                                      "nodes wait for a head for 10000 ms only",
	} {
		list := findings(t, text)
		qt.Check(t, list, qt.HasLen, 1, qt.Commentf("%s", text))
		qt.Check(t, strings.Contains(strings.Join(list, "\n"), want), qt.IsTrue, qt.Commentf("%s: %q", text, list))
	}
}

// TestNothingIsFoundInSoundDeclarations guards against findings that operators learn to ignore.
func TestNothingIsFoundInSoundDeclarations(t *testing.T) {
	key := declarer.HashKey("a key of the tests")
	for _, text := range []string{
		`{}`,
		`{"routes": [{"name": "a", "path": "/x/", "exact": true, "service": "s"}, {"name": "b", "path": "/x", "service": "s"}]}`,
		`{"routes": [{"name": "a", "path": "/x", "methods": ["GET"], "service": "s"}, {"name": "b", "path": "/x", "service": "s"}]}`,
		`{"routes": [{"name": "a", "path": "/x", "service": "s"}, {"name": "b", "path": "/x", "host": "h", "service": "s"}, {"name": "c", "path": "/x/y", "service": "s"}]}`,
		`{"services": {"s": {}}, "routes": [{"name": "a", "path": "/x", "split": [{"service": "s", "weight": 1}]}]}`,
		`{"teams": {"a": {"keys": ["` + key + `"], "rate": 100, "burst": 10}, "b": {"keys": ["` + declarer.HashKey("another") + `"], "free": true}}}`,
		`{"limits": {"header": 16384, "body": 67108864, "head": 3000, "idle": 15000}}`,
	} {
		qt.Check(t, findings(t, text), qt.HasLen, 0, qt.Commentf("%s", text))
	}
}
