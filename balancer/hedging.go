package balancer

// long is the time after which a cache's answer is missed: the caches' mean and so many times their straying,
// nearly all at two and overdue at four, and never past the shortest objective.
func (b *Instance) long(times float64) Time { return min(Time(b.took+times*b.strays)+b.tick, b.hush) }

// mayCopy holds for a read that a cache has not answered in the time that nearly all take, while the origin
// has room and would still answer in time: with little traffic each proxy meets each silent or jammed node
// for the first time, and loses a request by that.
func (b *Instance) mayCopy() bool {
	x := b.hand
	return b.parallel && x.Keyed && !x.Write && !x.missed && !b.nodes[x.node].Origin && x.legs < b.maxTries &&
		b.routes[x.Route].Effect == Retriable && b.spare >= 1 && b.now >= b.copyAt(x) &&
		b.now+Time(b.fetch) < x.good && b.queued == 0 && b.originRoom()
}

// copyAt is when nearly all answers have come, or sooner where the origin's would come too late after that.
func (b *Instance) copyAt(x *exchange) Time {
	return x.sent + min(b.long(2), max(b.long(1), x.good-x.sent-Time(b.fetch)-b.tick))
}
