package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"

	"github.com/valyala/fastjson"
)

// Target is one line of discovery's list. Its encoding is the body of a replicated row, so that the tags stay as they are.
type Target struct {
	Name      string  `msgpack:"Name"`
	Address   string  `msgpack:"Address"`
	Zone      string  `msgpack:"Zone"`
	Kind      string  `msgpack:"Kind"`
	Cell      int     `msgpack:"Cell"`
	Ready     bool    `msgpack:"Ready"` // neither leaving nor left
	Gone      bool    `msgpack:"Gone"`  // left
	Weight    float64 `msgpack:"Weight"`
	Since     int64   `msgpack:"Since"` // when it last started, Unix milliseconds; 0: long ago
	Elsewhere bool    `msgpack:"-"`     // another proxy told of it, who may reach it at another address
}

// maxList is how long one line of a watch may be.
const maxList = 4 << 20

// ParseTargets reads a list, whole or only what changed.
func ParseTargets(v *fastjson.Value) (index int64, whole bool, list []Target, err error) {
	if v.Type() != fastjson.TypeObject {
		return 0, false, nil, bad("a list that is no object")
	}
	if n := v.Get("index"); n == nil || n.Type() != fastjson.TypeNumber {
		return 0, false, nil, bad("list: index: missing or mistyped")
	}
	index, whole = v.GetInt64("index"), v.GetBool("snapshot")
	rows := v.Get("endpoints")
	if rows == nil || rows.Type() != fastjson.TypeArray {
		return 0, false, nil, bad("list: endpoints: missing or mistyped")
	}
	for _, row := range rows.GetArray() {
		t := Target{
			Name: string(row.GetStringBytes("name")), Address: string(row.GetStringBytes("address")),
			Zone: string(row.GetStringBytes("zone")), Kind: string(row.GetStringBytes("type")),
			Cell: row.GetInt("group"), Weight: row.GetFloat64("weight"), Since: row.GetInt64("since_ms"),
		}
		if f := row.GetFloat64("since_ms"); t.Since == 0 && f > 0 {
			t.Since = int64(math.Ceil(f))
		}
		status := string(row.GetStringBytes("status"))
		t.Ready, t.Gone = status == "active", status == "left"
		switch {
		case t.Name == "":
			return 0, false, nil, bad("list: name: missing or mistyped")
		case status != "active" && status != "leaving" && status != "left":
			return 0, false, nil, bad("list: " + t.Name + ": status: out of its range")
		case t.Ready && t.Address == "":
			return 0, false, nil, bad("list: " + t.Name + ": address: missing or mistyped")
		}
		list = append(list, t)
	}
	return index, whole, list, nil
}

// AppendTargets writes a list in the form in which it is read.
func AppendTargets(b []byte, list []Target) []byte {
	var a fastjson.Arena
	rows := a.NewArray()
	for i, t := range list {
		row := a.NewObject()
		for _, w := range [...][2]string{{"name", t.Name}, {"address", t.Address}, {"zone", t.Zone}, {"type", t.Kind}} {
			row.Set(w[0], a.NewString(w[1]))
		}
		status := "active"
		switch {
		case t.Gone:
			status = "left"
		case !t.Ready:
			status = "leaving"
		}
		row.Set("status", a.NewString(status))
		row.Set("group", a.NewNumberInt(t.Cell))
		row.Set("weight", a.NewNumberFloat64(t.Weight))
		row.Set("since_ms", a.NewNumberString(strconv.FormatInt(t.Since, 10)))
		rows.SetArrayItem(i, row)
	}
	all := a.NewObject()
	all.Set("index", a.NewNumberInt(0)) // each who watches asks for the whole list first
	all.Set("snapshot", a.NewTrue())
	all.Set("endpoints", rows)
	return all.MarshalTo(b)
}

// AppendWatch writes the request for a watch of what changes after a version of the list.
func AppendWatch(b []byte, host string, since int64) []byte {
	b = strconv.AppendInt(append(b, "GET /api/targets?follow=1&since="...), since, 10)
	return append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// Watch reads what a watch sends, a line at a time, or an object over several lines where it comes indented.
type Watch struct {
	lines  *bufio.Reader
	long   []byte
	depth  int // of the object that has begun, 0: none has, or it has ended
	quoted bool
	bare   bool // the byte behind a backslash comes next
}

// nest follows how deep an object stands open.
func (w *Watch) nest(part []byte) {
	for _, c := range part {
		switch {
		case w.bare:
			w.bare = false
		case w.quoted:
			w.quoted, w.bare = c != '"', c == '\\'
		case c == '"':
			w.quoted = true
		case c == '{' || c == '[':
			w.depth++
		case c == '}' || c == ']':
			w.depth--
		}
	}
}

// ReadWatch takes the head of the answer to a request for a watch.
func ReadWatch(r *bufio.Reader) (*Watch, error) {
	h, err := readHead(r)
	switch {
	case err != nil:
		return nil, err
	case h.status != 200:
		return nil, fmt.Errorf("discovery answers %d", h.status)
	case !h.chunked:
		return nil, bad("a watch that is not chunked")
	}
	return &Watch{lines: bufio.NewReaderSize(&Chunks{in: r}, 4<<10)}, nil
}

// Next returns the next object, or line, without its end; it is empty while nothing changes.
func (w *Watch) Next() ([]byte, error) {
	w.long, w.depth, w.quoted, w.bare = w.long[:0], 0, false, false
	for {
		part, err := w.lines.ReadSlice('\n')
		w.nest(part)
		w.long = append(w.long, part...)
		switch {
		case err == nil && w.depth > 0 && len(bytes.TrimRight(part, "\r\n")) == 0:
			return nil, bad("a list that breaks off") // by the line that says that nothing changes
		case err == nil && w.depth > 0 && len(w.long) <= maxList:
		case err == nil:
			for len(w.long) > 0 && (w.long[len(w.long)-1] == '\n' || w.long[len(w.long)-1] == '\r') {
				w.long = w.long[:len(w.long)-1]
			}
			return w.long, nil
		case errors.Is(err, io.EOF) && len(w.long) > 0:
			return nil, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(w.long) > maxList:
			return nil, bad("a list that does not end")
		}
	}
}
