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

// sendPipelined sends requests with ids of this prefix, without waiting for answers, until the connection ends.
func sendPipelined(conn net.Conn, idPrefix string) {
	for i := 0; ; i++ {
		if _, err := conn.Write(encodeGet("k", fmt.Sprint(idPrefix, i), defaultTimeoutMS)); err != nil {
			return
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// readPipelined reads answers until the connection ends and requires each to be an error or that of the next request.
func readPipelined(t *testing.T, conn io.Reader, idPrefix string, answers *atomic.Int64) {
	t.Helper()
	in := bufio.NewReader(conn)
	for i := 0; ; i++ {
		head, body, err := emulator.ReadElement(in)
		if err != nil {
			return
		}
		if want := fmt.Sprint("c1:", idPrefix, i); head[0] != '-' && body != want {
			t.Errorf("%q %q, not %q", head, body, want)
			return
		}
		answers.Add(1)
	}
}

// Clients that always have more to ask, several commands ahead, are sent away within four seconds of the call, each
// command that was read answered, and in order; they ask what was not read elsewhere.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	h := startedHarness(t)
	var readers sync.WaitGroup
	var answers atomic.Int64
	for n := range 8 {
		conn := dialUntil(t, h.clientAddress, 6*time.Second)
		idPrefix := fmt.Sprintf("n%d-", n)
		go sendPipelined(conn, idPrefix) // until the proxy closes the connection
		readers.Go(func() { readPipelined(t, conn, idPrefix, &answers) })
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	h.play(8, "call POST /control/out-of-service 200")
	readers.Wait()
	if took := time.Since(began); took < 300*time.Millisecond || took > 4*time.Second {
		t.Errorf("sent away in %v", took)
	}
	if answers.Load() < 100 {
		t.Errorf("%d answers", answers.Load())
	}
	h.Finish()
}
