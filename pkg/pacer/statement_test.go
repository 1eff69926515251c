package pacer_test

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/pacer"
)

// TestMalformedLimitsNameNothing checks that text other than a decimal number never
// becomes a limit.
func TestMalformedLimitsNameNothing(t *testing.T) {
	for _, values := range [][]string{
		{""}, {" "}, {"-1"}, {"+1"}, {"NaN"}, {"Inf"}, {"1e3"}, {"1e999"}, {"0x10"}, {"1_0"}, {"."}, {".5"}, {"5."}, {"1.2.3"},
		{"1,5"}, {"1, 2"}, {"10 a second"}, {strings.Repeat("9", 400)}, {"10", "10"}, {"١"},
	} {
		s, err := pacer.Statement{}.WithLeaving().Read(values)
		var malformed *pacer.LimitError
		qt.Check(t, errors.As(err, &malformed), qt.IsTrue, qt.Commentf("%q", values))
		_, limited := s.Limit()
		qt.Check(t, limited, qt.IsFalse, qt.Commentf("%q", values))
		qt.Check(t, s.Leaving(), qt.IsTrue)
	}
}

// TestLimitsAreReadAndWritten checks that decimal numbers survive the way through a
// header.
func TestLimitsAreReadAndWritten(t *testing.T) {
	for text, want := range map[string]float64{"0": 0, "0.0": 0, "12.2": 12.2, " 9.1 ": 9.1, "007": 7, "1000000": 1e6} {
		s, err := pacer.Statement{}.Read([]string{text})
		qt.Assert(t, err, qt.IsNil)
		rate, limited := s.Limit()
		qt.Check(t, limited, qt.IsTrue)
		qt.Check(t, rate, qt.Equals, want)
		again, err := pacer.Statement{}.Read([]string{s.String()})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, again, qt.Equals, s)
	}
	s, err := pacer.Statement{}.Read(nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s, qt.Equals, pacer.Statement{})
	qt.Check(t, s.String(), qt.Equals, "")
}
