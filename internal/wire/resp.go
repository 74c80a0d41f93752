package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// lineEnd ends each line and each bulk string of RESP2.
const lineEnd = "\r\n"

// maxLengthLine is how many bytes are looked at for the end of a line that holds a length.
const maxLengthLine = 16

// maxDigits keeps a number within 32 bits.
const maxDigits = 9

// Lengths of elements that are no bulk string.
const (
	nullElement   = -1
	simpleElement = -2 // an integer or a simple string, which is one line
)

// startsWithLineEnd reports whether b, of two bytes at least, starts with a line end.
func startsWithLineEnd(b []byte) bool { return b[0] == '\r' && b[1] == '\n' }

// parseLength parses a type byte, a number and the line end at b[at:]. It returns the number and the position behind
// them.
func parseLength(b []byte, at int, typeByte byte) (length, next int, err error) {
	if at >= len(b) {
		return 0, 0, ErrIncomplete
	}
	if b[at] != typeByte {
		return 0, 0, protocolError("'" + string(typeByte) + "' expected, not " + strconv.Quote(string(b[at])))
	}
	end := bytes.IndexByte(b[at:], '\n')
	switch {
	case end < 0 && len(b)-at > maxLengthLine:
		return 0, 0, protocolError("a number that does not end")
	case end < 0:
		return 0, 0, ErrIncomplete
	}
	digits, ended := bytes.CutSuffix(b[at+1:at+end], []byte("\r"))
	length, ok := parseDecimal(digits)
	if !ok || !ended {
		return 0, 0, protocolError("a mistyped number")
	}
	return length, at + end + 1, nil
}

// parseDecimal parses a number, which may be negative. It does not allocate, as strconv would on the way to a string.
func parseDecimal(digits []byte) (number int, ok bool) {
	negative := len(digits) > 0 && digits[0] == '-'
	if negative {
		digits = digits[1:]
	}
	if len(digits) < 1 || len(digits) > maxDigits {
		return 0, false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		number = number*10 + int(digit-'0')
	}
	if negative {
		number = -number
	}
	return number, true
}

// AppendLength appends a type byte and a number with its line end.
func AppendLength(b []byte, typeByte byte, number int) []byte {
	b = strconv.AppendInt(append(b, typeByte), int64(number), 10)
	return append(b, lineEnd...)
}

// ReadBulkString reads one element: a bulk string of [MaxResponseValue] bytes at most, or nil where it is null. Integers and simple
// strings are read as empty.
func ReadBulkString(r *bufio.Reader) ([]byte, error) { return readElement(r, MaxResponseValue) }

// readElement reads one element, whose value may have as many bytes as given.
func readElement(r *bufio.Reader, maxLength int) ([]byte, error) {
	length, err := readElementLength(r, maxLength)
	switch {
	case err != nil:
		return nil, err
	case length == simpleElement:
		return []byte{}, nil
	case length < 0:
		return nil, nil
	}
	return readBulkValue(r, length)
}

// readElementLength reads the line that opens an element and returns the length of the bulk string that follows in
// bytes, nullElement or simpleElement.
func readElementLength(r *bufio.Reader, maxLength int) (int, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	if line[0] == ':' || line[0] == '+' {
		return simpleElement, nil
	}
	length, ok := parseDecimal(line[1:])
	if line[0] != '$' || !ok || length < nullElement || length > maxLength {
		return 0, protocolError("an element that is no bulk string of a fitting length")
	}
	return length, nil
}

// readBulkValue reads the value of a bulk string with its line end.
func readBulkValue(r *bufio.Reader, length int) ([]byte, error) {
	b, err := readExactly(r, length+len(lineEnd))
	if err != nil {
		return nil, err
	}
	if !startsWithLineEnd(b[length:]) {
		return nil, elementEndError()
	}
	return b[:length:length], nil
}

// elementEndError reports a bulk string that is not followed by a line end.
func elementEndError() error { return protocolError("an element without its end") }

// readExactly reads n bytes. The buffer for a long value grows as its bytes are received, so that a peer that
// announces a length only takes up no memory.
func readExactly(r *bufio.Reader, n int) ([]byte, error) {
	b := make([]byte, 0, min(n, MaxBufferedValue+len(lineEnd)))
	for len(b) < n {
		if len(b) == cap(b) {
			b = append(make([]byte, 0, min(4*cap(b), n)), b...)
		}
		count, err := r.Read(b[len(b):cap(b)])
		if b = b[:len(b)+count]; err != nil && len(b) < n {
			return nil, unexpectedEOF(err)
		}
	}
	return b, nil
}

// unexpectedEOF replaces the end of the input, which is an error within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLine reads a line that fits the reader's buffer. It returns it without its line end, never empty, and valid until
// the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	b, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, protocolError("a line that does not end")
	}
	if err != nil {
		return nil, err
	}
	content := len(b) - len(lineEnd)
	if content < 1 || !startsWithLineEnd(b[content:]) {
		return nil, protocolError("an empty line or one without its end")
	}
	return b[:content], nil
}
