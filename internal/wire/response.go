package wire

import (
	"bufio"

	"woodproxy/balancer"
)

// Answer is the response of a cache or of the origin to one attempt. It is read in steps: [ReadAnswer] or [ReadFetched]
// reads up to the value. Then [Answer.Value] reads the value, or the caller reads it piece by piece and then calls
// [Answer.End]. [Answer.Tail] reads what follows the value.
type Answer struct {
	Ending   balancer.Ending
	Long     int    // length of the value in bytes
	Absent   bool   // the origin reports that it has no such key, a fault for callers that don't handle it
	Again    bool   // the connection may be reused for another attempt
	trailing int    // elements behind the value
	bulk     bool   // the value is a bulk string, which has a line end
	body     []byte // the value where it was read together with the head, else nil
}

// Whole returns the value and true where it has been read together with the head, because its length was not announced.
func (a *Answer) Whole() ([]byte, bool) { return a.body, a.body != nil }

// Value reads the value and its line end, if it has one, into memory. Errors are of type [*Halt].
func (a *Answer) Value(r *bufio.Reader) ([]byte, error) {
	if a.body != nil {
		return a.body, nil
	}
	read := readExactly
	if a.bulk {
		read = readBulkValue
	}
	value, err := read(r, a.Long)
	if err != nil {
		return nil, &Halt{Reading, err}
	}
	return value, nil
}

// End reads the line end, if there is one, behind a value that the caller has read piece by piece. Errors are of type
// [*Halt].
func (a *Answer) End(r *bufio.Reader) error {
	if !a.bulk {
		return nil
	}
	end, err := readExactly(r, len(lineEnd))
	if err == nil && !startsWithLineEnd(end) {
		err = elementEndError()
	}
	if err != nil {
		return &Halt{Reading, err}
	}
	return nil
}

// Tail reads and drops the elements behind the value. Errors are of type [*Halt].
func (a *Answer) Tail(r *bufio.Reader) error {
	for ; a.trailing > 0; a.trailing-- {
		if _, err := readElement(r, MaxValue); err != nil {
			return &Halt{Reading, err}
		}
	}
	return nil
}

// readResponse waits for the first byte of a response and parses it. Errors are of type [*Halt].
func readResponse(r *bufio.Reader, parse func(*bufio.Reader) (Answer, error)) (Answer, error) {
	if _, err := r.Peek(1); err != nil {
		return Answer{}, &Halt{Waiting, err}
	}
	a, err := parse(r)
	if err != nil {
		return Answer{}, &Halt{Reading, err}
	}
	return a, nil
}
