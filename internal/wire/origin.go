package wire

import (
	"bufio"
	"io"
	"strconv"

	"woodproxy/balancer"
)

// maxUnknownLength is the longest body of unknown length, in bytes. It is buffered completely, since the length has
// to be announced to clients.
const maxUnknownLength = 1 << 20

// AppendOriginRequest appends the head of the HTTP request of an attempt at the origin. A value of the given length in bytes
// follows as the body of a write; with a length of -1 the request is a read.
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

// appendPathEscaped appends a path segment with all but the unreserved characters of RFC 3986 percent-encoded.
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

// ReadOriginResponse reads the response of the origin to one attempt up to its value, or with its value where the length is
// not announced. Errors are of type [*AttemptError].
func ReadOriginResponse(r *bufio.Reader) (Response, error) {
	return readResponse(r, parseOriginResponse)
}

func parseOriginResponse(r *bufio.Reader) (Response, error) {
	h, err := readHTTPHead(r)
	if err != nil {
		return Response{}, err
	}
	a := Response{Outcome: h.outcome(), ValueLength: h.length, NotFound: h.status == 404}
	switch {
	case h.chunked || h.length < 0:
		a.body, err = h.readBody(r)
		a.ValueLength = len(a.body)
	case h.length > MaxResponseValue:
		err = protocolError("a body of " + strconv.Itoa(h.length) + " bytes")
	case a.Outcome != balancer.Completed:
		_, err = readExactly(r, h.length)
	}
	a.Reusable = !h.closes
	return a, err
}

// outcome maps the status of an origin's response to an outcome.
func (h *httpHead) outcome() balancer.Outcome {
	switch {
	case h.status == 200:
		return balancer.Completed
	case (h.status == 503 || h.status == 504) && h.unprocessed:
		return balancer.Overloaded
	}
	return balancer.ServerError
}

// readBody reads a body of unknown length: chunked, or up to the end of the connection.
func (h *httpHead) readBody(r *bufio.Reader) ([]byte, error) {
	var in io.Reader = r
	if h.chunked {
		in = &chunkedReader{in: r}
	} else {
		h.closes = true
	}
	body, err := io.ReadAll(io.LimitReader(in, maxUnknownLength+1))
	if err == nil && len(body) > maxUnknownLength {
		err = protocolError("a body that does not end")
	}
	return body, err
}
