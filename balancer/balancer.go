// Package balancer decides what becomes of each exchange: which node gets it, when it is tried again, when it
// is turned away. One Instance decides for one proxy; instances share nothing. Each method reports one
// thing that happened, with the clock in tenths of a millisecond, and returns the decisions that follow, in
// order, in a slice that the next call reuses. Exchanges and nodes are small indices that the caller hands
// out; it may reuse an exchange's index once that has its final answer and all its upstream tries have
// ended. No I/O in here.
//
// Interface: New, Nodes, ListFailed, Arrive, Returned, Streaming, Heard, Share, Bar, Rest, Until, Left, Woken
package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	second    = Time(10000)
	mostTold  = 32  // peers that hear of one sight, however many there are
	ringSpots = 160 // points of a node of usual weight (the design's figure)
	overMean  = 2.0 // the pass-over bound, in own means (the design's figure)
)

// New returns an instance that knows no nodes yet.
func New(now Time, t Terms, seed uint64) *Instance {
	b := &Instance{
		share: 1 / float64(max(t.Proxies, 1)), aside: t.Aside, mayCancel: t.MayCancel,
		parallel: t.Parallel && t.Aside,
		maxTries: max(t.MaxTries, 1), tick: max(t.Tick, 1), cold: t.Cold, coldFrom: t.ColdFrom,
		pushed: t.FallMultiple, pushedFor: max(t.Fall, 1), beyondPart: t.BeyondShare, ask: t.Ask,
		askEvery: max(t.AskEvery, second), rough: t.RoughWeights, chance: seed, now: now,
		fetches: map[uint64]int{}, waiters: map[uint64][]int{}, wakeAt: math.MaxInt64, askAt: math.MaxInt64,
		peers: t.Peers, me: t.Me, comeBack: t.MaxRetryAfter * Time(one(t.RetryAfter)), rateAt: now, began: now,
		room: 8, spare: 5,
	}
	dearest, shortest := 0.0, 60*second
	for _, r := range t.Routes {
		dearest = max(dearest, r.Value)
		shortest = min(shortest, r.Objective)
	}
	for _, r := range t.Routes {
		f := route{Route: r, patience: r.Objective - 2*b.tick, worth: r.Value / max(dearest, 1e-9)}
		f.aim = f.patience
		if r.Overdue > 0 && !t.Punctual {
			f.patience = r.Overall
		}
		b.routes = append(b.routes, f)
	}
	shortest = max(shortest, b.tick)
	b.hush, b.originAim, b.took, b.fetch = shortest, shortest/2, float64(shortest), float64(shortest)/4
	// all proxies' limits begin at sixteen tries, and come down to eight, but that few proxies keep one each
	b.limit, b.least = min(4, max(16*b.share, 1)), min(1, 8*b.share)
	b.lean = b.limit / 2
	// a key that is passed on misses there: the dearer a fetch, the later
	b.crowd = min(0.3+t.Fetch, 0.5)
	for _, a := range t.Allowance {
		b.allowance = append(b.allowance, a*b.share)
	}
	b.spent, b.spentAt = make([]float64, len(t.Allowance)), make([]Time, len(t.Allowance))
	return b
}

// Nodes takes the node list, whole or only the changed lines.
func (b *Instance) Nodes(now Time, whole, first bool, lines []Listing) []Decision {
	b.begin(now)
	if whole {
		b.walk++
		for _, l := range lines {
			if l.Node < len(b.nodes) {
				b.nodes[l.Node].seen = b.walk
			}
		}
		for i := range b.nodes {
			b.nodes[i].Ready = b.nodes[i].Ready && b.nodes[i].seen == b.walk
		}
	}
	for _, l := range lines {
		for len(b.nodes) <= l.Node {
			b.nodes = append(b.nodes, node{})
		}
		n := &b.nodes[l.Node]
		if n.Name != l.Name {
			*n = node{} // another's, long gone: what was known of that one says nothing of this
		}
		if l.Since == 0 && n.Name == "" && !first {
			l.Since = now // newly seen: as good as just started
		}
		if n.Name == "" || l.Since > n.Since {
			// a process that started anew owes nothing to the old one's record, and is cold
			n.down, n.rest, n.answers, n.slow, n.faults, n.refused = false, 0, 0, 0, 0, 0
			n.budget, n.budgetAt, n.doubt, n.metAt = 0, now, 0, now-b.hush-1
		}
		l.Since = max(l.Since, n.Since)
		n.Listing = l
	}
	b.rebuild()
	if b.ask && first {
		b.say(Decision{Act: Follow})
	}
	return b.settle()
}

