package wire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"woodproxy/balancer"
)

// maxUnknownLength is the maximum length in bytes of a body whose length is not announced. Such a body is buffered
// completely, because the reply to the client begins with its length.
const maxUnknownLength = 1 << 20

var errBodyTooLong = protocolError("a body that does not end")

// AppendOriginRequest appends the head of the HTTP request for an attempt at the origin. value is the length in bytes of
// the value that follows as the body of a write, or -1 for a read.
func AppendOriginRequest(b []byte, host string, key, id, facts []byte, value int) []byte {
	method := "GET /"
	if value >= 0 {
		method = "PUT /"
	}
	b = appendPathEscaped(append(b, method...), key)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), host...)
	b = append(append(b, "\r\nX-Correlation-Id: "...), id...)
	b = append(append(b, "\r\nX-Facts: "...), facts...)
	if value >= 0 {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(value), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// appendPathEscaped appends a path segment and percent-encodes all characters except the unreserved ones of RFC 3986.
func appendPathEscaped(b, segment []byte) []byte {
	const digits = "0123456789ABCDEF"
	for _, c := range segment {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '-', c == '_', c == '.', c == '~':
			b = append(b, c)
		default:
			b = append(b, '%', digits[c>>4], digits[c&15])
		}
	}
	return b
}

// ReadOriginResponse reads the response of the origin to one attempt up to its value. Errors are of type [*AttemptError].
func ReadOriginResponse(r *bufio.Reader) (Response, error) {
	return readResponse(r, parseOriginResponse)
}

// parseOriginResponse parses a response up to its value. If the outcome is not [balancer.Completed], the body is read and
// discarded.
func parseOriginResponse(r *bufio.Reader) (Response, error) {
	h, err := readHTTPHead(r)
	if err != nil {
		return Response{}, err
	}
	lengthUnknown := h.chunked || h.length < 0
	if lengthUnknown && !h.chunked {
		h.closes = true // the value ends with the connection
	}
	resp := Response{Outcome: h.outcome(), ValueLength: h.length, NotFound: h.status == 404, Reusable: !h.closes}
	switch {
	case lengthUnknown && resp.Outcome == balancer.Completed:
		resp.unread = &h
	case lengthUnknown:
		err = h.discardBody(r)
	case h.length > MaxResponseValue:
		err = protocolError("a body of " + strconv.Itoa(h.length) + " bytes")
	case resp.Outcome != balancer.Completed:
		err = discardExactly(r, h.length)
	}
	return resp, err
}

// outcome maps the status of an origin response to an outcome.
func (h *httpHead) outcome() balancer.Outcome {
	switch {
	case h.status == 200:
		return balancer.Completed
	case (h.status == 503 || h.status == 504) && h.unprocessed:
		return balancer.Overloaded
	}
	return balancer.ServerError
}

// unknownLengthGrowth is the factor by which the memory for a body whose length is not announced grows.
const unknownLengthGrowth = 4

// readBody reads a body whose length is not announced: a chunked body, or all bytes up to the end of the connection. It calls
// grow before it uses memory for more than MaxBufferedValue bytes, and each time that it needs more.
func (h *httpHead) readBody(r *bufio.Reader, grow func(bytes int) error) ([]byte, error) {
	in := h.body(r)
	body, err := io.ReadAll(io.LimitReader(in, MaxBufferedValue))
	for size := MaxBufferedValue; err == nil && len(body) == size; {
		if size == maxUnknownLength {
			return body, expectEnd(in)
		}
		larger := min(unknownLengthGrowth*size, maxUnknownLength)
		if err := grow(larger - size); err != nil {
			return nil, err
		}
		size = larger
		body, err = readAppended(body, in, size)
	}
	return shrunk(body), err
}

// shrunk returns the content of a buffer, in a smaller one if much of it is unused.
func shrunk(body []byte) []byte {
	if cap(body)-len(body) > len(body)/unknownLengthGrowth {
		return bytes.Clone(body)
	}
	return body
}

// readAppended returns a buffer with the content of body and the input behind it, up to a total size in bytes.
func readAppended(body []byte, in io.Reader, size int) ([]byte, error) {
	buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead)) // ReadFrom allocates no other
	_, _ = buffer.Write(body)                                      // never fails, by the bytes package's contract
	_, err := buffer.ReadFrom(io.LimitReader(in, int64(size-len(body))))
	return buffer.Bytes(), err
}

// expectEnd returns an error if the body goes on.
func expectEnd(body io.Reader) error {
	n, err := io.Copy(io.Discard, body)
	if err == nil && n > 0 {
		err = errBodyTooLong
	}
	return err
}

// discardBody reads a body whose length is not announced without keeping it in memory.
func (h *httpHead) discardBody(r *bufio.Reader) error {
	n, err := io.Copy(io.Discard, h.body(r))
	if err == nil && n > maxUnknownLength {
		err = errBodyTooLong
	}
	return err
}

// body returns a reader of a body whose length is not announced, up to the first byte beyond the maximum length.
func (h *httpHead) body(r *bufio.Reader) io.Reader {
	var in io.Reader = r
	if h.chunked {
		in = &chunkedReader{in: r}
	}
	return io.LimitReader(in, maxUnknownLength+1)
}
