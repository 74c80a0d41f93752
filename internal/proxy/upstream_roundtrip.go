package proxy

import (
	"bufio"
	"context"
	"errors"
	"os"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/invariant"
	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"
)

// roundTripResult is the result of an attempt on a connection.
type roundTripResult struct {
	attemptResult
	reusable bool  // the connection can carry another attempt
	err      error // error that prevented a complete response, or nil
	moved    bool  // the attempt was moved to another connection while this one was dialed
}

// roundTrip executes one attempt: it connects if necessary, writes the request and reads the response.
func (u *upstreamConn) roundTrip(attempt *attempt) roundTripResult {
	router := u.host.router
	until := time.Now().Add(duration(attempt.sentAt + attempt.timeout - router.clock.Now()))
	reused := u.conn != nil
	if !reused {
		err := u.connect(attempt, until)
		if u.endDial() {
			return roundTripResult{moved: true, err: err}
		}
		if err != nil {
			return connectFailure(attempt, err)
		}
	}
	if err := u.conn.SetDeadline(until); err != nil {
		return u.failure(attempt, &wire.AttemptError{Progress: wire.Writing, Err: err})
	}
	if reused && !u.mayReuse(attempt) { // nothing of the attempt has been sent yet
		u.discardConn()
		return u.roundTrip(attempt)
	}
	conditions := u.conditions(attempt, until)
	if refusal := conditions.MayBegin(); !refusal.Permitted() {
		return u.refused(refusal)
	}
	u.use = connUse{id: u.id, served: u.served}
	if u.restedFor = 0; u.served > 0 {
		u.restedFor = time.Since(u.lastResponseAt)
	}
	if refusal, err := u.writeRequest(attempt, until); !refusal.Permitted() {
		u.host.router.counters.Refusals[refusal].Add(1)
		return notSent(false) // upstreams do not execute a partly written request
	} else if err != nil {
		if attempt.request.life.Finished() {
			return notSent(false)
		}
		return u.failure(attempt, &wire.AttemptError{Progress: wire.Writing, Err: err})
	}
	u.checkStarted(attempt)
	return u.readResponse(attempt, until)
}

// conditions returns the conditions that determine whether an attempt may be written now. The client's connection is looked
// at, since its own goroutine may not have noticed yet that the client has left.
func (u *upstreamConn) conditions(attempt *attempt, until time.Time) lifecycle.AttemptConditions {
	if attempt.request.clientHasLeft() {
		u.host.router.endRequest(attempt.request, lifecycle.ClientLeft)
	}
	return lifecycle.AttemptConditions{
		Request: attempt.request.life.State(), Canceled: attempt.cancelled.Load(), EndpointReady: u.host.ready.Load(),
		Now: time.Now(), Deadline: until, DedupWindowEnd: u.host.router.dedupWindowEnd(attempt),
	}
}

// dedupWindowEnd returns the time until which an attempt may begin, or the zero time if it has no such limit.
func (r *Router) dedupWindowEnd(attempt *attempt) time.Time {
	if attempt.startBefore == 0 {
		return time.Time{}
	}
	return r.clock.Instant(attempt.startBefore)
}

// refused returns the result of an attempt that was not begun. The connection can be reused unless it was interrupted by
// a cancellation or its host accepts no more requests.
func (u *upstreamConn) refused(refusal lifecycle.Refusal) roundTripResult {
	u.host.router.counters.Refusals[refusal].Add(1)
	switch refusal {
	case lifecycle.AttemptCanceled:
		return roundTripResult{attemptResult: attemptResult{outcome: balancer.Canceled}}
	case lifecycle.EndpointNotReady:
		return notSent(false)
	}
	return notSent(true)
}

func notSent(reusable bool) roundTripResult {
	return roundTripResult{attemptResult: attemptResult{outcome: balancer.NotSent}, reusable: reusable}
}

// checkStarted checks the invariants for an attempt that was written completely.
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
		SentDeadline:     now.Add(time.Duration(u.sentWaitMS) * time.Millisecond),
		ClientDeadline:   attempt.request.clientDeadline(router.clock),
		ConnectionRest:   u.restedFor,
	})
}

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

