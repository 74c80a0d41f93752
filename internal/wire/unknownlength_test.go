package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// unknownLengthFramings are the forms of a body whose length is not announced.
var unknownLengthFramings = map[string]func(body string) string{
	"end of the connection": func(body string) string { return "HTTP/1.1 200 OK\r\n\r\n" + body },
	"chunked": func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
}

// readUnknownLength reads an origin's response whose length is not announced. allowed is the memory that may be used beyond
// MaxBufferedValue, in bytes.
func readUnknownLength(t *testing.T, text string, allowed int) (value []byte, grown int, err error) {
	t.Helper()
	r := bufio.NewReader(strings.NewReader(text))
	response, err := ReadOriginResponse(r)
	if err != nil || !response.LengthUnknown() {
		t.Fatalf("%.60q: got error %v, want a response whose length is unknown", text, err)
	}
	value, err = response.ReadUnknownLength(r, func(n int) error {
		if grown += n; grown > allowed {
			return errNoGrowth
		}
		return nil
	})
	return value, grown, err
}

var errNoGrowth = errors.New("no memory")

// Bodies whose length is not announced are read completely, in memory that grow has allowed; one that is cut off is an error
// at each size at which the memory grows.
func TestUnknownLengthIsReadInGrantedMemory(t *testing.T) {
	for name, frame := range unknownLengthFramings {
		for _, length := range []int{
			0, 1, MaxBufferedValue - 1, MaxBufferedValue, MaxBufferedValue + 1,
			unknownLengthGrowth * MaxBufferedValue, unknownLengthGrowth*MaxBufferedValue + 1, maxUnknownLength - 1, maxUnknownLength,
		} {
			body := strings.Repeat("v", length)
			value, grown, err := readUnknownLength(t, frame(body), maxUnknownLength)
			if string(value) != body || err != nil {
				t.Errorf("%s, %d bytes: got %d bytes, error %v", name, length, len(value), err)
			}
			if unused := cap(value) - len(value); value == nil || unused > length/2+bytes.MinRead {
				t.Errorf("%s, %d bytes: got a buffer with %d bytes unused", name, length, unused)
			}
			if granted := MaxBufferedValue + grown; length > granted || grown > 0 && length*unknownLengthGrowth < granted {
				t.Errorf("%s, %d bytes: got %d bytes granted", name, length, granted)
			}
			if length <= MaxBufferedValue {
				continue
			}
			if _, _, err := readUnknownLength(t, frame(body), grown-1); !errors.Is(err, errNoGrowth) {
				t.Errorf("%s, %d bytes: got error %v without memory", name, length, err)
			}
		}
	}
}

func TestTruncatedChunksAreNoValue(t *testing.T) {
	frame := unknownLengthFramings["chunked"]
	for _, length := range []int{MaxBufferedValue, MaxBufferedValue + 1, unknownLengthGrowth * MaxBufferedValue, maxUnknownLength} {
		text := frame(strings.Repeat("v", length))
		for _, missing := range []int{1, len("\r\n0\r\n\r\n"), len("\r\n0\r\n\r\n") + 1} {
			if value, _, err := readUnknownLength(t, text[:len(text)-missing], maxUnknownLength); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%d bytes, %d missing: got %d bytes, error %v", length, missing, len(value), err)
			}
		}
	}
}
