package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"woodproxy/brain"
)

// ReadAnswer reads a cache's answer to one try: how the try ended, and the value of a completed one.
func ReadAnswer(r *bufio.Reader) (brain.Ending, []byte, error) {
	if _, err := r.Peek(1); err != nil {
		return 0, nil, &Halt{Waiting, err}
	}
	head, err := line(r)
	if err != nil {
		return 0, nil, &Halt{Reading, err}
	}
	switch head[0] {
	case '-':
		if bytes.Equal(head, []byte("-BUSY")) || bytes.HasPrefix(head, []byte("-BUSY ")) {
			return brain.NoRoom, nil, nil
		}
		if bytes.HasPrefix(head, []byte("-SYNTAX")) {
			return brain.Fault, nil, &Halt{Reading, bad("our command is not understood")}
		}
		return brain.Fault, nil, nil
	case '*':
	default:
		return 0, nil, &Halt{Reading, bad("an answer that is no array")}
	}
	parts, ok := decimal(head[1:], len(head)-1)
	if !ok || parts < 1 || parts > 8 {
		return 0, nil, &Halt{Reading, bad("an array of odd length")}
	}
	var value []byte
	for i := range parts {
		part, err := ReadBulk(r)
		if err != nil {
			return 0, nil, &Halt{Reading, err}
		}
		if i == 0 {
			value = part
		}
	}
	if value == nil {
		return brain.Lacking, nil, nil
	}
	return brain.Completed, value, nil
}

// ReadBulk reads one element, nil where it is null. Elements of other simple kinds are passed over as empty ones.
func ReadBulk(r *bufio.Reader) ([]byte, error) {
	head, err := line(r)
	if err != nil {
		return nil, err
	}
	if head[0] == ':' || head[0] == '+' {
		return []byte{}, nil
	}
	long, ok := decimal(head[1:], len(head)-1)
	if head[0] != '$' || !ok || long < -1 || long > MaxAnswer {
		return nil, bad("an element that is no bulk string of a fitting length")
	}
	if long < 0 {
		return nil, nil
	}
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
