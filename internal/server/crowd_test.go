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

// ask has one exchange on a connection.
func ask(conn net.Conn, in *bufio.Reader, id string) (string, error) {
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$17\r\nc=read,t=x,d=1200\r\n", len(id), id)
	_, body, err := emulator.Answer(in)
	return body, err
}

// Crowds that connect and say nothing, stop half way through a command or use a connection once are in nobody's way:
// clients that keep their connections, and those that come for one exchange, are served meanwhile.
func TestCrowds(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	s.limits = map[string]string{"sockets": "128", "memory_mb": "24"}
	for i, line := range [][]string{{"node", "c1", "hit"}, {"node", "o1", "hit"}, {"list", "c1", "o1"}, {"start"}} {
		s.Step(i, line)
	}
	var all sync.WaitGroup
	var served, late atomic.Int64
	end := time.Now().Add(3 * time.Second)
	goes := func(work func(i int) error) {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := 0; time.Now().Before(end); i++ {
				if err := work(i); err != nil {
					t.Error(err)
					return
				}
			}
		}()
	}
	for n := range 6 {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		goes(func(i int) error {
			id := fmt.Sprintf("keeps%d-%d", n, i)
			body, err := ask(conn, in, id)
			if err == nil && body != "c1:"+id {
				err = fmt.Errorf("%q, not for %s", body, id)
			}
			served.Add(1)
			time.Sleep(20 * time.Millisecond)
			return err
		})
	}
	for n := range 2 {
		goes(func(i int) error {
			began := time.Now()
			conn, err := net.Dial("tcp", s.addr)
			if err != nil {
				return err
			}
			defer conn.Close()
			id := fmt.Sprintf("once%d-%d", n, i)
			if body, err := ask(conn, bufio.NewReader(conn), id); err != nil || body != "c1:"+id {
				return fmt.Errorf("%s: %q, %v", id, body, err)
			}
			if served.Add(1); time.Since(began) > time.Second {
				late.Add(1)
			}
			time.Sleep(20 * time.Millisecond)
			return nil
		})
	}
	var crowd []net.Conn
	for i := 0; time.Now().Before(end); i++ { // some 600 a second
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		if crowd = append(crowd, conn); i%3 == 0 {
			io.WriteString(conn, "*4\r\n$6\r\nKV.")
		}
		if len(crowd) > 300 {
			crowd[0].Close()
			crowd = crowd[1:]
		}
		time.Sleep(1500 * time.Microsecond)
	}
	all.Wait()
	for _, c := range crowd {
		c.Close()
	}
	if served.Load() < 500 || late.Load() > 0 {
		t.Errorf("%d served, %d of them late", served.Load(), late.Load())
	}
	s.End()
}

// Values of 4 MiB for clients that read slowly, more at once than the memory holds, take up little of it, and a short
// value is served beside them as ever.
func TestSlowReaders(t *testing.T) {
	s := newStage(t) // not beside other tests, since it looks at the memory
	s.limits = map[string]string{"memory_mb": "24"}
	for i, line := range [][]string{{"node", "c1", "hit", "size=4194304"}, {"node", "o1", "hit"}, {"list", "c1", "o1"}, {"start"}} {
		s.Step(i, line)
	}
	held := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := held()
	var all sync.WaitGroup
	const readers = 24
	for n := range readers {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		time.Sleep(30 * time.Millisecond) // or they are too many for one cache
		all.Add(1)
		go func() {
			defer all.Done()
			id := fmt.Sprint("slow", n)
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			fmt.Fprintf(conn, "*4\r\n$6\r\nKV.GET\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$17\r\nc=read,t=x,d=1200\r\n", len(id), id, len(id), id)
			b, got := make([]byte, 128<<10), 0
			for got < 4<<20 {
				k, err := conn.Read(b)
				if got += k; err != nil {
					t.Errorf("%s: %d bytes: %v", id, got, err)
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(400 * time.Millisecond)
	// the stand-in has its values in hand, the proxy a few pieces
	if now := held(); now > before+readers*(4<<20+4<<20/8)+16<<20 {
		t.Errorf("%d MB held, %d before", now>>20, before>>20)
	}
	s.Step(9, []string{"node", "c1", "hit"})
	s.Step(10, []string{"a", "get", "k"})
	s.Step(11, []string{"a", "gets", "value"})
	all.Wait()
	s.Step(12, []string{"expect", "Passing", "=", "0"})
	s.End()
}
