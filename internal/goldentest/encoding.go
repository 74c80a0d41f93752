package goldentest

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Encoding is one line of a golden file: the name of a case and its encoded bytes.
type Encoding struct {
	Name    string
	Encoded []byte
}

// Encodings compares encodings with a golden file, which holds one line "name hex" for each of them in the same order,
// and returns the bytes that the file holds.
func Encodings(t *testing.T, name string, encodings []Encoding) [][]byte {
	t.Helper()
	if *update {
		var text strings.Builder
		for _, e := range encodings {
			fmt.Fprintf(&text, "%s %x\n", e.Name, e.Encoded)
		}
		write(t, name, text.String())
	}
	golden := ReadEncodings(t, name)
	if len(golden) != len(encodings) {
		t.Fatalf("%s: %d lines for %d cases", name, len(golden), len(encodings))
	}
	all := make([][]byte, len(golden))
	for i, want := range golden {
		got := encodings[i]
		if got.Name != want.Name {
			t.Fatalf("%s: line %d is case %q, want %q", name, i+1, want.Name, got.Name)
		}
		if string(got.Encoded) != string(want.Encoded) {
			t.Errorf("%s: %s: encoded as\n%x, want\n%x", name, got.Name, got.Encoded, want.Encoded)
		}
		all[i] = want.Encoded
	}
	return all
}

// ReadEncodings returns the lines of a golden file that Encodings compares with.
func ReadEncodings(t *testing.T, name string) []Encoding {
	t.Helper()
	var all []Encoding
	for line := range strings.Lines(Read(t, name)) {
		caseName, digits, found := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		encoded, err := hex.DecodeString(digits)
		if !found || err != nil {
			t.Fatalf("%s: %s: no name and hex: %v", name, caseName, err)
		}
		all = append(all, Encoding{Name: caseName, Encoded: encoded})
	}
	return all
}

// Value is a value, given by a pointer, whose msgpack encoding a golden file pins.
type Value struct {
	Name  string
	Value any
	Full  bool // every field has to be set, so that a new field can't be left out of the pin
}

// Msgpack checks that each value is encoded as in the golden file, that the file's bytes decode to the value, and that
// they still do with a field that this version does not know.
func Msgpack(t *testing.T, name string, values []Value) {
	t.Helper()
	encodings := make([]Encoding, len(values))
	for i, v := range values {
		encoded, err := msgpack.Marshal(v.Value)
		if err != nil {
			t.Fatalf("%s: %v", v.Name, err)
		}
		encodings[i] = Encoding{Name: v.Name, Encoded: encoded}
	}
	for i, golden := range Encodings(t, name, encodings) {
		v := values[i]
		t.Run(v.Name, func(t *testing.T) {
			if v.Full {
				requireAllFields(t, v.Name, reflect.ValueOf(v.Value).Elem())
			}
			checkDecode(t, v, golden)
			if isMap(golden) {
				checkDecode(t, v, withUnknownField(t, golden))
			}
		})
	}
}

func checkDecode(t *testing.T, v Value, encoded []byte) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(v.Value).Elem()).Interface()
	if err := msgpack.Unmarshal(encoded, decoded); err != nil {
		t.Errorf("%s: %x: %v", v.Name, encoded, err)
	} else if !reflect.DeepEqual(decoded, v.Value) {
		t.Errorf("%s: decoded as\n%+v, want\n%+v", v.Name, decoded, v.Value)
	}
}

// requireAllFields fails where a field that is encoded has its zero value, at any depth.
func requireAllFields(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s: not set", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		requireAllFields(t, path, v.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			requireAllFields(t, path, v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if field.IsExported() && field.Tag.Get("msgpack") != "-" {
				requireAllFields(t, path+"."+field.Name, v.Field(i))
			}
		}
	}
}

const (
	fixmap          = 0x80 // the first byte of a msgpack map of up to fixmapMaxFields fields, less their number
	fixmapMaxFields = 15
)

func isMap(encoded []byte) bool { return encoded[0]&0xf0 == fixmap }

// withUnknownField appends one more field to an encoded map, as a later version may send it.
func withUnknownField(t *testing.T, encoded []byte) []byte {
	t.Helper()
	name, err := msgpack.Marshal("later-version")
	if err != nil {
		t.Fatal(err)
	}
	value, err := msgpack.Marshal([]any{int64(1), map[string]any{"nested": "value"}})
	if err != nil {
		t.Fatal(err)
	}
	fields := encoded[0]&^fixmap + 1
	if fields > fixmapMaxFields {
		t.Fatalf("a map of %d fields", fields)
	}
	all := append([]byte{fixmap | fields}, encoded[1:]...)
	return append(append(all, name...), value...)
}
