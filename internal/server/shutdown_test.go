package server

import (
	"bufio"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/emulator"
)

// TestStopsBeforeItIsKilled checks a stop with short overall timeouts. The process is killed 0.7 s plus the longest overall
// timeout after the signal to stop. By then it must have answered all requests that it has read and must have exited,
// although a client keeps sending requests and the nodes do not respond.
func TestStopsBeforeItIsKilled(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.settings = strings.ReplaceAll(h.settings, `"latency-objective":600,"overall-timeout":1200`,
		`"latency-objective":350,"overall-timeout":400`)
	const killed = 1100 * time.Millisecond // time of the kill: overall timeout of 0.4 s plus 0.7 s
	h.runLines(0, "node c1 silent", "node o1 silent", "list c1 o1", "start")
	conn := dialUntil(t, h.clientAddress, 10*time.Second)
	h.signals <- syscall.SIGTERM
	began := time.Now()
	if err := conn.SetDeadline(began.Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	go func() { // until the proxy closes the connection
		for i := 0; ; i++ {
			id := fmt.Sprint("id", i)
			if _, err := conn.Write(encodeGet(id, id, "400")); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	in, replies := bufio.NewReader(conn), 0
	for {
		if _, _, err := emulator.ReadElement(in); err != nil {
			break // the connection ends after a complete reply
		}
		replies++
	}
	if took := time.Since(began); replies == 0 || took > killed {
		t.Errorf("got %d replies, the last after %v; want at least 1, all before the kill", replies, took)
	}
	if err := <-h.ended; err != nil || time.Since(began) > killed {
		t.Errorf("ended after %v with error %v, want no error before the kill", time.Since(began), err)
	}
	h.signals = nil
	h.Finish()
}

// TestDrainScheduleEndsBeforeKill checks for each overall timeout that connections are closed step by step, and that all
// requests are answered at least 0.2 s before the process may be killed.
func TestDrainScheduleEndsBeforeKill(t *testing.T) {
	for _, longest := range []balancer.Time{1, 1000, 8000, 30000, 600000} {
		t.Run(fmt.Sprintf("overall timeout %v ms", float64(longest)/10), func(t *testing.T) {
			remaining := replyTimeout(longest)
			killed := min(time.Duration(longest)*100*time.Microsecond, 3*time.Second) + 700*time.Millisecond
			if remaining > killed-200*time.Millisecond {
				t.Errorf("got all requests answered after %v, want at least 200ms before the kill after %v", remaining, killed)
			}
			for _, hasSuccessor := range []bool{false, true} {
				schedule := drainSchedule(hasSuccessor, remaining)
				if schedule.CloseAfterReply > schedule.CloseIdle || schedule.CloseIdle >= schedule.StopReading || schedule.StopReading >= remaining {
					t.Errorf("has successor %v: got schedule %v, want rising times before %v", hasSuccessor, schedule, remaining)
				}
			}
		})
	}
}
