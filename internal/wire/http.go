package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"woodproxy/balancer"
)

// maxHead is how long a whole HTTP head may be.
const maxHead = 16 << 10

// maxUntold is how long a body may be whose length is not told: clients must be told it, so that it is read whole.
const maxUntold = 1 << 20

// head is what is read of an HTTP answer's head.
type head struct {
	status   int
	long     int // -1: not told
	chunked  bool
	closes   bool // the connection ends with the answer
	notBegun bool // the origin says that it never ran
}

// readHead parses a head line by line where it lies; interim answers are passed over.
func readHead(r *bufio.Reader) (h head, err error) {
again:
	b, err := r.ReadSlice('\n')
	if err != nil {
		return h, headErr(err)
	}
	h = head{long: -1}
	if len(b) < 14 || !bytes.HasPrefix(b, []byte("HTTP/1.")) || b[8] != ' ' {
		return h, bad("no HTTP/1 status line")
	}
	h.closes = b[7] == '0'
	var ok bool
	if h.status, ok = decimal(b[9:], 3); !ok || h.status < 100 {
		return h, bad("a mistyped HTTP status")
	}
	for size := len(b); ; {
		if b, err = r.ReadSlice('\n'); err != nil {
			return h, headErr(err)
		}
		if size += len(b); size > maxHead {
			return h, bad("an HTTP head that does not end")
		}
		b = bytes.TrimRight(b, "\r\n")
		if len(b) == 0 {
			break
		}
		name, value, ok := bytes.Cut(b, []byte(":"))
		if !ok {
			return h, bad("an HTTP header without a colon")
		}
		if err = h.field(name, bytes.TrimSpace(value)); err != nil {
			return h, err
		}
	}
	if h.status < 200 {
		goto again
	}
	if h.status == 204 || h.status == 304 {
		h.long, h.chunked = 0, false
	}
	return h, nil
}

func headErr(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return bad("an HTTP line that does not end")
	}
	return err
}

func (h *head) field(name, value []byte) error {
	is := func(s string) bool { return bytes.EqualFold(name, []byte(s)) }
	switch {
	case is("Content-Length"):
		n, ok := decimal(value, len(value))
		if !ok || n < 0 || h.long >= 0 && h.long != n {
			return bad("a mistyped Content-Length")
		}
		h.long = n
	case is("Transfer-Encoding"):
		if !bytes.EqualFold(value, []byte("chunked")) {
			return bad("a transfer encoding other than chunked")
		}
		h.chunked = true
	case is("Connection"):
		h.closes = bytes.EqualFold(value, []byte("close")) || h.closes && !bytes.EqualFold(value, []byte("keep-alive"))
	case is("X-Unprocessed"):
		h.notBegun = string(value) == "1"
	}
	return nil
}

// body reads all of a body that does not tell its length.
func (h *head) body(r *bufio.Reader) ([]byte, error) {
	var in io.Reader = r
	if h.chunked {
		in = &Chunks{in: r}
	} else {
		h.closes = true
	}
	b, err := io.ReadAll(io.LimitReader(in, maxUntold+1))
	if err == nil && len(b) > maxUntold {
		err = bad("a body that does not end")
	}
	return b, err
}

// Chunks reads a chunked body; its end is io.EOF.
type Chunks struct {
	in   *bufio.Reader
	left int
	last bool
	some bool // a chunk has been read, whose line end is still to come
}

func (c *Chunks) Read(p []byte) (int, error) {
	if c.last {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.next(); err != nil {
			return 0, err
		}
		if c.last {
			return 0, io.EOF
		}
	}
	n, err := c.in.Read(p[:min(len(p), c.left)])
	c.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// next reads the line that opens a chunk, and past the last one whatever trails it.
func (c *Chunks) next() error {
	if c.some {
		if b, err := c.in.ReadSlice('\n'); err != nil || len(bytes.TrimRight(b, "\r\n")) > 0 {
			return chunkErr(err, "a chunk without its end")
		}
	}
	b, err := c.in.ReadSlice('\n')
	if err != nil {
		return chunkErr(err, "")
	}
	size, _, _ := bytes.Cut(bytes.TrimRight(b, "\r\n"), []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
	if err != nil {
		return bad("a mistyped chunk size")
	}
	c.left, c.some, c.last = int(n), true, n == 0
	for c.last {
		b, err := c.in.ReadSlice('\n')
		if err != nil {
			return chunkErr(err, "")
		}
		if len(bytes.TrimRight(b, "\r\n")) == 0 {
			break
		}
	}
	return nil
}

func chunkErr(err error, what string) error {
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case err == nil:
		return bad(what)
	}
	return headErr(err)
}

// AppendFetch writes the head of a try at the origin; a write's value follows as its body, value -1 means none.
func AppendFetch(b []byte, host string, key, id, facts []byte, value int) []byte {
	verb := "GET /"
	if value >= 0 {
		verb = "PUT /"
	}
	b = append(b, verb...)
	for _, c := range key {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '-', c == '_', c == '.', c == '~':
			b = append(b, c)
		default:
			b = append(b, '%', "0123456789ABCDEF"[c>>4], "0123456789ABCDEF"[c&15])
		}
	}
	b = append(append(b, " HTTP/1.1\r\nHost: "...), host...)
	b = append(append(b, "\r\nX-Correlation-Id: "...), id...)
	b = append(append(b, "\r\nX-Facts: "...), facts...)
	if value >= 0 {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(value), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// ReadFetched reads the origin's answer to one try up to its value, or whole where its length is not told.
func ReadFetched(r *bufio.Reader) (Answer, error) {
	if _, err := r.Peek(1); err != nil {
		return Answer{}, &Halt{Waiting, err}
	}
	a, err := fetched(r)
	if err != nil {
		return Answer{}, &Halt{Reading, err}
	}
	return a, nil
}

func fetched(r *bufio.Reader) (Answer, error) {
	h, err := readHead(r)
	if err != nil {
		return Answer{}, err
	}
	a := Answer{Ending: balancer.Fault, Long: h.long}
	switch {
	case h.status == 200:
		a.Ending = balancer.Completed
	case h.status == 404:
		a.Absent = true
	case (h.status == 503 || h.status == 504) && h.notBegun:
		a.Ending = balancer.NoRoom
	}
	switch {
	case h.chunked || h.long < 0:
		a.body, err = h.body(r)
	case h.long > MaxAnswer:
		err = bad("a body of " + strconv.Itoa(h.long) + " bytes")
	case a.Ending != balancer.Completed:
		_, err = whole(r, h.long)
	}
	a.Again = !h.closes
	if a.body != nil {
		a.Long = len(a.body)
	}
	return a, err
}
