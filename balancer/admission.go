package balancer

// drawLots turns away by chance under overload; worth counts the value, and the part left beyond a share.
func (b *Instance) drawLots() {
	x := b.hand
	x.fresh = false
	w := b.routes[x.Route].worth
	if x.beyond {
		w *= b.beyondPart
	}
	full := float64(b.flying) / b.room
	if (full > 1) != b.full && (full > 1 || full < 0.5) {
		b.full = full > 1
		b.log("overload %v: %d in flight, room for %.0f", b.full, b.flying, b.room)
	}
	if x.turned = full > 0.9 && b.draw() < 4*(full-0.9)*(1.7-w); !x.turned {
		b.spare = min(b.spare+0.1, 10)
	}
}

// cut is the part of the room that an answer which tells of too much work takes: the fewer answers there are,
// the more each takes, or a burst is over before a proxy of little traffic has cut any. So only where peers
// tell of silent nodes: where none do, each proxy meets every jam for the first time, and its few answers
// tell of that.
func (b *Instance) cut() float64 {
	if b.peers == 0 {
		return 0.02
	}
	return min(max(0.8/max(b.count(0), 1), 0.02), 0.3)
}
