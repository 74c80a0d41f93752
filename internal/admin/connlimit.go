package admin

import (
	"net"
	"slices"
	"sync"

	"woodproxy/internal/systemerror"
)

// connLimiter is a listener that limits the number of open connections. A connection above the limit evicts the oldest one,
// so that callers that connect without completing a request evict each other and can't keep the next caller out. A complete
// request is answered long before enough new connections arrive to evict its own. All methods may be called from any
// goroutine.
type connLimiter struct {
	net.Listener
	limit int

	mu   sync.Mutex
	open []*limitedConn // oldest first
}

// newConnLimiter returns a listener that accepts connections from listener and keeps at most limit of them open.
func newConnLimiter(listener net.Listener, limit int) *connLimiter {
	return &connLimiter{Listener: listener, limit: limit}
}

// Accept waits for the next connection, and closes the oldest open one if the limit is exceeded. It retries accept errors
// and fails only once the listener is closed.
func (l *connLimiter) Accept() (net.Conn, error) {
	// net/http stops serving for good when Accept returns an error.
	accepted, err := systemerror.AcceptPersistently(l.Listener.Accept)
	if err != nil {
		return nil, err
	}
	conn := &limitedConn{Conn: accepted, limiter: l}
	if evicted := l.add(conn); evicted != nil {
		_ = evicted.Close() // the caller of an evicted connection gets no response
	}
	return conn, nil
}

// add records conn as open. It returns the oldest connection if conn exceeds the limit, for the caller to close, or nil.
func (l *connLimiter) add(conn *limitedConn) (evicted *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		evicted = l.open[0]
	}
	l.open = append(l.open, conn)
	return evicted
}

// remove records conn as closed. Further calls for the same connection have no effect.
func (l *connLimiter) remove(conn *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.open, conn); i >= 0 {
		l.open = slices.Delete(l.open, i, i+1)
	}
}

// limitedConn is a connection that counts toward the limit of its connLimiter until it is closed.
type limitedConn struct {
	net.Conn
	limiter *connLimiter
}

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}
