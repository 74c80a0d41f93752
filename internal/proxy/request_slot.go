package proxy

import (
	"hash/fnv"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"

	"go.uber.org/zap"
)

// requestSlot holds a request from its arrival until it has its final reply and no attempt of it is in flight. Its
// index is the balancer's name for the request.
type requestSlot struct {
	request     *request
	attempts    []*attempt
	inFlight    int           // of the attempts
	finished    bool          // the request has its final reply, or its client has gone
	firstSentAt balancer.Time // of the first attempt that the upstream may have carried out; 0: there is none
	trace       requestTrace
}

// handleRequest takes a request that was read whole.
func (r *Router) handleRequest(req *request) {
	route, ok := r.settings.Routes[req.route]
	if !ok {
		req.reply(r.counters, replyError, nil, 0)
		return
	}
	if _, taken := r.openIDs[string(req.id)]; taken {
		// Upstreams would take it for the open one, or reject it one after the other.
		r.counters.Taken.Add(1)
		req.reply(r.counters, replyError, nil, 0)
		return
	}
	slot := r.acquireSlot(req)
	now := r.clock.Now()
	exchange := r.describe(req, route, now)
	r.slots[slot].trace.add(traceEvent{at: req.receivedAt, kind: traceReceived})
	r.apply(now, func(b *balancer.Balancer) []balancer.Decision { return b.Arrive(now, slot, exchange) })
}

// describe returns what the balancer decides on.
func (r *Router) describe(req *request, route int, now balancer.Time) balancer.Request {
	tenant, ok := r.settings.Tenants[req.tenant]
	if !ok {
		tenant = -1
	}
	// A request is held no longer than its route allows, and not beyond the end of the process.
	wait := min(balancer.Time(req.waitMS)*ticksPerMillisecond, r.settings.Balancer.Routes[route].Timeout)
	wait -= now - req.receivedAt
	if r.shutdownAt != 0 {
		wait = min(wait, r.shutdownAt-now)
	}
	return balancer.Request{
		Route: route, Tenant: tenant, Key: keyHash(req.key), HasKey: true,
		Write: req.value != nil, ClientRetry: req.isRetry, RemainingTimeout: wait,
	}
}

func keyHash(key []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(key) // never fails, by the hash package's contract
	return h.Sum64()
}

// acquireSlot gives a request a slot.
func (r *Router) acquireSlot(req *request) int {
	r.openIDs[string(req.id)] = struct{}{}
	slot := len(r.slots)
	if n := len(r.freeSlots); n > 0 {
		slot, r.freeSlots = r.freeSlots[n-1], r.freeSlots[:n-1]
	} else {
		r.slots = append(r.slots, requestSlot{})
	}
	r.slots[slot].request = req
	req.slot, req.hasSlot = slot, true
	return slot
}

// releaseSlot frees a slot once nothing more can come for its request.
func (r *Router) releaseSlot(slot int) {
	s := &r.slots[slot]
	if !s.finished || s.inFlight > 0 || s.request == nil {
		return
	}
	r.logTrace(s)
	delete(r.openIDs, string(s.request.id))
	clear(s.attempts) // or the slot would hold the request's value until its next use
	*s = requestSlot{attempts: s.attempts[:0]}
	r.freeSlots = append(r.freeSlots, slot)
}

// clientGone takes note that the client of a pending request has gone.
func (r *Router) clientGone(req *request) {
	if !req.hasSlot {
		return
	}
	s := &r.slots[req.slot]
	if s.request != req || s.finished {
		return
	}
	r.counters.Left.Add(1)
	now := r.clock.Now()
	s.trace.add(traceEvent{at: now, kind: traceClientGone})
	decisions := r.decide(now, func(b *balancer.Balancer) []balancer.Decision { return b.ClientGone(now, req.slot) })
	r.markFinished(s, lifecycle.ClientLeft)
	r.execute(decisions)
	r.releaseSlot(req.slot)
}

