package configfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ErrUnknownKey is the cause of a DecodeError for a key without a field in the target type.
var ErrUnknownKey = errors.New("unknown")

// DecodeError reports the first key in a TOML text that could not be decoded.
type DecodeError struct {
	Line int    // line of the text, from 1
	Key  string // dotted key; empty if the text has a syntax error
	Err  error  // ErrUnknownKey or the TOML decoder's error
}

// Error returns a line with the line number, the key and the cause.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// DecodeTOML decodes a TOML text into the value that target points to. Fields without a key in the text keep their values,
// so the caller sets defaults before the call. An unknown key, a value of the wrong type and a syntax error are returned as
// a *DecodeError; target may have been filled in part.
func DecodeTOML(text []byte, target any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(target)
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		first := unknownKeys.Errors[0]
		return decodeError(&first, ErrUnknownKey)
	}
	var badValue *toml.DecodeError
	if errors.As(err, &badValue) {
		return decodeError(badValue, badValue)
	}
	return err
}

// decodeError returns a DecodeError with the given cause and the line and key of an error of the TOML decoder.
func decodeError(at *toml.DecodeError, cause error) error {
	line, _ := at.Position()
	return &DecodeError{Line: line, Key: strings.Join(at.Key(), "."), Err: cause}
}
