package declarer_test

import (
	"errors"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/declarer"
)

// TestColdRangesAreChecked guards against a rate or a time of cold targets that would
// bound nothing, or refuse everything: each is refused with the field's name.
func TestColdRangesAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		service declarer.Service
		field   string
	}{
		"negative rate":   {declarer.Service{Cold: -1}, "services/s/cold"},
		"not a number":    {declarer.Service{Cold: math.NaN()}, "services/s/cold"},
		"infinite":        {declarer.Service{Cold: math.Inf(1)}, "services/s/cold"},
		"absurd rate":     {declarer.Service{Cold: 1e9}, "services/s/cold"},
		"negative warmup": {declarer.Service{Warmup: -1}, "services/s/warmup"},
		"absurd warmup":   {declarer.Service{Warmup: declarer.MaxWarmup + 1}, "services/s/warmup"},
		"whole":           {declarer.Service{Cold: 5.4, Warmup: 3000}, ""},
		"absent":          {declarer.Service{}, ""},
	} {
		d := &declarer.Declaration{Services: map[string]declarer.Service{"s": c.service}}
		err := d.Check()
		if c.field == "" {
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s", name))
			continue
		}
		var invalid *declarer.FieldError
		qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%s", name))
		qt.Check(t, invalid.Field, qt.Equals, c.field, qt.Commentf("%s", name))
		qt.Check(t, invalid.Text, qt.Contains, " would be right", qt.Commentf("%s", name))
	}
}
