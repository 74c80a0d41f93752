package wire

import (
	"bufio"

	"woodproxy/balancer"
)

// Response is the response of a cache or of the origin to one attempt. It is read in steps: [ReadCacheResponse] or
// [ReadOriginResponse] reads up to the value. Then either [Response.ReadValue] reads the value, or, if its length is
// known, the caller reads the value in parts and then calls [Response.ReadValueEnd]. Finally, [Response.SkipTrailing]
// reads the elements after the value.
type Response struct {
	Outcome     balancer.Outcome
	ValueLength int       // length of the value in bytes; unknown before ReadValue if LengthUnknown
	NotFound    bool      // the origin does not have the key; callers that do not handle this treat it as a fault
	Reusable    bool      // the connection may be reused for another attempt
	trailing    bool      // the elements after the value are unread
	bulk        bool      // the value is a bulk string, which ends with a line end
	unread      *httpHead // head of the value that is still to be read, if its length is not announced, else nil
}

// LengthUnknown reports whether the length of the value is not announced. Such a value is read by [Response.ReadUnknownLength].
func (resp *Response) LengthUnknown() bool { return resp.unread != nil }

// ReadValue reads the value and its line end, if it has one, into memory. Errors are of type [*AttemptError].
func (resp *Response) ReadValue(r *bufio.Reader) ([]byte, error) {
	if resp.unread != nil {
		return resp.ReadUnknownLength(r, func(int) error { return nil })
	}
	read := readExactly
	if resp.bulk {
		read = readBulkValue
	}
	value, err := read(r, resp.ValueLength)
	if err != nil {
		return nil, &AttemptError{Reading, err}
	}
	return value, nil
}

// ReadUnknownLength reads a value whose length is not announced into memory, at first at most [MaxBufferedValue] bytes of it. It
// calls grow with a number of further bytes before it uses memory for them. Errors are of type [*AttemptError]; they wrap that
// of grow, which ends the reading.
func (resp *Response) ReadUnknownLength(r *bufio.Reader, grow func(bytes int) error) ([]byte, error) {
	value, err := resp.unread.readBody(r, grow)
	if err != nil {
		return nil, &AttemptError{Reading, err}
	}
	resp.ValueLength = len(value)
	return value, nil
}

// ReadValueEnd reads the line end, if there is one, after a value that the caller has read in parts. Errors are of type
// [*AttemptError].
func (resp *Response) ReadValueEnd(r *bufio.Reader) error {
	if !resp.bulk {
		return nil
	}
	if err := readBulkEnd(r); err != nil {
		return &AttemptError{Reading, err}
	}
	return nil
}

// SkipTrailing reads and discards the elements after the value: how the read went, a bulk string or null, and the load
// report, which may be unreadable as such. Errors are of type [*AttemptError].
func (resp *Response) SkipTrailing(r *bufio.Reader) error {
	if !resp.trailing {
		return nil
	}
	resp.trailing = false
	err := skipBulkString(r, MaxBufferedValue)
	if err == nil {
		err = skipElement(r, MaxBufferedValue)
	}
	if err != nil {
		return &AttemptError{Reading, err}
	}
	return nil
}

// readResponse waits for the first byte of a response and then calls parse. Errors are of type [*AttemptError].
func readResponse(r *bufio.Reader, parse func(*bufio.Reader) (Response, error)) (Response, error) {
	if _, err := r.Peek(1); err != nil {
		return Response{}, &AttemptError{Waiting, err}
	}
	resp, err := parse(r)
	if err != nil {
		return Response{}, &AttemptError{Reading, err}
	}
	return resp, nil
}
