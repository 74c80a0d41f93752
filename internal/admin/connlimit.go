package admin

import (
	"net"
	"slices"
	"sync"

	"woodproxy/internal/systemerror"
)

// connLimiter is a listener that bounds the number of open connections. A connection above the limit evicts the oldest, so that
// callers who connect and finish no call displace each other and not the next caller. A complete call is answered in far less
// time than it takes for as many connections as the limit to arrive.
type connLimiter struct {
	net.Listener
	limit int

	mu   sync.Mutex
	open []*limitedConn // oldest first
}

// newConnLimiter bounds the connections of the listener.
func newConnLimiter(listener net.Listener, limit int) *connLimiter {
	return &connLimiter{Listener: listener, limit: limit}
}

// Accept waits for the next connection and closes the oldest one where there are too many with it.
func (l *connLimiter) Accept() (net.Conn, error) {
	// On an error net/http would end its service for good.
	accepted, err := systemerror.AcceptPersistently(l.Listener.Accept)
	if err != nil {
		return nil, err
	}
	conn := &limitedConn{Conn: accepted, limiter: l}
	if evicted := l.add(conn); evicted != nil {
		_ = evicted.Close() // its caller is owed nothing
	}
	return conn, nil
}

// add counts the connection as open. It returns the connection that has to be closed for it, or nil.
func (l *connLimiter) add(conn *limitedConn) (evicted *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		evicted = l.open[0]
	}
	l.open = append(l.open, conn)
	return evicted
}

// remove counts the connection as closed. It may be called again for the same connection.
func (l *connLimiter) remove(conn *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.open, conn); i >= 0 {
		l.open = slices.Delete(l.open, i, i+1)
	}
}

// limitedConn is a connection that a connLimiter counts until it is closed.
type limitedConn struct {
	net.Conn
	limiter *connLimiter
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}
