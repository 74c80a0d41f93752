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

// No more is read of a value than the client takes and two chunks hold, and once it is abandoned nothing more is read.
func TestStreamAppliesBackpressure(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() }) // which also ends the goroutine below
	const length = 1 << 20
	var written atomic.Int64
	go func() {
		if _, err := fmt.Fprintf(far, "*1\r\n$%d\r\n", length); err != nil {
			return
		}
		for n := 0; n < length; n += 1 << 10 {
			if _, err := far.Write(make([]byte, 1<<10)); err != nil {
				return
			}
			written.Add(1 << 10)
		}
		_, _ = io.WriteString(far, "\r\n") // not reached, or the test fails by what was read
	}()
	upstream := newTestConn(newTestRouter(), near)
	answer, err := wire.ReadCacheResponse(upstream.reader)
	if err != nil || answer.ValueLength != length {
		t.Fatal(answer, err)
	}
	s := newStream(answer.ValueLength)
	ended := make(chan error)
	go func() { ended <- upstream.readChunks(s, &answer) }()
	taken := 0
	for range 10 {
		chunk := <-s.filled
		taken += len(chunk)
		s.empty <- chunk[:0]
	}
	time.Sleep(50 * time.Millisecond)
	if n := int(written.Load()); n > taken+streamBufferBytes+8<<10 {
		t.Errorf("%d read, %d taken", n, taken)
	}
	s.abandon()
	select {
	case err := <-ended:
		if !errors.Is(err, errStreamAbandoned) {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Error("an abandoned stream is read on")
	}
}
