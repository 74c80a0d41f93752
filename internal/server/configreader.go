package server

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/valyala/fastjson"
)

// maxLimit bounds the figures under limits: above it a figure can only be a slip.
const maxLimit = 1e9

// parseConfigFile reads a file that holds one JSON object.
func parseConfigFile(file string) (*fastjson.Value, error) {
	if file == "" {
		return nil, errors.New("configuration: no file named")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	document, err := fastjson.ParseBytes(text)
	if err != nil || document.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("configuration: %s: not a JSON object", file)
	}
	return document, nil
}

// configReader reads typed values of the configuration document. It keeps the first error, since an error is to be
// one line.
type configReader struct {
	document *fastjson.Value
	err      error
}

func (r *configReader) fail(key, fault string) {
	if r.err == nil {
		r.err = fmt.Errorf("configuration: %s: %s", key, fault)
	}
}

// text reads a string that has to be there and not be empty. An override goes before it.
func (r *configReader) text(key, override string) string {
	if override != "" {
		return override
	}
	value := r.document.Get(key)
	if value == nil {
		r.fail(key, "missing")
		return ""
	}
	text := string(value.GetStringBytes())
	if text == "" {
		r.fail(key, "mistyped")
	}
	return text
}

// optionalText is like text for a key that may be left out or null.
func (r *configReader) optionalText(key, override string) string {
	if override == "" && isNull(r.document.Get(key)) {
		return ""
	}
	return r.text(key, override)
}

// limit reads a number under limits; what is left out or null is the default.
func (r *configReader) limit(key string, defaultValue float64) float64 {
	value := r.document.Get("limits", key)
	if isNull(value) {
		return defaultValue
	}
	number, err := value.Float64()
	if err != nil || !(number > 0 && number < maxLimit) {
		r.fail("limits."+key, "mistyped or out of its range")
	}
	return number
}

// seed reads the seed of the random numbers, a string of up to 16 hexadecimal digits.
func (r *configReader) seed() uint64 {
	value := r.document.Get("seed")
	if value == nil {
		r.fail("seed", "missing")
		return 0
	}
	seed, err := strconv.ParseUint(string(value.GetStringBytes()), 16, 64)
	if err != nil {
		r.fail("seed", "mistyped")
	}
	return seed
}

// isNull tells whether a key was left out or is null.
func isNull(value *fastjson.Value) bool { return value == nil || value.Type() == fastjson.TypeNull }
