package balancer

import "math"

const mostTold = 32 // peers that hear of one sight, however many there are

// Heard takes what another proxy tells of a node: that it went silent there, or answers again. Messages may
// be late or lost and their sender mistaken: silence is believed step by step, never beside an answer that
// came here since, and fades; an answer ends it.
func (b *Instance) Heard(now Time, at int, answers bool) []Decision {
	b.begin(now)
	if at >= 0 && at < len(b.nodes) && !b.nodes[at].Origin {
		n := &b.nodes[at]
		n.spread = now
		if answers {
			n.doubt = 0
		} else if now-n.metAt > b.hush {
			n.doubt = b.doubt(n)
			n.doubt += (1 - n.doubt) * 0.4
			n.doubtAt = now
		}
	}
	return b.settle()
}

// doubt is how far this proxy believes that a node is silent, on hearsay: it is passed by that chance. Half
// of it is gone in twelve times the shortest objective.
func (b *Instance) doubt(n *node) float64 {
	return n.doubt * math.Exp2(-float64(b.now-n.doubtAt)/float64(12*b.hush))
}

// tell lets some peers know that a node went silent or answers, unless that went round a moment ago. Each
// receiver is paid for; what they hear of it is theirs to tell only once they have seen it too.
func (b *Instance) tell(n *node, answers bool) {
	if b.peers == 0 || b.now-n.spread < b.hush/2 {
		return
	}
	n.spread = b.now
	at := int(b.draw() * float64(b.peers+1))
	for range min(b.peers+1, mostTold) {
		if at = (at + max((b.peers+1)/mostTold, 1)) % (b.peers + 1); at != b.me {
			b.say(Decision{Act: Tell, Node: n.Node, Peer: at, Answers: answers})
		}
	}
}
