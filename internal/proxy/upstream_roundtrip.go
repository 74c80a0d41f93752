package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/invariant"
	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"
)

// roundTripResult is how an attempt ended on a connection.
type roundTripResult struct {
	attemptResult
	reusable bool  // the connection can carry another attempt
	err      error // why the attempt has no whole response, or nil
}

// roundTrip sees one attempt through: it connects if need be, writes the request and reads the response.
func (u *upstreamConn) roundTrip(attempt *attempt) roundTripResult {
	router := u.host.router
	until := time.Now().Add(duration(attempt.sentAt + attempt.timeout - router.clock.Now()))
	reused := u.conn != nil
	if !reused {
		if err := u.connect(attempt, until); err != nil {
			return connectFailure(attempt, err)
		}
	}
	if err := u.conn.SetDeadline(until); err != nil {
		return u.failure(attempt, &wire.AttemptError{Progress: wire.Writing, Err: err})
	}
	if reused && !u.mayReuse() { // nothing was sent yet
		u.discardConn()
		return u.roundTrip(attempt)
	}
	conditions := u.conditions(attempt, until)
	if refusal := conditions.MayBegin(); !refusal.Permitted() {
		return u.refused(refusal)
	}
	if refusal, err := u.writeRequest(attempt, until); !refusal.Permitted() {
		u.host.router.counters.Refusals[refusal].Add(1)
		return notSent(false) // a part of it was written, which no upstream begins
	} else if err != nil {
		if attempt.request.life.Finished() {
			return notSent(false)
		}
		return u.failure(attempt, &wire.AttemptError{Progress: wire.Writing, Err: err})
	}
	u.checkStarted(attempt)
	return u.readResponse(attempt, until)
}

// conditions returns what decides whether an attempt may be written now.
func (u *upstreamConn) conditions(attempt *attempt, until time.Time) lifecycle.AttemptConditions {
	return lifecycle.AttemptConditions{
		Request: attempt.request.life.State(), Cancelled: attempt.cancelled.Load(), EndpointReady: u.host.ready.Load(),
		Now: time.Now(), Deadline: until, DedupWindowEnd: u.host.router.dedupWindowEnd(attempt),
	}
}

// dedupWindowEnd returns until when an attempt may begin, the zero time if it is the first that may run.
func (r *Router) dedupWindowEnd(attempt *attempt) time.Time {
	if attempt.startBefore == 0 {
		return time.Time{}
	}
	return r.clock.Instant(attempt.startBefore)
}

// refused returns the result of an attempt that was not begun. The next attempt may have the connection, unless it was
// interrupted or its host takes no more.
func (u *upstreamConn) refused(refusal lifecycle.Refusal) roundTripResult {
	u.host.router.counters.Refusals[refusal].Add(1)
	switch refusal {
	case lifecycle.AttemptCancelled:
		return roundTripResult{attemptResult: attemptResult{outcome: balancer.Cancelled}}
	case lifecycle.EndpointNotReady:
		return notSent(false)
	}
	return notSent(true)
}

func notSent(reusable bool) roundTripResult {
	return roundTripResult{attemptResult: attemptResult{outcome: balancer.NotSent}, reusable: reusable}
}

// checkStarted has the invariants checked of an attempt that was written whole.
func (u *upstreamConn) checkStarted(attempt *attempt) {
	router := u.host.router
	checker := router.counters.Invariants
	if checker == nil {
		return
	}
	now := time.Now()
	checker.AttemptStarted(&invariant.AttemptStart{
		RequestID: attempt.request.id, At: now,
		RequestEnded:     router.clock.instantOf(attempt.request.endedAt.Load()),
		EndpointDraining: router.clock.instantOf(u.host.notReadySince.Load()),
		DedupWindowEnd:   router.dedupWindowEnd(attempt),
		ToldUntil:        now.Add(time.Duration(u.toldMS) * time.Millisecond),
		ClientUntil:      attempt.request.clientUntil(router.clock),
	})
}

func connectFailure(attempt *attempt, err error) roundTripResult {
	outcome := balancer.ConnectFailed
	switch {
	case attempt.cancelled.Load():
		outcome = balancer.Cancelled
	case isLocalError(err): // which says nothing of the server
		outcome = balancer.NotSent
	}
	return roundTripResult{attemptResult: attemptResult{outcome: outcome}, err: err}
}

// failure returns the result of an attempt that ended without a whole response: what it means depends on how far the
// attempt had come.
func (u *upstreamConn) failure(attempt *attempt, err error) roundTripResult {
	var halt *wire.AttemptError
	mayHaveRun := errors.As(err, &halt) && halt.MayHaveRun()
	outcome := balancer.Reset
	switch {
	case attempt.cancelled.Load():
		outcome = balancer.Cancelled
	case !mayHaveRun:
		outcome = balancer.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		outcome = balancer.TimedOut
	case errors.Is(err, wire.ErrProtocol):
		outcome = balancer.ServerError
	}
	return roundTripResult{attemptResult: attemptResult{outcome: outcome}, err: err}
}

