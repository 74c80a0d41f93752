package gossip

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
)

// gossipMessage, encodeGossip and decodeGossip are the only names by which the tests of the wire format use the unexported
// codec.
type gossipMessage = message

func encodeGossip(m *gossipMessage) []byte                { return m.encode() }
func decodeGossip(encoded []byte) (*gossipMessage, error) { return decodeMessage(encoded) }

// wireVersion is the protocol version of encoded messages.
const wireVersion = 1

// goldenSender is the sender in the golden messages.
const goldenSender = "proxy-a"

// messageCase is a message whose encoding the golden file contains.
type messageCase struct {
	name    string
	message gossipMessage
}

// messageCases returns a message of each type with the fields that this type uses, and a last one with all fields.
func messageCases() []messageCase {
	rows := goldenRows()
	versions := []replica.RowVersion{{RowID: 0x0102030405060708, VersionHash: 0xf1f2f3f4f5f6f7f8}, {RowID: 1, VersionHash: 2}}
	ids := []uint64{0x0102030405060708, 3, 0}
	return []messageCase{
		{"spread", gossipMessage{Sender: goldenSender, Type: replica.ActionGossip, Rows: rows[:1]}},
		{"digest", gossipMessage{Sender: goldenSender, Type: replica.ActionSendDigest, Digests: goldenDigests()}},
		{"heads", gossipMessage{
			Sender: goldenSender, Type: replica.ActionSendVersions, Buckets: 0x8000000000000005, Versions: versions,
		}},
		{"rows", gossipMessage{Sender: goldenSender, Type: replica.ActionSendRows, Rows: rows}},
		{"want", gossipMessage{Sender: goldenSender, Type: replica.ActionRequestRows, RowIDs: ids}},
		{"busy", gossipMessage{Sender: goldenSender, Type: replica.ActionReplyBusy}},
		{"same", gossipMessage{Sender: goldenSender, Type: replica.ActionReplyInSync}},
		{"every-field", gossipMessage{
			Sender: goldenSender, Type: replica.ActionReplyInSync, Rows: rows, Versions: versions, RowIDs: ids, Buckets: 5,
			Digests: goldenDigests(),
		}},
	}
}

// goldenRows returns a row with all fields, followed by a row of each kind.
func goldenRows() []replica.Row {
	rows := []replica.Row{{
		Kind: replica.KindZoneReport, Key: "zone-1", Writer: goldenSender, Epoch: 1700000000000, Rank: 1, Sequence: 70000,
		Age: 15000, TTL: 36000000, Body: []byte{0x81, 0xa1, 'z', 0x01},
	}}
	for kind := replica.KindHeartbeat; kind <= replica.KindAbsentKeys; kind++ {
		rows = append(rows, replica.Row{Kind: kind, Key: "key", Epoch: int64(kind) + 100})
	}
	return rows
}

func goldenDigests() []uint64 {
	digests := make([]uint64, 64)
	for i := range digests {
		digests[i] = uint64(i) * 0x0101010101010101
	}
	return digests
}

// TestGossipMessageEncoding checks that each type of message is encoded as in the golden file, and that the golden bytes are
// decoded as the same message.
func TestGossipMessageEncoding(t *testing.T) {
	cases := messageCases()
	var encodings []goldentest.Encoding
	for i := range cases {
		encodings = append(encodings, goldentest.Encoding{Name: cases[i].name, Encoded: encodeGossip(&cases[i].message)})
	}
	for i, golden := range goldentest.Encodings(t, "messages.golden", encodings) {
		t.Run(cases[i].name, func(t *testing.T) {
			want := cases[i].message
			want.Version = wireVersion
			got, err := decodeGossip(golden)
			if err != nil {
				t.Errorf("decoding the golden bytes: %v", err)
			} else if !reflect.DeepEqual(*got, want) {
				t.Errorf("got\n%+v, want\n%+v", *got, want)
			}
		})
	}
}

// TestGossipMessageFields fails if message has a field that is not set in the golden messages, for instance a new one.
func TestGossipMessageFields(t *testing.T) {
	cases := messageCases()
	all := cases[len(cases)-1].message
	encodeGossip(&all) // sets the version
	v := reflect.ValueOf(all)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			t.Errorf("field %s is not set in the golden messages", v.Type().Field(i).Name)
		}
	}
}

// fields contains the fields of a message by their encoded names, so that it can represent messages of other versions.
type fields map[string]any

