package proxy

import (
	"bufio"
	"fmt"
	"syscall"
	"testing"
	"time"

	"woodproxy/balancer"
)

// localFailures are system calls with errors that are caused by the proxy's own machine.
var localFailures = []struct {
	call  string
	errno syscall.Errno
}{
	{"socket", syscall.ENOBUFS},
	{"socket", syscall.EMFILE},
	{"socket", syscall.ENFILE},
	{"socket", syscall.ENOMEM},
	{"connect", syscall.EADDRNOTAVAIL},
	{"connect", syscall.ENETUNREACH},
	{"connect", syscall.EAGAIN},
	{"connect", syscall.ENOBUFS},
}

// Guards against blaming a cache when a connection to it fails temporarily because the proxy's own machine lacks a
// resource. No failed connection is counted for the cache, and the request is sent to it shortly afterwards.
func TestLocalConnectFailureIsNotBlamedOnServer(t *testing.T) {
	for _, failure := range localFailures {
		t.Run(fmt.Sprint(failure.call, " ", failure.errno), func(t *testing.T) {
			cache, origin := newCache(t), newOrigin(t)
			p := newTestProxy(t, 10, defaultSettings, cache, origin)
			err := dialError(failure.call, failure.errno)
			p.dialer.failCount.Store(2)
			p.dialer.failing.Store(&err)
			client := p.dial()
			send(t, client, getCommand("waits", longWaitMS))
			cache.next(t).sendValue(t)
			if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" {
				t.Errorf("got reply line %q, error %v; want a value of 5 bytes", line, err)
			}
			if n := p.router.counters.Ends[balancer.ConnectFailed].Load(); n > 0 {
				t.Errorf("got %d attempts with outcome ConnectFailed, want 0", n)
			}
		})
	}
}

// While local failures persist, few connections are attempted, and the request gets its error reply promptly.
func TestLastingLocalFailureIsAnsweredSoon(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, cache, origin)
	err := dialError("socket", syscall.EMFILE)
	p.dialer.failing.Store(&err)
	client := p.dial()
	began := time.Now()
	send(t, client, getCommand("shed", longWaitMS))
	if line, err := bufio.NewReader(client).ReadString('\n'); len(line) == 0 || line[0] != '-' {
		t.Errorf("got reply line %q, error %v; want an error reply", line, err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the reply took %v, want at most 1s", took)
	}
	if n := p.dialer.dials.Load(); n > 30 {
		t.Errorf("got %d connection attempts, want at most 30", n)
	}
	if n := p.router.counters.Ends[balancer.ConnectFailed].Load(); n > 0 {
		t.Errorf("got %d attempts with outcome ConnectFailed, want 0", n)
	}
}

// A refused connection, a connection timeout and an unreachable host count as failures of the server.
func TestRemoteConnectFailureIsBlamedOnServer(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			cache, origin := newCache(t), newOrigin(t)
			p := newTestProxy(t, 10, defaultSettings, cache, origin)
			err := dialError("connect", errno)
			p.dialer.failing.Store(&err)
			send(t, p.dial(), getCommand("refused", longWaitMS))
			p.eventually("no attempt ends with outcome ConnectFailed", func() bool {
				return p.router.counters.Ends[balancer.ConnectFailed].Load() > 0
			})
		})
	}
}

// Errors that a server causes, and nil, are not classified as local errors.
func TestIsLocalError(t *testing.T) {
	if !isLocalError(dialError("socket", syscall.ENFILE)) || isLocalError(dialError("connect", syscall.ECONNREFUSED)) ||
		isLocalError(nil) {
		t.Error("isLocalError returns the wrong result for a local error, a refused connection or nil")
	}
}
