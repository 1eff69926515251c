package test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCheckShowsDifferences guards against a check that an operator takes for one against the
// version in force, and that compares with something else or changes it.
func TestCheckShowsDifferences(t *testing.T) {
	f := newFleet(t)
	n := f.add("a", "east", true)
	n.startDaemon()
	n.declare(twoServicesDeclaration)
	version := n.metric("version")
	file := f.path("next.json")
	for _, c := range []struct {
		text string
		code int
		want string
	}{
		{twoServicesDeclaration, 4, "none in data centres, teams and routes"},
		{`{"centres": {"east": {"witnesses": ["a"]}}, "routes": [{"name": "open", "path": "/open", "service": "back", "open": true, "timeout": 500}]}`, 0, "- route front"},
		{`{"routes": [{"name": "open"}]}`, 1, "next.json:1: routes/0/path"},
	} {
		f.Assert(os.WriteFile(file, []byte(c.text), 0o600), qt.IsNil)
		out, code := n.primrose("check", file)
		f.Check(code, qt.Equals, c.code, qt.Commentf("%s", out))
		f.Check(out, qt.Contains, c.want)
	}
	f.Check(n.metric("version"), qt.Equals, version)
	f.kill(n.daemon)
	f.Assert(os.WriteFile(file, []byte(`{}`), 0o600), qt.IsNil)
	out, code := n.primrose("check", file)
	f.Check(code, qt.Equals, 1, qt.Commentf("%s", out))
	f.Check(out, qt.Contains, "-offline leaves it out")
}
