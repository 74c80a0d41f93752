// Package replica decides what becomes of the state that proxies share: which copy of a row stands, when it lapses, whom
// to ask for what was missed, who counts as here, silent or gone, and what share of the fleet's limits this proxy may use.
// One Instance decides for one proxy. Each method reports one thing that happened, with the caller's clock, and returns
// the decisions that follow, in order, in a slice that the next call reuses. Same inputs and seed, same output. No I/O in
// here. Rows are ordered by what their writers count or by discovery's index, never by a clock.
package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	mostRows    = 16384 // held; what comes beyond is refused, and counted
	mostMembers = 4096
	mostHeads   = 8192 // in one answer to a digest: what is left differs at the next
	mostSent    = 64   // rows in one message
	mostAsked   = 8192
	helped      = 4 // digests that differ are answered so many times in a helpTime
	helpTime    = Second / 2
	longAgo     = 1000 * Second
	patience    = Second / 4   // for a helper's answer
	aloneFor    = 2 * Second   // behind for so long with nobody here, it goes on with what it has
	behindFor   = 5 * Second   // and so long with somebody
	pulseLeast  = Second       // between pulses of one proxy
	pulseEach   = Second / 100 // and so much more for each proxy, so that no more than a hundred a second come in
	gap         = 2 * Second   // between ticks: the process stood still, and is behind
	leftLife    = 3600 * Second
	goneLife    = 1800 * Second
)

// Instance decides for one proxy.
type Instance struct {
	Terms
	Dropped  int64 // rows that were refused, since the start
	now      Time
	rows     map[uint64]*held // as many as mostRows; emptied as rows lapse
	buckets  [Buckets]bucket
	members  []*member // by name; those gone for long, or never more than heard of, are forgotten
	byName   map[string]*member
	count    int64 // own rows written
	pulsedAt Time
	demand   float64
	writes   int64
	behind   bool
	asked    string // the helper
	askedAt  Time
	headed   bool // that one has said what it holds
	began    Time
	behindAt Time            // since when
	wanted   map[uint64]bool // rows that a helper was asked for; emptied as they come, or as it is given up
	helps    int
	helpAt   Time
	views    [16]uint64 // the latest hashes of how this incarnation saw the fleet
	settled  bool       // all who are not gone know of this incarnation: the full share may be used
	share    float64
	pulses   [16]stamp       // own ones, the latest first
	lent     []loan          // by this one; emptied as they end
	borrowed map[string]loan // by lender; emptied as they end
	tickAt   Time
	sweepAt  Time
	namedAt  Time
	said     float64 // the base share that the log last told of
	quiet    bool    // another process carries on this name
	chance   *rand.Rand
	out      []Decision
}

type held struct {
	Row
	id, copy uint64
	born     Time // by this clock
	had      Time // when this copy came
}

type bucket struct {
	sum  uint64
	rows []*held // by id
}

type member struct {
	name        string
	incarnation int64
	pulse       *held // nil: none is held
	said        Pulsed
	gone        bool // its latest incarnation is known to have ended, for long enough
	knows       bool // of this proxy's incarnation, and that it is not gone
	probed      Time
}

// New returns an instance that holds nothing and is behind until somebody or nobody helps it.
func New(now Time, t Terms, seed uint64) *Instance {
	r := &Instance{
		Terms: t, now: now, rows: map[uint64]*held{}, byName: map[string]*member{}, wanted: map[uint64]bool{}, borrowed: map[string]loan{},
		behind: true, behindAt: now, askedAt: now - patience, chance: rand.New(rand.NewPCG(seed, 3)), tickAt: now, began: now, namedAt: now - longAgo,
		pulsedAt: now - longAgo,
	}
	r.member(t.Me) // or a view without this one could pass for one of its own
	r.share = r.least()
	return r
}

// mixed is what a copy adds to its bucket's sum.
func (h *held) mixed() uint64 { return h.id*0x9e3779b97f4a7c15 ^ h.copy }

func (r *Instance) begin(now Time) { r.now, r.out = max(now, r.now), r.out[:0] }

