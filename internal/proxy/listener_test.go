package proxy

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// testDrain closes connections within a second.
var testDrain = DrainSchedule{time.Second, time.Second, time.Second}

// awaitClosing waits until Close has been called.
func (p *testProxy) awaitClosing() {
	p.t.Helper()
	p.eventually("the listener does not close", func() bool {
		p.listener.mu.Lock()
		defer p.listener.mu.Unlock()
		return p.listener.closed
	})
}

// A connection is accepted and not yet among the listener's when that closes and finds none: its request is answered
// before Close returns.
func TestConnAcceptedDuringCloseIsServed(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	step := &steppedListener{accepted: make(chan struct{}, 1), proceed: make(chan struct{})}
	p := newSteppedTestProxy(t, step, 10, defaultSettings, cache, origin)
	client := p.dial()
	send(t, client, getCommand("accepted", longWaitMS))
	<-step.accepted
	closed := make(chan struct{})
	go func() {
		p.listener.Close(time.Now().Add(5*time.Second), true, testDrain)
		close(closed)
	}()
	p.awaitClosing()
	time.Sleep(50 * time.Millisecond) // Close has found no connection, if it does not wait for the accepted one
	close(step.proceed)
	cache.next(t).replyValue(t)
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" {
		t.Errorf("%q, %v", line, err)
	}
	select {
	case <-closed:
		t.Error("Close has returned before the reply")
	default:
	}
	closeConn(t, client)
	<-closed
}

// checkBacklogIsServed has clients wait in the listener's queue as it closes, and fails unless all are answered. atClose is
// called before the first of them is accepted.
func checkBacklogIsServed(t *testing.T, step *steppedListener, atClose func()) {
	t.Helper()
	cache, origin := newCache(t), newOrigin(t)
	step.accepted, step.proceed = make(chan struct{}, 100), make(chan struct{})
	p := newSteppedTestProxy(t, step, 10, defaultSettings, cache, origin)
	var clients []net.Conn
	for i := range 5 {
		client := p.dial()
		send(t, client, getCommand(fmt.Sprint("id", i), longWaitMS))
		clients = append(clients, client)
	}
	<-step.accepted
	go p.listener.Close(time.Now().Add(5*time.Second), true, testDrain)
	p.awaitClosing()
	atClose()
	close(step.proceed)
	for range clients {
		cache.next(t).replyValue(t)
	}
	for _, client := range clients {
		if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" {
			t.Errorf("%q, %v", line, err)
		}
	}
}

// Clients wait in the listener's queue when it closes: all are accepted and answered.
func TestBacklogIsServedDuringClose(t *testing.T) {
	checkBacklogIsServed(t, &steppedListener{}, func() { time.Sleep(50 * time.Millisecond) })
}

// No file descriptor is left for a while, and accepting fails: who waited is accepted once there is one.
func TestAcceptRecoversFromErrors(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	step := &steppedListener{}
	step.failuresLeft.Store(20)
	p := newSteppedTestProxy(t, step, 10, defaultSettings, cache, origin)
	client := p.dial()
	send(t, client, getCommand("waits", longWaitMS))
	cache.next(t).replyValue(t)
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" || step.failuresLeft.Load() >= 0 {
		t.Errorf("%q, %v", line, err)
	}
}
