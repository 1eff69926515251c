package configurer_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/configurer"
)

// TestColdSettingsAreChecked guards against a bound of cold targets, or a pace, that a
// node would take without enforcing it.
func TestColdSettingsAreChecked(t *testing.T) {
	load := func(fields string) (*configurer.Settings, error) {
		file := filepath.Join(t.TempDir(), "node.json")
		text := fmt.Sprintf(`{"instance":"n","centre":"c","listen":"127.0.0.1:1","peer":"127.0.0.1:2","admin":"127.0.0.1:3","links":"plain","seeds":["127.0.0.1:4"],%s}`, fields)
		qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
		return configurer.Load(file)
	}
	s, err := load(`"cold":{"ratio":1.5,"slack":8},"pace":"found"`)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Cold, qt.Equals, configurer.Cold{Ratio: 1.5, Slack: 8})
	qt.Check(t, s.Pace, qt.Equals, configurer.PaceFound)
	for fields, message := range map[string]string{
		`"cold":{"ratio":-1}`:             ".*cold/ratio: is -1; 0 to 100 would be right.*",
		`"cold":{"ratio":1000}`:           ".*cold/ratio: is 1000; 0 to 100 would be right.*",
		`"cold":{"ratio":1,"slack":-8}`:   ".*cold/slack: is -8; 0 to 10000 requests would be right",
		`"cold":{"ratio":1,"slack":1e6}`:  ".*cold/slack: is 1e\\+06; 0 to 10000 requests would be right",
		`"cold":{"ratio":"1"}`:            ".*",
		`"cold":{"ratio":1.5,"factor":1}`: ".*unknown field.*",
		`"pace":"fast"`:                   ".*pace: is \"fast\"; found, .* would be right",
	} {
		_, err := load(fields)
		qt.Check(t, err, qt.ErrorMatches, message, qt.Commentf("%s", fields))
	}
}
