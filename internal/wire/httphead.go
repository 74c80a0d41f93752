package wire

import (
	"bufio"
	"bytes"
	"errors"
)

// maxHead is the maximum length in bytes of the head of an HTTP response.
const maxHead = 16 << 10

// minStatusLine is the minimum length in bytes of a status line: "HTTP/1.1 200" and its line end.
const minStatusLine = 14

// unknownLength is the length of a body without a Content-Length header.
const unknownLength = -1

// httpHead holds the parts of the head of an HTTP response that the proxy uses.
type httpHead struct {
	status      int
	length      int // length of the body in bytes, or unknownLength
	chunked     bool
	closes      bool // the server closes the connection after the response
	unprocessed bool // the origin states that it did not process the request
}

// readHTTPHead parses the head of a response in place, line by line, and skips interim responses (1xx).
func readHTTPHead(r *bufio.Reader) (httpHead, error) {
	for {
		h, err := readOneHTTPHead(r)
		switch {
		case err != nil:
			return httpHead{}, err
		case h.status < 200:
			continue
		case h.status == 204 || h.status == 304: // these have no body, regardless of their headers
			h.length, h.chunked = 0, false
		}
		return h, nil
	}
}

// readOneHTTPHead parses one head, which may be that of an interim response.
func readOneHTTPHead(r *bufio.Reader) (httpHead, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return httpHead{}, httpLineError(err)
	}
	h, err := parseStatusLine(line)
	if err != nil {
		return httpHead{}, err
	}
	for size := len(line); ; {
		if line, err = r.ReadSlice('\n'); err != nil {
			return httpHead{}, httpLineError(err)
		}
		if size += len(line); size > maxHead {
			return httpHead{}, protocolError("an HTTP head that is too long")
		}
		line = bytes.TrimRight(line, lineEnd)
		if len(line) == 0 {
			return h, nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return httpHead{}, protocolError("an HTTP header without a colon")
		}
		if err = h.setHeader(name, bytes.TrimSpace(value)); err != nil {
			return httpHead{}, err
		}
	}
}

// parseStatusLine parses an HTTP/1 status line. A server of HTTP/1.0 closes the connection by default.
func parseStatusLine(line []byte) (httpHead, error) {
	if len(line) < minStatusLine || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' {
		return httpHead{}, protocolError("not an HTTP/1 status line")
	}
	status, ok := parseDecimal(line[9:12])
	if !ok || status < 100 {
		return httpHead{}, protocolError("a malformed HTTP status")
	}
	return httpHead{status: status, length: unknownLength, closes: line[7] == '0'}, nil
}

// httpLineError returns a protocol error if a line was longer than the reader's buffer, and other errors unchanged.
func httpLineError(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return protocolError("an HTTP line longer than the read buffer")
	}
	return err
}

// setHeader records one header field. Fields that the proxy does not use are ignored.
func (h *httpHead) setHeader(name, value []byte) error {
	is := func(header string) bool { return bytes.EqualFold(name, []byte(header)) }
	switch {
	case is("Content-Length"):
		length, ok := parseDecimal(value)
		if !ok || length < 0 || h.length >= 0 && h.length != length {
			return protocolError("a malformed Content-Length")
		}
		h.length = length
	case is("Transfer-Encoding"):
		if !bytes.EqualFold(value, []byte("chunked")) {
			return protocolError("a transfer encoding other than chunked")
		}
		h.chunked = true
	case is("Connection"):
		keepAlive := bytes.EqualFold(value, []byte("keep-alive"))
		h.closes = bytes.EqualFold(value, []byte("close")) || h.closes && !keepAlive
	case is("X-Unprocessed"):
		h.unprocessed = string(value) == "1"
	}
	return nil
}
