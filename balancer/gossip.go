package balancer

import "math"

const (
	maxNotifiedPeers = 32  // per observation, regardless of the number of peers
	suspicionStep    = 0.4 // fraction of the distance to certainty that a peer's report adds to the suspicion
)

// PeerReport reports that a peer has observed an endpoint to be silent or to respond again, which may be
// late, lost or wrong. Silence raises the suspicion by a step, unless this proxy has received a recent
// response; a response resets it. Origins and unknown indices are ignored.
func (b *Balancer) PeerReport(now Time, index int, responds bool) []Decision {
	b.begin(now)
	if index >= 0 && index < len(b.endpoints) && !b.endpoints[index].Origin {
		endpoint := &b.endpoints[index]
		endpoint.gossipAt = now
		if responds {
			endpoint.suspicion = 0
		} else if now-endpoint.lastResponseAt > b.noResponseTimeout {
			current := b.suspicion(endpoint)
			endpoint.suspicion, endpoint.suspicionAt = current+(1-current)*suspicionStep, now
		}
	}
	return b.applyRules()
}

// suspicion returns the probability that an endpoint is silent according to the reports of peers, with which
// it is skipped. It halves in twelve times the no-response timeout.
func (b *Balancer) suspicion(endpoint *endpointState) float64 {
	return endpoint.suspicion * math.Exp2(-float64(b.now-endpoint.suspicionAt)/float64(12*b.noResponseTimeout))
}

// notifyPeers notifies some peers that an endpoint has stopped responding or responds again, unless a report
// on it was sent or received shortly before. Receivers do not forward it.
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
