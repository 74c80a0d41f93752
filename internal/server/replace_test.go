package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/emulator"
	"woodproxy/internal/hotrestart"

	"go.uber.org/zap"
)

func started(t *testing.T, more ...string) *stage {
	s := newStage(t)
	for i, line := range append([]string{"node c1 hit slow=5", "node o1 hit", "list c1 o1", "start"}, more...) {
		s.Step(i+1, strings.Fields(line))
	}
	return s
}

// Two replacements in a row under load: each request is answered, on connections that stay as on ever new ones, and
// nobody is turned away at the door. A close may cross a request, which then goes unanswered and is asked again.
func TestReplaced(t *testing.T) {
	t.Parallel()
	s := started(t)
	var all sync.WaitGroup
	var stop atomic.Bool
	var asked, crossed atomic.Int64
	for n := range 24 {
		all.Add(1)
		go func() {
			defer all.Done()
			var conn net.Conn
			var in *bufio.Reader
			again := 0
			for i := 0; !stop.Load(); i++ {
				if conn != nil { // a client sees that its connection is closed before it asks
					conn.SetReadDeadline(time.Now().Add(time.Millisecond))
					if _, err := in.Peek(1); errors.Is(err, io.EOF) {
						conn.Close()
						conn = nil
					} else {
						conn.SetReadDeadline(time.Now().Add(15 * time.Second))
					}
				}
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", s.addr); err != nil {
						t.Error("not let in:", err)
						return
					}
					conn.SetDeadline(time.Now().Add(15 * time.Second))
					in = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("n%d-%d", n, i)
				asked.Add(1)
				fmt.Fprintf(conn, "*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$17\r\nc=read,t=x,d=1200\r\n", len(id), id)
				head, body, err := emulator.Answer(in)
				switch {
				case err != nil:
					crossed.Add(1)
					if again++; again > 1 {
						t.Error("twice in a row without an answer:", err)
						return
					}
				case head[0] == '$' && body != "c1:"+id:
					t.Errorf("%q, not for %s", body, id)
				default:
					again = 0
				}
				if err != nil || n%2 == 0 { // ever new connections
					conn.Close()
					conn = nil
				}
				time.Sleep(time.Duration(n) * time.Millisecond)
			}
			if conn != nil {
				conn.Close()
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	for i := range 2 {
		s.Step(10+i, []string{"replace"})
	}
	stop.Store(true)
	all.Wait()
	if a, c := asked.Load(), crossed.Load(); a < 300 || c > a/50 {
		t.Errorf("%d asked, %d of them without an answer", a, c)
	}
	s.End()
}

// The new process has the list that the old one had, though discovery is silent and the list in the configuration old;
// what drains stays off.
func TestReplacedKnows(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	for i, line := range []string{
		"node c1 hit", "node c2 hit", "node o1 hit", "list c1 c2 o1", "start known=c1,c2,o1",
		"list c2:leaving", "pause 100", "discovery cut", "discovery silent",
		"replace", "b get k times=5", "b gets value from=c1 times=5", "expect c2 = 0",
	} {
		s.Step(i+1, strings.Fields(line))
	}
	s.End()
}

// A process that took the listener, said that it serves and died leaves clients to the first one again.
func TestHeirDies(t *testing.T) {
	t.Parallel()
	s := started(t)
	heir, err := hotrestart.Claim(s.shared, s.addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := heir.Serving(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	for i, line := range []string{"a ping", "a gets nothing"} { // nobody lets it in now
		s.Step(i+10, strings.Fields(line))
	}
	heir.Listener.Close()
	heir.Abandon()
	for i, line := range []string{"a gets pong", "a get k", "a gets value", "replace", "b get k", "b gets value"} {
		s.Step(i+20, strings.Fields(line))
	}
	s.End()
}

// A first process that can be met by nobody is replaced all the same: both listen.
func TestReplacedUnmet(t *testing.T) {
	t.Parallel()
	s := started(t)
	s.shared = t.TempDir()
	if err := os.WriteFile(s.shared+"/woodproxy", nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for i, line := range []string{"replace", "a get k", "a gets value"} {
		s.Step(i+10, strings.Fields(line))
	}
	s.End()
}

// A list that can't be read is not taken over; the process starts without it.
func TestForeignList(t *testing.T) {
	t.Parallel()
	for _, list := range []string{`{"index":"x","endpoints":[]}`, `{"index":1,"endpoints":[{"name":""}]}`, `7`} {
		s := newStage(t)
		for i, line := range []string{"node c1 hit", "node o1 hit", "list c1 o1"} {
			s.Step(i+1, strings.Fields(line))
		}
		s.ready("")
		ln, err := net.Listen("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		before := hotrestart.New(s.shared, s.addr, ln.(*net.TCPListener), func() []byte { return []byte(list) }, func(int, int) {}, zap.NewNop())
		if err := before.Open(); err != nil {
			t.Fatal(err)
		}
		s.run()
		s.call("GET", "/control/ready", "200", "")
		ln.Close() // its queue is the new one's
		for i, line := range []string{"a get k", "a gets value"} {
			s.Step(i+20, strings.Fields(line))
		}
		s.End()
		before.Close()
	}
}
