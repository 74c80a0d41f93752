package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	protocolVersion = 1
	messageTimeout  = 500 * time.Millisecond // for the other process's next message
	maxHelloBytes   = 4 << 10
	maxOfferBytes   = 1 << 20 // beyond which no further part of it is read
	servingMessage  = "serving\n"
	noList          = "null" // in the offer's JSON
)

var (
	// errMismatch reports a message of another version of the protocol or for another address.
	errMismatch = errors.New("protocol version or listen address does not match")
	// errTooLong reports an offer whose line does not end in time.
	errTooLong = errors.New("message is too long")
)

// hello is the first message, from the successor.
type hello struct {
	Version int    `json:"woodproxy_handover"`
	Listen  string `json:"listen"` // the address that clients connect to
}

// newHello returns the message of this version of the protocol.
func newHello(listen string) hello {
	return hello{Version: protocolVersion, Listen: listen}
}

// check returns errMismatch unless the message is of this version and for the given address.
func (h hello) check(listen string) error {
	if h != newHello(listen) {
		return fmt.Errorf("%w: version %d for %s", errMismatch, h.Version, h.Listen)
	}
	return nil
}

// offer is the predecessor's answer. The listener's descriptor comes with it.
type offer struct {
	hello
	EndpointList json.RawMessage `json:"list"` // in the form of the discovery service; null: none
}

// encodeOffer returns the offer as a line. A nil list is sent as null.
func encodeOffer(listen string, list []byte) ([]byte, error) {
	line, err := json.Marshal(offer{hello: newHello(listen), EndpointList: list})
	if err != nil {
		return nil, fmt.Errorf("encode offer: %w", err)
	}
	return append(line, '\n'), nil
}

// decodeOffer returns the list of an offer that has to be for the given address, nil where it has none.
func decodeOffer(line []byte, listen string) (list []byte, err error) {
	var o offer
	if err := json.Unmarshal(line, &o); err != nil {
		return nil, fmt.Errorf("decode offer: %w", err)
	}
	if err := o.check(listen); err != nil {
		return nil, fmt.Errorf("offer: %w", err)
	}
	if string(o.EndpointList) == noList {
		return nil, nil
	}
	return o.EndpointList, nil
}

// decodeHello checks a hello that has to be for the given address.
func decodeHello(line []byte, listen string) error {
	var h hello
	if err := json.Unmarshal(line, &h); err != nil {
		return fmt.Errorf("decode hello: %w", err)
	}
	if err := h.check(listen); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	return nil
}
