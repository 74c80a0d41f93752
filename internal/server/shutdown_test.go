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

// A process is killed 0.7 s and the longest overall timeout after it was told to stop: with short ones nothing that it
// read by then is without an answer, whatever comes on connections that stay open while its node does not answer.
func TestStopsBeforeItIsKilled(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.settings = strings.ReplaceAll(h.settings, `"latency-objective":600,"overall-timeout":1200`,
		`"latency-objective":350,"overall-timeout":400`)
	const killed = 1100 * time.Millisecond
	h.play(0, "node c1 silent", "node o1 silent", "list c1 o1", "start")
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
	in, answers := bufio.NewReader(conn), 0
	for {
		if _, _, err := emulator.ReadElement(in); err != nil {
			break // the connection ends behind a whole answer
		}
		answers++
	}
	if took := time.Since(began); answers == 0 || took > killed {
		t.Errorf("%d answers, the last after %v", answers, took)
	}
	if err := <-h.ended; err != nil || time.Since(began) > killed {
		t.Errorf("ended after %v: %v", time.Since(began), err)
	}
	h.signals = nil
	h.Finish()
}

// However long clients wait at most, connections are closed step by step and all requests are answered before the
// process may be killed.
func TestDrainScheduleEndsBeforeKill(t *testing.T) {
	for _, longest := range []balancer.Time{1, 1000, 8000, 30000, 600000} {
		t.Run(fmt.Sprintf("overall timeout %v ms", float64(longest)/10), func(t *testing.T) {
			remaining := replyTimeout(longest)
			killed := min(time.Duration(longest)*100*time.Microsecond, 3*time.Second) + 700*time.Millisecond
			if remaining > killed-200*time.Millisecond {
				t.Errorf("answered after %v, killed after %v", remaining, killed)
			}
			for _, hasSuccessor := range []bool{false, true} {
				schedule := drainSchedule(hasSuccessor, remaining)
				if schedule.CloseAfterReply > schedule.CloseIdle || schedule.CloseIdle >= schedule.StopReading || schedule.StopReading >= remaining {
					t.Errorf("has successor %v: %v of %v", hasSuccessor, schedule, remaining)
				}
			}
		})
	}
}
