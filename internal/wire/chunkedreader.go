package wire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// chunkSizeBits keeps the size of a chunk within a positive int of 32 bits.
const chunkSizeBits = 31

// chunkedReader reads a body in chunked transfer encoding. It returns io.EOF behind the last chunk and its trailers.
type chunkedReader struct {
	in      *bufio.Reader
	left    int  // bytes of the current chunk that are still to be read
	ended   bool // the last chunk has been read
	started bool // a chunk has been read, whose line end is still to be read
}

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.left == 0 && !c.ended {
		if err := c.openChunk(); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.in.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, unexpectedEOF(err)
}

// openChunk reads the end of the chunk before and the line that opens the next one, or all that trails the last one.
func (c *chunkedReader) openChunk() error {
	if c.started {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return protocolError("a chunk without its end")
		}
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	length, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, chunkSizeBits)
	if err != nil {
		return protocolError("a mistyped chunk size")
	}
	c.left, c.started, c.ended = int(length), true, length == 0
	if c.ended {
		return c.skipTrailers()
	}
	return nil
}

func (c *chunkedReader) skipTrailers() error {
	for {
		line, err := c.readLine()
		if err != nil || len(line) == 0 {
			return err
		}
	}
}

// readLine returns a line without its line end. The end of the input is an error here, since the body is not complete.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return nil, httpLineError(unexpectedEOF(err))
	}
	return bytes.TrimRight(line, lineEnd), nil
}
