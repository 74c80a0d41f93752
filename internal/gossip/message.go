package gossip

import (
	"errors"
	"fmt"

	"woodproxy/internal/rowcodec"

	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
)

// Bounds of a message. Longer lists are malformed; replica keeps its messages below them.
const (
	protocolVersion  = 1
	maxMessageLength = 1 << 20 // bytes
	maxRows          = 256
	maxRowIDs        = 16384 // of row versions as well
)

// errMalformedMessage is wrapped by every error of decodeMessage.
var errMalformedMessage = errors.New("malformed message")

// message is what one proxy sends to others, as a msgpack map. Unknown fields are ignored, so that later versions can
// add some. Which fields are used follows from the type.
type message struct {
	Version  int                  `msgpack:"v"`
	Sender   string               `msgpack:"f"` // name of the proxy
	Type     replica.Action       `msgpack:"t"`
	Rows     []replica.Row        `msgpack:"r,omitempty"`
	Versions []replica.RowVersion `msgpack:"h,omitempty"` // of the rows in the buckets of Buckets
	RowIDs   []uint64             `msgpack:"i,omitempty"` // of the rows that are requested
	Buckets  uint64               `msgpack:"w,omitempty"` // a bit for each bucket
	Digests  []uint64             `msgpack:"s,omitempty"` // none, or one for each bucket
}

// encode sets the version and returns the message as msgpack.
func (m *message) encode() []byte {
	m.Version = protocolVersion
	encoded, err := msgpack.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("encoding a gossip message: %v", err)) // impossible: all fields are plain values
	}
	return encoded
}

// decodeMessage returns the message or an error that wraps errMalformedMessage, never a part of a message. What it
// allocates is bounded by the bytes that are there and not by the lengths that they claim.
func decodeMessage(encoded []byte) (*message, error) {
	if len(encoded) > maxMessageLength {
		return nil, fmt.Errorf("%w: %d bytes", errMalformedMessage, len(encoded))
	}
	m := &message{}
	if err := rowcodec.Decode(encoded, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedMessage, err)
	}
	if err := m.validate(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *message) validate() error {
	switch {
	case m.Version < 1:
		return fmt.Errorf("%w: version %d", errMalformedMessage, m.Version)
	case m.Sender == "" || len(m.Sender) > replica.MaxNameBytes:
		return fmt.Errorf("%w: sender name of %d bytes", errMalformedMessage, len(m.Sender))
	case len(m.Rows) > maxRows:
		return fmt.Errorf("%w: %d rows", errMalformedMessage, len(m.Rows))
	case len(m.Versions) > maxRowIDs:
		return fmt.Errorf("%w: %d row versions", errMalformedMessage, len(m.Versions))
	case len(m.RowIDs) > maxRowIDs:
		return fmt.Errorf("%w: %d row IDs", errMalformedMessage, len(m.RowIDs))
	case len(m.Digests) != 0 && len(m.Digests) != replica.BucketCount:
		return fmt.Errorf("%w: %d bucket digests", errMalformedMessage, len(m.Digests))
	}
	return nil
}
