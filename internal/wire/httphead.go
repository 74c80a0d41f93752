package wire

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
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
	closes      bool // the connection ends with the response, or must not be used after it
	version0    bool // the response is of HTTP/1.0, in which connections close unless the server says otherwise
	closeOption bool // the Connection header has the option close
	keepAlive   bool // the Connection header has the option keep-alive
	unprocessed bool // the origin states that it did not process the request
}

// readHTTPHead parses the head of a response in place, line by line, and skips interim responses (1xx).
func readHTTPHead(r *bufio.Reader) (httpHead, error) {
	for {
		h, err := readOneHTTPHead(r)
		switch {
		case err != nil:
			return httpHead{}, err
		case h.status == 101:
			return httpHead{}, protocolError("a protocol that was not asked for")
		case h.status < 200:
			continue
		}
		h.finish()
		return h, nil
	}
}

// finish decides, once all headers are read, where the body ends and whether the connection may be used after it. It must
// not be if headers contradict each other, since the server may then send bytes that its headers do not announce (RFC 9112,
// section 6.3).
func (h *httpHead) finish() {
	contradicts := h.chunked && (h.length >= 0 || h.version0)
	if h.status == 204 || h.status == 304 { // these have no body, regardless of their headers
		contradicts = h.chunked || h.length > 0
		h.length, h.chunked = 0, false
	}
	h.closes = contradicts || h.closeOption || h.version0 && !h.keepAlive
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
		name, value, err := parseHeaderLine(line)
		if err == nil {
			err = h.setHeader(name, value)
		}
		if err != nil {
			return httpHead{}, err
		}
	}
}

// parseHeaderLine parses a header line without its line end. The name of a folded line, which continues the value of the line
// before it, begins with the white space of that line. The value may be any bytes.
func parseHeaderLine(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return nil, nil, protocolError("an HTTP header without a colon: " + quotePrefix(line))
	}
	name = bytes.TrimRight(name, " \t")
	folded := line[0] == ' ' || line[0] == '\t'
	if !folded && (len(name) == 0 || bytes.ContainsFunc(name, isNoTokenChar)) {
		return nil, nil, protocolError("an HTTP header without a name: " + quotePrefix(line))
	}
	return name, bytes.TrimSpace(value), nil
}

// isControlChar reports whether a character may not stand in the reason of a status line.
func isControlChar(char rune) bool { return char < ' ' && char != '\t' || char == 0x7f }

// isNoTokenChar reports whether a character may not stand in the name of a header (RFC 9110, section 5.6.2).
func isNoTokenChar(char rune) bool {
	switch {
	case char >= '0' && char <= '9', char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", char)
}

// parseStatusLine parses an HTTP/1 status line.
func parseStatusLine(line []byte) (httpHead, error) {
	if len(line) < minStatusLine || !bytes.HasPrefix(line, []byte("HTTP/1.")) || isNoDigit(rune(line[7])) || line[8] != ' ' {
		return httpHead{}, protocolError("not an HTTP/1 status line")
	}
	status, ok := parseDecimal(line[9:12])
	if !ok || status < 100 || line[12] != ' ' && line[12] != '\r' && line[12] != '\n' {
		return httpHead{}, protocolError("a malformed HTTP status")
	}
	if bytes.ContainsFunc(bytes.TrimRight(line[12:], lineEnd), isControlChar) {
		return httpHead{}, protocolError("an HTTP status line that is no text: " + quotePrefix(line))
	}
	return httpHead{status: status, length: unknownLength, version0: line[7] == '0'}, nil
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
		if !ok || h.length >= 0 && h.length != length {
			return protocolError("a malformed Content-Length")
		}
		h.length = length
	case is("Transfer-Encoding"):
		if h.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return protocolError("a transfer encoding other than chunked")
		}
		h.chunked = true
	case is("Connection"):
		h.setConnectionOptions(value)
	case is("X-Unprocessed"):
		h.unprocessed = string(value) == "1"
	}
	return nil
}

// setConnectionOptions records the options of a Connection header, a list separated by commas.
func (h *httpHead) setConnectionOptions(list []byte) {
	for len(list) > 0 {
		option, rest, _ := bytes.Cut(list, []byte(","))
		option = bytes.TrimSpace(option)
		h.closeOption = h.closeOption || bytes.EqualFold(option, []byte("close"))
		h.keepAlive = h.keepAlive || bytes.EqualFold(option, []byte("keep-alive"))
		list = rest
	}
}
