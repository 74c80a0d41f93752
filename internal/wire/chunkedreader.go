package wire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// chunkSizeBits is the maximum number of bits of a chunk size, so that the size fits in a positive 32-bit int.
const chunkSizeBits = 31

// chunkedReader reads a body in chunked transfer encoding. It returns io.EOF after the last chunk and the trailers.
type chunkedReader struct {
	in        *bufio.Reader
	remaining int  // unread bytes of the current chunk
	ended     bool // the last chunk and the trailers have been read
	started   bool // the first chunk has been opened, so a line end precedes the next chunk
}

// Read implements [io.Reader].
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.remaining == 0 && !c.ended {
		if err := c.openChunk(); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.in.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, unexpectedEOF(err)
}

// openChunk reads the line end of the previous chunk, if there is one, and the size line of the next chunk. If the next
// chunk is the last, it also reads the trailers.
func (c *chunkedReader) openChunk() error {
	if c.started {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return protocolError("a chunk without its line end")
		}
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	length, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, chunkSizeBits)
	if err != nil {
		return protocolError("a malformed chunk size")
	}
	c.remaining, c.started, c.ended = int(length), true, length == 0
	if c.ended {
		return c.skipTrailers()
	}
	return nil
}

// skipTrailers reads and discards the trailers and the empty line after them.
func (c *chunkedReader) skipTrailers() error {
	for {
		line, err := c.readLine()
		if err != nil || len(line) == 0 {
			return err
		}
		if _, _, err = parseHeaderLine(line); err != nil {
			return err
		}
	}
}

// readLine reads a line and returns it without its line end, CRLF. The end of the input is io.ErrUnexpectedEOF, because the
// body is not complete.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return nil, httpLineError(unexpectedEOF(err))
	}
	content, ended := bytes.CutSuffix(line, []byte(lineEnd))
	if !ended {
		return nil, protocolError("a line of a chunked body that does not end in CRLF")
	}
	return content, nil
}
