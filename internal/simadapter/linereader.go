package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// lineReader reads lines of any length and counts them.
type lineReader struct {
	in     *bufio.Reader
	number int    // number of the latest line, from 1
	long   []byte // a line that is longer than the buffer of in
}

// next returns the next line without its line ending and trailing spaces, or io.EOF at the end of the input. The line
// is valid until the next call.
func (r *lineReader) next() ([]byte, error) {
	r.number++
	r.long = r.long[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if err == nil && len(r.long) == 0 {
			return trimLineEnd(part), nil
		}
		r.long = append(r.long, part...)
		switch {
		case err == nil, errors.Is(err, io.EOF) && len(r.long) > 0:
			return trimLineEnd(r.long), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

func trimLineEnd(line []byte) []byte { return bytes.TrimRight(line, "\n\r ") }
