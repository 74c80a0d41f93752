package replica_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// encode returns the msgpack encoding of a value. It fails the test on an error.
func encode(t *testing.T, value any) []byte {
	t.Helper()
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// decode decodes msgpack into the value that pointer points to. It fails the test on an error.
func decode(t *testing.T, encoded []byte, pointer any) {
	t.Helper()
	if err := msgpack.Unmarshal(encoded, pointer); err != nil {
		t.Fatal(err)
	}
}
