package wire

import (
	"math"
	"strconv"

	"github.com/valyala/fastjson"
)

// The statuses of an endpoint in discovery's list.
const (
	statusActive   = "active"
	statusDraining = "leaving"
	statusDeparted = "left"
)

// Endpoint is an endpoint of discovery's list. Its encoding is also the body of a replicated row, so that the msgpack
// tags are part of the protocol between proxies and of the state file.
type Endpoint struct {
	Name               string  `msgpack:"Name"`
	Address            string  `msgpack:"Address"`
	Zone               string  `msgpack:"Zone"`
	Kind               string  `msgpack:"Kind"`
	Cell               int     `msgpack:"Cell"`
	Ready              bool    `msgpack:"Ready"` // neither draining nor departed
	Departed           bool    `msgpack:"Gone"`  // departed
	Weight             float64 `msgpack:"Weight"`
	StartedAtUnixMilli int64   `msgpack:"Since"` // when it last started, in Unix milliseconds; 0: long ago
	FromPeer           bool    `msgpack:"-"`     // reported by another proxy, which may reach it at another address
}

// status returns the endpoint's status in discovery's words.
func (t *Endpoint) status() string {
	switch {
	case t.Departed:
		return statusDeparted
	case !t.Ready:
		return statusDraining
	}
	return statusActive
}

// ParseEndpointList parses an object of discovery: the index is the version of the list, and whole tells that list is the
// complete list rather than the endpoints that changed. Errors wrap [ErrProtocol].
func ParseEndpointList(v *fastjson.Value) (index int64, whole bool, list []Endpoint, err error) {
	if v.Type() != fastjson.TypeObject {
		return 0, false, nil, protocolError("a list that is no object")
	}
	if number := v.Get("index"); number == nil || number.Type() != fastjson.TypeNumber {
		return 0, false, nil, protocolError("list: index: missing or mistyped")
	}
	rows := v.Get("endpoints")
	if rows == nil || rows.Type() != fastjson.TypeArray {
		return 0, false, nil, protocolError("list: endpoints: missing or mistyped")
	}
	for _, row := range rows.GetArray() {
		endpoint, err := parseEndpoint(row)
		if err != nil {
			return 0, false, nil, err
		}
		list = append(list, endpoint)
	}
	return v.GetInt64("index"), v.GetBool("snapshot"), list, nil
}

func parseEndpoint(row *fastjson.Value) (Endpoint, error) {
	text := func(key string) string { return string(row.GetStringBytes(key)) }
	status := text("status")
	t := Endpoint{
		Name: text("name"), Address: text("address"), Zone: text("zone"), Kind: text("type"),
		Cell: row.GetInt("group"), Weight: row.GetFloat64("weight"), StartedAtUnixMilli: row.GetInt64("since_ms"),
		Ready: status == statusActive, Departed: status == statusDeparted,
	}
	if since := row.GetFloat64("since_ms"); t.StartedAtUnixMilli == 0 && since > 0 { // written with a fraction or an exponent
		t.StartedAtUnixMilli = int64(math.Ceil(since))
	}
	switch {
	case t.Name == "":
		return Endpoint{}, protocolError("list: name: missing or mistyped")
	case status != statusActive && status != statusDraining && status != statusDeparted:
		return Endpoint{}, protocolError("list: " + t.Name + ": status: out of its range")
	case t.Ready && t.Address == "":
		return Endpoint{}, protocolError("list: " + t.Name + ": address: missing or mistyped")
	}
	return t, nil
}

// AppendEndpointList appends a complete list in the form that [ParseEndpointList] reads. Its index is 0, the version before any of
// discovery's, because a watch begins with the complete list anyhow.
func AppendEndpointList(b []byte, list []Endpoint) []byte {
	var arena fastjson.Arena
	rows := arena.NewArray()
	for i := range list {
		rows.SetArrayItem(i, endpointRow(&arena, &list[i]))
	}
	object := arena.NewObject()
	object.Set("index", arena.NewNumberInt(0))
	object.Set("snapshot", arena.NewTrue())
	object.Set("endpoints", rows)
	return object.MarshalTo(b)
}

func endpointRow(arena *fastjson.Arena, t *Endpoint) *fastjson.Value {
	row := arena.NewObject()
	row.Set("name", arena.NewString(t.Name))
	row.Set("address", arena.NewString(t.Address))
	row.Set("zone", arena.NewString(t.Zone))
	row.Set("type", arena.NewString(t.Kind))
	row.Set("status", arena.NewString(t.status()))
	row.Set("group", arena.NewNumberInt(t.Cell))
	row.Set("weight", arena.NewNumberFloat64(t.Weight))
	row.Set("since_ms", arena.NewNumberString(strconv.FormatInt(t.StartedAtUnixMilli, 10)))
	return row
}