func (r *Instance) say(d Decision) { r.out = append(r.out, d) }

func (r *Instance) log(format string, args ...any) {
	r.say(Decision{Act: Log, Text: fmt.Sprintf(format, args...)})
}

// Behind tells whether this proxy still catches up.
func (r *Instance) Behind() bool { return r.behind }

// Share is what this proxy may use of the fleet's limits.
func (r *Instance) Share() float64 { return r.share }

// Demand takes how many exchanges a second this proxy's clients ask for, lately: what comes by chance within seconds moves no
// shares.
func (r *Instance) Demand(perSecond float64) { r.demand = perSecond }

// Writes takes how many words on writes have gone out.
func (r *Instance) Writes(n int64) { r.writes = n }

// Yield has another process of this name speak for it: it is being replaced.
func (r *Instance) Yield(on bool) { r.quiet = on }

// Listed takes discovery's lines of nodes at one index of the list, the whole list or what changed: what discovery tells
// is everybody's. A line that is held already as it stands is not written anew, or each proxy that starts would have all of
// them go round; a node that a whole list lacks has left.
func (r *Instance) Listed(now Time, whole bool, index int64, lines []Row) []Decision {
	r.begin(now)
	listed := make(map[string]bool, len(lines))
	for _, row := range lines {
		row.Kind, row.Writer, row.Epoch, row.Age = Node, "", index, 0
		if row.Rank == Left {
			row.Life = leftLife
		}
		listed[row.Key] = true
		if h := r.rows[rowID(&row)]; h == nil || h.Rank != row.Rank || h.Count != row.Count {
			r.merge(row, "", true)
		}
	}
	if whole {
		var left []Row
		r.Each(Node, func(row Row) {
			if !listed[row.Key] && row.Rank != Left && row.Epoch < index {
				left = append(left, Row{Kind: Node, Key: row.Key, Epoch: index, Rank: Left, Count: row.Count, Life: leftLife})
			}
		})
		for _, row := range left {
			r.merge(row, "", true)
		}
	}
	return r.out
}

// Saw takes what this proxy found of a node.
func (r *Instance) Saw(now Time, node string, answers bool) []Decision {
	r.begin(now)
	row := Row{Kind: Sight, Key: node, Life: r.SightLife, Rank: 1}
	if answers {
		row.Rank = 0
	}
	r.own(row)
	return r.out
}

// Speak writes a row of this proxy's own about something, which lapses after a while.
func (r *Instance) Speak(now Time, kind Kind, key string, life Time, body []byte) []Decision {
	r.begin(now)
	if !r.quiet {
		r.own(Row{Kind: kind, Key: key, Life: life, Body: body})
	}
	return r.out
}

// Put writes a row that is nobody's own.
func (r *Instance) Put(now Time, row Row) []Decision {
	r.begin(now)
	row.Writer, row.Age = "", 0
	r.merge(row, "", true)
	return r.out
}

// own writes a row of this proxy's.
func (r *Instance) own(row Row) {
	r.count++
	row.Writer, row.Epoch, row.Count = r.Me, r.Incarnation, r.count
	r.merge(row, "", true)
}

// Rows takes rows from a peer.
func (r *Instance) Rows(now Time, from string, rows []Row) []Decision {
	r.begin(now)
	for i := range rows {
		r.merge(rows[i], from, false)
	}
	if r.behind && from == r.asked && len(r.wanted) == 0 && r.headed {
		r.caughtUp("helped by " + from)
	}
	return r.out
}

