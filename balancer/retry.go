package balancer

// waitOn leaves an exchange whose try is out, until that is no longer worth waiting for.
func (b *Instance) waitOn() {
	x := b.hand
	at := min(x.good, x.deadline-b.tick)
	if !b.nodes[x.node].Origin {
		// look whether it may be copied, whether it is overdue, and again if nothing could be told then
		for _, late := range [...]Time{b.copyAt(x), x.sent + b.long(4), b.now + b.long(4)} {
			if late > b.now {
				at = min(at, late)
				break
			}
		}
	}
	b.remind(b.at, at)
	b.hand = nil
}

// timeUp holds when an answer would come too late to be worth anything, or the overall timeout is upon us.
func (b *Instance) timeUp() bool { return b.now >= min(b.hand.good, b.hand.deadline-b.tick) }

// mayRepeat tells whether an exchange that may have run can be sent once more: no more than a tenth of what
// is let in, or repeats keep up what caused the failures. A connection that was reset is no such cause: where
// servers drop many that have stood idle, each of them costs no more than the next try.
func (b *Instance) mayRepeat() bool {
	r := &b.routes[b.hand.Route]
	if b.spare < 1 && !b.hand.cut && !b.hand.off {
		return false
	}
	return r.Effect == Retriable || r.Effect == Deduped && b.now < b.hand.ranAt+r.Window
}

// inGroup tells whether a node would drop a repeat of the exchange in hand.
func (b *Instance) inGroup(n int) bool {
	x := b.hand
	if !x.ran || b.routes[x.Route].Effect != Deduped {
		return true
	}
	switch b.routes[x.Route].Group {
	case GroupZone:
		return b.nodes[n].Zone == b.nodes[x.ranNode].Zone
	case GroupCell:
		return b.nodes[n].Cell == b.nodes[x.ranNode].Cell
	}
	return true
}

// giveUp answers at once: shed where trying again is harmless, else errored.
func (b *Instance) giveUp() {
	x := b.hand
	r := &b.routes[x.Route]
	if (x.ran || x.out > 0) && (r.Effect == NonRetriable || r.Effect == Deduped && r.Group != GroupAll) {
		b.say(Decision{Act: Error, Cx: b.at})
	} else {
		b.say(Decision{Act: Shed, Cx: b.at, After: b.advice()})
	}
	for leg := x.leg; leg > x.leg-x.out && b.mayCancel; leg-- {
		b.say(Decision{Act: Cancel, Cx: b.at, Leg: leg})
	}
	b.close(b.at)
	b.hand = nil
}

// advice spreads the clients that come back over the later half of what they heed.
func (b *Instance) advice() Time {
	if b.comeBack == 0 {
		return 0
	}
	return b.comeBack/2 + Time(b.draw()*float64(b.comeBack/2))
}
