package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// lineEnd terminates each line and each bulk string in RESP2.
const lineEnd = "\r\n"

// maxLengthLine is the maximum number of bytes searched for the end of a line that holds a length.
const maxLengthLine = 16

// maxDigits is the maximum number of digits of a number, which keeps it within 32 bits.
const maxDigits = 9

// nullLength is the length of a null bulk string, whose only line is nullLine.
const (
	nullLength = -1
	nullLine   = "$-1"
)

// startsWithLineEnd reports whether b, which must have at least two bytes, starts with a line end.
func startsWithLineEnd(b []byte) bool { return b[0] == '\r' && b[1] == '\n' }

// parseLength parses a type byte, a number and the line end at b[at:]. It returns the number and the position after
// the line end. The error is [ErrIncomplete] if b ends before the line end, and wraps [ErrProtocol] if the line is
// malformed.
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

// parseDecimal parses a decimal number without a sign. Unlike strconv, which needs a string, it does not allocate.
func parseDecimal(digits []byte) (number int, ok bool) {
	if len(digits) < 1 || len(digits) > maxDigits {
		return 0, false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		number = number*10 + int(digit-'0')
	}
	return number, true
}

// AppendLength appends a type byte, a number and a line end.
func AppendLength(b []byte, typeByte byte, number int) []byte {
	b = strconv.AppendInt(append(b, typeByte), int64(number), 10)
	return append(b, lineEnd...)
}

// ReadBulkString reads a bulk string of at most [MaxResponseValue] bytes. It returns nil for a null bulk string. Anything
// else, such as a simple string or an integer, is an error that wraps [ErrProtocol].
func ReadBulkString(r *bufio.Reader) ([]byte, error) {
	length, err := readBulkLength(r, MaxResponseValue)
	if err != nil || length == nullLength {
		return nil, err
	}
	return readBulkValue(r, length)
}

// readBulkLength reads the first line of a bulk string of at most maxLength bytes. It returns the length, or nullLength.
func readBulkLength(r *bufio.Reader, maxLength int) (int, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	if string(line) == nullLine {
		return nullLength, nil
	}
	length, ok := parseDecimal(line[1:])
	if line[0] != '$' || !ok || length > maxLength {
		return 0, protocolError("an element that is no bulk string of a fitting length: " + quotePrefix(line))
	}
	return length, nil
}

// maxQuotedBytes is the maximum number of bytes of malformed input that an error quotes.
const maxQuotedBytes = 16

// quotePrefix quotes the first bytes of malformed input for an error's text.
func quotePrefix(input []byte) string {
	return strconv.Quote(string(input[:min(len(input), maxQuotedBytes)]))
}

// skipElement reads and discards a bulk string of at most maxLength bytes, a null bulk string, an integer or a simple string.
func skipElement(r *bufio.Reader, maxLength int) error {
	first, err := r.Peek(1)
	if err != nil {
		return err
	}
	if first[0] == ':' || first[0] == '+' {
		_, err = readLine(r)
		return err
	}
	return skipBulkString(r, maxLength)
}

// skipBulkString reads and discards a bulk string of at most maxLength bytes, or a null bulk string.
func skipBulkString(r *bufio.Reader, maxLength int) error {
	length, err := readBulkLength(r, maxLength)
	if err != nil || length == nullLength {
		return err
	}
	if err := discardExactly(r, length); err != nil {
		return err
	}
	return readBulkEnd(r)
}

// readBulkEnd reads the line end of a bulk string.
func readBulkEnd(r *bufio.Reader) error {
	end, err := readExactly(r, len(lineEnd))
	if err == nil && !startsWithLineEnd(end) {
		err = elementEndError()
	}
	return err
}

// readBulkValue reads the value of a bulk string and its line end. It returns the value without the line end.
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

// elementEndError returns the error for a bulk string that is not followed by a line end.
func elementEndError() error { return protocolError("an element without its line end") }

// readExactly reads n bytes. The buffer for a long value grows as its bytes are received, so that a peer cannot make the
// proxy allocate memory by announcing a length without sending the value.
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

// discardExactly reads and discards n bytes.
func discardExactly(r *bufio.Reader, n int) error {
	_, err := r.Discard(n)
	return unexpectedEOF(err)
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, because the input must not end within a message, and other errors
// unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLine reads a line, which must fit in the reader's buffer. It returns the line without its line end. The line is not
// empty and is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	b, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, protocolError("a line longer than the read buffer")
	}
	if err != nil {
		return nil, err
	}
	content := len(b) - len(lineEnd)
	if content < 1 || !startsWithLineEnd(b[content:]) {
		return nil, protocolError("an empty line, or one that does not end in CRLF")
	}
	return b[:content], nil
}