// merge takes a copy if it is newer than the one that is held, and has it spread.
func (r *Instance) merge(row Row, from string, mine bool) {
	id := rowID(&row)
	delete(r.wanted, id)
	if !row.valid() {
		r.Dropped++
		return
	}
	if !mine && (row.Writer == r.Me || row.Kind == Gone && row.Key == r.Me) && !r.quiet && !r.outdo(&row) {
		return
	}
	h := r.rows[id]
	if h != nil && row.compare(&h.Row) <= 0 {
		return
	}
	if h == nil && len(r.rows) >= mostRows {
		r.Dropped++
		return
	}
	b := &r.buckets[id%Buckets]
	if h == nil {
		h = &held{id: id}
		r.rows[id] = h
		i, _ := slices.BinarySearchFunc(b.rows, id, func(h *held, id uint64) int {
			if h.id < id {
				return -1
			} else if h.id > id {
				return 1
			}
			return 0
		})
		b.rows = slices.Insert(b.rows, i, h)
	} else {
		b.sum ^= h.mixed()
	}
	h.Row = row
	h.Key, h.Writer = strings.Clone(row.Key), strings.Clone(row.Writer) // the caller's buffer goes on
	h.Body = slices.Clone(row.Body)
	h.copy, h.born, h.had = versionHash(&row), r.now-row.Age, r.now
	b.sum ^= h.mixed()
	r.say(Decision{Act: Spread, Rows: []Row{r.wire(h)}})
	switch {
	case row.Kind == Pulse && row.Key == row.Writer:
		r.pulsed(h)
	case row.Kind == Gone:
		r.member(h.Key)
	}
	if !mine && row.Writer != r.Me {
		r.say(Decision{Act: Changed, To: from, Rows: []Row{r.wire(h)}})
	}
}

// outdo has this process count on from a row that one of its name wrote before it, or beside it, or that tells of its end:
// a clock that stepped back between two starts would else leave the old rows standing for good. Two processes that both
// carry on a name would outdo each other without end, so that it is done now and then only.
func (r *Instance) outdo(row *Row) bool {
	switch {
	case row.Kind != Gone && row.Epoch == r.Incarnation && row.Count > r.count:
		r.count = row.Count
	case row.Epoch > r.Incarnation || row.Kind == Gone && row.Epoch == r.Incarnation:
		if r.now-r.namedAt < 5*Second {
			return false
		}
		r.log("a row of this name is of incarnation %d, not before this one's %d: it goes on from there", row.Epoch, r.Incarnation)
		r.namedAt, r.Incarnation, r.settled = r.now, row.Epoch+1, false
		for _, m := range r.members {
			m.knows = false
		}
		clear(r.views[:])
		r.pulsedAt = r.now - longAgo
	}
	return true
}

// wire is the row as it goes out, with the age it has by now.
func (r *Instance) wire(h *held) Row {
	row := h.Row
	row.Age = r.now - h.born
	return row
}

func (r *Instance) member(name string) *member {
	m := r.byName[name]
	if m == nil {
		if len(r.members) >= mostMembers {
			return nil
		}
		m = &member{name: name}
		r.byName[name] = m
		i, _ := slices.BinarySearchFunc(r.members, name, func(m *member, name string) int { return strings.Compare(m.name, name) })
		r.members = slices.Insert(r.members, i, m)
	}
	return m
}

func (r *Instance) pulsed(h *held) {
	m := r.member(h.Key)
	if m == nil {
		return
	}
	var said Pulsed
	if err := msgpack.Unmarshal(h.Body, &said); err != nil || !(said.Demand >= 0 && said.Demand < 1e9 && said.Base >= 0 && said.Base <= 1) {
		r.Dropped++
		return
	}
	m.knows = m.knows && h.Epoch == m.incarnation || said.View != 0 && slices.Contains(r.views[:], said.View)
	m.pulse, m.said, m.incarnation = h, said, h.Epoch
	r.borrow(m)
}

// Digest takes a peer's digest: what differs is answered, unless too many were helped lately.
func (r *Instance) Digest(now Time, from string, sums Sums) []Decision {
	r.begin(now)
	which, heads := uint64(0), []Head(nil)
	for i := range r.buckets {
		b := &r.buckets[i]
		if b.sum == sums[i] || len(heads)+len(b.rows) > mostHeads && which != 0 {
			continue
		}
		which |= 1 << i
		for _, h := range b.rows {
			heads = append(heads, Head{ID: h.id, Copy: h.copy})
		}
	}
	switch {
	case which == 0:
		r.say(Decision{Act: Same, To: from})
	case !r.mayHelp():
		r.say(Decision{Act: Busy, To: from})
	default:
		r.say(Decision{Act: Heads, To: from, Which: which, Heads: heads})
	}
	return r.out
}

