// Package configfile checks figures of files against their ranges.
package configfile

import "fmt"

// RangeError tells of a figure that is out of its range.
type RangeError struct {
	Key                string
	Value, Least, Most float64
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("%s: %v: not from %v to %v; give it a figure within, or leave the line out for the usual one", e.Key, e.Value, e.Least, e.Most)
}

// Range is a figure with its range.
func Range(key string, value, least, most float64) RangeError {
	return RangeError{Key: key, Value: value, Least: least, Most: most}
}

// Check returns the first of those that are out of their range, as a RangeError.
func Check(all ...RangeError) error {
	for _, f := range all {
		if !(f.Value >= f.Least && f.Value <= f.Most) { // which holds for no number as well
			return &f
		}
	}
	return nil
}
