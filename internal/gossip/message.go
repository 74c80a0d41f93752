package gossip

import (
	"errors"
	"fmt"

	"woodproxy/internal/rowcodec"

	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
)

// Protocol version and upper bounds of a message. A message that exceeds a bound is malformed. Package replica keeps the
// messages that it sends within the bounds.
const (
	protocolVersion  = 1
	maxMessageLength = 1 << 20 // bytes
	maxRows          = 256
	maxRowIDs        = 16384 // also the maximum number of row versions
)

// errMalformedMessage is wrapped by every error of decodeMessage.
var errMalformedMessage = errors.New("malformed message")

// message is a message between proxies. It is encoded as a msgpack map. Receivers ignore unknown fields, so that later
// versions can add fields. The type determines which fields are used.
type message struct {
	Version  int                  `msgpack:"v"`
	Sender   string               `msgpack:"f"` // name of the sending proxy
	Type     replica.Action       `msgpack:"t"`
	Rows     []replica.Row        `msgpack:"r,omitempty"`
	Versions []replica.RowVersion `msgpack:"h,omitempty"` // versions of the rows in the selected buckets
	RowIDs   []uint64             `msgpack:"i,omitempty"` // IDs of the requested rows
	Buckets  uint64               `msgpack:"w,omitempty"` // bit mask of the selected buckets
	Digests  []uint64             `msgpack:"s,omitempty"` // empty, or one digest per bucket
}

// encode sets the version to protocolVersion and returns the message encoded as msgpack.
func (m *message) encode() []byte {
	m.Version = protocolVersion
	encoded, err := msgpack.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("encoding a gossip message: %v", err)) // can't happen: msgpack can encode all types of the fields
	}
	return encoded
}

// decodeMessage returns the decoded message, or an error that wraps errMalformedMessage. It never returns a partial message.
// Its allocations are bounded by the number of received bytes, not by the list lengths that the message declares.
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
