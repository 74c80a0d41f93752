package wire

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/valyala/fastjson"
)

// Values of the status field of an endpoint in discovery's list.
const (
	statusActive   = "active"
	statusDraining = "leaving"
	statusDeparted = "left"
)

// Endpoint is an endpoint of discovery's list. Its msgpack encoding is also the body of a replicated row, so the msgpack
// tags are part of the gossip protocol and of the state file format.
type Endpoint struct {
	Name               string  `msgpack:"Name"`
	Address            string  `msgpack:"Address"`
	Zone               string  `msgpack:"Zone"`
	Kind               string  `msgpack:"Kind"`
	Cell               int     `msgpack:"Cell"`
	Ready              bool    `msgpack:"Ready"` // neither draining nor departed
	Departed           bool    `msgpack:"Gone"`  // has left the fleet
	Weight             float64 `msgpack:"Weight"`
	StartedAtUnixMilli int64   `msgpack:"Since"` // time of its last start in Unix milliseconds; 0: long ago
	FromPeer           bool    `msgpack:"-"`     // reported by another proxy, whose address for it may differ
}

// status returns the endpoint's status as in discovery's list.
func (e *Endpoint) status() string {
	switch {
	case e.Departed:
		return statusDeparted
	case !e.Ready:
		return statusDraining
	}
	return statusActive
}

// EndpointList is one JSON object from discovery: the complete endpoint list or an incremental update.
type EndpointList struct {
	Index     int64 // version of the list
	Complete  bool  // complete list: endpoints that are not in it have departed
	Endpoints []Endpoint
}

// Limits of an endpoint list.
const (
	maxEndpoints   = 1 << 16  // endpoints in one list
	maxValueLength = 64 << 10 // length in bytes of one value of the list, such as an endpoint
)

// ReadEndpointList reads one JSON object from discovery and expects the end of the input after it. The text is parsed as
// it is read, and the list does not refer to it afterwards. Errors in the object wrap [ErrProtocol]; other errors are
// those of the input.
func ReadEndpointList(input io.Reader) (*EndpointList, error) {
	source := &errorRecorder{input: input}
	decoder := NewJSONDecoder(source)
	list, err := DecodeEndpointList(decoder)
	if err == nil && list == nil {
		return nil, errNotObject
	}
	if err == nil {
		_, err = decoder.ReadToken()
		if err == nil {
			return nil, protocolError("data after the end of the endpoint list")
		}
	}
	switch {
	case source.err != nil:
		return nil, source.err
	case errors.Is(err, io.EOF) && list != nil:
		return list, nil
	case errors.Is(err, ErrProtocol):
		return nil, err
	}
	return nil, fmt.Errorf("%w: %w", ErrProtocol, err)
}

