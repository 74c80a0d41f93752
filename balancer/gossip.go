package balancer

import "math"

const (
	maxNotifiedPeers = 32  // of one observation, however many peers there are
	suspicionStep    = 0.4 // how far one report of a peer moves the suspicion towards certainty
)

// PeerReport takes a peer's report that an endpoint stopped responding, or responds again. Reports may be
// late, lost or mistaken: one of silence is believed step by step, never against a response that came here
// since, and fades; one of a response ends the suspicion. An index that is not known is ignored.
func (b *Balancer) PeerReport(now Time, index int, responds bool) []Decision {
	b.begin(now)
	if index >= 0 && index < len(b.endpoints) && !b.endpoints[index].Origin {
		endpoint := &b.endpoints[index]
		endpoint.gossipAt = now
		if responds {
			endpoint.suspicion = 0
		} else if now-endpoint.lastResponseAt > b.noResponseTimeout {
			endpoint.suspicion = b.suspicion(endpoint)
			endpoint.suspicion += (1 - endpoint.suspicion) * suspicionStep
			endpoint.suspicionAt = now
		}
	}
	return b.settle()
}

// suspicion is how likely an endpoint is silent by the reports of peers; it is skipped with that chance.
// Half of it is gone in twelve times the no-response timeout.
func (b *Balancer) suspicion(endpoint *endpointState) float64 {
	return endpoint.suspicion * math.Exp2(-float64(b.now-endpoint.suspicionAt)/float64(12*b.noResponseTimeout))
}

// notifyPeers tells some peers that an endpoint stopped responding or responds again, unless such a report
// went round a moment ago. Each receiver costs something. They pass on only what they have observed
// themselves.
func (b *Balancer) notifyPeers(endpoint *endpointState, responds bool) {
	if b.peerCount == 0 || b.now-endpoint.gossipAt < b.noResponseTimeout/2 {
		return
	}
	endpoint.gossipAt = b.now
	proxies := b.peerCount + 1
	peer := int(b.random.draw() * float64(proxies))
	for range min(proxies, maxNotifiedPeers) {
		if peer = (peer + max(proxies/maxNotifiedPeers, 1)) % proxies; peer != b.self {
			b.emit(Decision{Action: NotifyPeer, Endpoint: endpoint.Index, Peer: peer, Responds: responds})
		}
	}
}
