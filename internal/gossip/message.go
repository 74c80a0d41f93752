package gossip

import (
	"errors"

	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
)

// message is what goes from proxy to proxy. What a version does not know of it is passed over.
type message struct {
	Version int            `msgpack:"v"`
	From    string         `msgpack:"f"`
	Act     replica.Act    `msgpack:"t"`
	Rows    []replica.Row  `msgpack:"r,omitempty"`
	Heads   []replica.Head `msgpack:"h,omitempty"`
	IDs     []uint64       `msgpack:"i,omitempty"`
	Which   uint64         `msgpack:"w,omitempty"`
	Sums    []uint64       `msgpack:"s,omitempty"`
}

const (
	version  = 1
	longest  = 1 << 20 // of a message, in bytes
	mostRows = 256     // in a message
	mostIDs  = 16384
)

var errBad = errors.New("a message that can't be read")

func (m *message) encode() []byte {
	m.Version = version
	b, err := msgpack.Marshal(m)
	if err != nil {
		panic(err) // plain fields
	}
	return b
}

// decode reads a message whole or not at all. What it allocates follows from what came, not from what that claims to hold.
func decode(b []byte) (m *message, err error) {
	if len(b) > longest {
		return nil, errBad
	}
	m = &message{}
	if err := msgpack.Unmarshal(b, m); err != nil {
		return nil, errBad
	}
	if m.Version < 1 || m.From == "" || len(m.From) > replica.MostName || len(m.Rows) > mostRows || len(m.Heads) > mostIDs ||
		len(m.IDs) > mostIDs || len(m.Sums) != 0 && len(m.Sums) != replica.Buckets {
		return nil, errBad
	}
	return m, nil
}
