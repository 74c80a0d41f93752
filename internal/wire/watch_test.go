package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// openWatch returns a reader of a watch with the given HTTP response.
func openWatch(t *testing.T, response string) *WatchReader {
	t.Helper()
	w, err := OpenWatch(bufio.NewReader(strings.NewReader(response)))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// nextObject returns the next object of a watch. It is empty for a heartbeat.
func nextObject(w *WatchReader) ([]byte, error) {
	object, err := w.Next()
	if err != nil || object == nil {
		return nil, err
	}
	return io.ReadAll(object)
}

// openWatchOfChunk returns a reader of a watch whose response body is one chunk.
func openWatchOfChunk(t *testing.T, body string) *WatchReader {
	t.Helper()
	return openWatch(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body))
}

// checkWatch checks that the next objects of a watch are the given ones.
func checkWatch(t *testing.T, w *WatchReader, objects ...string) {
	t.Helper()
	for _, want := range objects {
		if got, err := nextObject(w); err != nil || string(got) != want {
			t.Errorf("got %.50q, error %v, want %.50q", got, err, want)
		}
	}
}

// A line of a watch may be longer than the read buffer, and a chunk may contain several lines or part of one.
func TestWatchLinesAcrossChunks(t *testing.T) {
	long := strings.Repeat("x", 9000)
	w := openWatch(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n4\r\na\nb\n\r\n2328\r\n"+long+"\r\n2\r\nc\n\r\n")
	checkWatch(t, w, "", "a", "b", long+"c")
	if _, err := w.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Error(err)
	}
}

// An object may be indented and span several lines. A heartbeat within an object is a protocol error.
func TestWatchIndented(t *testing.T) {
	object := "{\r\n  \"index\": 41,\n  \"endpoints\": [\n    {\"name\": \"a } \\\" {\"}\n  ]\n}"
	w := openWatchOfChunk(t, object+"\n\n"+`{"index":42}`+"\n")
	checkWatch(t, w, object, "", `{"index":42}`)
	if line, err := w.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("after the last object: got %q, error %v, want io.ErrUnexpectedEOF", line, err)
	}
	if line, err := nextObject(openWatchOfChunk(t, "{\n\"index\":\n\n")); !errors.Is(err, ErrProtocol) {
		t.Errorf("got %q, error %v, want a protocol error", line, err)
	}
}

// A line of an indented list that is as long as the read buffer must not be taken for a heartbeat. Its line end is then
// read on its own and looks like an empty line. This fault ended the watch each time it was opened.
func TestIndentedLineAsLongAsBuffer(t *testing.T) {
	for length := watchBuffer - 2; length <= watchBuffer+2; length++ {
		object := "{\n" + strings.Repeat(" ", length-len(`"index":41`)) + `"index":41` + "\n}"
		checkWatch(t, openWatchOfChunk(t, object+"\n\n"), object, "")
	}
}

// If an object is read only in part, the next call of Next skips the rest of it.
func TestObjectReadInPartIsSkipped(t *testing.T) {
	w := openWatchOfChunk(t, "{\n\"index\":\n41}\n{\"index\":42}\n")
	object, err := w.Next()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := object.Read(make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	checkWatch(t, w, `{"index":42}`)
}
