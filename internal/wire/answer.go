package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"woodproxy/balancer"
)

// Answer is read in steps: its head tells how the try ended and how long the value of a completed one is, then the value
// follows, then what belongs behind it.
type Answer struct {
	Ending balancer.Ending
	Long   int  // of the value
	Absent bool // the origin has no such key; a fault to who does not know what to do with that
	Again  bool // the connection may carry another try afterwards
	behind int  // elements behind the value
	bulk   bool // the value has a line end
	body   []byte
}

// Whole tells whether the value was read with the head, since its length was not told, and returns it.
func (a *Answer) Whole() ([]byte, bool) { return a.body, a.body != nil }

// ReadAnswer reads a cache's answer to one try up to its value. Only a completed one has more to come.
func ReadAnswer(r *bufio.Reader) (Answer, error) {
	if _, err := r.Peek(1); err != nil {
		return Answer{}, &Halt{Waiting, err}
	}
	a, err := answer(r)
	if err != nil {
		return Answer{}, &Halt{Reading, err}
	}
	return a, nil
}

func answer(r *bufio.Reader) (Answer, error) {
	head, err := line(r)
	if err != nil {
		return Answer{}, err
	}
	switch head[0] {
	case '-':
		if bytes.Equal(head, []byte("-BUSY")) || bytes.HasPrefix(head, []byte("-BUSY ")) {
			return Answer{Ending: balancer.NoRoom, Again: true}, nil
		}
		if bytes.HasPrefix(head, []byte("-SYNTAX")) {
			return Answer{}, bad("our command is not understood")
		}
		return Answer{Ending: balancer.Fault, Again: true}, nil
	case '*':
	default:
		return Answer{}, bad("an answer that is no array")
	}
	parts, ok := decimal(head[1:], len(head)-1)
	if !ok || parts < 1 || parts > 8 {
		return Answer{}, bad("an array of odd length")
	}
	a := Answer{Ending: balancer.Completed, Again: true, behind: parts - 1, bulk: true}
	if a.Long, err = length(r, MaxAnswer); err != nil {
		return Answer{}, err
	}
	switch {
	case a.Long == simple:
		a.body = []byte{}
	case a.Long < 0:
		a.Ending, a.Long = balancer.Lacking, 0
		return a, a.Tail(r)
	}
	return a, nil
}

// Value reads a value whole, with its line end.
func (a *Answer) Value(r *bufio.Reader) ([]byte, error) {
	if a.body != nil {
		return a.body, nil
	}
	if !a.bulk {
		b, err := whole(r, a.Long)
		if err != nil {
			return nil, &Halt{Reading, err}
		}
		return b, nil
	}
	b, err := ended(r, a.Long)
	if err != nil {
		return nil, &Halt{Reading, err}
	}
	return b, nil
}

// End reads what must follow a value that was read piece by piece.
func (a *Answer) End(r *bufio.Reader) error {
	if !a.bulk {
		return nil
	}
	if b, err := whole(r, 2); err != nil {
		return &Halt{Reading, err}
	} else if b[0] != '\r' || b[1] != '\n' {
		return &Halt{Reading, bad("an element without its end")}
	}
	return nil
}

// Tail reads the elements behind the value.
func (a *Answer) Tail(r *bufio.Reader) error {
	for ; a.behind > 0; a.behind-- {
		if _, err := bulk(r, MaxValue); err != nil {
			return &Halt{Reading, err}
		}
	}
	return nil
}

// ReadBulk reads one element, nil where it is null. Elements of other simple kinds are passed over as empty ones.
func ReadBulk(r *bufio.Reader) ([]byte, error) { return bulk(r, MaxAnswer) }

func bulk(r *bufio.Reader, most int) ([]byte, error) {
	long, err := length(r, most)
	switch {
	case err != nil:
		return nil, err
	case long == simple:
		return []byte{}, nil
	case long < 0:
		return nil, nil
	}
	return ended(r, long)
}

const simple = -2 // the length of an element that is one line

// length reads the line that opens an element: how long it is, -1 where it is null.
func length(r *bufio.Reader, most int) (int, error) {
	head, err := line(r)
	if err != nil {
		return 0, err
	}
	if head[0] == ':' || head[0] == '+' {
		return simple, nil
	}
	long, ok := decimal(head[1:], len(head)-1)
	if head[0] != '$' || !ok || long < -1 || long > most {
		return 0, bad("an element that is no bulk string of a fitting length")
	}
	return long, nil
}

// ended reads an element with its line end.
func ended(r *bufio.Reader, long int) ([]byte, error) {
	b, err := whole(r, long+2)
	if err != nil {
		return nil, err
	}
	if b[long] != '\r' || b[long+1] != '\n' {
		return nil, bad("an element without its end")
	}
	return b[:long:long], nil
}

// whole reads n bytes. What is said to be long gets its room as it comes, so that saying so alone takes up none.
func whole(r *bufio.Reader, n int) ([]byte, error) {
	b := make([]byte, 0, min(n, MaxValue+2))
	for len(b) < n {
		if len(b) == cap(b) {
			b = append(make([]byte, 0, min(4*cap(b), n)), b...)
		}
		k, err := r.Read(b[len(b):cap(b)])
		if b = b[:len(b)+k]; err != nil && len(b) < n {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return b, nil
}

// line reads a line that fits the buffer, without its end; it is never empty and stands until the next read.
func line(r *bufio.Reader) ([]byte, error) {
	b, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, bad("a line that does not end")
	}
	if err != nil {
		return nil, err
	}
	if len(b) < 3 || b[len(b)-2] != '\r' {
		return nil, bad("an empty line or one without its end")
	}
	return b[:len(b)-2], nil
}