// mayHelp bounds how many are helped at a time: a fleet that comes back at once asks all over, not one.
func (r *Instance) mayHelp() bool {
	if r.now-r.helpAt > helpTime {
		r.helpAt, r.helps = r.now, 0
	}
	r.helps++
	return r.helps <= helped
}

// Heads takes which copies a helper holds in the buckets that differ: what it lacks is sent, what is lacking here asked
// for. Which of two copies is the newer one a hash does not tell, so that both go over, and the older one is dropped.
func (r *Instance) Heads(now Time, from string, which uint64, heads []Head) []Decision {
	r.begin(now)
	theirs := make(map[uint64]uint64, len(heads))
	var ids []uint64
	for _, h := range heads {
		theirs[h.ID] = h.Copy
		if mine := r.rows[h.ID]; (mine == nil || mine.copy != h.Copy) && len(ids) < mostAsked {
			ids = append(ids, h.ID)
		}
	}
	var rows []Row
	for i := range r.buckets {
		if which&(1<<i) == 0 {
			continue
		}
		for _, h := range r.buckets[i].rows {
			if copy, ok := theirs[h.id]; !ok || copy != h.copy {
				rows = append(rows, r.wire(h))
			}
		}
	}
	r.sendRows(from, rows)
	helps := from == r.asked && r.behind
	if helps {
		clear(r.wanted)
		for _, id := range ids {
			r.wanted[id] = true
		}
		r.askedAt, r.headed = now, true
	}
	if len(ids) > 0 {
		r.say(Decision{Act: Want, To: from, IDs: ids})
	} else if helps {
		r.caughtUp("helped by " + from)
	}
	return r.out
}

func (r *Instance) sendRows(to string, rows []Row) {
	for len(rows) > 0 {
		n := min(len(rows), mostSent)
		r.say(Decision{Act: Rows, To: to, Rows: rows[:n]})
		rows = rows[n:]
	}
}

// Want answers a peer that lacks rows.
func (r *Instance) Want(now Time, from string, ids []uint64) []Decision {
	r.begin(now)
	var rows []Row
	for _, id := range ids[:min(len(ids), mostAsked)] {
		if h := r.rows[id]; h != nil {
			rows = append(rows, r.wire(h))
		}
	}
	r.sendRows(from, rows)
	return r.out
}

// Same hears that a peer holds what this one holds.
func (r *Instance) Same(now Time, from string) []Decision {
	r.begin(now)
	if r.behind && from == r.asked {
		r.caughtUp("nothing was missed, says " + from)
	}
	return r.out
}

// Busy hears that a peer helps too many already: another is asked at the next tick.
func (r *Instance) Busy(now Time, from string) []Decision {
	r.begin(now)
	if from == r.asked {
		r.askedAt = r.now - patience
	}
	return r.out
}

func (r *Instance) caughtUp(how string) {
	r.behind, r.asked, r.headed = false, "", false
	clear(r.wanted)
	r.log("caught up, %s: %d rows of %d proxies", how, len(r.rows), len(r.members))
	if !r.quiet {
		r.pulse()
	}
}

// Refused hears that nothing listens any more where a proxy's incarnation did: its process has ended. Silence would not
// tell that from a link that is cut.
func (r *Instance) Refused(now Time, name string, incarnation int64) []Decision {
	r.begin(now)
	if m := r.byName[name]; m != nil && m.incarnation == incarnation {
		r.merge(Row{Kind: Gone, Key: name, Epoch: incarnation, Life: goneLife}, "", true)
	}
	return r.out
}

// Leave says that this process ends: that it is gone, or where another carries on its name, that this one has an heir.
func (r *Instance) Leave(now Time) []Decision {
	r.begin(now)
	if r.quiet {
		r.pulse()
	} else {
		r.quiet = true
		r.merge(Row{Kind: Gone, Key: r.Me, Epoch: r.Incarnation, Life: goneLife}, "", true)
	}
	return r.out
}

