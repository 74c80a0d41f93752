package server

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/emulator"
)

// A process is killed 0.7 s and the longest overall timeout after it was told to stop: with short ones nothing that it took
// by then is without an answer, whatever comes on connections that stay open while its node says nothing.
func TestStopsBeforeItIsKilled(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	s.settings = strings.ReplaceAll(s.settings, `"latency-objective":600,"overall-timeout":1200`, `"latency-objective":350,"overall-timeout":400`)
	const killed = 1100 * time.Millisecond
	for i, line := range []string{"node c1 silent", "node o1 silent", "list c1 o1", "start"} {
		s.Step(i, strings.Fields(line))
	}
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s.signals <- syscall.SIGTERM
	began := time.Now()
	conn.SetDeadline(began.Add(3 * time.Second))
	go func() {
		for i := 0; ; i++ {
			id := fmt.Sprint("id", i)
			if _, err := fmt.Fprintf(conn, "*4\r\n$6\r\nKV.GET\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$16\r\nc=read,t=x,d=400\r\n", len(id), id, len(id), id); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	in, answers := bufio.NewReader(conn), 0
	for {
		if _, _, err := emulator.Answer(in); err != nil {
			break // an end behind a whole answer
		}
		answers++
	}
	if took := time.Since(began); answers == 0 || took > killed {
		t.Errorf("%d answers, the last after %v", answers, took)
	}
	if err := <-s.ended; err != nil || time.Since(began) > killed {
		t.Errorf("ended after %v: %v", time.Since(began), err)
	}
	s.signals = nil
	s.End()
}

// However long clients wait at most, connections go step by step and all is answered before the process may be killed.
func TestLeavingSteps(t *testing.T) {
	for _, longest := range []balancer.Time{1, 1000, 8000, 30000, 600000} {
		left := answerTimeout(longest)
		if kill := min(time.Duration(longest)*100*time.Microsecond, 3*time.Second) + 700*time.Millisecond; left > kill-200*time.Millisecond {
			t.Errorf("%d: answered after %v, killed after %v", longest, left, kill)
		}
		for _, hasSuccessor := range []bool{false, true} {
			if l := drainSchedule(hasSuccessor, left); l.Yield > l.Retire || l.Retire >= l.Shut || l.Shut >= left {
				t.Errorf("%d: %v of %v", longest, l, left)
			}
		}
	}
}
