package gossip

import (
	"errors"
	"slices"
	"testing"

	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
)

// Fields that a later version adds are ignored, and fields that are missing are zero.
func TestDecodeMessageOfLaterVersion(t *testing.T) {
	row := map[string]any{"k": 3, "n": "c1", "e": 4, "newer": true}
	later, err := msgpack.Marshal(map[string]any{"v": 9, "f": "x", "t": replica.ActionSendRows, "new": []int{1}, "r": []any{row}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decodeMessage(later)
	if err != nil || len(m.Rows) != 1 || m.Rows[0].Key != "c1" || m.Rows[0].Epoch != 4 {
		t.Errorf("%+v %v", m, err)
	}
}

func TestDecodeMessageRejectsMalformed(t *testing.T) {
	for _, test := range []struct {
		name    string
		encoded []byte
	}{
		{"empty", nil},
		{"no msgpack", []byte{0xc1}},
		{"wrong number of digests", (&message{Sender: "x", Digests: make([]uint64, 3)}).encode()},
		{"no sender", (&message{}).encode()},
		{"too long", make([]byte, maxMessageLength+1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			if m, err := decodeMessage(test.encoded); !errors.Is(err, errMalformedMessage) {
				t.Errorf("%d bytes decoded as %+v, error %v", len(test.encoded), m, err)
			}
		})
	}
}

// A message whose claimed length exceeds its content is rejected without allocating that length.
func TestDecodeMessageBoundsAllocations(t *testing.T) {
	start := (&message{Sender: "x", Rows: make([]replica.Row, 1)}).encode()[:12]
	claim := slices.Concat(start, []byte{0xdd, 0x7f, 0xff, 0xff, 0xff}) // a list of 2^31-1 rows, of which none follows
	var err error
	if allocations := testing.AllocsPerRun(10, func() { _, err = decodeMessage(claim) }); allocations > 200 {
		t.Errorf("%v allocations", allocations)
	}
	if !errors.Is(err, errMalformedMessage) {
		t.Errorf("error %v, want %v", err, errMalformedMessage)
	}
}

// Any bytes are either rejected or decoded to a message that the store takes and that can be encoded again.
func FuzzDecodeMessage(f *testing.F) {
	heartbeat := replica.Row{Kind: replica.KindHeartbeat, Key: "x", Writer: "x", Body: []byte{0x81}}
	f.Add((&message{Sender: "x", Type: replica.ActionSendRows, Rows: []replica.Row{heartbeat}}).encode())
	f.Add((&message{Sender: "x", Type: replica.ActionSendDigest, Digests: make([]uint64, replica.BucketCount)}).encode())
	f.Add((&message{Sender: "x", Type: replica.ActionSendVersions, Buckets: 3, Versions: []replica.RowVersion{{RowID: 1, VersionHash: 2}}}).encode())
	f.Fuzz(func(t *testing.T, encoded []byte) {
		m, err := decodeMessage(encoded)
		if err != nil {
			return
		}
		store := replica.New(0, replica.Settings{Name: "a", Incarnation: 1, FleetSize: 2, TakeoverDelay: 1, QuotaFloor: 0.25}, 1)
		store.HandleRows(1, m.Sender, m.Rows)
		store.HandleVersions(2, m.Sender, m.Buckets, m.Versions)
		store.HandleRowRequest(3, m.Sender, m.RowIDs)
		store.Tick(replica.Second)
		if again, err := decodeMessage(m.encode()); err != nil || len(again.Rows) != len(m.Rows) {
			t.Errorf("a decoded message can't be encoded and decoded again: %v", err)
		}
	})
}
