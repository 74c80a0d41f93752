package configfile

import "fmt"

// RangeError reports a value that is outside its range. It also describes a value to check: [Range] returns a RangeError for
// any value, and [CheckRanges] decides whether it is an error.
type RangeError struct {
	Key             string  // key in the configuration file
	Value, Min, Max float64 // in the unit of the key; both bounds are inclusive
}

// Error returns a line with the key, the value and the range.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s: %v: not from %v to %v; set a value in this range, or omit the line to use the default",
		e.Key, e.Value, e.Min, e.Max)
}

// Range describes the value of a key and its valid range, from minimum to maximum inclusive.
func Range(key string, value, minimum, maximum float64) RangeError {
	return RangeError{Key: key, Value: value, Min: minimum, Max: maximum}
}

// CheckRanges returns the first value that is outside its range, as a *RangeError, or nil if there is none. NaN is outside
// every range.
func CheckRanges(values ...RangeError) error {
	for _, v := range values {
		if !v.inRange() {
			return &v
		}
	}
	return nil
}

// inRange reports whether the value is within the range. NaN is not, since it fails both comparisons.
func (e *RangeError) inRange() bool {
	return e.Value >= e.Min && e.Value <= e.Max
}
