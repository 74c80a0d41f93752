package wire_test

import (
	"testing"

	"woodproxy/internal/goldentest"
	"woodproxy/internal/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// TestEndpointEncodingGolden checks the encoding of an endpoint against a golden file. The encoding is the body of a
// replicated row and part of the state file. Tags define its keys, so the Go fields may be renamed.
func TestEndpointEncodingGolden(t *testing.T) {
	goldentest.Msgpack(t, "targets.golden", []goldentest.Value{
		{Name: "endpoint-full", Full: true, Value: &wire.Endpoint{
			Name: "node-1", Address: "192.0.2.1:11211", Zone: "zone-1", Kind: "cache", Cell: 3,
			Ready: true, Departed: true, Weight: 1.5, StartedAtUnixMilli: 1700000000000,
		}},
		{Name: "endpoint-empty", Value: &wire.Endpoint{}},
	})
}

// TestFromPeerIsNotEncoded checks that FromPeer is not part of the encoding of an endpoint.
func TestFromPeerIsNotEncoded(t *testing.T) {
	encoded := encodeEndpoint(t, wire.Endpoint{Name: "node-1", FromPeer: true})
	plain := encodeEndpoint(t, wire.Endpoint{Name: "node-1"})
	if string(encoded) != string(plain) {
		t.Errorf("got encoding %x, want %x", encoded, plain)
	}
}

func encodeEndpoint(t *testing.T, endpoint wire.Endpoint) []byte {
	t.Helper()
	encoded, err := msgpack.Marshal(&endpoint)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
