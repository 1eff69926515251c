package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/bounder"
)

func loadWith(t *testing.T, extra string) (*Settings, error) {
	file := filepath.Join(t.TempDir(), "node.json")
	text := `{"instance": "a", "centre": "b", "listen": "127.0.0.1:1", "peer": "127.0.0.1:2", "admin": "127.0.0.1:3",
  "links": "plain", "seeds": ["127.0.0.1:4"], ` + extra + `}`
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	return Load(file)
}

// TestCallerBounds guards against bounds where the settings ask for none, and against defaults
// that a caller inside the declared limits reaches.
func TestCallerBounds(t *testing.T) {
	for extra, want := range map[string]bounder.Limits{
		`"memory": 0`:              {},
		`"memory": 184`:            {Connections: 3075, Bytes: 23 << 20, Lines: 5500},
		`"callers": {"lines": 40}`: {Lines: 40},
		`"memory": 96, "callers": {"connections": 10, "memory": 1, "lines": 100}`: {Connections: 10, Bytes: 1 << 20, Lines: 100},
	} {
		s, err := loadWith(t, extra)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, s.CallerBounds(), qt.Equals, want, qt.Commentf("%s", extra))
	}
	// The shortest line of a head takes three bytes.
	qt.Assert(t, defaultLines > 16<<10/3, qt.IsTrue)
}

// TestInvalidCallerBounds guards against a wrong bound that is taken.
func TestInvalidCallerBounds(t *testing.T) {
	for extra, want := range map[string]string{
		`"callers": {"connections": -1}`:             "callers/connections: is -1; 1 to 100000",
		`"callers": {"memory": -1}`:                  "callers/memory: is -1; MiB",
		`"memory": 100, "callers": {"memory": 51}`:   "callers/memory: is 51; MiB up to half",
		`"callers": {"lines": 31}`:                   "callers/lines: is 31; 32 lines or more",
		`"callers": {"line": 100}`:                   "line",
		`"callers": {"connections": "many of them"}`: "callers",
	} {
		_, err := loadWith(t, extra)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", extra))
		qt.Check(t, strings.Contains(err.Error(), want), qt.IsTrue, qt.Commentf("%s: %v", extra, err))
	}
}
