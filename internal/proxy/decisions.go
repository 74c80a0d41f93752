package proxy

import "woodproxy/balancer"

// execute carries out the balancer's decisions, in order.
func (r *Router) execute(decisions []balancer.Decision) {
	var unsent []*attempt
	for i := range decisions {
		switch d := &decisions[i]; d.Action {
		case balancer.Send:
			if attempt := r.newAttempt(d); !r.sendAttempt(attempt) {
				unsent = append(unsent, attempt)
			}
		case balancer.Cancel:
			r.cancelAttempt(d)
		case balancer.Deliver:
			r.deliverAttempt(d)
		case balancer.Shed:
			r.reject(d, replyShed)
		case balancer.Error:
			r.reject(d, replyError)
		case balancer.SetTimer:
			r.wakeAt = r.clock.Now() + d.After
			r.wakeTimer.Reset(duration(d.After))
		case balancer.PollEndpoints:
			r.endpoints.mailbox.tryPost(r.endpoints.startWatch)
		case balancer.NotifyPeer:
			if r.notifyPeers != nil {
				r.notifyPeers(r.hosts[d.Endpoint].name, d.Responds)
			}
		case balancer.Log:
			r.log.Info(d.Text)
		}
	}
	for i := range decisions {
		if isFinalReply(decisions[i]) {
			r.releaseSlot(decisions[i].Request)
		}
	}
	for _, attempt := range unsent {
		r.attemptFinished(attempt, attemptResult{outcome: balancer.NotSent})
	}
}

// isFinalReply reports whether a decision ends its request with a final reply.
func isFinalReply(d balancer.Decision) bool {
	return d.Action == balancer.Shed || d.Action == balancer.Error
}

// newAttempt returns a new attempt for a Send decision of the balancer.
func (r *Router) newAttempt(d *balancer.Decision) *attempt {
	s := &r.slots[d.Request]
	now := r.clock.Now()
	r.counters.Reasons[d.Reason].Add(1)
	s.trace.add(traceEvent{at: now, kind: traceSent, host: d.Endpoint, reason: d.Reason})
	route := &r.settings.Balancer.Routes[r.settings.Routes[s.request.route]]
	next := &attempt{
		request: s.request, slot: d.Request, host: d.Endpoint, sentAt: now, timeout: d.After, effect: route.Effect,
	}
	if s.firstSentAt > 0 && route.Effect == balancer.Deduped {
		next.startBefore = s.firstSentAt + route.DedupWindow // a later retry would be executed a second time
	}
	return next
}

// sendAttempt records an attempt and posts it to its host. It returns false if the host's mailbox is full.
func (r *Router) sendAttempt(attempt *attempt) bool {
	s, h := &r.slots[attempt.slot], r.hosts[attempt.host]
	s.attempts = append(s.attempts, attempt)
	r.announceExecuted(s)
	if h.isOrigin {
		r.negativeCache.beginFetch(attempt)
	}
	if s.inFlight++; s.inFlight > 1 {
		r.counters.Copies.Add(1)
	}
	h.inFlight++
	r.counters.Tries.Add(1)
	config := &r.settings.Balancer
	r.counters.Invariants.AttemptDecided(s.request.id, len(s.attempts), config.MaxAttempts, s.inFlight, config.ParallelAttempts)
	r.zoneAttemptSent(attempt.host)
	r.dutyAttemptSent(attempt.host)
	return h.tryPost(func() { h.send(attempt) })
}

// decidedAttempt returns the attempt that a decision is about.
func (r *Router) decidedAttempt(d *balancer.Decision) *attempt {
	s := &r.slots[d.Request]
	attempt := s.attempts[d.Attempt]
	r.counters.Invariants.AttemptDecision(s.request.id, d.Attempt, attempt.ended)
	return attempt
}

// cancelAttempt makes the attempt's host cancel it. If the host's mailbox is full, the attempt ends by its timeout.
func (r *Router) cancelAttempt(d *balancer.Decision) {
	attempt := r.decidedAttempt(d)
	r.counters.Cancelled.Add(1)
	r.slots[d.Request].trace.add(traceEvent{at: r.clock.Now(), kind: traceCancelled, host: attempt.host})
	h := r.hosts[attempt.host]
	h.post(func() { h.cancel(attempt) })
}

// deliverAttempt makes the attempt's host begin the reply with the response that it is receiving.
func (r *Router) deliverAttempt(d *balancer.Decision) {
	attempt := r.decidedAttempt(d)
	r.slots[d.Request].trace.add(traceEvent{at: r.clock.Now(), kind: traceDelivered, host: attempt.host})
	h := r.hosts[attempt.host]
	h.post(func() { h.deliver(attempt) })
}
