package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/wire"
)

// The proxy reads no more of a value than the client has accepted and two chunks hold, and reads nothing more once the
// stream is abandoned.
func TestStreamAppliesBackpressure(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() }) // which also ends the goroutine below
	const length = 1 << 20
	var written atomic.Int64
	go func() {
		if _, err := fmt.Fprintf(far, "*3\r\n$%d\r\n", length); err != nil {
			return
		}
		for n := 0; n < length; n += 1 << 10 {
			if _, err := far.Write(make([]byte, 1<<10)); err != nil {
				return
			}
			written.Add(1 << 10)
		}
		_, _ = io.WriteString(far, "\r\n"+respDetails) // not reached unless the test fails
	}()
	upstream := newTestConn(newTestRouter(), near)
	response, err := wire.ReadCacheResponse(upstream.reader)
	if err != nil || response.ValueLength != length {
		t.Fatal(response, err)
	}
	s := newStream(response.ValueLength)
	ended := make(chan error)
	go func() { ended <- upstream.readChunks(s, &response) }()
	taken := 0
	for range 10 {
		chunk := <-s.filled
		taken += len(chunk)
		s.empty <- chunk[:0]
	}
	time.Sleep(50 * time.Millisecond)
	if n := int(written.Load()); n > taken+streamBufferBytes+8<<10 {
		t.Errorf("got %d bytes read when the client had accepted %d", n, taken)
	}
	s.abandon()
	select {
	case err := <-ended:
		if !errors.Is(err, errStreamAbandoned) {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Error("reading continues after the stream was abandoned")
	}
}
