package goldentest

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Encoding is one line of a golden file: the name of a test case and the encoded bytes.
type Encoding struct {
	Name    string
	Encoded []byte
}

// Encodings compares encodings with a golden file, which contains a line "name hex" for each encoding in the same order.
// It returns the bytes in the golden file.
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
		t.Fatalf("%s: got %d lines, want %d, one per case", name, len(golden), len(encodings))
	}
	all := make([][]byte, len(golden))
	for i, want := range golden {
		got := encodings[i]
		if got.Name != want.Name {
			t.Fatalf("%s:%d: got case %q, want %q", name, i+1, want.Name, got.Name)
		}
		if string(got.Encoded) != string(want.Encoded) {
			t.Errorf("%s: %s: got encoding\n%x, want\n%x", name, got.Name, got.Encoded, want.Encoded)
		}
		all[i] = want.Encoded
	}
	return all
}

// ReadEncodings returns the lines of a golden file in the format of Encodings.
func ReadEncodings(t *testing.T, name string) []Encoding {
	t.Helper()
	var all []Encoding
	for line := range strings.Lines(Read(t, name)) {
		caseName, digits, found := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		encoded, err := hex.DecodeString(digits)
		if !found || err != nil {
			t.Fatalf("%s: %s: line is not a name and hex bytes: %v", name, caseName, err)
		}
		all = append(all, Encoding{Name: caseName, Encoded: encoded})
	}
	return all
}

// Value is a test case of Msgpack.
type Value struct {
	Name  string
	Value any  // pointer to the value to encode
	Full  bool // whether every field must be set, so that the case has to cover newly added fields
}

// Msgpack checks that the msgpack encoding of each value equals the one in the golden file, that the file's bytes decode
// to the value, and that they still do if a field is added that this version does not define.
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
		t.Errorf("%s: got decoded value\n%+v, want\n%+v", v.Name, decoded, v.Value)
	}
}

// requireAllFields fails the test if any encoded field, at any depth, has its zero value.
func requireAllFields(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s: got the zero value, want the field set", path)
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
	fixmap          = 0x80 // first byte of a small msgpack map; its low bits hold the number of fields
	fixmapMaxFields = 15
)

func isMap(encoded []byte) bool { return encoded[0]&0xf0 == fixmap }

// withUnknownField appends a field to an encoded map, as a later version of the program may send.
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
		t.Fatalf("got a map of %d fields, too many for a fixmap", fields)
	}
	all := append([]byte{fixmap | fields}, encoded[1:]...)
	return append(append(all, name...), value...)
}
