package proxy

import (
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
