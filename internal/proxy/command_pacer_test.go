package proxy

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestCommandPacer(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		count func(p *commandPacer, now time.Time)
		burst int
		rate  float64 // per second
	}{
		"commands":   {(*commandPacer).commandRead, commandBurst, float64(maxCommandRate)},
		"rejections": {(*commandPacer).commandRejected, rejectionBurst, float64(maxRejectionRate)},
	} {
		t.Run(name, func(t *testing.T) {
			p := newCommandPacer()
			for range test.burst {
				test.count(&p, now)
			}
			if pause := p.pause(now); pause != 0 {
				t.Errorf("got a pause of %v within the burst, want none", pause)
			}
			end := now.Add(10 * time.Second)
			read := 0
			for at := now; at.Before(end); at = at.Add(time.Millisecond) {
				for p.pause(at) == 0 {
					test.count(&p, at)
					read++
				}
			}
			if got, want := float64(read)/10, test.rate; got > want*1.01 || got < want*0.9 {
				t.Errorf("got %v per second, want %v", got, want)
			}
		})
	}
}

// Commands beyond the rate are answered later, and none is lost.
func TestCommandsBeyondRateAreAnswered(t *testing.T) {
	const commands = commandBurst + 400
	p := newTestProxy(t, 10, defaultSettings, newCache(t), newOrigin(t))
	client, began := p.dial(), time.Now()
	send(t, client, strings.Repeat("*1\r\n$4\r\nPING\r\n", commands))
	reader := bufio.NewReader(client)
	for i := range commands {
		if line, err := reader.ReadString('\n'); line != "+PONG\r\n" {
			t.Fatalf("reply %d: got %q, error %v", i, line, err)
		}
	}
	least := time.Duration((commands - commandBurst - minReadPause.Seconds()*float64(maxCommandRate)) / float64(maxCommandRate) * float64(time.Second))
	if took := time.Since(began); took < least {
		t.Errorf("%d commands were answered in %v, want at least %v", commands, took, least)
	}
	if p.router.counters.ReadsPaused.Load() == 0 {
		t.Error("no pause is counted")
	}
}

// A client that leaves while its connection is not read has gone: what it has sent and was not read is not forwarded.
func TestRequestsBehindPauseOfDepartedClientAreNotForwarded(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, cache, origin)
	client := p.dial()
	send(t, client, strings.Repeat("*1\r\n$4\r\nPING\r\n", 4*commandBurst)+getCommand("late", longWaitMS))
	p.eventually("the connection is not paused", func() bool { return p.router.counters.ReadsPaused.Load() > 0 })
	closeConn(t, client)
	p.eventually("the connection is still open", func() bool { return p.router.counters.ClientsOpen.Load() == 0 })
	select {
	case command := <-cache.commands:
		t.Errorf("a cache received %s of a client that has gone", command.id)
	case <-origin.commands:
		t.Error("the origin received a request of a client that has gone")
	case <-time.After(200 * time.Millisecond):
	}
}

// A reply is written while the connection is not read.
func TestReplyIsWrittenDuringPause(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, cache, origin)
	client := p.dial()
	var invalid strings.Builder
	for i := range 2 * rejectionBurst {
		invalid.WriteString(strings.Replace(getCommand(fmt.Sprint("bad", i), longWaitMS), "c=read", "c=none", 1))
	}
	send(t, client, getCommand("sound", longWaitMS)+invalid.String())
	command := cache.next(t)
	p.eventually("the connection is not paused", func() bool { return p.router.counters.ReadsPaused.Load() > 0 })
	began := time.Now()
	command.sendValue(t)
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" {
		t.Fatalf("got %q, error %v, want the value", line, err)
	}
	if took := time.Since(began); took > time.Second/time.Duration(maxRejectionRate)*rejectionBurst {
		t.Errorf("the reply was written after %v, when the pause was over", took)
	}
}