// failure returns the result of an attempt that ended without a complete response. The outcome depends on the progress
// of the attempt.
func (u *upstreamConn) failure(attempt *attempt, err error) roundTripResult {
	var attemptErr *wire.AttemptError
	mayHaveRun := errors.As(err, &attemptErr) && attemptErr.MayHaveRun()
	if mayHaveRun && attemptErr.Progress == wire.Reading && errors.Is(err, os.ErrDeadlineExceeded) {
		u.host.router.counters.ResponsesCutOff.Add(1)
	}
	outcome := balancer.Reset
	switch {
	case attempt.cancelled.Load():
		outcome = balancer.Canceled
	case !mayHaveRun:
		outcome = balancer.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		outcome = balancer.TimedOut
	case errors.Is(err, wire.ErrProtocol):
		outcome = balancer.ServerError
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

// encodeRequest sets the buffers to be written for an attempt. Both caches and the origin receive the wait of this
// attempt, rather than the wait that the client originally sent.
func (u *upstreamConn) encodeRequest(attempt *attempt) {
	req, h := attempt.request, u.host
	size := -1 // no value
	if req.value != nil {
		size = len(req.value)
	}
	remaining := duration(attempt.sentAt + attempt.timeout - h.router.clock.Now())
	u.writeReserve = req.writeReserve(remaining, size)
	u.sentWaitMS = max(int((remaining-u.writeReserve)/time.Millisecond), 1)
	facts := wire.AppendFacts(nil, req.facts, u.sentWaitMS)
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

// readResponse reads the response to an attempt that was written completely.
func (u *upstreamConn) readResponse(attempt *attempt, until time.Time) roundTripResult {
	read := wire.ReadCacheResponse
	if u.host.isOrigin {
		read = wire.ReadOriginResponse
	}
	writtenAt := time.Now()
	response, err := read(u.reader)
	if err != nil {
		return u.failure(attempt, err)
	}
	u.host.recordResponseTime(time.Since(writtenAt))
	conditions := u.responseConditions(attempt)
	if !conditions.MayAttribute().Permitted() {
		return u.unattributed(errHostDistrusted)
	}
	var value []byte
	if response.Outcome == balancer.Completed {
		if value, err = u.readValue(attempt, &response, until); err != nil {
			return u.failure(attempt, err)
		}
	}
	if u.served > 0 && !attempt.streaming && u.hasInputBehind(&response) {
		u.host.router.valueMemory.release(len(value))
		u.reportSurplus(surplusResponse{phase: surplusBehindResponse, prefix: u.inputPrefix(), next: attempt.request.id})
		return u.unattributed(errInputBehindResponse)
	}
	if response.NotFound && u.host.router.negativeCache != nil && attempt.request.value == nil {
		attempt.notFound = true
		return roundTripResult{attemptResult: attemptResult{outcome: balancer.Completed}, reusable: u.responseEnded(attempt, &response)}
	}
	if response.Outcome == balancer.Overloaded {
		u.host.lastRejection.Store(int64(u.host.router.clock.Elapsed()))
	}
	notExecuted := response.Outcome == balancer.Overloaded || response.Outcome == balancer.CacheMiss
	unconfirmed := notExecuted && u.isUnconfirmed(&conditions)
	u.host.router.counters.Invariants.ResponseBelieved(&invariant.BelievedResponse{
		RequestID: attempt.request.id, Used: u.use.served > 0, HostDistrusted: conditions.HostDistrusted,
		NotExecuted: notExecuted && !unconfirmed, Repeatable: attempt.effect == balancer.Retriable,
	})
	result := attemptResult{outcome: response.Outcome, value: value, unconfirmed: unconfirmed}
	return roundTripResult{attemptResult: result, reusable: u.responseEnded(attempt, &response)}
}

// responseEnded records the end of a complete response, and returns whether the connection can carry another attempt. Bytes
// behind the response would be taken for the next one.
func (u *upstreamConn) responseEnded(attempt *attempt, response *wire.Response) (reusable bool) {
	u.served++
	u.lastRequestID, u.lastResponseAt = attempt.request.id, time.Now()
	if response.Reusable && u.reader.Buffered() > 0 {
		u.reportSurplus(surplusResponse{phase: surplusBehindResponse, prefix: u.inputPrefix()})
		return false
	}
	return response.Reusable && !u.host.isDistrusted()
}

// readValue reads the value of a completed attempt. It returns the complete value if its length is not known, or if it is
// short and there is value memory for it. Otherwise it streams the value as the reply to the client, and returns nil.
func (u *upstreamConn) readValue(attempt *attempt, response *wire.Response, until time.Time) ([]byte, error) {
	memory := u.host.router.valueMemory
	switch {
	case response.LengthUnknown():
		return u.readUnknownLength(attempt, response, until)
	case response.ValueLength <= wire.MaxBufferedValue && memory.tryAcquire(response.ValueLength):
	default:
		return nil, u.streamValue(attempt, response, until)
	}
	value, err := response.ReadValue(u.reader)
	if err == nil {
		err = response.SkipTrailing(u.reader)
	}
	if err != nil {
		memory.release(response.ValueLength)
		return nil, err
	}
	return value, nil
}

// readUnknownLength reads a value whose length is not announced. It is buffered completely, because the reply to the client
// begins with the length. It is read until the client's deadline, or until the attempt is canceled.
func (u *upstreamConn) readUnknownLength(attempt *attempt, response *wire.Response, until time.Time) ([]byte, error) {
	u.reportStarted(attempt, false)
	if err := u.extendRead(attempt, until); err != nil {
		return nil, &wire.AttemptError{Progress: wire.Reading, Err: err}
	}
	value, err := response.ReadValue(u.reader)
	if err != nil {
		return nil, err
	}
	u.host.router.valueMemory.acquire(len(value))
	return value, nil
}

// reportStarted reports to the router that the head of a response has been read and its value is still to come.
func (u *upstreamConn) reportStarted(attempt *attempt, deliverable bool) {
	router := u.host.router
	router.mailbox.post(func() { router.responseStarted(attempt, deliverable) })
}

// extendRead lets the reading of a response go on until the client's deadline, if that is after the attempt's own time.
func (u *upstreamConn) extendRead(attempt *attempt, until time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	deadline := attempt.request.clientDeadline(u.host.router.clock)
	if attempt.cancelled.Load() || !deadline.After(until) {
		return nil
	}
	return u.conn.SetReadDeadline(deadline)
}
