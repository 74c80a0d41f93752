package replica_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// encode returns the encoding of a value.
func encode(t *testing.T, value any) []byte {
	t.Helper()
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// decode decodes into the value that a pointer points to.
func decode(t *testing.T, encoded []byte, pointer any) {
	t.Helper()
	if err := msgpack.Unmarshal(encoded, pointer); err != nil {
		t.Fatal(err)
	}
}
