package proxy

import (
	"bufio"
	"context"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"
)

func connectFailure(attempt *attempt, err error) roundTripResult {
	outcome := balancer.ConnectFailed
	switch {
	case attempt.cancelled.Load():
		outcome = balancer.Canceled
	case isLocalError(err): // a local error is no evidence about the server
		outcome = balancer.NotSent
	}
	return roundTripResult{attemptResult: attemptResult{outcome: outcome}, err: err}
}

// connect opens the connection and, for a cache, reports the success to the zone controller.
func (u *upstreamConn) connect(attempt *attempt, until time.Time) error {
	if err := u.dialWithRetry(attempt, until); err != nil {
		return err
	}
	if router, h := u.host.router, u.host; router.zones != nil && !h.isOrigin {
		router.mailbox.post(func() { router.zoneConnectFinished(h.index, true) })
	}
	return nil
}

// dial opens the connection. It fails if the attempt is canceled first, or if the connection is not open by the time until.
func (u *upstreamConn) dial(attempt *attempt, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	u.mu.Lock()
	u.cancelDial = cancel
	u.mu.Unlock()
	if attempt.cancelled.Load() { // the attempt was canceled before cancelDial was set
		cancel()
	}
	conn, err := u.host.router.dialer.DialContext(ctx, "tcp", u.addr)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancelDial = nil
	if err != nil {
		return &wire.AttemptError{Progress: wire.Dialing, Err: err}
	}
	u.conn = conn
	u.reader = bufio.NewReaderSize(conn, upstreamReadBuffer)
	return nil
}

// mayReuse reports whether a connection without a request in progress may carry another: it has rested, there is no input
// to read, and the upstream has not closed it. Bytes after a complete response may arrive once the next attempt is assigned;
// awaitAttempt misses them, since the assignment sets a past deadline.
func (u *upstreamConn) mayReuse(attempt *attempt) bool {
	input := peekState(u.conn)
	conditions := u.reuseConditions(time.Now())
	conditions.UnexpectedInput = u.reader.Buffered() > 0 || input == inputUnread
	conditions.ClosedByUpstream = input == inputEnded
	refusal := conditions.MayReuse()
	if refusal == lifecycle.UnexpectedInput {
		u.reportSurplus(surplusResponse{phase: surplusBeforeWrite, prefix: u.inputPrefix(), next: attempt.request.id})
	}
	return refusal.Permitted()
}

// reuseConditions returns the conditions under which an idle connection may be reused, apart from its input. The host's
// goroutine may call it as well while the connection is idle.
func (u *upstreamConn) reuseConditions(now time.Time) lifecycle.UpstreamConnConditions {
	return lifecycle.UpstreamConnConditions{
		Served: u.served, SinceResponse: now.Sub(u.lastResponseAt), HostDistrusted: u.host.isDistrusted(),
	}
}

// discardConn closes the connection so that the next attempt dials anew.
func (u *upstreamConn) discardConn() {
	u.closeConn()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn, u.id = nil, u.host.router.connIDs.Add(1)
	u.served, u.lastRequestID, u.lastResponseAt = 0, nil, time.Time{}
}