// rule is one line of what is gone through at each tick, until none fires.
type rule struct {
	when func(r *Instance) bool
	do   func(r *Instance)
}

var rules = []rule{
	{func(r *Instance) bool { return r.now-r.tickAt > gap }, (*Instance).woke},
	{func(r *Instance) bool { return r.now >= r.sweepAt }, (*Instance).sweep},
	{func(r *Instance) bool { return !r.quiet && r.now-r.pulsedAt >= r.every() }, (*Instance).pulse},
	{func(r *Instance) bool { return r.behind && r.now-r.askedAt >= patience }, (*Instance).askHelp},
	{func(r *Instance) bool { return r.share != r.due() }, (*Instance).setShare},
}

// Tick looks what time has brought. It is called some ten times a second.
func (r *Instance) Tick(now Time) []Decision {
	r.begin(now)
again:
	for i := range rules {
		if rules[i].when(r) {
			rules[i].do(r)
			goto again
		}
	}
	r.tickAt = r.now
	return r.out
}

// woke finds that the process stood still: what it holds is of then.
func (r *Instance) woke() {
	r.log("stood still for %.1f s: behind, and at the least share until caught up", float64(r.now-r.tickAt)/float64(Second))
	if r.now-r.tickAt > leftLife/2 { // what has left since could come back by what is held here
		for _, h := range r.rows {
			if h.Kind == Node {
				h.Life = 1
			}
		}
	}
	r.tickAt, r.behind, r.behindAt, r.asked, r.askedAt = r.now, true, r.now, "", r.now-patience
}

// every is the time between two pulses of a proxy.
func (r *Instance) every() Time { return pulseLeast + Time(len(r.members))*pulseEach }

// pulse says that this proxy is up.
func (r *Instance) pulse() {
	r.pulsedAt = r.now
	said := Pulsed{Address: r.Address, Zone: r.Zone, Demand: r.demand, View: r.view(), Behind: r.behind, Base: r.base(), Loans: r.lend(), Wrote: r.writes, Heir: r.quiet}
	if r.base() < r.lentOut() {
		said.View = 1 // what is out would be used twice: nobody may take this one's word that there is room until it is back
	}
	body, err := msgpack.Marshal(&said)
	if err != nil {
		panic(err) // a struct of plain fields
	}
	copy(r.pulses[1:], r.pulses[:len(r.pulses)-1])
	r.pulses[0] = stamp{r.count + 1, r.Incarnation, r.now}
	r.own(Row{Kind: Pulse, Key: r.Me, Life: 10 * r.every(), Body: body})
	if n := len(r.members); n > 1 && !r.behind { // one digest a pulse finds what gossip has lost
		if m := r.members[r.chance.IntN(n)]; r.here(m) && m.name != r.Me {
			r.say(Decision{Act: Digest, To: m.name, Sums: r.Sums()})
		}
	}
}

// Sums is the digest of all that is held.
func (r *Instance) Sums() (s Sums) {
	for i := range r.buckets {
		s[i] = r.buckets[i].sum
	}
	return s
}

// askHelp asks one who is here and not behind itself, or if all are, one of those: no ring of waiting forms, since an ask
// that nobody answers has an end.
func (r *Instance) askHelp() {
	var best, any []*member
	for _, m := range r.members {
		if m.name != r.Me && r.here(m) {
			if any = append(any, m); !m.said.Behind {
				best = append(best, m)
			}
		}
	}
	if long := r.now - r.behindAt; long >= behindFor || long >= aloneFor && len(any) == 0 {
		r.caughtUp(fmt.Sprintf("as far as it goes after %.1f s, with %d here to ask", float64(long)/float64(Second), len(any)))
		return
	}
	r.headed = false
	if r.askedAt = r.now; len(best) == 0 {
		best = any
	}
	if len(best) == 0 {
		r.askedAt = r.now - patience + 1 // nobody was asked: again at the next tick
	} else {
		r.asked = best[r.chance.IntN(len(best))].name
		clear(r.wanted)
		r.say(Decision{Act: Digest, To: r.asked, Sums: r.Sums()})
	}
}

