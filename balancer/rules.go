package balancer

import "math"

// rule is one line of the logic: the first whose condition holds is carried out, until none does. Those
// that are held see to the exchange in hand, the others choose what to look at.
type rule struct {
	held bool
	when func(b *Instance) bool
	do   func(b *Instance)
}

const idle, held = false, true

var rules = []rule{
	// Choosing what to look at.
	{idle, func(b *Instance) bool { return len(b.todo) > 0 }, (*Instance).takeNext},
	{idle, func(b *Instance) bool { return len(b.due.at) > 0 && b.due.at[0].due <= b.now }, (*Instance).takeDue},
	{idle, func(b *Instance) bool { return b.queued > 0 && b.originRoom() }, (*Instance).takeQueued},
	{
		idle, func(b *Instance) bool { return b.askAt <= b.now },
		func(b *Instance) { b.askAt = math.MaxInt64; b.say(Decision{Act: Follow}) },
	},
	// Nothing is owed, or nothing can be done yet.
	{
		held, func(b *Instance) bool { return !b.hand.live || b.hand.streaming },
		func(b *Instance) { b.hand = nil },
	},
	{held, (*Instance).timeUp, (*Instance).giveUp},
	{held, func(b *Instance) bool { return b.hand.out > 0 && b.leavesZone() }, (*Instance).callOff},
	{
		held, func(b *Instance) bool { return b.hand.out > 0 && b.fallsSilent() },
		func(b *Instance) { b.fell(&b.nodes[b.hand.node]) },
	},
	{
		held, func(b *Instance) bool { return b.hand.out == 1 && b.mayCopy() },
		func(b *Instance) { b.spare--; b.send(b.quietest()) },
	},
	{held, func(b *Instance) bool { return b.hand.out > 0 }, (*Instance).waitOn},
	// What may not or need not be sent again.
	{held, func(b *Instance) bool { return b.hand.legs >= b.maxTries }, (*Instance).giveUp},
	{held, func(b *Instance) bool { return b.hand.ran && !b.mayRepeat() }, (*Instance).giveUp},
	// Overload: turned away by chance, the cheaper ones more often.
	{held, func(b *Instance) bool { return b.hand.fresh }, (*Instance).drawLots},
	{held, func(b *Instance) bool { return b.hand.turned }, (*Instance).giveUp},
	// One fetch for a key: others wait for it a while, then ask the cache.
	{held, (*Instance).mayJoin, (*Instance).join},
	// Misses and writes go to the origin, within its limit.
	{held, func(b *Instance) bool { return b.hand.missed && len(b.origins) == 0 }, (*Instance).giveUp},
	{held, func(b *Instance) bool { return b.hand.missed && b.originRoom() }, (*Instance).toOrigin},
	{held, func(b *Instance) bool { return b.hand.missed && b.hopeless() }, (*Instance).giveUp},
	{held, func(b *Instance) bool { return b.hand.missed }, (*Instance).enqueue},
	// The ring.
	{held, func(b *Instance) bool { return b.pick == unknown }, (*Instance).look},
	{held, func(b *Instance) bool { return b.pick >= 0 }, func(b *Instance) { b.send(b.pick) }},
	// What no cache may have is left to the origin: none is on the ring, or all just started.
	{
		held, func(b *Instance) bool { return b.hand.legs == 0 && len(b.origins) > 0 },
		func(b *Instance) { b.hand.missed = true },
	},
	{held, func(b *Instance) bool { return true }, (*Instance).giveUp},
}
