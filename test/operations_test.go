package test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/server"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// TestMetricsIndex compares the table of metrics in docs/OPERATIONS.md with the
// metrics that a node serves, in both directions.
func TestMetricsIndex(t *testing.T) {
	settings := configurer.Default()
	settings.Data = t.TempDir()
	node, err := server.New(settings, timekeeper.BootTimeClock{}, quietLogger(), nil)
	qt.Assert(t, err, qt.IsNil)
	names, err := node.MetricNames()
	qt.Assert(t, err, qt.IsNil)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	for name, help := range names {
		qt.Check(t, strings.Contains(string(page), "| "+name+" | "+help), qt.IsTrue, qt.Commentf("%s: %s", name, help))
	}
	for _, line := range strings.Split(string(page), "\n") {
		if name, _, _ := strings.Cut(strings.TrimPrefix(line, "| "), " |"); strings.HasPrefix(name, "primrose_") {
			_, ok := names[name]
			qt.Check(t, ok, qt.IsTrue, qt.Commentf("%s is not served", name))
		}
	}
}
