package proxy

import (
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/invariant"
	"woodproxy/internal/wire"
)

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
// short and there is value memory for it, which an empty value does not need. Otherwise it streams the value as the reply to the
// client, and returns nil.
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
// begins with the length, and no more of it is read than there is value memory for. It is read until the client's deadline, or
// until the attempt is canceled.
func (u *upstreamConn) readUnknownLength(attempt *attempt, response *wire.Response, until time.Time) ([]byte, error) {
	u.reportStarted(attempt, false)
	until, err := u.extendRead(attempt, until)
	if err != nil {
		return nil, &wire.AttemptError{Progress: wire.Reading, Err: err}
	}
	router, acquired := u.host.router, wire.MaxBufferedValue
	err = awaitMemory(attempt, until, func() bool { return router.valueMemory.tryAcquire(acquired) })
	if err != nil {
		return nil, &wire.AttemptError{Progress: wire.Reading, Err: err}
	}
	value, err := response.ReadUnknownLength(u.reader, func(n int) error {
		if err := awaitMemory(attempt, until, func() bool { return router.tryAcquireLongValue(n) }); err != nil {
			return err
		}
		acquired += n
		return nil
	})
	router.valueMemory.release(acquired - len(value))
	return value, err
}

// reportStarted reports to the router that the head of a response has been read and its value is still to come.
func (u *upstreamConn) reportStarted(attempt *attempt, deliverable bool) {
	router := u.host.router
	router.mailbox.post(func() { router.responseStarted(attempt, deliverable) })
}

// extendRead lets the reading of a response go on until the client's deadline, if that is after the attempt's own time, and
// returns the time at which it ends.
func (u *upstreamConn) extendRead(attempt *attempt, until time.Time) (time.Time, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	deadline := attempt.request.clientDeadline(u.host.router.clock)
	if attempt.cancelled.Load() || !deadline.After(until) {
		return until, nil
	}
	return deadline, u.conn.SetReadDeadline(deadline)
}
