package configfile

import (
	"errors"
	"math"
	"testing"
)

func TestCheckRangesReturnsFirstValueOutOfRange(t *testing.T) {
	inside := Range("inside", 5, 1, 10)
	for _, c := range []struct {
		name   string
		values []RangeError
		key    string // key of the value that is out of range; empty if there is none
	}{
		{name: "no values"},
		{name: "within", values: []RangeError{inside}},
		{name: "at the lower bound", values: []RangeError{Range("k", 1, 1, 10)}},
		{name: "at the upper bound", values: []RangeError{Range("k", 10, 1, 10)}},
		{name: "below", values: []RangeError{inside, Range("k", 0.5, 1, 10)}, key: "k"},
		{name: "above", values: []RangeError{inside, Range("k", 10.5, 1, 10)}, key: "k"},
		{name: "not a number", values: []RangeError{Range("k", math.NaN(), 1, 10)}, key: "k"},
		{name: "first of two", values: []RangeError{Range("k", 0, 1, 10), Range("other", 0, 1, 10)}, key: "k"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := CheckRanges(c.values...)
			if c.key == "" {
				if err != nil {
					t.Errorf("CheckRanges: error %v, want nil", err)
				}
				return
			}
			var got *RangeError
			if !errors.As(err, &got) || got.Key != c.key {
				t.Errorf("CheckRanges: error %v, want a RangeError for key %q", err, c.key)
			}
		})
	}
}

func TestRangeErrorReportsKeyValueAndRange(t *testing.T) {
	const want = "slack: 1.5: not from 0 to 1; set a value in this range, or omit the line to use the default"
	if err := CheckRanges(Range("slack", 1.5, 0, 1)); err == nil || err.Error() != want {
		t.Errorf("CheckRanges: error %v, want %q", err, want)
	}
}
