package configfile

import "fmt"

// RangeError reports a value that is outside its range. It also describes a value that is still to be checked: [Range]
// returns one, [CheckRanges] decides whether it is an error.
type RangeError struct {
	Key             string  // as the configuration file names it
	Value, Min, Max float64 // in the key's unit; both bounds are in the range
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("%s: %v: not from %v to %v; give it a figure within, or leave the line out for the usual one",
		e.Key, e.Value, e.Min, e.Max)
}

// Range describes the value of a key and the range from least to most, both included, in which it has to be.
func Range(key string, value, minimum, maximum float64) RangeError {
	return RangeError{Key: key, Value: value, Min: minimum, Max: maximum}
}

// CheckRanges returns the first of the values that is outside its range, as a *RangeError, or nil. NaN is outside every range.
func CheckRanges(values ...RangeError) error {
	for _, v := range values {
		if !v.inRange() {
			return &v
		}
	}
	return nil
}

// inRange reports whether the value is a number within the range. NaN fails both comparisons.
func (e *RangeError) inRange() bool {
	return e.Value >= e.Min && e.Value <= e.Max
}