// sweep lets rows lapse, learns who is gone, and has those probed that are silent.
func (r *Instance) sweep() {
	r.sweepAt = r.now + Second/5
	for i := range r.buckets {
		b := &r.buckets[i]
		b.rows = slices.DeleteFunc(b.rows, func(h *held) bool {
			lapsed := h.Life > 0 && r.now-h.born >= h.Life
			if lapsed {
				b.sum ^= h.mixed()
				delete(r.rows, h.id)
				if m := r.byName[h.Key]; m != nil && m.pulse == h {
					m.pulse = nil
				}
			}
			return lapsed
		})
	}
	r.members = slices.DeleteFunc(r.members, func(m *member) bool {
		end := r.end(m)
		if end != nil && m.pulse == nil && m.incarnation == 0 {
			m.incarnation = end.Epoch // never met, and known to have been
		}
		gone := end != nil && end.Epoch >= m.incarnation && !r.here(m) && m.name != r.Me && r.now-end.had >= max(r.Hold, r.loanSpan()) // in which what it had lent ends
		if gone != m.gone {
			m.gone = gone
			r.log("proxy %s gone %v: %d of %d are gone", m.name, gone, r.gone(), r.fleet())
		}
		if m.name != r.Me && m.pulse != nil && !r.ended(m) && r.now-m.pulse.born > r.trust(m) && r.now-m.probed >= Second {
			m.probed = r.now
			r.say(Decision{Act: Probe, To: m.name, Address: m.said.Address, Epoch: m.incarnation})
		}
		// one that is gone for so long that its row has lapsed counts no more
		if m.gone || end != nil || m.pulse != nil || m.name == r.Me || m.incarnation > 0 && r.fleet() <= r.Proxies {
			return false
		}
		delete(r.byName, m.name)
		return true
	})
	r.settle()
}

// trust is for how long a proxy's latest pulse is taken for its being there. One that has an heir is refused at for as long as
// the heir takes to begin, and its name is not gone.
func (r *Instance) trust(m *member) Time {
	if m.said.Heir {
		return 6 * r.every()
	}
	return 2 * r.every()
}

// here tells whether a proxy's pulse still comes, by whatever way.
func (r *Instance) here(m *member) bool {
	return m.name == r.Me || m.pulse != nil && r.now-m.pulse.born < r.trust(m)+r.every()+Second/2 &&
		!r.ended(m)
}

// end is the row that tells of the end of one of a proxy's processes, nil: none is held.
func (r *Instance) end(m *member) *held { return r.rows[rowID(&Row{Kind: Gone, Key: m.name})] }

// ended tells whether the incarnation that a proxy's latest pulse is of is known to have ended. A pulse of it that comes late
// changes nothing: a process that is wrongly said to have ended goes on as another incarnation.
func (r *Instance) ended(m *member) bool {
	end := r.end(m)
	return end != nil && m.pulse != nil && end.Epoch >= m.pulse.Epoch
}

// Members lists all proxies that are known, by name.
func (r *Instance) Members() []Member {
	all := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		s := Member{Name: m.name, Incarnation: m.incarnation, State: "unknown", Pulsed: m.said}
		switch {
		case r.here(m):
			s.State = "here"
		case m.gone || r.ended(m):
			s.State = "gone"
		case m.pulse != nil || m.incarnation > 0:
			s.State = "silent"
		}
		if m.pulse != nil {
			s.Lag = r.now - m.pulse.born
		}
		all = append(all, s)
	}
	return all
}

// Kinds counts the rows that are held, and their digest, by kind.
func (r *Instance) Kinds() map[Kind]Held {
	all := map[Kind]Held{}
	for _, h := range r.rows {
		k := all[h.Kind]
		k.Rows, k.Sum = k.Rows+1, k.Sum^h.mixed()
		all[h.Kind] = k
	}
	return all
}

// Each calls f with each row of a kind, in the same order every time.
func (r *Instance) Each(k Kind, f func(Row)) {
	for i := range r.buckets {
		for _, h := range r.buckets[i].rows {
			if h.Kind == k {
				f(r.wire(h))
			}
		}
	}
}
