package balancer

// ReplyStarted reports that the reply to a request has begun. From then on the request succeeds or fails with
// the attempt that delivers it.
func (b *Balancer) ReplyStarted(now Time, index int) []Decision {
	b.begin(now)
	if index < len(b.requests) && b.requests[index].live {
		b.requests[index].streaming = true
		b.clearDeadline(index)
	}
	return b.applyRules()
}

// ClientGone reports that the client has disconnected and needs no reply any more.
func (b *Balancer) ClientGone(now Time, index int) []Decision {
	b.begin(now)
	if index < len(b.requests) && b.requests[index].live {
		b.finish(index)
	}
	return b.applyRules()
}

// TimerFired reports that the timer of the latest SetTimer decision has fired.
func (b *Balancer) TimerFired(now Time) []Decision {
	b.begin(now)
	b.timerAt = never
	return b.applyRules()
}

// UpdateEndpoints applies the endpoint list or a change to it.
func (b *Balancer) UpdateEndpoints(now Time, update EndpointUpdate) []Decision {
	b.begin(now)
	var changed []int
	if update.Complete {
		changed = b.removeUnlisted(update.Endpoints)
	}
	for i := range update.Endpoints {
		b.updateEndpoint(update.Endpoints[i], update.First)
		changed = append(changed, update.Endpoints[i].Index)
	}
	b.updateRing(changed)
	if b.pollsList && update.First {
		b.pollList()
	}
	return b.applyRules()
}

// removeUnlisted marks endpoints that are not listed as not ready and returns their indices.
func (b *Balancer) removeUnlisted(listed []Endpoint) (removed []int) {
	b.visitMark++
	for i := range listed {
		if index := listed[i].Index; index < len(b.endpoints) {
			b.endpoints[index].visitMark = b.visitMark
		}
	}
	for i := range b.endpoints {
		if endpoint := &b.endpoints[i]; endpoint.Ready && endpoint.visitMark != b.visitMark {
			endpoint.Ready = false
			removed = append(removed, i)
		}
	}
	return removed
}

// SetQuotaShare sets the fraction of all proxies' traffic that this proxy may send, in (0, 1]; initially it
// is the same for all proxies. The adapted concurrency limit at the origin is scaled with it, so that the sum
// over all proxies does not change.
func (b *Balancer) SetQuotaShare(now Time, quotaShare float64) []Decision {
	b.begin(now)
	factor := quotaShare / b.quotaShare
	b.quotaShare = quotaShare
	b.origin.scale(quotaShare, factor)
	for tenant := range b.quota.rates {
		b.quota.rates[tenant] *= factor
	}
	return b.applyRules()
}

// Stop reports that the process stops at the given time, which limits all deadlines, also of later requests.
// The reply to a request whose deadline it limits does not begin without the value, which may come after the
// end of the process.
func (b *Balancer) Stop(now, until Time) []Decision {
	b.begin(now)
	b.stopsAt = until
	for i := range b.requests {
		request := &b.requests[i]
		if !request.live || request.heapIndex < 0 || request.deadline <= until {
			continue
		}
		request.deadline = until
		if request.respondingFrom != noEndpoint {
			request.respondingFrom, request.giveUpAt = noEndpoint, until
		}
		request.giveUpAt = min(request.giveUpAt, until-b.tick)
		b.setDeadline(i, min(request.nextCheckAt, request.giveUpAt))
	}
	return b.applyRules()
}
