package wire

import (
	"bufio"

	"woodproxy/balancer"
)

// Response is the response of a cache or of the origin to one attempt. It is read in steps: [ReadCacheResponse] or [ReadOriginResponse]
// reads up to the value. Then [Response.ReadValue] reads the value, or the caller reads it piece by piece and then calls
// [Response.ReadValueEnd]. [Response.SkipTrailing] reads what follows the value.
type Response struct {
	Outcome     balancer.Outcome
	ValueLength int    // length of the value in bytes
	NotFound    bool   // the origin reports that it has no such key, a fault for callers that don't handle it
	Reusable    bool   // the connection may be reused for another attempt
	trailing    int    // elements behind the value
	bulk        bool   // the value is a bulk string, which has a line end
	body        []byte // the value where it was read together with the head, else nil
}

// BufferedValue returns the value and true where it has been read together with the head, because its length was not announced.
func (a *Response) BufferedValue() ([]byte, bool) { return a.body, a.body != nil }

// ReadValue reads the value and its line end, if it has one, into memory. Errors are of type [*AttemptError].
func (a *Response) ReadValue(r *bufio.Reader) ([]byte, error) {
	if a.body != nil {
		return a.body, nil
	}
	read := readExactly
	if a.bulk {
		read = readBulkValue
	}
	value, err := read(r, a.ValueLength)
	if err != nil {
		return nil, &AttemptError{Reading, err}
	}
	return value, nil
}

// ReadValueEnd reads the line end, if there is one, behind a value that the caller has read piece by piece. Errors are of type
// [*AttemptError].
func (a *Response) ReadValueEnd(r *bufio.Reader) error {
	if !a.bulk {
		return nil
	}
	end, err := readExactly(r, len(lineEnd))
	if err == nil && !startsWithLineEnd(end) {
		err = elementEndError()
	}
	if err != nil {
		return &AttemptError{Reading, err}
	}
	return nil
}

// SkipTrailing reads and drops the elements behind the value. Errors are of type [*AttemptError].
func (a *Response) SkipTrailing(r *bufio.Reader) error {
	for ; a.trailing > 0; a.trailing-- {
		if _, err := readElement(r, MaxBufferedValue); err != nil {
			return &AttemptError{Reading, err}
		}
	}
	return nil
}

// readResponse waits for the first byte of a response and parses it. Errors are of type [*AttemptError].
func readResponse(r *bufio.Reader, parse func(*bufio.Reader) (Response, error)) (Response, error) {
	if _, err := r.Peek(1); err != nil {
		return Response{}, &AttemptError{Waiting, err}
	}
	a, err := parse(r)
	if err != nil {
		return Response{}, &AttemptError{Reading, err}
	}
	return a, nil
}