// NewJSONDecoder returns a streaming JSON decoder that accepts invalid UTF-8 and duplicate keys. The caller decides how
// to handle duplicate keys.
func NewJSONDecoder(input io.Reader) *jsontext.Decoder {
	return jsontext.NewDecoder(input, jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
}

// errorRecorder records an error of the input, so that it can be distinguished from a decoder's error about text that
// ends early.
type errorRecorder struct {
	input io.Reader
	err   error
}

// Read implements [io.Reader].
func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.input.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// DecodeEndpointList reads the decoder's next value, which must be a JSON object from discovery or null. It returns nil
// for null. Errors in the object wrap [ErrProtocol]; other errors are the decoder's.
func DecodeEndpointList(decoder *jsontext.Decoder) (*EndpointList, error) {
	switch token, err := decoder.ReadToken(); {
	case err != nil:
		return nil, err
	case token.Kind() == jsontext.KindNull:
		return nil, nil //nolint:nilnil // as documented
	case token.Kind() != jsontext.KindBeginObject:
		return nil, errNotObject
	}
	reader := listReader{decoder: decoder, interned: map[string]string{}, list: &EndpointList{}}
	if err := reader.read(); err != nil {
		return nil, err
	}
	return reader.list, nil
}

var errNotObject = protocolError("the endpoint list is not a JSON object")

// listReader reads one endpoint list. It parses one value of the list at a time.
type listReader struct {
	decoder      *jsontext.Decoder
	parser       fastjson.Parser
	interned     map[string]string // strings that many endpoints have in common, by their text
	list         *EndpointList
	hasIndex     bool
	hasEndpoints bool
}

// read reads the object after its opening brace.
func (r *listReader) read() error {
	for r.decoder.PeekKind() != jsontext.KindEndObject {
		if err := r.readMember(); err != nil {
			return err
		}
	}
	if _, err := r.decoder.ReadToken(); err != nil { // the closing brace
		return err
	}
	switch {
	case !r.hasIndex:
		return protocolError("list: index: missing or mistyped")
	case !r.hasEndpoints:
		return protocolError("list: endpoints: missing or mistyped")
	}
	return nil
}

// readMember reads one key and its value.
func (r *listReader) readMember() error {
	key, err := r.decoder.ReadToken()
	if err != nil {
		return err
	}
	switch key.String() {
	case "endpoints":
		return r.readEndpoints()
	case "index":
		value, err := r.readValue()
		if err == nil && value.Type() == fastjson.TypeNumber {
			r.list.Index, r.hasIndex = value.GetInt64(), true
		}
		return err
	case "snapshot":
		value, err := r.readValue()
		r.list.Complete = err == nil && value.GetBool()
		return err
	}
	return r.decoder.SkipValue() // a key from a later version of the protocol
}

// readValue reads one value. The value is valid until the next call.
func (r *listReader) readValue() (*fastjson.Value, error) {
	text, err := r.decoder.ReadValue()
	if err != nil {
		return nil, err
	}
	if len(text) > maxValueLength {
		return nil, protocolError("list: a value is too long")
	}
	value, err := r.parser.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	return value, nil
}

// readEndpoints reads the array of endpoints.
func (r *listReader) readEndpoints() error {
	switch token, err := r.decoder.ReadToken(); {
	case err != nil:
		return err
	case token.Kind() != jsontext.KindBeginArray:
		return protocolError("list: endpoints: missing or mistyped")
	}
	r.hasEndpoints = true
	for r.decoder.PeekKind() != jsontext.KindEndArray {
		value, err := r.readValue()
		if err != nil {
			return err
		}
		endpoint, err := r.endpoint(value)
		if err != nil {
			return err
		}
		if len(r.list.Endpoints) >= maxEndpoints {
			return protocolError(fmt.Sprintf("a list of more than %d endpoints", maxEndpoints))
		}
		r.list.Endpoints = append(r.list.Endpoints, endpoint)
	}
	_, err := r.decoder.ReadToken() // the closing bracket
	return err
}

// intern returns a string that all endpoints with the same text share, to save memory.
func (r *listReader) intern(text []byte) string {
	if known, ok := r.interned[string(text)]; ok {
		return known
	}
	added := string(text)
	r.interned[added] = added
	return added
}

// endpoint converts one element of the array of endpoints. The error wraps [ErrProtocol].
func (r *listReader) endpoint(value *fastjson.Value) (Endpoint, error) {
	text := func(key string) string { return string(value.GetStringBytes(key)) }
	status := string(value.GetStringBytes("status"))
	e := Endpoint{
		Name: text("name"), Address: text("address"), Zone: r.intern(value.GetStringBytes("zone")),
		Kind: r.intern(value.GetStringBytes("type")),
		Cell: value.GetInt("group"), Weight: value.GetFloat64("weight"), StartedAtUnixMilli: value.GetInt64("since_ms"),
		Ready: status == statusActive, Departed: status == statusDeparted,
	}
	if since := value.GetFloat64("since_ms"); e.StartedAtUnixMilli == 0 && since > 0 { // with a fraction or an exponent
		e.StartedAtUnixMilli = int64(math.Ceil(since))
	}
	switch {
	case e.Name == "":
		return Endpoint{}, protocolError("list: name: missing or mistyped")
	case status != statusActive && status != statusDraining && status != statusDeparted:
		return Endpoint{}, protocolError("list: " + e.Name + ": status: out of its range")
	case e.Ready && e.Address == "":
		return Endpoint{}, protocolError("list: " + e.Name + ": address: missing or mistyped")
	}
	return e, nil
}

// AppendEndpointList appends a complete list in the format that [ReadEndpointList] reads. Its index is 0, which is lower
// than any index of discovery, because a watch begins with the complete list in any case.
func AppendEndpointList(b []byte, list []Endpoint) []byte {
	b = append(b, `{"index":0,"snapshot":true,"endpoints":[`...)
	var arena fastjson.Arena
	for i := range list {
		if i > 0 {
			b = append(b, ',')
		}
		arena.Reset()
		b = endpointObject(&arena, &list[i]).MarshalTo(b)
	}
	return append(b, `]}`...)
}

// endpointObject returns the JSON object of an endpoint.
func endpointObject(arena *fastjson.Arena, e *Endpoint) *fastjson.Value {
	object := arena.NewObject()
	object.Set("name", arena.NewString(e.Name))
	object.Set("address", arena.NewString(e.Address))
	object.Set("zone", arena.NewString(e.Zone))
	object.Set("type", arena.NewString(e.Kind))
	object.Set("status", arena.NewString(e.status()))
	object.Set("group", arena.NewNumberInt(e.Cell))
	object.Set("weight", arena.NewNumberFloat64(e.Weight))
	object.Set("since_ms", arena.NewNumberString(strconv.FormatInt(e.StartedAtUnixMilli, 10)))
	return object
}
