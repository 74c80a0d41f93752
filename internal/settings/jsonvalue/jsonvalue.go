// Package jsonvalue reads typed values out of parsed JSON: of the settings object and of the simulator's messages. A
// nil value and null both mean that the value is absent. Callers add to the errors which value was wrong.
package jsonvalue

import (
	"errors"
	"math"

	"github.com/valyala/fastjson"
)

var (
	// ErrMissing reports that a required value is absent.
	ErrMissing = errors.New("missing")
	// ErrMistyped reports that a value is of another type than expected, or a number that is not finite.
	ErrMistyped = errors.New("mistyped")
	// ErrOutOfRange reports that a value is of the right type, but none of the permitted ones.
	ErrOutOfRange = errors.New("out of its range")
)

// Presence tells whether a value may be absent.
type Presence bool

// An absent value is an error where it is Required, and read as the zero value of its type where it is Optional.
const (
	Optional Presence = false
	Required Presence = true
)

// IsAbsent reports whether there is no value, or null.
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

// Flag reads a boolean; an absent one is false.
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
