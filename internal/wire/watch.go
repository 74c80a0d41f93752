package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxWatchObject is the maximum length in bytes of an object in a watch. Objects are never buffered completely.
const maxWatchObject = 64 << 20

// watchBuffer is the size of a watch's read buffer, in bytes. Objects may be longer.
const watchBuffer = 4 << 10

// AppendWatchRequest appends the HTTP request for a watch of all changes after version since of the endpoint list.
func AppendWatchRequest(b []byte, host string, since int64) []byte {
	b = strconv.AppendInt(append(b, "GET /api/targets?follow=1&since="...), since, 10)
	return append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// WatchReader reads the JSON objects of a watch. Each object occupies one line, or several lines if it is indented.
type WatchReader struct {
	lines  *bufio.Reader
	object watchObject
}

// OpenWatch reads the head of the response to a watch request. It fails if the status is not 200, and with an error that
// wraps [ErrProtocol] if the response is malformed or not chunked.
func OpenWatch(r *bufio.Reader) (*WatchReader, error) {
	h, err := readHTTPHead(r)
	switch {
	case err != nil:
		return nil, err
	case h.status != 200:
		return nil, fmt.Errorf("discovery responded with status %d", h.status)
	case !h.chunked:
		return nil, protocolError("a watch that is not chunked")
	}
	return &WatchReader{lines: bufio.NewReaderSize(&chunkedReader{in: r}, watchBuffer)}, nil
}

// Next waits for the next object and returns a reader of its text without the line end. The reader is valid until the
// next call of Next, which skips the unread rest of the object. Next returns nil for a heartbeat, which is an empty line.
func (w *WatchReader) Next() (io.Reader, error) {
	if err := w.object.skip(); err != nil {
		return nil, err
	}
	w.object = watchObject{lines: w.lines}
	if w.object.readPart(); w.object.err != nil {
		return nil, w.object.err
	}
	if w.object.isHeartbeat() {
		return nil, nil //nolint:nilnil // a heartbeat has no object
	}
	return &w.object, nil
}

// watchObject reads one object of a watch.
type watchObject struct {
	lines   *bufio.Reader // nil before the first call of Next
	nesting jsonNesting
	part    []byte // unread bytes of the current line, or of a part of it
	midLine bool   // the last part did not reach the end of its line
	length  int    // number of bytes received
	ended   bool   // the line end of the object has been received
	err     error
}

// isHeartbeat reports whether the object is an empty line. It must be called after the first part has been read.
func (o *watchObject) isHeartbeat() bool { return o.ended && len(o.part) == 0 }

// Read implements [io.Reader]. It returns io.EOF at the end of the object.
func (o *watchObject) Read(p []byte) (int, error) {
	for len(o.part) == 0 && o.err == nil && !o.ended {
		o.readPart()
	}
	if len(o.part) > 0 {
		n := copy(p, o.part)
		o.part = o.part[n:]
		return n, nil
	}
	if o.err != nil {
		return 0, o.err
	}
	return 0, io.EOF
}

// skip reads and discards the rest of the object.
func (o *watchObject) skip() error {
	for o.lines != nil && !o.ended && o.err == nil {
		o.readPart()
	}
	return o.err
}

// readPart reads a line, or as much of it as fits in the read buffer. It removes the line end from the last line of the
// object.
func (o *watchObject) readPart() {
	part, err := o.lines.ReadSlice('\n')
	emptyLine := err == nil && !o.midLine && len(bytes.TrimRight(part, lineEnd)) == 0
	o.nesting.scan(part)
	o.midLine = err != nil
	o.length += len(part)
	inside, tooLong := o.nesting.depth > 0, o.length > maxWatchObject
	switch {
	case emptyLine && inside:
		o.err = protocolError("an endpoint list interrupted by a heartbeat")
	case err == nil && !inside:
		part, o.ended = bytes.TrimRight(part, lineEnd), true
	case tooLong:
		o.err = protocolError("an endpoint list that is too long")
	case errors.Is(err, io.EOF) && o.length > 0:
		o.err = io.ErrUnexpectedEOF
	case err != nil && !errors.Is(err, bufio.ErrBufferFull):
		o.err = err
	}
	o.part = part
}

// jsonNesting tracks the nesting depth of a JSON text, so that the end of the text is found without parsing it.
type jsonNesting struct {
	depth    int // number of open objects and arrays; 0 before and after the text
	inString bool
	escaped  bool // the previous byte was a backslash within a string
}

// scan updates the nesting for the next part of the text.
func (n *jsonNesting) scan(part []byte) {
	for _, c := range part {
		switch {
		case n.escaped:
			n.escaped = false
		case n.inString:
			n.inString, n.escaped = c != '"', c == '\\'
		case c == '"':
			n.inString = true
		case c == '{' || c == '[':
			n.depth++
		case c == '}' || c == ']':
			n.depth--
		}
	}
}
