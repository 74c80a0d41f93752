package server

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strconv"

	"woodproxy/internal/wire"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/valyala/fastjson"
)

// maxLimit is the exclusive upper bound of the numbers under limits: a larger number can only be a mistake.
const maxLimit = 1e9

// configFile is the content of a configuration file, which holds one JSON object.
type configFile struct {
	document *fastjson.Value    // without the endpoint list
	known    *wire.EndpointList // nil: the file has no endpoint list
}

// readConfigFile reads a configuration file. The endpoint list, which may have thousands of entries, is decoded as a
// stream, so that its text does not stay in memory.
func readConfigFile(name string) (*configFile, error) {
	if name == "" {
		return nil, errors.New("configuration: no file named")
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer func() { _ = file.Close() }() // the file was only read
	config := &configFile{}
	err = config.read(wire.NewJSONDecoder(file))
	var pathError *fs.PathError
	switch {
	case err == nil:
		return config, nil
	case errors.As(err, &pathError):
		return nil, fmt.Errorf("configuration: %w", err)
	case errors.Is(err, wire.ErrProtocol):
		return nil, fmt.Errorf("configuration: known: %w", err)
	}
	return nil, fmt.Errorf("configuration: %s: not a JSON object", name)
}

var errNotOneObject = errors.New("not one JSON object")

// read decodes the object. Errors in the endpoint list wrap wire.ErrProtocol.
func (c *configFile) read(decoder *jsontext.Decoder) error {
	token, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	if token.Kind() != jsontext.KindBeginObject {
		return errNotOneObject
	}
	members := []byte("{")
	for decoder.PeekKind() != jsontext.KindEndObject {
		token, err := decoder.ReadToken()
		if err != nil {
			return err
		}
		key := token.String()
		if key == "known" {
			c.known, err = wire.DecodeEndpointList(decoder)
		} else {
			members, err = appendMember(members, key, decoder)
		}
		if err != nil {
			return err
		}
	}
	if _, err := decoder.ReadToken(); err != nil { // end of the object
		return err
	}
	if _, err := decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return errNotOneObject
	}
	c.document, err = fastjson.ParseBytes(append(members, '}'))
	return err
}

// appendMember appends a member with the key and the decoder's next value to an unfinished JSON object.
func appendMember(members []byte, key string, decoder *jsontext.Decoder) ([]byte, error) {
	value, err := decoder.ReadValue()
	if err != nil {
		return nil, err
	}
	if len(members) > 1 {
		members = append(members, ',')
	}
	if members, err = jsontext.AppendQuote(members, key); err != nil {
		return nil, err
	}
	return append(append(members, ':'), value...), nil
}

// configReader reads typed values from the configuration document. It keeps only the first error, because an error of
// Read is a single line.
type configReader struct {
	document *fastjson.Value
	err      error
}

func (r *configReader) fail(key, fault string) {
	if r.err == nil {
		r.err = fmt.Errorf("configuration: %s: %s", key, fault)
	}
}

// text returns the override, or the string of the key if the override is empty. The string must not be empty.
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

// optionalText is like text, but returns an empty string if the key is absent or null.
func (r *configReader) optionalText(key, override string) string {
	if override == "" && isNull(r.document.Get(key)) {
		return ""
	}
	return r.text(key, override)
}

// limit returns a number under limits, or the default if the key is absent or null.
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

// seed returns the seed of the random numbers, a string of up to 16 hexadecimal digits.
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

// isNull reports whether a value is absent or null.
func isNull(value *fastjson.Value) bool { return value == nil || value.Type() == fastjson.TypeNull }
