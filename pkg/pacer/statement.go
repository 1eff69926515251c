package pacer

import (
	"fmt"
	"strconv"
	"strings"
)

// Statement is what a target states about itself in one answer. The zero value
// names no limit and says that the target stays.
type Statement struct {
	rate    float64
	limited bool
	leaving bool
	// partial is set if the answer says nothing about the limit.
	partial bool
}

// Partial returns a statement that says nothing about the limit, so that the limit
// in force holds: the answer may not be the target's own, or it was not understood.
func (s Statement) Partial() Statement {
	return Statement{leaving: s.leaving, partial: true}
}

// WithLimit returns the statement with a limit in requests a second.
func (s Statement) WithLimit(rate float64) Statement {
	s.rate, s.limited, s.partial = rate, true, false
	return s
}

// WithLeaving returns the statement of a target that leaves.
func (s Statement) WithLeaving() Statement {
	s.leaving = true
	return s
}

// limitOnly returns the statement without the word that the target leaves.
func (s Statement) limitOnly() Statement {
	s.leaving = false
	return s
}

// Limit returns the limit that the target names, in requests a second, and whether
// it names one.
func (s Statement) Limit() (rate float64, limited bool) { return s.rate, s.limited }

// Leaving reports whether the target leaves.
func (s Statement) Leaving() bool { return s.leaving }

// stricterThan reports whether the statement names a lower limit than another one.
func (s Statement) stricterThan(other Statement) bool {
	return s.limited && (!other.limited || s.rate < other.rate)
}

// String returns the limit as text that ParseLimit reads; empty without a limit.
func (s Statement) String() string {
	if !s.limited {
		return ""
	}
	return strconv.FormatFloat(s.rate, 'f', -1, 64)
}

// LimitError reports a limit that is not a decimal number.
type LimitError struct{ Text string }

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("limit is %q; a decimal number of requests a second would be right", e.Text)
}

const decimalDigits = "0123456789"

// ParseLimit parses a limit in requests a second: digits, with a fraction after a
// point or without. It returns a *LimitError for other text, which includes signs,
// exponents, and the names that strconv.ParseFloat takes for numbers.
func ParseLimit(text string) (float64, error) {
	whole, fraction, hasPoint := strings.Cut(text, ".")
	if whole == "" || strings.Trim(whole+fraction, decimalDigits) != "" || hasPoint && fraction == "" {
		return 0, &LimitError{Text: text}
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, &LimitError{Text: text}
	}
	return rate, nil
}

// Read adds to a statement the limit that the values of a header name. Without a
// value it names none. Text that ParseLimit does not read, and several values, are a
// *LimitError and make the statement partial.
func (s Statement) Read(values []string) (Statement, error) {
	switch len(values) {
	case 0:
		return s, nil
	case 1:
		rate, err := ParseLimit(strings.TrimSpace(values[0]))
		if err != nil {
			return s.Partial(), err
		}
		return s.WithLimit(rate), nil
	}
	return s.Partial(), &LimitError{Text: strings.Join(values, ", ")}
}
