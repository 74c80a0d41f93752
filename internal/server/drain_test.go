package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// sendPipelined sends requests whose ids have the prefix, without waiting for replies, until the connection ends.
func sendPipelined(conn net.Conn, idPrefix string) {
	for i := 0; ; i++ {
		if _, err := conn.Write(encodeGet("k", fmt.Sprint(idPrefix, i), defaultTimeoutMS)); err != nil {
			return
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// readPipelined reads and counts replies until the connection ends. Each must be an error or belong to the next request.
func readPipelined(t *testing.T, conn io.Reader, idPrefix string, replies *atomic.Int64) {
	t.Helper()
	in := bufio.NewReader(conn)
	for i := 0; ; i++ {
		head, body, err := emulator.ReadElement(in)
		if err != nil {
			return
		}
		if want := fmt.Sprint("c1:", idPrefix, i); head[0] != '-' && body != want {
			t.Errorf("got %q %q, want %q", head, body, want)
			return
		}
		replies.Add(1)
	}
}

// TestDrainUnderLoad checks that clients which continuously pipeline commands are disconnected within four seconds of the
// start of a drain, and that each command that was read is answered, in order. Clients retry unread commands elsewhere.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	h := startedHarness(t)
	var readers sync.WaitGroup
	var replies atomic.Int64
	for n := range 8 {
		conn := dialUntil(t, h.clientAddress, 6*time.Second)
		idPrefix := fmt.Sprintf("n%d-", n)
		go sendPipelined(conn, idPrefix) // until the proxy closes the connection
		readers.Go(func() { readPipelined(t, conn, idPrefix, &replies) })
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	h.runLines(8, "call POST /control/out-of-service 200")
	readers.Wait()
	if took := time.Since(began); took < 300*time.Millisecond || took > 4*time.Second {
		t.Errorf("clients disconnected after %v, want 300ms to 4s", took)
	}
	if replies.Load() < 100 {
		t.Errorf("got %d replies, want at least 100", replies.Load())
	}
	h.Finish()
}
