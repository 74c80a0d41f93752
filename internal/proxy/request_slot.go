package proxy

import (
	"hash/fnv"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"

	"go.uber.org/zap"
)

// requestSlot holds a request from its arrival until it has its final reply and has no attempt in flight. The balancer
// identifies the request by the index of its slot.
type requestSlot struct {
	request     *request
	attempts    []*attempt
	inFlight    int           // number of attempts in flight
	finished    bool          // the request has its final reply, or its client has gone
	firstSentAt balancer.Time // sentAt of the first attempt that the upstream may have executed; 0: there is none
	trace       requestTrace
}

// handleRequest handles a request of a known route that was read completely.
func (r *Router) handleRequest(req *request) {
	route := r.settings.Routes[req.route]
	now := r.clock.Now()
	if r.isRepeated(req, now) {
		r.counters.Taken.Add(1)
		req.valueMemory.release()
		req.reply(r.counters, replyError, nil, 0)
		return
	}
	slot := r.acquireSlot(req)
	r.counters.QueueDelay.observe(duration(now - req.receivedAt))
	balancerRequest := r.describe(req, route, now)
	r.slots[slot].trace.add(traceEvent{at: req.receivedAt, kind: traceReceived})
	r.apply(now, func(b *balancer.Balancer) []balancer.Decision { return b.Arrive(now, slot, balancerRequest) })
}

// describe returns the balancer's description of a request.
func (r *Router) describe(req *request, route int, now balancer.Time) balancer.Request {
	tenant, ok := r.settings.Tenants[req.tenant]
	if !ok {
		tenant = -1
	}
	// A request is held no longer than its route's timeout.
	wait := min(balancer.Time(req.waitMS)*ticksPerMillisecond, r.settings.Balancer.Routes[route].Timeout)
	waited := now - req.receivedAt
	wait -= waited
	return balancer.Request{
		Route: route, Tenant: tenant, Key: keyHash(req.key), HasKey: true,
		Write: req.value != nil, ClientRetry: req.isRetry, RemainingTimeout: wait, Waited: waited,
	}
}

// keyHash returns the hash of a key or of an id.
func keyHash(key []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(key) // never fails, by the hash package's contract
	return h.Sum64()
}

// acquireSlot assigns a free slot to a request and returns its index.
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

// releaseSlot frees a slot if its request is finished and has no attempt in flight.
func (r *Router) releaseSlot(slot int) {
	s := &r.slots[slot]
	if !s.finished || s.inFlight > 0 || s.request == nil {
		return
	}
	r.logTrace(s)
	r.recordExecuted(s)
	delete(r.openIDs, string(s.request.id))
	s.request.valueMemory.release()
	clear(s.attempts) // otherwise the slot would retain the request's value until its next use
	*s = requestSlot{attempts: s.attempts[:0]}
	r.freeSlots = append(r.freeSlots, slot)
}

// clientGone handles the departure of a pending request's client.
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

// reject sends a request the final reply of a Shed or Error decision, unless it is finished.
func (r *Router) reject(d *balancer.Decision, kind finalReply) {
	r.counters.Rejections[d.Reason].Add(1)
	s, event := &r.slots[d.Request], traceShed
	if kind == replyError {
		event, s.trace.abnormal = traceFailed, true
	}
	s.trace.add(traceEvent{at: r.clock.Now(), kind: event, reason: d.Reason})
	r.reply(d.Request, kind, nil, d.After)
}

// reply sends a request its final reply, unless it is finished. retryAfter is sent to the client as Retry-After if the
// request is shed.
func (r *Router) reply(slot int, kind finalReply, value []byte, retryAfter balancer.Time) {
	if s := &r.slots[slot]; !s.finished {
		r.markFinished(s, lifecycle.ReplyDecided)
		roundedUp := retryAfter + ticksPerMillisecond - 1
		s.request.reply(r.counters, kind, value, milliseconds(roundedUp))
	}
}

// markFinished marks a request as finished and stops the writing of its attempts. Attempts that are in flight but not yet
// written must not be written: they may be waiting for a connection that is established late, and the settings may not
// allow canceling.
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

// endRequest records that no attempt may be started for a request any more. Any goroutine may call it.
func (r *Router) endRequest(req *request, event lifecycle.RequestEvent) {
	req.endedAt.CompareAndSwap(0, int64(r.clock.Elapsed()))
	if err := req.life.Apply(event); err != nil {
		r.counters.Invariants.ReplyDecided(req.id, 2)
		r.log.Error("request state", zap.Error(err), zap.ByteString("id", req.id))
	}
}

// responseStarted handles the head of the response to an attempt whose value is still to come. If it is deliverable, the
// reply can begin before the value is complete.
func (r *Router) responseStarted(attempt *attempt, deliverable bool) {
	now := r.clock.Now()
	r.slots[attempt.slot].trace.add(traceEvent{at: now, kind: traceResponding, host: attempt.host})
	r.apply(now, func(b *balancer.Balancer) []balancer.Decision {
		return b.ResponseStarted(now, attempt.slot, attempt.host, deliverable)
	})
}

// attemptFinished handles the result of an attempt.
func (r *Router) attemptFinished(attempt *attempt, result attemptResult) {
	s := &r.slots[attempt.slot]
	s.inFlight--
	attempt.ended = true
	now := r.clock.Now()
	s.trace.recordEnd(now, attempt.host, result)
	if result.outcome == balancer.Completed && !s.finished {
		s.trace.add(traceEvent{at: now, kind: traceCompleted})
	}
	r.hosts[attempt.host].inFlight--
	r.counters.Ends[result.outcome].Add(1)
	if s.firstSentAt == 0 && (mayHaveRun(result.outcome) || result.unconfirmed) {
		s.firstSentAt = attempt.sentAt
	}
	r.deliver(attempt, result)
	balancerResult := balancer.AttemptResult{
		Request: attempt.slot, Endpoint: attempt.host, Outcome: result.outcome, Latency: now - attempt.sentAt, Replied: s.finished,
		Unconfirmed: result.unconfirmed,
	}
	r.zoneAttemptFinished(attempt.host, result.outcome, balancerResult.Latency)
	wasEjected := r.balancer.IsEjected(attempt.host)
	r.apply(now, func(b *balancer.Balancer) []balancer.Decision { return b.AttemptFinished(now, balancerResult) })
	r.dutyAttemptFinished(attempt.host, wasEjected)
	r.releaseSlot(attempt.slot)
}

// mayHaveRun reports whether the upstream may have executed an attempt with the given outcome.
func mayHaveRun(outcome balancer.Outcome) bool {
	switch outcome {
	case balancer.Completed, balancer.ServerError, balancer.TimedOut, balancer.Reset, balancer.Canceled:
		return true
	}
	return false
}

// deliver replies to the client with the value of a completed attempt. Values that no client waits for are dropped.
func (r *Router) deliver(attempt *attempt, result attemptResult) {
	s := &r.slots[attempt.slot]
	wanted := result.outcome == balancer.Completed && !s.finished
	switch {
	case wanted && attempt.notFound:
		r.reply(attempt.slot, replyNotFound, nil, 0)
		r.negativeCache.recordMiss(attempt, result.conn, r.hosts[attempt.host])
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