// ListFailed reports that asking for the list failed; it is asked for again, well within the term for
// asking.
func (b *Instance) ListFailed(now Time) []Decision {
	b.begin(now)
	if b.ask {
		b.askAt = now + min(second, b.askEvery/4)
	}
	return b.settle()
}

// Arrive takes a new exchange under the index cx.
func (b *Instance) Arrive(now Time, cx int, e Exchange) []Decision {
	b.begin(now)
	for len(b.xs) <= cx {
		b.xs = append(b.xs, exchange{place: -1})
	}
	x := &b.xs[cx]
	*x = exchange{Exchange: e, live: true, fresh: true, place: -1, node: -1, ranNode: -1,
		tried: x.tried[:0]}
	r := &b.routes[e.Route]
	x.deadline = now + e.Remaining
	x.good = now + r.patience - b.since(r, &e)
	x.aim = x.good - r.patience + r.aim
	x.good = min(x.good, x.deadline-b.tick)
	x.missed = e.Write && b.aside
	x.beyond = b.spend(e.Tenant)
	b.todo = append(b.todo, cx)
	return b.settle()
}

// since returns how long ago the client first asked, where its remaining time tells. First tries of a route
// come with the same time left, give or take two ticks; a later one that shows another has what is left of
// the overall timeout, and its objective has been running all along.
func (b *Instance) since(r *route, e *Exchange) Time {
	near := max(e.Remaining-r.usual, r.usual-e.Remaining) <= 2*b.tick
	switch {
	case near && !e.Repeat:
		r.votes = min(r.votes+1, 1000)
	case e.Repeat && near:
	case e.Repeat || r.votes > 0:
		if !e.Repeat {
			r.votes--
		}
		return max(r.Overall-e.Remaining, 0)
	default:
		r.usual, r.votes = e.Remaining, 1
	}
	return 0
}

// Streaming reports that the answer has begun: the exchange now lives and dies with that try.
func (b *Instance) Streaming(now Time, cx int) []Decision {
	b.begin(now)
	if cx < len(b.xs) && b.xs[cx].live {
		b.xs[cx].streaming = true
		b.forget(cx)
	}
	return b.settle()
}

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

// Share takes the part of what all proxies may do together that this one may from now on; it begins as an
// even one. What has been learnt of the origin's limit goes with it, so that the sum over all stays.
func (b *Instance) Share(now Time, part float64) []Decision {
	b.begin(now)
	by := part / b.share
	b.share, b.least, b.lean = part, min(1, 8*part), min(4, max(16*part, 1))/2
	b.limit, b.held = min(max(b.limit*by, b.least), 256), b.held*by
	for i := range b.allowance {
		b.allowance[i] *= by
	}
	return b.settle()
}

// Bar has a part of the keys pass a node by, the same keys at every proxy, since its zone is left: none of
// their tries goes there, the room is that of the others, and what is out there is called off if off says so.
func (b *Instance) Bar(now Time, at int, part float64, off bool) []Decision {
	b.begin(now)
	b.nodes[at].part, b.nodes[at].off = part, off
	for cx := range b.xs {
		if x := &b.xs[cx]; off && x.live && x.out > 0 && x.node == at {
			b.todo = append(b.todo, cx)
		}
	}
	b.rebuild()
	return b.settle()
}