// connect dials, and reports to the zone controller that a cache accepts connections.
func (u *upstreamConn) connect(attempt *attempt, until time.Time) error {
	if err := u.dialWithRetry(attempt, until); err != nil {
		return err
	}
	if router, h := u.host.router, u.host; router.zones != nil && !h.isOrigin {
		router.mailbox.post(func() { router.zoneConnectFinished(h.index, true) })
	}
	return nil
}

// dial opens the connection, unless the attempt is cancelled or the time is up before.
func (u *upstreamConn) dial(attempt *attempt, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	u.mu.Lock()
	u.cancelDial = cancel
	u.mu.Unlock()
	if attempt.cancelled.Load() { // before there was a dial to cancel
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

// mayReuse reports whether a connection that carries no request may carry another: there is nothing to read on it, and
// it has not ended. Bytes behind a good response may arrive once the next attempt is assigned, whose deadline hides them
// from awaitAttempt.
func (u *upstreamConn) mayReuse() bool {
	input := peekState(u.conn)
	conditions := lifecycle.UpstreamConnConditions{
		ResponseComplete: true, UnexpectedInput: u.reader.Buffered() > 0 || input == inputUnread, ClosedByPeer: input == inputEnded,
	}
	refusal := conditions.MayReuse()
	if refusal == lifecycle.UnexpectedInput {
		u.reportBadBytes(fmt.Errorf("%w: unasked for", wire.ErrProtocol))
	}
	return refusal.Permitted()
}

// discardConn closes the connection so that the next attempt dials anew.
func (u *upstreamConn) discardConn() {
	u.closeConn()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn = nil
}

// encodeRequest sets the buffers that are to be written for an attempt. Caches and the origin alike are told how long
// this attempt waits, and not what the client has said at first.
func (u *upstreamConn) encodeRequest(attempt *attempt) {
	req, h := attempt.request, u.host
	size := -1 // no value
	if req.value != nil {
		size = len(req.value)
	}
	left := duration(attempt.sentAt + attempt.timeout - h.router.clock.Now())
	u.writeReserve = req.writeReserve(left, size)
	u.toldMS = max(int((left-u.writeReserve)/time.Millisecond), 1)
	facts := wire.AppendFacts(nil, req.facts, u.toldMS)
	if h.isOrigin {
		u.header = wire.AppendOriginRequest(u.header[:0], u.addr, req.key, req.id, facts, size)
	} else {
		u.header = wire.AppendCommand(u.header[:0], req.name, req.key, req.id, facts, size)
	}
	u.buffers = append(u.buffers[:0], u.header)
	if size > 0 {
		u.buffers = append(u.buffers, req.value)
	}
	if size >= 0 && !h.isOrigin {
		u.buffers = append(u.buffers, crlf)
	}
}

// readResponse reads the response to an attempt that was written.
func (u *upstreamConn) readResponse(attempt *attempt, until time.Time) roundTripResult {
	read := wire.ReadCacheResponse
	if u.host.isOrigin {
		read = wire.ReadOriginResponse
	}
	answer, err := read(u.reader)
	if err != nil {
		return u.failure(attempt, err)
	}
	if answer.NotFound && u.host.router.negativeCache != nil && attempt.request.value == nil {
		attempt.notFound = true
		return roundTripResult{
			attemptResult: attemptResult{outcome: balancer.Completed},
			reusable:      answer.Reusable && u.reader.Buffered() == 0,
		}
	}
	var value []byte
	if answer.Outcome == balancer.Completed {
		if value, err = u.readValue(attempt, &answer, until); err != nil {
			return u.failure(attempt, err)
		}
	}
	if n := u.reader.Buffered(); answer.Reusable && n > 0 { // it would pass for the response to the next request
		u.reportBadBytes(fmt.Errorf("%w: %d unasked for", wire.ErrProtocol, n))
		answer.Reusable = false
	}
	return roundTripResult{attemptResult: attemptResult{outcome: answer.Outcome, value: value}, reusable: answer.Reusable}
}

// readValue reads the value of a completed attempt: whole if it is short and there is memory for it. Else the value is
// streamed; the request is answered by that, and nil is returned.
func (u *upstreamConn) readValue(attempt *attempt, answer *wire.Response, until time.Time) ([]byte, error) {
	memory := u.host.router.valueMemory
	_, alreadyRead := answer.BufferedValue()
	switch {
	case alreadyRead:
		memory.acquire(answer.ValueLength)
	case answer.ValueLength <= wire.MaxBufferedValue && memory.tryAcquire(answer.ValueLength):
	default:
		if err := u.streamValue(attempt, answer, until); err != nil {
			return nil, err
		}
		return nil, answer.SkipTrailing(u.reader)
	}
	value, err := answer.ReadValue(u.reader)
	if err == nil {
		err = answer.SkipTrailing(u.reader)
	}
	if err != nil {
		memory.release(answer.ValueLength)
		return nil, err
	}
	return value, nil
}
