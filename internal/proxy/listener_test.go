package proxy

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// testDrain is a drain schedule that closes connections within a second.
var testDrain = DrainSchedule{time.Second, time.Second, time.Second}

// awaitClosing waits until Close has been called.
func (p *testProxy) awaitClosing() {
	p.t.Helper()
	p.eventually("Close does not mark the listener as closed", func() bool {
		p.listener.mu.Lock()
		defer p.listener.mu.Unlock()
		return p.listener.closed
	})
}

// Guards against Close returning before an accepted connection is served. Close runs while the connection has been
// accepted but is not yet in the listener's set of connections.
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
	time.Sleep(50 * time.Millisecond) // enough for Close to return if it does not wait for the accepted connection
	close(step.proceed)
	cache.next(t).sendValue(t)
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" {
		t.Errorf("got reply line %q, error %v; want a value of 5 bytes", line, err)
	}
	select {
	case <-closed:
		t.Error("Close returned before the connection ended")
	default:
	}
	closeConn(t, client)
	<-closed
}

// checkBacklogIsServed lets clients wait in the listener's queue while it closes, and fails unless all get a reply.
// atClose is called before the first of them is accepted.
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
		cache.next(t).sendValue(t)
	}
	for _, client := range clients {
		if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" {
			t.Errorf("got reply line %q, error %v; want a value of 5 bytes", line, err)
		}
	}
}

// Clients that wait in the listener's queue when it closes are accepted and get a reply.
func TestBacklogIsServedDuringClose(t *testing.T) {
	checkBacklogIsServed(t, &steppedListener{}, func() { time.Sleep(50 * time.Millisecond) })
}

// Accept fails for a while because no file descriptor is left. A client that waits in the queue is accepted afterwards.
func TestAcceptRecoversFromErrors(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	step := &steppedListener{}
	step.failuresLeft.Store(20)
	p := newSteppedTestProxy(t, step, 10, defaultSettings, cache, origin)
	client := p.dial()
	send(t, client, getCommand("waits", longWaitMS))
	cache.next(t).sendValue(t)
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" || step.failuresLeft.Load() >= 0 {
		t.Errorf("got reply line %q, error %v; want a value of 5 bytes", line, err)
	}
}