// Rest has a node's next trial, if it is passed over, be no sooner than at a time: all proxies take turns.
func (b *Instance) Rest(now Time, at int, until Time) []Decision {
	b.begin(now)
	b.nodes[at].retryAt = until
	return b.settle()
}

// Left reports that the client went away; nothing is owed any more.
func (b *Instance) Left(now Time, cx int) []Decision {
	b.begin(now)
	if cx < len(b.xs) && b.xs[cx].live {
		b.close(cx)
	}
	return b.settle()
}

// Woken reports that the time asked for with Wake has come.
func (b *Instance) Woken(now Time) []Decision {
	b.begin(now)
	b.wakeAt = math.MaxInt64
	return b.settle()
}

// Returned reports the end of an upstream try.
func (b *Instance) Returned(now Time, a Answer) []Decision {
	b.begin(now)
	x, n := &b.xs[a.Cx], &b.nodes[a.Node]
	if x.out--; x.out == 1 && a.Node == x.node {
		x.node, x.leg = x.twin, x.leg-1 // the copy has ended, and the first try goes on
	}
	n.out--
	if n.Origin {
		b.atOrigin--
	} else {
		b.flying--
	}
	b.judge(x, n, a)
	neverRan := a.Ending == NoRoom || a.Ending == Unreachable || a.Ending == NeverSent || a.Ending == Lacking
	if !neverRan && !x.ran {
		x.ran, x.ranAt, x.ranNode = true, x.sent, a.Node
	}
	if a.Ending == Lacking {
		x.missed = true
	}
	x.cut = a.Ending == Cut
	if x.leads && n.Origin {
		b.landed(x)
	}
	if a.Ended && x.live {
		b.close(a.Cx)
	}
	if x.live {
		b.todo = append(b.todo, a.Cx)
	}
	return b.settle()
}

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
	{idle, func(b *Instance) bool { return b.askAt <= b.now },
		func(b *Instance) { b.askAt = math.MaxInt64; b.say(Decision{Act: Follow}) }},
	// Nothing is owed, or nothing can be done yet.
	{held, func(b *Instance) bool { return !b.hand.live || b.hand.streaming },
		func(b *Instance) { b.hand = nil }},
	{held, (*Instance).timeUp, (*Instance).giveUp},
	{held, func(b *Instance) bool { return b.hand.out > 0 && b.leavesZone() }, (*Instance).callOff},
	{held, func(b *Instance) bool { return b.hand.out > 0 && b.fallsSilent() },
		func(b *Instance) { b.fell(&b.nodes[b.hand.node]) }},
	{held, func(b *Instance) bool { return b.hand.out == 1 && b.mayCopy() },
		func(b *Instance) { b.spare--; b.send(b.quietest()) }},
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
	{held, func(b *Instance) bool { return b.hand.legs == 0 && len(b.origins) > 0 },
		func(b *Instance) { b.hand.missed = true }},
	{held, func(b *Instance) bool { return true }, (*Instance).giveUp},
}

const unknown, nowhere = -1, -2

func (b *Instance) begin(now Time) { b.now, b.out = now, b.out[:0] }

// settle goes through the rules until none fires, then sees to the one wake that is out.
func (b *Instance) settle() []Decision {
again:
	for i := range rules {
		if r := &rules[i]; r.held == (b.hand != nil) && r.when(b) {
			r.do(b)
			goto again
		}
	}
	next := b.askAt
	if len(b.due.at) > 0 {
		next = min(next, b.due.at[0].due)
	}
	if b.queued > 0 && b.originAt > b.now {
		next = min(next, b.originAt)
	}
	if next < b.wakeAt {
		b.wakeAt = next
		b.say(Decision{Act: Wake, After: max(next-b.now, 1)})
	}
	return b.out
}

func (b *Instance) say(d Decision) { b.out = append(b.out, d) }

