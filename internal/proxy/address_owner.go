package proxy

import (
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// An address is used by one server process at a time. If discovery lists a host at the address of another one, the process
// of the other one has gone, even if its departure is reported later: what is sent to its address reaches the new process,
// which does not have its keys, may be in slow start, and knows nothing of the requests that the old process has run.
// The other host is therefore superseded: it accepts no requests until its entry names another address or another start,
// or until the host that superseded it departs.

// claimsAddress reports whether an entry of the endpoint list says that a host's process is now the one at its address.
// Lists from which this process starts, and reports from peers, do not say which of two hosts is the later one.
func (h *upstreamHost) claimsAddress(endpoint wire.Endpoint, source listSource, isNew bool) bool {
	if source != listChange || endpoint.FromPeer || endpoint.Departed || endpoint.Address == "" {
		return false
	}
	return isNew || h.departedAt != 0 || h.endpoint.FromPeer || endpoint.Address != h.endpoint.Address || h.restartedBy(endpoint)
}

// updateAddressOwner records the address of a host's new entry, before the entry is set. claims says whether the host
// supersedes another one at the address.
func (r *Router) updateAddressOwner(h *upstreamHost, endpoint wire.Endpoint, claims bool) {
	if endpoint.Address == "" {
		return
	}
	if endpoint.Address != h.endpoint.Address {
		r.releaseAddress(h)
		h.superseded = false
	}
	owner := r.addressOwners[endpoint.Address]
	switch {
	case owner == nil:
		r.addressOwners[endpoint.Address] = h
	case owner != h && claims:
		r.addressOwners[endpoint.Address] = h
		h.superseded = false
		if owner.departedAt == 0 {
			r.supersede(owner, h)
		}
	}
}

// supersede marks a host as superseded by another one at its address.
func (r *Router) supersede(h, by *upstreamHost) {
	by.supersedes, h.superseded = h, true
	h.setReady(false)
	r.affectedHosts = append(r.affectedHosts, h)
	r.counters.HostsSuperseded.Add(1)
	r.log.Info("endpoint superseded: another one is listed at its address",
		zap.String("peer", h.name), zap.String("by", by.name), zap.String("at", h.endpoint.Address))
}

// releaseAddress removes a host from its address when it moves or departs, and returns the host that it had superseded there
// to service.
func (r *Router) releaseAddress(h *upstreamHost) {
	if r.addressOwners[h.endpoint.Address] != h {
		return
	}
	delete(r.addressOwners, h.endpoint.Address)
	previous := h.supersedes
	h.supersedes = nil
	if previous == nil || !previous.superseded || previous.departedAt != 0 || previous.endpoint.Address != h.endpoint.Address {
		return
	}
	r.addressOwners[h.endpoint.Address] = previous
	previous.superseded = false
	previous.setReady(previous.acceptsRequests())
	r.affectedHosts = append(r.affectedHosts, previous)
}

// takeAffected returns the hosts that were superseded or returned to service since the last call.
func (r *Router) takeAffected() []*upstreamHost {
	affected := r.affectedHosts
	r.affectedHosts = nil
	return affected
}

// acceptsRequests reports whether the endpoint list says that the host accepts requests. It must be called on the router's
// goroutine.
func (h *upstreamHost) acceptsRequests() bool { return h.endpoint.Ready && !h.superseded }
