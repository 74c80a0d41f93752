package replica

import (
	"bytes"
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a row. Its numbers are part of the wire format. Rows of a kind that this version of the proxy does
// not support are stored, gossiped and expired like all others.
type Kind uint8

// The kinds of rows. Only its writer may change an own row. A shared row has no writer: any proxy that receives a change
// from elsewhere writes it.
const (
	KindHeartbeat         Kind = 1  // own row about its writer: the heartbeat of the proxy
	KindHealthObservation Kind = 2  // own row about an endpoint: it does not respond (Rank 1) or does again (Rank 0)
	KindEndpoint          Kind = 3  // shared row about an endpoint: its entry in the endpoint list with index Epoch
	KindDeparture         Kind = 4  // shared row about a proxy (departure record): its incarnation Epoch has ended
	KindZoneReport        Kind = 5  // own row about a zone: outcome counts and health verdict of the writer
	KindZoneOverride      Kind = 6  // shared row about a zone: an override set by operators; Epoch counts the overrides
	KindEndpointProbe     Kind = 7  // own row about an ejected endpoint: the outcome of the writer's probe
	KindWatchHeartbeat    Kind = 8  // own row about its writer: the heartbeat of its discovery watch
	KindWrittenKeys       Kind = 9  // own row about a shard: keys that the writer wrote
	KindAbsentKeys        Kind = 10 // own row about a shard: keys that are absent at the origin
)

// The ranks of an endpoint row. Of two versions with the same epoch, the one with the higher rank wins.
const (
	EndpointActive   = 0 // the endpoint receives requests
	EndpointDraining = 1 // the endpoint is draining
	EndpointRemoved  = 2 // the endpoint was removed from the endpoint list
)

// Row is a unit of replicated state. Kind, Key and Writer identify the row; Epoch, Rank, Sequence and Body are its
// version. Age and TTL belong to neither, since the age depends on when and where the row is read.
type Row struct {
	Kind     Kind   `msgpack:"k"`
	Key      string `msgpack:"n"`           // endpoint, proxy, zone or shard that the row is about
	Writer   string `msgpack:"w,omitempty"` // only proxy that may write the row; "" for a shared row
	Epoch    int64  `msgpack:"e"`           // most significant part of the version; for an own row the writer's incarnation
	Rank     uint8  `msgpack:"r,omitempty"` // precedence among versions with the same epoch
	Sequence int64  `msgpack:"c,omitempty"` // for an own row the writer's sequence number
	Age      Time   `msgpack:"a,omitempty"` // time since the row was written, summed over the clocks of all storing proxies
	TTL      Time   `msgpack:"l,omitempty"` // time to live: age at which the row expires; 0 for never
	Body     []byte `msgpack:"b,omitempty"` // encoded by the kind's owner
}

// Upper bounds of the size of a row's fields in bytes. A larger row is rejected.
const (
	MaxNameBytes = 128  // of Key and of Writer
	MaxBodyBytes = 1024 // of Body
)

// maxEpoch is the exclusive upper bound of accepted epochs. It leaves room to increment any of them without overflow.
const maxEpoch = 1 << 60

// compare orders two versions of one row. It uses no clock, and only identical versions compare as equal. Proxies that
// have received the same versions therefore store the same one, whatever the order of arrival.
func (r *Row) compare(other *Row) int {
	return cmp.Or(
		cmp.Compare(r.Epoch, other.Epoch),
		cmp.Compare(r.Rank, other.Rank),
		cmp.Compare(r.Sequence, other.Sequence),
		bytes.Compare(r.Body, other.Body),
	)
}

// valid reports whether the fields of the row are within their bounds and the row has not expired.
func (r *Row) valid() bool {
	return r.Kind > 0 && len(r.Key) > 0 && len(r.Key) <= MaxNameBytes && len(r.Writer) <= MaxNameBytes &&
		len(r.Body) <= MaxBodyBytes && r.Epoch < maxEpoch && r.Age >= 0 && r.TTL >= 0 && (r.TTL == 0 || r.Age < r.TTL)
}

// rowID returns the hash by which peers identify a row.
func rowID(r *Row) uint64 {
	return xxhash.Sum64String(string(rune(r.Kind)) + "\x00" + r.Key + "\x00" + r.Writer)
}

// versionHash returns the hash by which peers distinguish the versions of a row.
func versionHash(r *Row) uint64 {
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%d %d %d ", r.Epoch, r.Rank, r.Sequence) // writing to a hash never fails
	_, _ = hash.Write(r.Body)                                          // same here
	return hash.Sum64()
}

// RowVersion identifies the version of a row that a peer has stored.
type RowVersion struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads the tag of the field with this name
	RowID       uint64   `msgpack:"ID"`        // hash of the row's identity
	VersionHash uint64   `msgpack:"Copy"`      // hash of the row's version
}