// encodeFields encodes a valid message to which changes are applied: each field is replaced or added, or omitted if its
// value is nil.
func encodeFields(t *testing.T, changes fields) []byte {
	t.Helper()
	all := fields{"v": wireVersion, "f": goldenSender, "t": 3}
	for name, value := range changes {
		all[name] = value
		if value == nil {
			delete(all, name)
		}
	}
	encoded, err := msgpack.Marshal(map[string]any(all))
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// repeated returns a list of n equal values.
func repeated(n int, value any) []any {
	list := make([]any, n)
	for i := range list {
		list[i] = value
	}
	return list
}

var (
	plainRow     = map[string]any{"k": 3, "n": "node-1", "e": 4}
	plainVersion = []any{1, 2}
)

// TestGossipMessageAccepted checks that messages at the bounds and messages of later versions are decoded.
func TestGossipMessageAccepted(t *testing.T) {
	for name, encoded := range map[string][]byte{
		"minimal":                 encodeFields(t, nil),
		"without a type":          encodeFields(t, fields{"t": nil}),
		"later version":           encodeFields(t, fields{"v": 9}),
		"type of a later version": encodeFields(t, fields{"t": 200}),
		"unknown field":           encodeFields(t, fields{"later": []any{1, map[string]any{"nested": "value"}}}),
		"longest sender":          encodeFields(t, fields{"f": strings.Repeat("x", 128)}),
		"most rows":               encodeFields(t, fields{"r": repeated(256, plainRow)}),
		"most row versions":       encodeFields(t, fields{"h": repeated(16384, plainVersion)}),
		"most row IDs":            encodeFields(t, fields{"i": repeated(16384, 1)}),
		"digests of all buckets":  encodeFields(t, fields{"s": repeated(64, 1)}),
		"longest":                 messageOfLength(t, 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := decodeGossip(encoded); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestGossipMessageUnknownFields checks that unknown fields of a message and of its rows do not affect the other fields.
func TestGossipMessageUnknownFields(t *testing.T) {
	row := map[string]any{"k": 77, "n": "node-1", "e": 4, "later": true}
	got, err := decodeGossip(encodeFields(t, fields{"v": 9, "later": []any{1}, "r": []any{row}, "w": 5}))
	want := gossipMessage{
		Version: 9, Sender: goldenSender, Type: replica.ActionSendRows,
		Rows: []replica.Row{{Kind: 77, Key: "node-1", Epoch: 4}}, Buckets: 5,
	}
	if err != nil || !reflect.DeepEqual(*got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}

// TestGossipMessageRejected checks that malformed messages are rejected.
func TestGossipMessageRejected(t *testing.T) {
	valid := encodeFields(t, nil)
	for name, encoded := range map[string][]byte{
		"empty":                 nil,
		"not msgpack":           {0xc1},
		"not a map":             {0x01},
		"truncated":             valid[:len(valid)-1],
		"no version":            encodeFields(t, fields{"v": nil}),
		"version zero":          encodeFields(t, fields{"v": 0}),
		"negative version":      encodeFields(t, fields{"v": -1}),
		"version as text":       encodeFields(t, fields{"v": "1"}),
		"no sender":             encodeFields(t, fields{"f": nil}),
		"empty sender":          encodeFields(t, fields{"f": ""}),
		"sender too long":       encodeFields(t, fields{"f": strings.Repeat("x", 129)}),
		"too many rows":         encodeFields(t, fields{"r": repeated(257, plainRow)}),
		"too many row versions": encodeFields(t, fields{"h": repeated(16385, plainVersion)}),
		"too many row IDs":      encodeFields(t, fields{"i": repeated(16385, 1)}),
		"too few digests":       encodeFields(t, fields{"s": repeated(63, 1)}),
		"too many digests":      encodeFields(t, fields{"s": repeated(65, 1)}),
		"row version as a map":  encodeFields(t, fields{"h": []any{map[string]any{"ID": "x"}}}),
		"too long":              messageOfLength(t, 1<<20+1),
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := decodeGossip(encoded); !errors.Is(err, errMalformedMessage) {
				t.Errorf("got message %+v, error %v, want errMalformedMessage", got, err)
			}
		})
	}
}

// messageOfLength returns an encoded message of the given length in bytes that is valid except possibly for its length.
func messageOfLength(t *testing.T, length int) []byte {
	t.Helper()
	const padding = 1 << 19 // its length takes as many bytes to encode as that of the final padding
	short := encodeFields(t, fields{"pad": bytes.Repeat([]byte{0}, padding)})
	encoded := encodeFields(t, fields{"pad": bytes.Repeat([]byte{0}, padding+length-len(short))})
	if len(encoded) != length {
		t.Fatalf("%d bytes, want %d", len(encoded), length)
	}
	return encoded
}
