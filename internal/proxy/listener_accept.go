package proxy

import (
	"bufio"
	"errors"
	"net"
	"os"
	"runtime"
	"time"

	"go.uber.org/zap"
)

// Run accepts clients until Close is called. If no other process has the listener, it then accepts the clients that
// still wait in the listener's queue.
func (l *Listener) Run() {
	defer close(l.acceptDone)
	if !l.acceptUntilClosed() {
		return
	}
	l.acceptBacklog()
	if err := l.ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warn("closing the listener failed", zap.Error(err))
	}
}

// acceptUntilClosed accepts clients. It returns true when Close has been called, and false if the network listener was
// closed before.
func (l *Listener) acceptUntilClosed() bool {
	lastError := "" // so that a series of equal errors is logged once
	for l.awaitCapacity() {
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			l.accept(conn)
			lastError = ""
			runtime.Gosched() // otherwise connections pile up unread while there are others to accept
		case errors.Is(err, os.ErrDeadlineExceeded): // paused, or about to close
			time.Sleep(capacityPollInterval / 2)
		case errors.Is(err, net.ErrClosed):
			return false
		default: // usually no file descriptors are left; clients stay in the queue and are accepted when there are some
			l.counters.LocalErrors.count(err)
			if text := errorText(err); text != lastError {
				l.log.Warn("accept failed", zap.Error(err))
				lastError = text
			}
			time.Sleep(acceptRetryDelay)
		}
	}
	return true
}

// acceptBacklog accepts the clients that wait in the listener's queue. Closing the listener would reset them. If Accept
// fails, they are still in the queue, and acceptBacklog retries until backlogUntil, the time from which on their commands
// would not be read.
func (l *Listener) acceptBacklog() {
	for l.canAcceptBacklog() {
		if l.ln.SetDeadline(time.Now().Add(finalAcceptTimeout)) != nil {
			return
		}
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			l.accept(conn)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed): // queue empty, or listener closed
			return
		default:
			l.counters.LocalErrors.count(err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// canAcceptBacklog reports whether another client from the listener's queue may be accepted.
func (l *Listener) canAcceptBacklog() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.soleOwner && len(l.conns) < l.maxConns && time.Now().Before(l.backlogUntil)
}

// accept starts to serve a connection. The connection's goroutine calls remove when it ends, for which Close waits.
func (l *Listener) accept(conn net.Conn) {
	now := time.Now()
	c := &clientConn{
		listener: l, conn: conn, reader: bufio.NewReaderSize(conn, clientReadBuffer),
		replyReady: make(chan struct{}, 1), acceptedAt: now, lastActive: now, pacer: newCommandPacer(),
	}
	l.counters.Clients.Add(1)
	l.counters.ClientsOpen.Add(1)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	c.requestedPhase = l.phase
	l.mu.Unlock()
	go c.run()
}

// remove removes a connection that has ended.
func (l *Listener) remove(c *clientConn) {
	l.counters.ClientsOpen.Add(-1)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.connsChanged.Broadcast()
}

// awaitCapacity waits until a connection may be accepted. It returns false when Close has been called. It evicts a
// connection when the number of open ones is near its limit, or reaches the limit for clients that have been served.
func (l *Listener) awaitCapacity() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed {
		if !l.paused {
			if len(l.conns) >= min(nearLimit(l.maxConns), l.maxServedConns) {
				l.evictOneLocked()
			}
			if len(l.conns) < l.maxConns {
				return true
			}
		}
		l.connsChanged.Wait() // some connection will end, since every command and every reply has a time limit
	}
	return false
}

// evictOneLocked starts to close the connection that chooseEviction returns, and returns false if there is none. The
// caller holds l.mu.
func (l *Listener) evictOneLocked() bool {
	e := l.chooseEviction(time.Now())
	if e.conn == nil {
		return false
	}
	e.conn.requestPhase(e.phase)
	return true
}
