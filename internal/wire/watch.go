package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxWatchObject is the longest object of a watch, in bytes.
const maxWatchObject = 4 << 20

// watchBuffer is the size of a watch's read buffer, in bytes. Objects may be longer.
const watchBuffer = 4 << 10

// AppendWatchRequest appends the HTTP request for a watch of all changes after the given version of the list.
func AppendWatchRequest(b []byte, host string, since int64) []byte {
	b = strconv.AppendInt(append(b, "GET /api/targets?follow=1&since="...), since, 10)
	return append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// WatchReader reads the objects of a watch: one a line, or over several lines where they are indented.
type WatchReader struct {
	lines   *bufio.Reader
	object  []byte // the part that has been read
	nesting jsonNesting
}

// OpenWatch reads the head of the response to a request for a watch. It fails where the status is not 200, and with
// an error that wraps [ErrProtocol] where the response is malformed or not chunked.
func OpenWatch(r *bufio.Reader) (*WatchReader, error) {
	h, err := readHTTPHead(r)
	switch {
	case err != nil:
		return nil, err
	case h.status != 200:
		return nil, fmt.Errorf("discovery answers %d", h.status)
	case !h.chunked:
		return nil, protocolError("a watch that is not chunked")
	}
	return &WatchReader{lines: bufio.NewReaderSize(&chunkedReader{in: r}, watchBuffer)}, nil
}

// Next returns the next object without its line end, valid until the next call. It is empty where discovery sends a
// heartbeat only, which is an empty line.
func (w *WatchReader) Next() ([]byte, error) {
	w.object, w.nesting = w.object[:0], jsonNesting{}
	for {
		part, err := w.lines.ReadSlice('\n')
		w.nesting.scan(part)
		w.object = append(w.object, part...)
		inside, tooLong := w.nesting.depth > 0, len(w.object) > maxWatchObject
		switch {
		case err == nil && inside && len(bytes.TrimRight(part, lineEnd)) == 0:
			return nil, protocolError("a list that breaks off") // by a heartbeat
		case err == nil && inside && !tooLong:
		case err == nil:
			return bytes.TrimRight(w.object, lineEnd), nil
		case errors.Is(err, io.EOF) && len(w.object) > 0:
			return nil, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case tooLong:
			return nil, protocolError("a list that does not end")
		}
	}
}

// jsonNesting tracks how deeply a JSON text is nested, so that its end is found without parsing it.
type jsonNesting struct {
	depth    int // open objects and arrays; 0 before the text and behind it
	inString bool
	escaped  bool // the byte before was a backslash within a string
}

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
