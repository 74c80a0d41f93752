package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"woodproxy/internal/wire"
)

// Timeouts and backoffs of watches. The proxy is expected to apply the events that a silent watch missed within
// notificationTime from the start of the silence, whether or not they arrived, and of SIGHUP in less. An open watch
// that falls silent is considered broken and is replaced at once. If the new watch is not answered in time, another one is
// requested beside it, and the first one that is answered stays: discovery may be slow, in which case only a request that
// is kept is ever answered, or the request may have been lost. The timeouts are short enough that after a silent watch and
// a first replacement that stays silent as well there is time for another. This limit is not extended during an outage of
// discovery, so a recent request is always open that discovery can answer as soon as it recovers, and there is no backoff
// between watches that are not answered.
const (
	notificationTime            = 6 * time.Second
	notificationTimeAfterReload = 4 * time.Second
	// notificationMargin is the time that a newer watch has to be answered in when the oldest late one is closed.
	notificationMargin = 200 * time.Millisecond
	// watchSilenceTimeout is the silence after which a watch that discovery has begun to answer is considered broken.
	// Discovery sends something every two seconds.
	watchSilenceTimeout = 3 * time.Second
	// pushAnswerTimeout is the mean time after which an unanswered watch is late: the discovery agent runs on this machine.
	pushAnswerTimeout = 1200 * time.Millisecond
	// pollAnswerTimeout is the minimum time after which an unanswered watch is late when the list is polled: discovery is
	// then on another machine and responds late when many proxies poll.
	pollAnswerTimeout = 2 * time.Second
	// minWatchBackoff is the mean backoff before the first retry of a watch that failed. It doubles with each failure.
	minWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff = 800 * time.Millisecond
	watchReadBuffer = 4 << 10 // bytes
)

// endpointWatch is one connection to discovery and its goroutine, which ends with a call to the list's watchEnded.
type endpointWatch struct {
	list          *EndpointList
	addr          string
	fromIndex     int64
	requestedAt   time.Time
	answerTimeout time.Duration
	ctx           context.Context
	cancel        context.CancelFunc

	// Used by the list's goroutine.

	answered bool // the header of the response has been received
	active   bool // a list, change or heartbeat has been received
}

// run reads events until the connection ends, and returns the error that ended it. The list is informed when the watch is
// late, answered and active.
func (w *endpointWatch) run() error {
	late := time.AfterFunc(w.answerTimeout, w.reportSilence) // the time to connect counts as well
	defer late.Stop()
	var dialer net.Dialer
	conn, err := dialer.DialContext(w.ctx, "tcp", w.addr)
	if err != nil {
		return fmt.Errorf("connect to discovery: %w", err)
	}
	closeConn := func() { _ = conn.Close() } // neither unsent nor unread data is needed any more
	defer closeConn()
	defer context.AfterFunc(w.ctx, closeConn)()
	input := &silenceReader{conn: conn, reportSilence: w.reportSilence}
	events, err := w.open(input, late)
	if err != nil {
		return err
	}
	w.list.counters.Watches.Add(1)
	w.list.mailbox.post(func() { w.list.handleAnswer(w) })
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
		input.reportSilence = nil
		w.list.mailbox.post(func() { w.list.handleActivity(w) })
	}
}

// reportSilence informs the list that nothing has been received for longer than the timeout.
func (w *endpointWatch) reportSilence() {
	w.list.mailbox.post(func() { w.list.handleSilence(w) })
}

// silenceReader reads from a connection and detects times without input. The timeout applies to each read, so the arrival
// of a long list may take longer than the timeout.
type silenceReader struct {
	conn          net.Conn
	timeout       time.Duration // 0: none
	reportSilence func()        // is called after each timeout, and reading goes on; nil: reading fails after the timeout
}

// Read implements io.Reader.
func (r *silenceReader) Read(p []byte) (int, error) {
	for {
		if r.timeout > 0 {
			if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
				return 0, fmt.Errorf("set watch deadline: %w", err)
			}
		}
		n, err := r.conn.Read(p)
		if n > 0 || r.reportSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		r.reportSilence()
	}
}

// open sends the watch request and reads the header of the response. The late timer ends with its first byte.
func (w *endpointWatch) open(input *silenceReader, late *time.Timer) (*wire.WatchReader, error) {
	if _, err := input.conn.Write(wire.AppendWatchRequest(nil, w.addr, w.fromIndex)); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(input, watchReadBuffer)
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	late.Stop()
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
