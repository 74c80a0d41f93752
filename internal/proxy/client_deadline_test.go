package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"
)

// shortTimeouts are times that a client has for its commands, short enough for a test.
func shortTimeouts() *clientTimeouts {
	const short = 150 * time.Millisecond
	return &clientTimeouts{firstCommand: short, command: short, idle: short}
}

// Bytes of a client arrive in the very moment in which its time is over, for its first command, for the rest of one, or
// for the next: what has arrived by then is read and answered. A close would lose it, since it came before the close.
func TestInputAtDeadlineIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, after string // what is sent at first, and as the time is over
		served        bool   // before is a whole request
	}{
		{"first command", "", getCommand("first", longWaitMS), false},
		{"rest of a command", getCommand("partial", longWaitMS)[:30], getCommand("partial", longWaitMS)[30:], false},
		{"rest of a value", setCommand("put", longPut, "value")[:70], setCommand("put", longPut, "value")[70:], false},
		{"idle", getCommand("served", longWaitMS), getCommand("next", longWaitMS), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			cache, origin := newCache(t), newOrigin(t)
			clients := make(chan net.Conn, 1)
			p := newSteppedTestProxy(t, &steppedListener{timeouts: shortTimeouts(), atDeadline: func() {
				select {
				case client := <-clients:
					if _, err := client.Write([]byte(test.after)); err != nil {
						t.Error(err)
					}
					time.Sleep(20 * time.Millisecond) // so that it has arrived
				default: // interrupted by a reply
				}
			}}, 10, defaultSettings, cache, origin)
			client := p.dial()
			reader := bufio.NewReader(client)
			send(t, client, test.before)
			if test.served {
				cache.next(t).replyValue(t)
				if _, err := reader.Discard(len("$5\r\nvalue\r\n")); err != nil {
					t.Fatal(err)
				}
			}
			clients <- client
			select {
			case cmd := <-cache.commands:
				cmd.replyValue(t)
			case cmd := <-origin.commands:
				send(t, cmd.conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue")
			case <-time.After(3 * time.Second):
				t.Fatal("the request is sent to no upstream")
			}
			if line, err := reader.ReadString('\n'); line != "$5\r\n" {
				t.Errorf("%q, %v", line, err)
			}
		})
	}
}

// A client that goes on sending a little of one command has its time all the same.
func TestDrippedCommandHasItsTime(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newSteppedTestProxy(t, &steppedListener{timeouts: shortTimeouts()}, 10, defaultSettings, cache, origin)
	client, began := p.dial(), time.Now()
	for _, b := range []byte(setCommand("dripped", longPut, "value of some length that drips on for longer than it may")) {
		if _, err := client.Write([]byte{b}); err != nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
		if hasUnread(client) {
			break
		}
	}
	if took := time.Since(began); took > 600*time.Millisecond {
		t.Errorf("it is told after %v", took)
	}
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "-ERR "+errPartialCommand.Error()+"\r\n" {
		t.Errorf("%q, %v", line, err)
	}
}

// Accepting fails in every way that Linux documents for a moment, as the listener closes: who waits in its queue is
// accepted and answered all the same.
func TestBacklogIsServedDespiteAcceptErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
		syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			step := &steppedListener{failure: errno}
			checkBacklogIsServed(t, step, func() { step.failuresLeft.Store(10) })
		})
	}
}

// A request waits in the listener's queue, as where accepting fails for a moment: its time runs, and what is told to the
// upstream counts from when it came.
func TestTimeInListenerQueueCounts(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	step := &steppedListener{accepted: make(chan struct{}, 1), proceed: make(chan struct{})}
	p := newSteppedTestProxy(t, step, 10, defaultSettings, cache, origin)
	const waitMS, queuedMS, slackMS = 5000, 400, 20
	send(t, p.dial(), getCommand("queued", waitMS))
	<-step.accepted
	time.Sleep(queuedMS * time.Millisecond)
	close(step.proceed)
	received := cache.next(t)
	facts, err := wire.ParseFacts([]byte(received.facts))
	if err != nil || facts.WaitMilliseconds > waitMS-queuedMS+slackMS || facts.WaitMilliseconds < waitMS-queuedMS-500 {
		t.Errorf("%q: %v", received.facts, err)
	}
}

// A connection is closed behind a long reply while a further request crosses: the client, which reads late, gets all of the
// reply. A close over the unread request would reset the connection, and the reply with it.
func TestSlowClientGetsReplyDespiteCrossingRequest(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p, client := newCrossingRequest(t, cache, origin)
	if err := client.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	send(t, client, getCommand("long", longWaitMS))
	const size = serverWriteBuffer * 3 / 4
	value := strings.Repeat("v", size)
	received := cache.next(t)
	go func() { // a failure is seen by what the client lacks
		_, _ = fmt.Fprintf(received.conn, "*1\r\n$%d\r\n%s\r\n", size, value)
	}()
	p.eventually("no reply", func() bool { return p.router.counters.Completed.Load() == 1 })
	p.listener.requestPhaseAll(lifecycle.PhaseCloseWhenIdle)
	time.Sleep(3 * lingerTimeout)
	got, err := io.ReadAll(client)
	if want := len(fmt.Sprintf("$%d\r\n", size)) + size + len(crlf); len(got) != want || err != nil {
		t.Errorf("%d of %d bytes, %v", len(got), want, err)
	}
}
