package wire_test

import (
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/internal/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// TestEndpointEncodingGolden pins the encoding of an endpoint, which is the body of a replicated row and part of the state
// file. The keys are given by tags, so that the fields may be renamed in Go.
func TestEndpointEncodingGolden(t *testing.T) {
	goldentest.Msgpack(t, "targets.golden", []goldentest.Value{
		{Name: "target-full", Full: true, Value: &wire.Endpoint{
			Name: "node-1", Address: "192.0.2.1:11211", Zone: "zone-1", Kind: "cache", Cell: 3,
			Ready: true, Departed: true, Weight: 1.5, StartedAtUnixMilli: 1700000000000,
		}},
		{Name: "target-empty", Value: &wire.Endpoint{}},
	})
}

// TestReportedMarkIsNotEncoded checks that the mark of an endpoint that another proxy reported is not encoded.
func TestReportedMarkIsNotEncoded(t *testing.T) {
	encoded := encodeEndpoint(t, wire.Endpoint{Name: "node-1", FromPeer: true})
	plain := encodeEndpoint(t, wire.Endpoint{Name: "node-1"})
	if string(encoded) != string(plain) {
		t.Errorf("encoded as %x, want %x", encoded, plain)
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
