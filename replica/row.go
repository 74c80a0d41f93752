package replica

import (
	"bytes"
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a row is about. Its numbers are part of the wire format. Rows of a kind that this version does not
// know are stored, gossiped and expired like any other.
type Kind uint8

// The kinds of rows. An own row is one that only its writer may change; a shared row has no writer, and whoever learns
// of a change writes it.
const (
	KindHeartbeat         Kind = 1  // own row of a proxy about itself: its heartbeat
	KindHealthObservation Kind = 2  // own row about an endpoint: no response there (Rank 1), or responding again (Rank 0)
	KindEndpoint          Kind = 3  // shared row about an endpoint: its line of the endpoint list; Epoch is the index of that list
	KindDeparture         Kind = 4  // shared row about a proxy: the process with the incarnation Epoch has ended (departure record)
	KindZoneReport        Kind = 5  // own row about a zone: the outcome counts that a proxy saw there, and its health verdict
	KindZoneOverride      Kind = 6  // shared row about a zone: an operators' override; Epoch counts the overrides
	KindEndpointProbe     Kind = 7  // own row about an ejected endpoint: a proxy probed it, with the outcome
	KindWatchHeartbeat    Kind = 8  // own row of a proxy about itself: the heartbeat of its discovery watch
	KindWrittenKeys       Kind = 9  // own row about a shard: keys that a proxy wrote
	KindAbsentKeys        Kind = 10 // own row about a shard: keys that are absent at the origin
)

// Ranks of an endpoint row. Of two versions with the same epoch the higher rank wins.
const (
	EndpointActive   = 0 // the endpoint takes requests
	EndpointDraining = 1 // it is draining
	EndpointRemoved  = 2 // it was removed from the list
)

// Row is one piece of replicated state. Kind, key and writer identify the row; epoch, rank, count and body are its
// version. Its age and time to live are neither: the age depends on when and by whom the row is read.
type Row struct {
	Kind     Kind   `msgpack:"k"`
	Key      string `msgpack:"n"`           // endpoint, proxy, zone or shard that the row is about
	Writer   string `msgpack:"w,omitempty"` // proxy that alone may write the row; "" for a shared row
	Epoch    int64  `msgpack:"e"`           // of an own row: the writer's incarnation
	Rank     uint8  `msgpack:"r,omitempty"` // precedence among versions of one epoch
	Sequence int64  `msgpack:"c,omitempty"` // of an own row: the writer's sequence number
	Age      Time   `msgpack:"a,omitempty"` // time since the row was written, summed over the clocks of all who stored it
	TTL      Time   `msgpack:"l,omitempty"` // age at which the row expires (time to live); 0 for never
	Body     []byte `msgpack:"b,omitempty"` // encoded by the kind's owner
}

// Bounds of a row in bytes; a larger row is rejected.
const (
	MaxNameBytes = 128  // of Key and of Writer
	MaxBodyBytes = 1024 // of Body
)

// maxEpoch leaves room to increment whatever epoch is accepted.
const maxEpoch = 1 << 60

// compare orders two versions of one row. It reads no clock, and only equal versions compare as equal: proxies that
// have received the same versions store the same one, in whatever order these came.
func (r *Row) compare(other *Row) int {
	return cmp.Or(
		cmp.Compare(r.Epoch, other.Epoch),
		cmp.Compare(r.Rank, other.Rank),
		cmp.Compare(r.Sequence, other.Sequence),
		bytes.Compare(r.Body, other.Body),
	)
}

// valid reports whether the row is within its bounds and has not expired.
func (r *Row) valid() bool {
	return r.Kind > 0 && len(r.Key) > 0 && len(r.Key) <= MaxNameBytes && len(r.Writer) <= MaxNameBytes &&
		len(r.Body) <= MaxBodyBytes && r.Epoch < maxEpoch && r.Age >= 0 && r.TTL >= 0 && (r.TTL == 0 || r.Age < r.TTL)
}

// rowID is the hash by which peers identify a row.
func rowID(r *Row) uint64 {
	return xxhash.Sum64String(string(rune(r.Kind)) + "\x00" + r.Key + "\x00" + r.Writer)
}

// versionHash is the hash by which peers tell versions of a row apart.
func versionHash(r *Row) uint64 {
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%d %d %d ", r.Epoch, r.Rank, r.Sequence) // writing to a hash never fails
	_, _ = hash.Write(r.Body)                                          // nor does this
	return hash.Sum64()
}

// RowVersion says which version of a row a peer has stored.
type RowVersion struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads the tag of the field with this name
	RowID       uint64   `msgpack:"ID"`        // hash of the row's identity
	VersionHash uint64   `msgpack:"Copy"`      // hash of the row's version
}
