package server

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// Clients that always have more to ask, several commands ahead, are sent away within four seconds of the call, each
// command that was taken answered, and in order; they ask what was not taken elsewhere.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	for i, line := range [][]string{{"node", "c1", "hit"}, {"node", "o1", "hit"}, {"list", "c1", "o1"}, {"start"}} {
		s.Step(i, line)
	}
	var all sync.WaitGroup
	var answers atomic.Int64
	for n := range 8 {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(6 * time.Second))
		go func() {
			for i := 0; ; i++ {
				id := fmt.Sprintf("n%d-%d", n, i)
				_, err := fmt.Fprintf(conn, "*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$17\r\nc=read,t=x,d=1200\r\n", len(id), id)
				if err != nil {
					return
				}
				time.Sleep(3 * time.Millisecond)
			}
		}()
		all.Add(1)
		go func() {
			defer all.Done()
			in := bufio.NewReader(conn)
			for i := 0; ; i++ {
				head, body, err := emulator.Answer(in)
				if err != nil {
					return
				}
				if want := fmt.Sprintf("c1:n%d-%d", n, i); head[0] != '-' && body != want {
					t.Errorf("%q %q, not %q", head, body, want)
					return
				}
				answers.Add(1)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	s.Step(9, []string{"call", "POST", "/control/out-of-service", "200"})
	all.Wait()
	if took := time.Since(began); took < 300*time.Millisecond || took > 4*time.Second {
		t.Errorf("sent away in %v", took)
	}
	if answers.Load() < 100 {
		t.Errorf("%d answers", answers.Load())
	}
	s.End()
}
