// Package configfile reads TOML in which everything has to be known.
package configfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// TOML reads a text; what is unknown or mistyped is an error of one line that names its line and key.
func TOML(text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var unknown *toml.StrictMissingError
	var mistyped *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		line, _ := unknown.Errors[0].Position()
		return fmt.Errorf("line %d: %s: unknown", line, strings.Join(unknown.Errors[0].Key(), "."))
	case errors.As(err, &mistyped):
		line, _ := mistyped.Position()
		return fmt.Errorf("line %d: %s: %s", line, strings.Join(mistyped.Key(), "."), mistyped.Error())
	}
	return err
}
