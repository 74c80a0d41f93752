package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	protocolVersion = 1
	messageTimeout  = 500 * time.Millisecond // for the next message from the other process
	maxHelloBytes   = 4 << 10
	maxOfferBytes   = 1 << 20 // length of an incomplete offer above which reading stops
	servingMessage  = "serving"
	executedMessage = "executed" // precedes the hash of an id in hexadecimal
	noList          = "null"     // JSON value of an offer without an endpoint list
)

var (
	// errMismatch reports a message of another protocol version or for another listen address.
	errMismatch = errors.New("protocol version or listen address does not match")
	// errTooLong reports an offer whose line has not ended after maxOfferBytes.
	errTooLong = errors.New("message is too long")
)

// hello is the first message, sent by the successor.
type hello struct {
	Version     int    `json:"woodproxy_handover"`
	Listen      string `json:"listen"`             // address that clients connect to
	ReadsHashes bool   `json:"executed,omitempty"` // the sender reads executed messages; older versions do not
}

// newHello returns the hello for the given listen address in this version of the protocol.
func newHello(listen string) hello {
	return hello{Version: protocolVersion, Listen: listen, ReadsHashes: true}
}

// check returns errMismatch unless the message is of this protocol version and for the given listen address.
func (h hello) check(listen string) error {
	if h.Version != protocolVersion || h.Listen != listen {
		return fmt.Errorf("%w: version %d for %s", errMismatch, h.Version, h.Listen)
	}
	return nil
}

// offer is the reply of the predecessor to a hello. The descriptor of the listener is passed with it.
type offer struct {
	hello
	EndpointList json.RawMessage `json:"list"` // in the JSON form of the discovery service; null if there is none
}

// encodeOffer returns the line of an offer with the given endpoint list. A nil list is encoded as null.
func encodeOffer(listen string, list []byte) ([]byte, error) {
	line, err := json.Marshal(offer{hello: newHello(listen), EndpointList: list})
	if err != nil {
		return nil, fmt.Errorf("encode offer: %w", err)
	}
	return append(line, '\n'), nil
}

// decodeOffer returns an offer. Its endpoint list is nil if it has none. It fails if the offer is malformed, and with
// errMismatch if it is of another protocol version or for another listen address.
func decodeOffer(line []byte, listen string) (offer, error) {
	var o offer
	if err := json.Unmarshal(line, &o); err != nil {
		return offer{}, fmt.Errorf("decode offer: %w", err)
	}
	if err := o.check(listen); err != nil {
		return offer{}, fmt.Errorf("offer: %w", err)
	}
	if string(o.EndpointList) == noList {
		o.EndpointList = nil
	}
	return o, nil
}

// decodeHello returns a hello. It fails if the hello is malformed, and with errMismatch if it is of another protocol version
// or for another listen address.
func decodeHello(line []byte, listen string) (hello, error) {
	var h hello
	if err := json.Unmarshal(line, &h); err != nil {
		return hello{}, fmt.Errorf("decode hello: %w", err)
	}
	if err := h.check(listen); err != nil {
		return hello{}, fmt.Errorf("hello: %w", err)
	}
	return h, nil
}
