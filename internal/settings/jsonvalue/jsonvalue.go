// Package jsonvalue reads typed values from parsed JSON: from the settings object and the simulator's messages. A value
// is absent if it is nil or null. The errors do not contain the path of the value; callers add it.
package jsonvalue

import (
	"errors"
	"math"

	"github.com/valyala/fastjson"
)

var (
	// ErrMissing reports that a required value is absent.
	ErrMissing = errors.New("missing")
	// ErrMistyped reports that a value has another type than expected, or is a number that is not finite.
	ErrMistyped = errors.New("mistyped")
	// ErrOutOfRange reports that a value has the right type but is not permitted.
	ErrOutOfRange = errors.New("out of its range")
)

// Presence states whether a value may be absent.
type Presence bool

// An absent value is an error if it is Required. If it is Optional, it is read as the zero value of its type.
const (
	Optional Presence = false
	Required Presence = true
)

// IsAbsent reports whether a value is nil or null.
func IsAbsent(v *fastjson.Value) bool { return v == nil || v.Type() == fastjson.TypeNull }

// absent returns the error for an absent value.
func (p Presence) absent() error {
	if p == Required {
		return ErrMissing
	}
	return nil
}

// Number reads a finite number.
func Number(v *fastjson.Value, presence Presence) (float64, error) {
	if IsAbsent(v) {
		return 0, presence.absent()
	}
	n, err := v.Float64()
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return 0, ErrMistyped
	}
	return n, nil
}

// Text reads a string.
func Text(v *fastjson.Value, presence Presence) (string, error) {
	if IsAbsent(v) {
		return "", presence.absent()
	}
	text, err := v.StringBytes()
	if err != nil {
		return "", ErrMistyped
	}
	return string(text), nil
}

// Flag reads a boolean. An absent value is false.
func Flag(v *fastjson.Value) (bool, error) {
	if IsAbsent(v) {
		return false, nil
	}
	flag, err := v.Bool()
	if err != nil {
		return false, ErrMistyped
	}
	return flag, nil
}

// Array reads the elements of an array.
func Array(v *fastjson.Value, presence Presence) ([]*fastjson.Value, error) {
	if IsAbsent(v) {
		return nil, presence.absent()
	}
	elements, err := v.Array()
	if err != nil {
		return nil, ErrMistyped
	}
	return elements, nil
}
