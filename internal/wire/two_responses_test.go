package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"woodproxy/balancer"
)

// responseForms are the forms in which a server sends a value.
var responseForms = []struct {
	origin bool
	encode func(value string) string
}{
	{false, func(v string) string { return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(v), v) }},
	{false, func(v string) string { return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n:7\r\n", len(v), v) }},
	{true, func(v string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(v), v)
	}},
	{true, func(v string) string {
		return fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nT: 1\r\n\r\n", len(v), v)
	}},
}

// cutReader returns its text in two pieces.
type cutReader struct{ pieces [2]string }

func (r *cutReader) Read(p []byte) (int, error) {
	for i := range r.pieces {
		if r.pieces[i] != "" {
			n := copy(p, r.pieces[i])
			r.pieces[i] = r.pieces[i][n:]
			return n, nil
		}
	}
	return 0, io.EOF
}

// readValueOf reads a response with its value and the elements after it.
func readValueOf(r *bufio.Reader, origin bool) ([]byte, error) {
	read := ReadCacheResponse
	if origin {
		read = ReadOriginResponse
	}
	response, err := read(r)
	if err != nil || response.Outcome != balancer.Completed {
		return nil, err
	}
	value, err := response.ReadValue(r)
	if err == nil {
		err = response.SkipTrailing(r)
	}
	return value, err
}

// FuzzTwoResponses checks that of two responses one behind the other, received in pieces that are cut anywhere, the first is
// read with its own value and the second is left unread, byte for byte.
func FuzzTwoResponses(f *testing.F) {
	for form := range responseForms {
		f.Add(uint8(form), uint16(5), uint16(7), uint16(9))
		f.Add(uint8(form), uint16(0), uint16(1), uint16(30))
		f.Add(uint8(form), uint16(5000), uint16(1), uint16(4096))
	}
	f.Fuzz(func(t *testing.T, form uint8, firstLength, secondLength, cut uint16) {
		chosen := responseForms[int(form)%len(responseForms)]
		value := strings.Repeat("a", int(firstLength))
		if firstLength == 0 && form%4 == 3 {
			return // a chunk of length 0 ends the body
		}
		second := chosen.encode(strings.Repeat("b", int(secondLength)))
		text := chosen.encode(value) + second
		at := int(cut) % len(text)
		reader := bufio.NewReaderSize(&cutReader{[2]string{text[:at], text[at:]}}, 4096)
		got, err := readValueOf(reader, chosen.origin)
		if err != nil || string(got) != value {
			t.Fatalf("form %d, cut at %d: got %d bytes, error %v, want the value of %d bytes", form, at, len(got), err, len(value))
		}
		rest, err := io.ReadAll(reader)
		if err != nil || !bytes.Equal(rest, []byte(second)) {
			t.Fatalf("form %d, cut at %d: %d bytes left, want the second response of %d", form, at, len(rest), len(second))
		}
	})
}
