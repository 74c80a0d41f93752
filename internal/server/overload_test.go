package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// get sends a request for the key k on a connection and returns the body of the reply.
func get(conn net.Conn, in *bufio.Reader, id string) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return "", err
	}
	if _, err := conn.Write(encodeGet("k", id, defaultTimeoutMS)); err != nil {
		return "", err
	}
	_, body, err := emulator.ReadElement(in)
	return body, err
}

// getFromCache is like get, but returns an error unless the reply is the value from the cache c1 for this request.
func getFromCache(conn net.Conn, in *bufio.Reader, id string) error {
	body, err := get(conn, in, id)
	if err != nil {
		return fmt.Errorf("%s: %w", id, err)
	}
	if body != "c1:"+id {
		return fmt.Errorf("got %q, want the value for %s", body, id)
	}
	return nil
}

// requestLoad runs clients until the time end and counts their requests.
type requestLoad struct {
	address string
	end     time.Time
	clients sync.WaitGroup
	served  atomic.Int64
	late    atomic.Int64
}

// repeat starts a goroutine that calls work with the numbers from 0 until the end. After an error, which fails the test, it
// makes no further call.
func (l *requestLoad) repeat(t *testing.T, work func(i int) error) {
	t.Helper()
	l.clients.Go(func() {
		for i := 0; time.Now().Before(l.end); i++ {
			if err := work(i); err != nil {
				t.Error(err)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// addPersistentClient adds a client that sends all requests on one connection.
func (l *requestLoad) addPersistentClient(t *testing.T, n int) {
	t.Helper()
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // all was read
	in := bufio.NewReader(conn)
	l.repeat(t, func(i int) error {
		l.served.Add(1)
		return getFromCache(conn, in, fmt.Sprintf("keeps%d-%d", n, i))
	})
}

// addReconnectingClient adds a client that connects for each request.
func (l *requestLoad) addReconnectingClient(t *testing.T, n int) {
	t.Helper()
	l.repeat(t, func(i int) error {
		began := time.Now()
		conn, err := net.Dial("tcp", l.address)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }() // all was read
		if err := getFromCache(conn, bufio.NewReader(conn), fmt.Sprintf("once%d-%d", n, i)); err != nil {
			return err
		}
		if l.served.Add(1); time.Since(began) > time.Second {
			l.late.Add(1)
		}
		return nil
	})
}

// openIdleConnections opens about 600 connections a second until the end, and keeps at most 300 of them open. One in three
// sends half a command, the others send nothing.
func (l *requestLoad) openIdleConnections(t *testing.T) {
	t.Helper()
	var open []net.Conn
	closeFirst := func() {
		_ = open[0].Close() // the proxy may have closed it
		open = open[1:]
	}
	for i := 0; time.Now().Before(l.end); i++ {
		conn, err := net.Dial("tcp", l.address)
		if err != nil {
			t.Fatal(err)
		}
		if open = append(open, conn); i%3 == 0 {
			_, _ = io.WriteString(conn, "*4\r\n$6\r\nKV.") // the proxy may have closed it
		}
		if len(open) > 300 {
			closeFirst()
		}
		time.Sleep(1500 * time.Microsecond)
	}
	l.clients.Wait()
	for len(open) > 0 {
		closeFirst()
	}
}

// TestIdleConnectionsDoNotBlockOthers checks that clients are served, on persistent connections and on a new connection for
// each request, while many other clients connect and send nothing or stop in the middle of a command.
func TestIdleConnectionsDoNotBlockOthers(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.limits = map[string]string{"sockets": "128", "memory_mb": "24"}
	h.runLines(0, "node c1 hit", "node o1 hit", "list c1 o1", "start")
	load := &requestLoad{address: h.clientAddress, end: time.Now().Add(3 * time.Second)}
	for n := range 6 {
		load.addPersistentClient(t, n)
	}
	for n := range 2 {
		load.addReconnectingClient(t, n)
	}
	load.openIdleConnections(t)
	if served, late := load.served.Load(), load.late.Load(); served < 500 || late > 0 {
		t.Errorf("got %d requests served, %d of them late; want at least 500, none late", served, late)
	}
	h.Finish()
}

const longValueBytes = 4 << 20 // maximum length of a value

// readSlowly requests a long value and reads at most 128 KiB of it every 20 ms.
func readSlowly(t *testing.T, conn net.Conn, id string) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Error(err)
		return
	}
	if _, err := conn.Write(encodeGet(id, id, defaultTimeoutMS)); err != nil {
		t.Error(err)
		return
	}
	b, got := make([]byte, 128<<10), 0
	for got < longValueBytes {
		n, err := conn.Read(b)
		if got += n; err != nil {
			t.Errorf("%s: %d bytes: %v", id, got, err)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// heapBytes returns the number of allocated bytes of the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestSlowReaders checks that clients which read values of 4 MiB slowly, more of them than fit into the memory limit, use
// little memory of the proxy, and that a short value is served meanwhile.
func TestSlowReaders(t *testing.T) {
	h := newHarness(t) // not parallel to other tests, because it measures the memory
	h.limits = map[string]string{"memory_mb": "24"}
	h.runLines(0, fmt.Sprint("node c1 hit size=", longValueBytes), "node o1 hit", "list c1 o1", "start")
	before := heapBytes()
	var clients sync.WaitGroup
	const readers = 24
	for n := range readers {
		conn, err := net.Dial("tcp", h.clientAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() }) // the proxy may have closed it
		if err := conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond) // otherwise the requests exceed the capacity of the one cache
		clients.Go(func() { readSlowly(t, conn, fmt.Sprint("slow", n)) })
	}
	time.Sleep(400 * time.Millisecond)
	// The emulated node holds its complete values in the same process, the proxy only a few pieces of each.
	if now := heapBytes(); now > before+readers*(longValueBytes+longValueBytes/8)+16<<20 {
		t.Errorf("got a heap of %d MiB, which was %d MiB before", now>>20, before>>20)
	}
	h.runLines(8, "node c1 hit", "a get k", "a gets value")
	clients.Wait()
	h.runLines(11, "expect Passing = 0")
	h.Finish()
}
