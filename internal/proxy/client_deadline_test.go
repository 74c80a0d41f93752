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

// shortTimeouts returns time limits for a client's commands that are short enough for a test.
func shortTimeouts() *clientTimeouts {
	const short = 150 * time.Millisecond
	return &clientTimeouts{firstCommand: short, command: short, idle: short}
}

// Input that arrives at the moment at which a time limit expires is read and gets a reply: the first command, the rest of
// a command or value, or the next command. Guards against a close that loses this input, which arrived before the close.
func TestInputAtDeadlineIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, after string // sent at first, and when the time limit expires
		served        bool   // before is a complete request
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
					time.Sleep(20 * time.Millisecond) // lets the input arrive
				default: // the read was interrupted because a reply is ready
				}
			}}, 10, defaultSettings, cache, origin)
			client := p.dial()
			reader := bufio.NewReader(client)
			send(t, client, test.before)
			if test.served {
				cache.next(t).sendValue(t)
				if _, err := reader.Discard(len("$5\r\nvalue\r\n")); err != nil {
					t.Fatal(err)
				}
			}
			clients <- client
			select {
			case cmd := <-cache.commands:
				cmd.sendValue(t)
			case cmd := <-origin.commands:
				send(t, cmd.conn, originValue("value"))
			case <-time.After(3 * time.Second):
				t.Fatal("the request is not sent to an upstream")
			}
			if line, err := reader.ReadString('\n'); line != "$5\r\n" {
				t.Errorf("got reply line %q, error %v; want a value of 5 bytes", line, err)
			}
		})
	}
}

// A client that keeps sending single bytes of one command does not get more time than the command timeout.
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
		t.Errorf("the error reply took %v, want at most 600ms", took)
	}
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "-ERR "+errPartialCommand.Error()+"\r\n" {
		t.Errorf("got reply line %q, error %v; want the error reply for a partial command", line, err)
	}
}

// Accept fails temporarily, with each error that Linux documents for it, while the listener closes. The clients that wait
// in the listener's queue are still accepted and get a reply.
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

// A request waits in the listener's queue, as happens when Accept fails temporarily. The time in the queue counts: the
// remaining wait that is sent to the upstream is measured from the arrival of the request.
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
		t.Errorf("got facts %q, error %v; want the wait reduced by the time in the queue", received.facts, err)
	}
}

// A connection is closed after a long reply while another request arrives. The client, which reads late, receives the
// complete reply. Guards against closing the connection with the request unread, which resets the connection and loses
// the reply.
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
	go func() { // a failure is detected by the bytes that the client does not receive
		_, _ = io.WriteString(received.conn, respValue(value))
	}()
	p.eventually("the reply is not completed", func() bool { return p.router.counters.Completed.Load() == 1 })
	p.listener.requestPhaseAll(lifecycle.PhaseCloseWhenIdle)
	time.Sleep(3 * lingerTimeout)
	got, err := io.ReadAll(client)
	if want := len(fmt.Sprintf("$%d\r\n", size)) + size + len(crlf); len(got) != want || err != nil {
		t.Errorf("got %d of %d bytes, error %v", len(got), want, err)
	}
}
