package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"woodproxy/internal/wire"
)

// Timeouts and backoffs of watches. A silent watch is considered broken and is replaced at once. The proxy is expected
// to apply the events that a silent watch missed within six seconds from the start of the silence, whether or not they
// arrived, and within four seconds after SIGHUP. The timeouts are short enough that after a silent watch and a first
// replacement that stays silent as well there is time for another. This limit is not extended during an outage of
// discovery, so a request is always open that discovery can respond to as soon as it recovers, and there is no backoff
// between silent watches.
const (
	// watchSilenceTimeout is the silence after which an open watch ends. Discovery sends something every two seconds.
	watchSilenceTimeout = 3 * time.Second
	// pushFirstByteTimeout is the mean timeout for the first byte of a watch: the discovery agent runs on this machine
	// and either responds at once or is not running.
	pushFirstByteTimeout = 1200 * time.Millisecond
	// pollFirstByteTimeout is the minimum timeout for the first byte when the list is polled: discovery is then on
	// another machine and responds late when many proxies poll.
	pollFirstByteTimeout = 2 * time.Second
	watchDialTimeout     = time.Second
	// minWatchBackoff is the mean backoff before the first retry of a watch. It doubles with each failure.
	minWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff = 800 * time.Millisecond
	watchReadBuffer = 4 << 10 // bytes
)

// errDiscoveryDial marks errors of connections to discovery that were never established.
var errDiscoveryDial = errors.New("connect to discovery")

// endpointWatch is one connection to discovery and its goroutine, which ends with a call to the list's watchEnded.
type endpointWatch struct {
	list             *EndpointList
	addr             string
	fromIndex        int64
	firstByteTimeout time.Duration
	ctx              context.Context
	cancel           context.CancelFunc
}

// run reads events until the connection ends, and returns the error that ended it.
func (w *endpointWatch) run() error {
	dialer := net.Dialer{Timeout: watchDialTimeout}
	conn, err := dialer.DialContext(w.ctx, "tcp", w.addr)
	if err != nil {
		return fmt.Errorf("%w: %w", errDiscoveryDial, err)
	}
	closeConn := func() { _ = conn.Close() } // neither unsent nor unread data is needed any more
	defer closeConn()
	defer context.AfterFunc(w.ctx, closeConn)()
	events, err := w.open(&silenceReader{conn: conn, timeout: w.firstByteTimeout})
	if err != nil {
		return err
	}
	w.list.counters.Watches.Add(1)
	for {
		object, err := events.Next()
		if err != nil {
			return err
		}
		if object != nil {
			if err := w.postEvent(object); err != nil {
				return err
			}
		}
		w.list.mailbox.post(func() { w.list.handleActivity(w) })
	}
}

// silenceReader reads from a connection and fails after a time without input. The timeout applies to each read, so the
// arrival of a long list may take longer than the timeout.
type silenceReader struct {
	conn    net.Conn
	timeout time.Duration
}

// Read implements io.Reader.
func (r *silenceReader) Read(p []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, fmt.Errorf("set watch deadline: %w", err)
	}
	return r.conn.Read(p)
}

// open sends the watch request and reads the header of the response.
func (w *endpointWatch) open(input *silenceReader) (*wire.WatchReader, error) {
	if err := input.conn.SetWriteDeadline(time.Now().Add(w.firstByteTimeout)); err != nil {
		return nil, fmt.Errorf("set watch deadline: %w", err)
	}
	if _, err := input.conn.Write(wire.AppendWatchRequest(nil, w.addr, w.fromIndex)); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(input, watchReadBuffer)
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	input.timeout = watchSilenceTimeout // a response that has begun to arrive may come in pieces
	return wire.OpenWatch(reader)
}

// postEvent decodes an event and posts it to the list.
func (w *endpointWatch) postEvent(object io.Reader) error {
	event, err := wire.ReadEndpointList(object)
	if err != nil {
		return err
	}
	w.list.mailbox.post(func() { w.list.handleEvent(w, event) })
	return nil
}
