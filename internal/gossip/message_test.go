package gossip

import (
	"errors"
	"slices"
	"testing"

	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
)

// Decoding ignores fields that a later version may add, and leaves fields that are absent at zero.
func TestDecodeMessageOfLaterVersion(t *testing.T) {
	row := map[string]any{"k": 3, "n": "c1", "e": 4, "newer": true}
	later, err := msgpack.Marshal(map[string]any{"v": 9, "f": "x", "t": replica.ActionSendRows, "new": []int{1}, "r": []any{row}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decodeMessage(later)
	if err != nil || len(m.Rows) != 1 || m.Rows[0].Key != "c1" || m.Rows[0].Epoch != 4 {
		t.Errorf("got message %+v, error %v, want one row with key c1 and epoch 4", m, err)
	}
}

func TestDecodeMessageRejectsMalformed(t *testing.T) {
	for _, test := range []struct {
		name    string
		encoded []byte
	}{
		{"empty", nil},
		{"not msgpack", []byte{0xc1}},
		{"wrong number of digests", (&message{Sender: "x", Digests: make([]uint64, 3)}).encode()},
		{"no sender", (&message{}).encode()},
		{"too long", make([]byte, maxMessageLength+1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			if m, err := decodeMessage(test.encoded); !errors.Is(err, errMalformedMessage) {
				t.Errorf("%d bytes: got message %+v, error %v, want errMalformedMessage", len(test.encoded), m, err)
			}
		})
	}
}

// A message that declares a longer list than it contains is rejected without allocating memory for the declared length.
func TestDecodeMessageBoundsAllocations(t *testing.T) {
	start := (&message{Sender: "x", Rows: make([]replica.Row, 1)}).encode()[:12]
	truncated := slices.Concat(start, []byte{0xdd, 0x7f, 0xff, 0xff, 0xff}) // header of a list of 2^31-1 rows, without rows
	var err error
	if allocations := testing.AllocsPerRun(10, func() { _, err = decodeMessage(truncated) }); allocations > 200 {
		t.Errorf("got %v allocations, want at most 200", allocations)
	}
	if !errors.Is(err, errMalformedMessage) {
		t.Errorf("got error %v, want %v", err, errMalformedMessage)
	}
}

// Any input is either rejected or decoded as a message that the store handles without a panic and that can be encoded and
// decoded again.
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