func (b *Instance) log(format string, args ...any) {
	b.say(Decision{Act: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Instance) take(cx int) { b.hand, b.at, b.pick = &b.xs[cx], cx, unknown }

func (b *Instance) takeNext() {
	b.take(b.todo[0])
	b.todo = slices.Delete(b.todo, 0, 1)
}

func (b *Instance) takeDue() {
	cx := b.due.at[0].cx
	b.forget(cx)
	x := &b.xs[cx]
	if x.waits {
		b.unwait(cx)
	}
	b.take(cx)
}

func (b *Instance) takeQueued() {
	for i := range b.queue {
		if len(b.queue[i]) > 0 {
			cx := b.queue[i][0]
			b.unqueue(cx)
			b.take(cx)
			return
		}
	}
}

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

// fallsSilent holds when a cache has answered nothing since the try in hand was sent, for as long as an
// answer may take, while another cache has answered: a node that takes work and does none, or is cut off.
func (b *Instance) fallsSilent() bool {
	n := &b.nodes[b.hand.node]
	return !n.down && !n.Origin && b.overdue(n) && b.lastCome > b.hand.sent &&
		(n.out >= 2 || b.now-b.hand.sent >= b.hush)
}

func (b *Instance) overdue(n *node) bool {
	return n.quiet <= b.hand.sent && b.now-b.hand.sent >= b.long(4)
}

// barred holds for a node that the key in hand passes by, since its zone is left in whole or in part.
func (b *Instance) barred(n *node) bool {
	return n.part > 0 && float64(mix(mix(b.hand.Key))>>40) < n.part*(1<<24)
}

// leavesZone holds for a try that is out in a zone that is left, or overdue in one that returns, if the route
// lets it be sent elsewhere: a deduped one's repeat that leaves its group would be carried out.
func (b *Instance) leavesZone() bool {
	x := b.hand
	n, r := &b.nodes[x.node], &b.routes[x.Route]
	return n.off && !x.off && b.mayCancel && (b.barred(n) || b.overdue(n)) && (r.Effect ==
		Retriable || r.Effect == Deduped && r.Group == GroupAll && b.now < x.sent+r.Window)
}

func (b *Instance) callOff() {
	b.hand.off = true // once for a try; no sign of too much work, so that its repeat is not of those bounded
	b.say(Decision{Act: Cancel, Cx: b.at, Leg: b.hand.leg})
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

// close ends what is known of an exchange but for the tries that are still out.
func (b *Instance) close(cx int) {
	x := &b.xs[cx]
	x.live = false
	b.forget(cx)
	if x.queued {
		b.unqueue(cx)
	}
	if x.waits {
		b.unwait(cx)
	}
	if x.leads {
		b.landed(x)
	}
}

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

// spend counts an arrival against its tenant's share and tells whether it lies beyond.
func (b *Instance) spend(tenant int) bool {
	if tenant < 0 || tenant >= len(b.spent) {
		return false
	}
	gone := float64(b.now-b.spentAt[tenant]) / float64(second)
	b.spentAt[tenant] = b.now
	b.spent[tenant] = max(0, b.spent[tenant]-gone*b.allowance[tenant])
	if b.spent[tenant] > b.allowance[tenant]*2+2 {
		return true
	}
	b.spent[tenant]++
	return false
}

// mayJoin holds for a read of a key whose fetch by this proxy is out, once for each exchange.
func (b *Instance) mayJoin() bool {
	x := b.hand
	if !x.Keyed || x.Write || x.joined || x.queued {
		return false
	}
	lead, ok := b.fetches[x.Key]
	return ok && lead != b.at
}

func (b *Instance) join() {
	x := b.hand
	x.joined, x.waits = true, true
	b.waiters[x.Key] = append(b.waiters[x.Key], b.at)
	b.remind(b.at, min(b.now+(x.good-b.now)/2, x.deadline-b.tick))
	b.hand = nil
}

func (b *Instance) unwait(cx int) {
	x := &b.xs[cx]
	x.waits = false
	b.waiters[x.Key] = slices.DeleteFunc(b.waiters[x.Key], func(at int) bool { return at == cx })
}

// landed lets those go on that waited for a fetch; they ask the cache, which now holds the answer.
func (b *Instance) landed(x *exchange) {
	x.leads = false
	delete(b.fetches, x.Key)
	for _, w := range slices.Backward(b.waiters[x.Key]) {
		o := &b.xs[w]
		o.waits, o.missed = false, false
		o.tried = o.tried[:0]
		b.forget(w)
		b.todo = append(b.todo, w)
	}
	delete(b.waiters, x.Key)
}

func (b *Instance) originRoom() bool {
	return len(b.origins) > 0 && b.atOrigin < max(int(b.limit), 1) && b.now >= b.originAt
}

// hopeless holds when the queue for the origin is too long for an answer in time.
func (b *Instance) hopeless() bool {
	return max(b.now, b.originAt)+Time((1+float64(b.queued)/b.limit)*b.fetch) > b.hand.good
}

func (b *Instance) enqueue() {
	x := b.hand
	x.queued = true
	b.queued++
	i := 1 - int(one(x.Write)) // writes first
	b.queue[i] = append(b.queue[i], b.at)
	b.lead(x)
	b.remind(b.at, min(x.good, x.deadline-b.tick))
	b.hand = nil
}

func (b *Instance) unqueue(cx int) {
	b.xs[cx].queued = false
	b.queued--
	for i := range b.queue {
		if j := slices.Index(b.queue[i], cx); j >= 0 {
			b.queue[i] = slices.Delete(b.queue[i], j, j+1)
		}
	}
}

func (b *Instance) lead(x *exchange) {
	if _, out := b.fetches[x.Key]; x.Keyed && !x.Write && !out {
		b.fetches[x.Key] = b.at
		x.leads = true
	}
}

// quietest is the origin with the fewest own tries out, -1: none may have the exchange in hand.
func (b *Instance) quietest() int {
	best := -1
	for _, o := range b.origins {
		if b.inGroup(o) && (best < 0 || b.nodes[o].out < b.nodes[best].out) {
			best = o
		}
	}
	return best
}

func (b *Instance) toOrigin() {
	best := b.quietest()
	if best < 0 {
		b.giveUp()
		return
	}
	b.lead(b.hand)
	// let it finish: late, it fills the cache yet, and given up, it would cost the origin as much
	b.hand.good = b.hand.deadline - b.tick
	b.send(best)
}

// send starts an upstream try; its time-out is what is left of the time worth waiting.
func (b *Instance) send(to int) {
	x := b.hand
	b.went(x, to)
	b.say(Decision{Act: Send, Cx: b.at, Node: to, After: max(min(x.good, x.deadline-b.tick)-b.now, b.tick)})
	b.waitOn()
}

// went notes that a try is out.
func (b *Instance) went(x *exchange, to int) {
	n := &b.nodes[to]
	if n.out == 0 {
		n.quiet = b.now
	}
	n.out++
	x.out++
	x.leg, x.twin = x.legs, x.node
	x.legs++
	x.node, x.sent = to, b.now
	x.tried = append(x.tried, to)
	if n.Origin {
		b.atOrigin++
	} else {
		b.flying++
	}
	if x.ran && !x.cut && !x.off {
		b.spare--
	}
	x.off = false
	if n.down {
		n.retryAt = b.now + n.rest
	}
}

// look walks clockwise from the key's hash to the first server that may have the exchange.
func (b *Instance) look() {
	b.pick = nowhere
	if len(b.ring) == 0 {
		return
	}
	h := b.hand.Key
	if !b.hand.Keyed {
		h = uint64(b.draw() * (1 << 53))
	}
	h = mix(h)
	i, _ := slices.BinarySearchFunc(b.ring, h, func(p point, h uint64) int { return cmp.Compare(p.at, h) })
	b.walk++
	sick, crowd := nowhere, nowhere
	bound := max(overMean*float64(b.flying)/float64(b.caches)+1, 1)
	for left, step := b.caches, 0; left > 0 && step < len(b.ring); step++ {
		at := int(b.ring[(i+step)%len(b.ring)].node)
		n := &b.nodes[at]
		if n.seen == b.walk {
			continue
		}
		n.seen = b.walk
		left--
		over := step == 0 && n.out >= 2 && float64(n.out) > bound || b.refuses(n)
		switch {
		case slices.Contains(b.hand.tried, at) || !b.inGroup(at) || b.barred(n) || b.coldFull(n):
		case b.sick(n) || over || n.doubt > 0 && b.draw() < b.doubt(n):
			if sick == nowhere {
				sick = at // better than none
			}
		case crowd != nowhere:
			if b.pick = crowd; n.slow < b.nodes[crowd].slow/2 {
				b.pick = at
			}
			return
		case b.crowded(n):
			crowd = at
		default:
			b.pick = at
			return
		}
	}
	if b.pick = sick; crowd != nowhere {
		b.pick = crowd
	}
}

// crowded holds for a node whose latest answers took most of the time that the exchange in hand has left;
// the next clockwise serves it if that one is twice as quick.
func (b *Instance) crowded(n *node) bool {
	// sooner, where it is seldom met, but not so soon that chance passes keys on
	most := max(b.crowd-0.15*weight(0, b.meetings(), 10*second), 0.3)
	return n.slow > most*float64(min(b.hand.good, b.hand.aim)-b.now) &&
		b.now-n.slowAt < max(3*b.hush, 2*b.meetings())
}

// refuses holds by chance for a node that turned over a third of this proxy's latest tries away as full,
// always for one that turned away nearly all: a hot key spreads clockwise over as many nodes as it takes,
// without a try in vain at each. It fades, so that the node is asked again.
func (b *Instance) refuses(n *node) bool {
	if n.refused < 0.35 {
		return false
	}
	age := float64(b.now-n.triedAt) / float64(max(second, b.meetings()))
	return b.draw() < 2*n.refused*math.Exp2(-age)-0.7
}

// coldFull holds for a fresh node with as much in flight as its answers so far allow, or whose part of the
// budget is used up. The budget is what the rule lets all proxies send, cut to this proxy's part, with the
// capacity taken to be no more than what a warm node bears for this proxy.
func (b *Instance) coldFull(n *node) bool {
	age := b.now - n.Since
	if n.Since == 0 || age >= b.cold {
		return false
	}
	if n.out >= 1+n.answers/4 {
		return true
	}
	part := b.coldFrom + (1-b.coldFrom)*float64(max(age, 0))/float64(b.cold)
	// a node that serves one at a time does one in the time that answers take: no node can do less
	warm := b.count(0) / float64(max(b.caches, 1))
	rate := max(0.5*b.pushed*part*warm, b.share*part*float64(second)/max(b.took, 1))
	n.budget += rate * float64(b.now-n.budgetAt) / float64(second)
	// what a window of the rule has room for, saved up by all proxies, may come at one time; one from each of
	// many would be too much, so that a part of a send is one by chance
	window := rate * float64(b.pushedFor) / float64(second)
	n.budget = min(n.budget, 1.5*window, 1+window/4)
	n.budgetAt = b.now
	lot := min(n.budget, 1)
	n.budget -= lot
	return b.draw() >= lot
}

// count adds to the rate of the caches' answers, which fades: half is gone in seven seconds. What there
// was no time yet to count is made up for.
func (b *Instance) count(more float64) float64 {
	b.answered = b.answered*fade(b.now-b.rateAt) + more
	b.rateAt = b.now
	return b.answered * 0.1 / max(1-fade(b.now-b.began), 0.01)
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

func one(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func fade(gone Time) float64 { return math.Exp2(-float64(gone) / float64(7*second)) }

// weight is what a sight counts in a mean: the longer since the last one, the more.
func weight(least float64, gap, span Time) float64 {
	return min(max(least, float64(gap)/float64(span)), 1)
}

// slows notes what a node's answer took.
func (b *Instance) slows(n *node, took, least float64) {
	n.slow += (took - n.slow) * weight(least, b.now-n.slowAt, 10*second)
	n.slowAt = b.now
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

// meetings is the mean time between two of this proxy's answers from one cache.
func (b *Instance) meetings() Time {
	return Time(float64(second) * float64(b.caches) / max(b.count(0), 1))
}

// sick holds for a node that is passed over: it failed to connect or went silent, and its next try is not
// due.
func (b *Instance) sick(n *node) bool {
	return n.down && (b.now < n.retryAt || n.out > 0)
}

func (b *Instance) fell(n *node) {
	// as long as it may be until this proxy would ask it anyway, or each try is a trial
	n.rest = min(max(2*n.rest, b.hush, b.meetings()), 4*max(b.hush, b.meetings()))
	n.retryAt = b.now + n.rest
	b.tell(n, false)
	if !n.down {
		n.down = true
		b.log("node %d passed over: %d out, silent %d ms, %.0f%% failed", n.Node, n.out, (b.now-n.quiet)/10,
			100*n.faults)
	}
}

// judge learns of a node's health from the end of a try.
func (b *Instance) judge(x *exchange, n *node, a Answer) {
	n.refused += (one(a.Ending == NoRoom) - n.refused) * weight(1.0/8, b.now-n.triedAt, 3*second)
	n.triedAt = b.now
	alive := a.Ending == Completed || a.Ending == Lacking || a.Ending == Fault || a.Ending == NoRoom
	// a try called off when its time was up was no less late than one whose own time-out came first
	late := a.Ending == Silent || (a.Ending == Completed || a.Ending == Lacking || a.Ending == Undone) &&
		a.Took > b.routes[x.Route].aim*3/4
	if n.Origin && a.Ending == Completed {
		// with many proxies one asks the origin once in a second or two, and would learn of a jam when it is over
		b.fetch += (float64(a.Took) - b.fetch) * weight(1.0/16, b.now-b.fetchAt, 4*second)
		b.fetchAt = b.now
		b.limit = max(b.limit, b.held/2*one(a.Took <= 2*b.originAim)) // silence tells of the way there
	}
	if !n.Origin && !x.missed && !((a.Ending == Silent || a.Ending == Undone) && n.down) {
		b.lates += (one(late) - b.lates) * weight(1.0/64, b.now-b.latesAt, 10*second)
		b.latesAt = b.now
	}
	switch {
	case n.Origin && a.Ending == Completed && a.Took <= b.originAim:
		if float64(b.atOrigin+1) > b.limit/2 { // what was never used was never tried
			b.limit = min(b.limit+min(b.limit, 1/b.limit), 256)
		}
	case n.Origin && (a.Ending == NoRoom || a.Took > 2*b.originAim &&
		(b.fetch > float64(b.originAim) || a.Ending != Completed && n.quiet <= x.sent)):
		// one long answer among quick ones tells of the work in it, a write's above all, not of a loaded origin,
		// and one that never comes while others do, of its connection
		if b.now-b.cutAt > b.originAim {
			part := 0.7
			if b.limit <= 1 {
				part = 0.4 // with pauses between tries there are few sights to fall by
			}
			b.limit = max(b.limit*part, b.least)
			b.cutAt = b.now
		}
	case n.Origin || x.missed || (a.Ending == Silent || a.Ending == Undone) && n.down:
		// the origin's, or a silent node's: no sign that the caches have too much to do
	case late || a.Ending == Fault && b.faults > 0.1 || a.Ending == NoRoom && x.legs >= 3:
		b.slows(n, float64(max(a.Took, b.hush/2)), 0.5)
		if a.Ending == NoRoom || a.Ending == Fault || n.slow < 2*b.took || b.peers > 0 && b.lates > 0.2 {
			// a few nodes that are late among quick ones are passed by; they do not tell of too much work for all, but
			// a fifth of all answers do, though mean and lateness drift apart when late tries end unanswered. Where
			// peers tell nothing a fifth may come of resets and jams that each proxy meets for itself
			b.room = max(min(b.room, 4*float64(b.flying)+8)*(1-b.cut()), 2, float64(b.caches)*b.share)
		}
	case a.Ending == Completed:
		if float64(b.flying) > b.room/2 {
			b.room += max(b.room*0.002, 0.02)
		}
		b.slows(n, float64(a.Took), 0.25)
		b.timed = min(b.timed+1, 32) // the first ones count for more: with little traffic 32 take seconds
		b.took += (float64(a.Took) - b.took) / b.timed
		b.strays += (math.Abs(float64(a.Took)-b.took) - b.strays) / max(b.timed, 4)
	}
	b.held += (b.limit - b.held) * one(n.Origin && a.Ending == Completed)
	if n.Origin && b.limit < 1 {
		// of many proxies, one try of each at a time is more than a loaded origin answers
		b.originAt = b.now + Time((1/b.limit-1)*float64(b.originAim))
	}
	if tight := b.limit < b.lean || b.tight && b.limit < 2*b.lean; tight != b.tight {
		b.tight = tight
		b.log("origin tight %v: %.1f at a time, answers take %.0f ms, %d wait", tight, b.limit, b.fetch/10,
			b.queued)
	}
	if alive {
		n.quiet, n.metAt = b.now, b.now
		if n.doubt > 0 {
			n.doubt = 0
			b.tell(n, true)
		}
	}
	if alive && !n.Origin {
		b.lastCome = b.now
		if a.Ending != NoRoom {
			n.answers++
			b.count(1)
			bad := one(a.Ending == Fault)
			n.faults += (bad - n.faults) / 8
			b.faults += (bad - b.faults) / 64
		}
		if a.Ending == Fault && n.faults > 0.4 && n.faults > 2*b.faults {
			b.fell(n) // it fails much of its work, and the others do not
		} else if n.down && a.Ending != Fault {
			n.down, n.rest = false, 0
			b.log("node %d answers again", n.Node)
		}
	}
	if a.Ending == Unreachable && !n.Origin || (a.Ending == Silent || a.Ending == Undone) && n.down &&
		n.quiet <= x.sent && b.now >= n.retryAt { // the latter is a trial in vain
		b.fell(n)
	}
}

// rebuild brings the ring up to date: each ready cache by its points. Points depend on nothing but name
// and weight, so that a join or leave moves only that server's arcs; what stays is not sorted anew, which
// hundreds of nodes that come one by one made dear.
func (b *Instance) rebuild() {
	before, leaves := b.open, false
	b.origins, b.caches, b.open = b.origins[:0], 0, 0
	sum, many := 0.0, 0.0
	for i := range b.nodes {
		if n := &b.nodes[i]; n.Ready && !n.Origin {
			sum, many = sum+n.Weight, many+1
		}
	}
	if b.weightOf == 0 && sum > 0 {
		// the power of two next to the mean: the same at every proxy, whatever its list
		b.weightOf = math.Exp2(math.Round(math.Log2(sum / many)))
	}
	var fresh []point
	for i := range b.nodes {
		n := &b.nodes[i]
		spots := 0
		switch {
		case !n.Ready:
		case n.Origin:
			b.origins = append(b.origins, i)
		case b.rough && n.Weight > 0:
			spots = max(int(math.Round(ringSpots*n.Weight/b.weightOf)), 1)
		default:
			spots = ringSpots
		}
		if spots > 0 {
			b.caches, b.open = b.caches+1, b.open+1-n.part
		}
		if n.moved = spots != n.spots; n.moved {
			leaves = leaves || n.spots > 0
			n.spots = spots
			fresh = slices.Grow(fresh, spots)
			for v := range spots {
				fresh = append(fresh, point{spot(n.Name, v), int32(i)})
			}
		}
	}
	switch {
	case b.open == 0:
	case before == 0:
		b.room = max(8*float64(b.caches)*b.share, 8) // to begin with: eight at each cache, of all proxies
	default:
		b.room *= b.open / before // more caches, more room
	}
	if leaves {
		b.ring = slices.DeleteFunc(b.ring, func(p point) bool { return b.nodes[p.node].moved })
	}
	slices.SortFunc(fresh, point.compare)
	b.merge(fresh)
}
