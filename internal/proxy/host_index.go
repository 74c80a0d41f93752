package proxy

import (
	"slices"

	"woodproxy/balancer"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// listSource is the source of an endpoint list or a change of it. It determines how start times of hosts are
// interpreted.
type listSource uint8

const (
	listChange       listSource = iota // a change: hosts that it reports as started are starting now
	listFirstMessage                   // first list or change from discovery: hosts may have started before this process
	listKnownAtStart                   // the list that this process started with: no host counts as new
)

// endpointUpdate is a change of the endpoint list.
type endpointUpdate struct {
	complete  bool // a complete list: hosts that are not in it have departed
	source    listSource
	endpoints []wire.Endpoint
}

// updateEndpoints applies a change of the endpoint list in one call.
func (r *Router) updateEndpoints(update endpointUpdate) {
	if len(r.hosts) == 0 { // without known hosts, new ones can't be distinguished from old ones
		update.source = listKnownAtStart
	}
	r.beginUpdate()
	r.updateHosts(update.endpoints, update.source)
	if update.complete {
		r.departHosts(r.unlistedHosts())
	}
	r.updateDutyNodes()
}

// beginUpdate starts a change of the endpoint list. It is followed by calls of updateHosts and, for a complete list, of
// departHosts.
func (r *Router) beginUpdate() {
	r.removeDeparted(r.clock.Now())
	r.updateCount++
}

// updateHosts applies entries of the endpoint list. Entries that are equal to the current ones change nothing.
func (r *Router) updateHosts(endpoints []wire.Endpoint, source listSource) {
	now := r.clock.Now()
	var changed []*upstreamHost
	for i := range endpoints {
		h, isChanged := r.updateHost(endpoints[i], source, now)
		if h == nil {
			continue
		}
		h.lastUpdate = r.updateCount
		if isChanged {
			changed = append(changed, h)
		}
	}
	if len(changed) > 0 || source == listKnownAtStart {
		r.hostsChanged(now, changed, source == listKnownAtStart)
	}
}

// unlistedHosts returns the listed hosts that the current update, a complete list, does not contain.
func (r *Router) unlistedHosts() (unlisted []*upstreamHost) {
	for _, h := range r.hosts {
		if h != nil && h.lastUpdate != r.updateCount && h.departedAt == 0 {
			unlisted = append(unlisted, h)
		}
	}
	return unlisted
}

// departHosts marks hosts as departed.
func (r *Router) departHosts(unlisted []*upstreamHost) {
	now := r.clock.Now()
	for _, h := range unlisted {
		h.endpoint.Ready = false
		h.setReady(false)
		r.markDeparted(h, now)
	}
	r.hostsChanged(now, unlisted, false)
}

// hostsChanged updates the balancer and the zone health with hosts whose entries have changed.
func (r *Router) hostsChanged(now balancer.Time, changed []*upstreamHost, first bool) {
	for _, h := range r.takeAffected() {
		if !slices.Contains(changed, h) {
			changed = append(changed, h)
		}
	}
	listings := make([]balancer.Endpoint, 0, len(changed))
	for _, h := range changed {
		listings = append(listings, r.listing(h))
	}
	r.apply(now, func(b *balancer.Balancer) []balancer.Decision {
		return b.UpdateEndpoints(now, balancer.EndpointUpdate{First: first, Endpoints: listings})
	})
	r.updateZoneNodes(changed)
}

// markDeparted records the time at which a host left the endpoint list.
func (r *Router) markDeparted(h *upstreamHost, now balancer.Time) {
	if h.departedAt != 0 {
		return
	}
	h.departedAt = now
	r.releaseAddress(h)
	if !h.awaitsRemoval {
		h.awaitsRemoval = true
		r.departedHosts = append(r.departedHosts, h)
	}
}

// updateHost applies a host's entry of the endpoint list, and returns the host and whether its entry has changed. It
// returns nil for a departed host that is not known.
func (r *Router) updateHost(endpoint wire.Endpoint, source listSource, now balancer.Time) (h *upstreamHost, isChanged bool) {
	if index, known := r.hostIndex[endpoint.Name]; known {
		return r.updateKnownHost(r.hosts[index], endpoint, source, now)
	}
	if endpoint.Departed {
		return nil, false
	}
	h = r.addHost(endpoint)
	if source != listKnownAtStart && endpoint.StartedAtUnixMilli == 0 {
		// The balancer, and the proxies that receive the host from this one, assume that it has just started.
		endpoint.StartedAtUnixMilli = int64(now / ticksPerMillisecond)
	}
	h.startedAt = startTime(endpoint, source, now)
	r.updateAddressOwner(h, endpoint, h.claimsAddress(endpoint, source, true))
	r.setEndpoint(h, endpoint, now)
	return h, true
}

func (r *Router) updateKnownHost(
	h *upstreamHost, endpoint wire.Endpoint, source listSource, now balancer.Time,
) (*upstreamHost, bool) {
	claims := h.claimsAddress(endpoint, source, false)
	if h.restartedBy(endpoint) {
		h.startedAt = startTime(endpoint, source, now)
	} else {
		endpoint.StartedAtUnixMilli = h.endpoint.StartedAtUnixMilli
	}
	if (endpoint.Address == "" || endpoint.FromPeer) && h.endpoint.Address != "" {
		endpoint.Address = h.endpoint.Address
	}
	if endpoint == h.endpoint && endpoint.Departed == (h.departedAt != 0) {
		return h, false
	}
	r.updateAddressOwner(h, endpoint, claims)
	r.setEndpoint(h, endpoint, now)
	return h, true
}

// restartedBy reports whether an entry of the endpoint list reports a start after the known one. Discovery sends changes
// in order, so any different start time from it is a restart, even an earlier one: the server's wall clock may have been
// set back. Reports from peers may be outdated, so only a later start time counts. Discovery sends 0 for a start that was
// long ago.
func (h *upstreamHost) restartedBy(endpoint wire.Endpoint) bool {
	known := h.endpoint.StartedAtUnixMilli
	switch {
	case endpoint.StartedAtUnixMilli == 0 || endpoint.StartedAtUnixMilli == known:
		return false
	case endpoint.FromPeer:
		return endpoint.StartedAtUnixMilli > known
	}
	return true
}

// startTime returns the time at which a host started, on this process's clock; 0 means long ago. A start that is
// reported while this process runs counts as happening now, even if the report is late: if the wall clocks of two
// machines were compared, the slow start could be over before it began, or last for as long as the clocks differ. For
// starts before this process, the wall clock is the only source.
func startTime(endpoint wire.Endpoint, source listSource, now balancer.Time) balancer.Time {
	switch {
	case endpoint.StartedAtUnixMilli == 0:
		return 0
	case source != listChange:
		return min(balancer.Time(endpoint.StartedAtUnixMilli)*ticksPerMillisecond, now)
	}
	return now
}

// addHost creates a host and assigns it a free index.
func (r *Router) addHost(endpoint wire.Endpoint) *upstreamHost {
	index := len(r.hosts)
	if n := len(r.freeHosts); n > 0 {
		index, r.freeHosts = r.freeHosts[n-1], r.freeHosts[:n-1]
	} else {
		r.hosts = append(r.hosts, nil)
	}
	r.hostIndex[endpoint.Name] = index
	r.hosts[index] = newUpstreamHost(r, index, endpoint.Name, r.isOrigin(endpoint))
	r.log.Info("new endpoint",
		zap.Int("node", index), zap.String("peer", endpoint.Name), zap.String("at", endpoint.Address))
	return r.hosts[index]
}

func (r *Router) isOrigin(endpoint wire.Endpoint) bool {
	return r.settings.OriginKind != "" && endpoint.Kind == r.settings.OriginKind
}

// setEndpoint replaces the host's entry of the endpoint list.
func (r *Router) setEndpoint(h *upstreamHost, endpoint wire.Endpoint, now balancer.Time) {
	h.endpoint = endpoint
	if known := h.addr.Load(); endpoint.Address != "" && (known == nil || *known != endpoint.Address) {
		address := endpoint.Address
		h.addr.Store(&address)
	}
	h.setReady(h.acceptsRequests())
	if !endpoint.Departed {
		h.departedAt = 0
	} else {
		r.markDeparted(h, now)
	}
}

// setReady records whether the host accepts requests, and the time since which it does not.
func (h *upstreamHost) setReady(ready bool) {
	if ready {
		h.notReadySince.Store(0)
	} else {
		h.notReadySince.CompareAndSwap(0, int64(h.router.clock.Elapsed()))
	}
	h.ready.Store(ready)
}

// listing returns a host as the balancer's endpoint.
func (r *Router) listing(h *upstreamHost) balancer.Endpoint {
	endpoint := &h.endpoint
	zone, ok := r.settings.Zones[endpoint.Zone]
	if !ok {
		zone = -1
	}
	return balancer.Endpoint{
		Index: h.index, Name: endpoint.Name, Origin: r.isOrigin(*endpoint), Ready: h.acceptsRequests(),
		StartedAt: h.startedAt, Weight: endpoint.Weight, Zone: zone, Cell: endpoint.Cell,
	}
}

// removeDeparted frees the indices of hosts that departed longer ago than the longest request timeout and have no
// attempt in flight, so that no request can still refer to them. This keeps the index small: hosts are replaced all the
// time by others with new names.
func (r *Router) removeDeparted(now balancer.Time) {
	r.departedHosts = slices.DeleteFunc(r.departedHosts, func(h *upstreamHost) bool {
		if h.departedAt == 0 { // the host is listed again
			h.awaitsRemoval = false
			return true
		}
		if now-h.departedAt <= r.settings.LongestTimeout || h.inFlight > 0 {
			return false
		}
		delete(r.hostIndex, h.name)
		r.hosts[h.index] = nil
		h.supersedes = nil
		r.freeHosts = append(r.freeHosts, h.index)
		if h.openConns.Load() > 0 {
			h.post(h.stop)
		}
		return true
	})
}

// listedEndpoints returns the entries of the hosts that are listed.
func (r *Router) listedEndpoints() []wire.Endpoint {
	var endpoints []wire.Endpoint
	for _, h := range r.hosts {
		if h != nil && h.departedAt == 0 {
			endpoints = append(endpoints, h.endpoint)
		}
	}
	return endpoints
}
