package configfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ErrUnknownKey is the cause of a DecodeError for a key that the file's type has no field for.
var ErrUnknownKey = errors.New("unknown")

// DecodeError reports the first key of a TOML text that could not be decoded.
type DecodeError struct {
	Line int    // of the text, from 1
	Key  string // in dotted form, empty where the text can't be parsed
	Err  error  // ErrUnknownKey or the TOML decoder's error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// DecodeTOML decodes a text into the value that target points to. Fields without a key in the text keep their values, so that
// the caller sets the defaults beforehand. An unknown key, a value of the wrong type or a syntax error is returned as a
// *DecodeError; target may be partly filled by then.
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

// decodeError returns a DecodeError at the position of an error of the TOML decoder.
func decodeError(at *toml.DecodeError, cause error) error {
	line, _ := at.Position()
	return &DecodeError{Line: line, Key: strings.Join(at.Key(), "."), Err: cause}
}