// reject gives a request the final reply that a decision says, unless it has one.
func (r *Router) reject(d *balancer.Decision, kind finalReply) {
	r.counters.Rejections[d.Reason].Add(1)
	s, event := &r.slots[d.Request], traceShed
	if kind == replyError {
		event, s.trace.abnormal = traceFailed, true
	}
	s.trace.add(traceEvent{at: r.clock.Now(), kind: event, reason: d.Reason})
	r.reply(d.Request, kind, nil, d.After)
}

// reply gives a request its final reply, unless it has one. retryAfter is told to clients whose request is shed.
func (r *Router) reply(slot int, kind finalReply, value []byte, retryAfter balancer.Time) {
	if s := &r.slots[slot]; !s.finished {
		r.markFinished(s, lifecycle.ReplyDecided)
		roundedUp := retryAfter + ticksPerMillisecond - 1
		s.request.reply(r.counters, kind, value, milliseconds(roundedUp))
	}
}

// markFinished notes that a request needs nothing more. Attempts that are in flight and not yet written must not be
// written: they may wait for a connection that comes up late, and cancelling may not be allowed.
func (r *Router) markFinished(s *requestSlot, event lifecycle.RequestEvent) {
	s.finished = true
	r.endRequest(s.request, event)
	if s.inFlight == 0 {
		return
	}
	for _, attempt := range s.attempts {
		if h := r.hosts[attempt.host]; h != nil {
			h.post(func() { h.abandon(attempt) })
		}
	}
}

// endRequest notes that nothing more may be begun for a request. Any goroutine may call it.
func (r *Router) endRequest(req *request, event lifecycle.RequestEvent) {
	req.endedAt.CompareAndSwap(0, int64(r.clock.Elapsed()))
	if err := req.life.Apply(event); err != nil {
		r.counters.Invariants.ReplyDecided(req.id, 2)
		r.log.Error("request state", zap.Error(err), zap.ByteString("id", req.id))
	}
}

// attemptFinished takes how an attempt ended.
func (r *Router) attemptFinished(attempt *attempt, result attemptResult) {
	s := &r.slots[attempt.slot]
	s.inFlight--
	now := r.clock.Now()
	s.trace.recordEnd(now, attempt.host, result.outcome)
	if result.outcome == balancer.Completed && !s.finished {
		s.trace.add(traceEvent{at: now, kind: traceCompleted})
	}
	r.hosts[attempt.host].inFlight--
	r.counters.Ends[result.outcome].Add(1)
	if s.firstSentAt == 0 && mayHaveRun(result.outcome) {
		s.firstSentAt = attempt.sentAt
	}
	r.deliver(attempt, result)
	answer := balancer.AttemptResult{
		Request: attempt.slot, Endpoint: attempt.host, Outcome: result.outcome, Latency: now - attempt.sentAt, Replied: s.finished,
	}
	r.zoneAttemptFinished(attempt.host, result.outcome, answer.Latency)
	wasEjected := r.balancer.IsEjected(attempt.host)
	r.apply(now, func(b *balancer.Balancer) []balancer.Decision { return b.AttemptFinished(now, answer) })
	r.dutyAttemptFinished(attempt.host, wasEjected)
	r.releaseSlot(attempt.slot)
}

// mayHaveRun reports whether an attempt with an outcome may have been carried out by the upstream.
func mayHaveRun(outcome balancer.Outcome) bool {
	switch outcome {
	case balancer.Completed, balancer.ServerError, balancer.TimedOut, balancer.Reset, balancer.Cancelled:
		return true
	}
	return false
}

// deliver replies to the client with a completed attempt's value. Values that no client waits for are dropped.
func (r *Router) deliver(attempt *attempt, result attemptResult) {
	s := &r.slots[attempt.slot]
	wanted := result.outcome == balancer.Completed && !s.finished
	switch {
	case wanted && attempt.notFound:
		r.reply(attempt.slot, replyNotFound, nil, 0)
		r.negativeCache.recordMiss(attempt)
	case wanted && result.stream != nil:
		r.markFinished(s, lifecycle.ReplyDecided)
		s.request.replyStream(r.counters, result.stream)
	case wanted:
		r.reply(attempt.slot, replyCompleted, result.value, 0)
	case result.stream != nil:
		result.stream.abandon()
	default:
		r.valueMemory.release(len(result.value))
	}
}
