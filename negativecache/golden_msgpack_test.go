package negativecache_test

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// goldenCase is a value, by a pointer, whose encoding is pinned by a golden file.
type goldenCase struct {
	name  string
	value any
	full  bool // every field has to be set, so that no new field is left out
}

// checkGolden checks that each value is encoded as in the golden file, that the file's bytes decode to the value, and
// that they still do with a field that this version does not know.
func checkGolden(t *testing.T, file string, cases []goldenCase) {
	t.Helper()
	encodings := make([]encoding, len(cases))
	for i, c := range cases {
		encoded, err := msgpack.Marshal(c.value)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		encodings[i] = encoding{c.name, encoded}
	}
	for i, golden := range compareGolden(t, file, encodings) {
		c := cases[i]
		if c.full {
			requireAllFields(t, c.name, reflect.ValueOf(c.value).Elem())
		}
		checkDecode(t, c, golden)
		if isMap(golden) {
			checkDecode(t, c, withUnknownField(t, golden))
		}
	}
}

func checkDecode(t *testing.T, c goldenCase, encoded []byte) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
	if err := msgpack.Unmarshal(encoded, decoded); err != nil {
		t.Errorf("%s: %x: %v", c.name, encoded, err)
	} else if !reflect.DeepEqual(decoded, c.value) {
		t.Errorf("%s: decoded as\n%+v, want\n%+v", c.name, decoded, c.value)
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

// fixmap is the first byte of a msgpack map of up to 15 fields, less their number.
const fixmap = 0x80

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
	if fields > 15 {
		t.Fatalf("a map of %d fields", fields)
	}
	all := append([]byte{fixmap | fields}, encoded[1:]...)
	return append(append(all, name...), value...)
}
