package replica

import (
	"fmt"
	"strings"
	"testing"
)

func newOne(me string, proxies int) *Instance {
	return New(0, Terms{Me: me, Incarnation: 1, Proxies: proxies, Address: me + ":1", Hold: 2 * Second, Floor: 0.25, SightLife: 5 * Second}, 1)
}

func acts(ds []Decision, a Act) (found []Decision) {
	for _, d := range ds {
		if d.Act == a {
			found = append(found, d)
		}
	}
	return found
}

// holder is what takes copies of rows and holds one of each.
type holder interface {
	take(Row)
	holds(key string) (Row, bool)
	sum() uint64
}

func (r *Instance) take(row Row) { r.Rows(r.now, "x", []Row{row}) }
func (r *Instance) holds(key string) (found Row, ok bool) {
	r.Each(Node, func(row Row) {
		if row.Key == key {
			found, ok = row, true
		}
	})
	return found, ok
}
func (r *Instance) sum() uint64 { return r.Kinds()[Node].Sum }

// last is a holder with a planted fault: what comes last stands.
type last map[string]Row

func (l last) take(r Row)                   { l[r.Key] = r }
func (l last) holds(key string) (Row, bool) { r, ok := l[key]; return r, ok }
func (l last) sum() (s uint64) {
	for _, r := range l {
		s ^= rowID(&r) * (versionHash(&r) | 1)
	}
	return s
}

func orders(rows []Row, f func([]Row)) {
	var go_ func(k int)
	go_ = func(k int) {
		if k == len(rows) {
			f(rows)
			return
		}
		for i := k; i < len(rows); i++ {
			rows[k], rows[i] = rows[i], rows[k]
			go_(k + 1)
			rows[k], rows[i] = rows[i], rows[k]
		}
	}
	go_(0)
}

// wrong tells what goes wrong when three take the same copies in every two orders that there are of them.
func wrong(fresh func() holder) (what string) {
	rows := []Row{
		{Kind: Node, Key: "c1", Epoch: 5, Rank: Active, Body: []byte("a")},
		{Kind: Node, Key: "c1", Epoch: 5, Rank: Leaving, Body: []byte("a")},
		{Kind: Node, Key: "c1", Epoch: 5, Rank: Leaving, Count: 7, Body: []byte("b")},
		{Kind: Node, Key: "c1", Epoch: 6, Rank: Active, Body: []byte("c")},
		{Kind: Node, Key: "c2", Epoch: 4, Rank: Left, Life: leftLife},
		{Kind: Node, Key: "c2", Epoch: 3, Rank: Active},
	}
	sums := map[uint64]bool{}
	orders(rows, func(rows []Row) {
		h := fresh()
		for _, r := range rows {
			before, had := h.holds(r.Key)
			h.take(r)
			if after, _ := h.holds(r.Key); had && after.compare(&before) < 0 {
				what = fmt.Sprintf("%s goes back from %+v to %+v", r.Key, before, after)
			}
		}
		sums[h.sum()] = true
	})
	if len(sums) != 1 {
		what += fmt.Sprintf(" %d states are left", len(sums))
	}
	return what
}

func TestAllOrders(t *testing.T) {
	if what := wrong(func() holder { return newOne("n1", 3) }); what != "" {
		t.Error(what)
	}
	if wrong(func() holder { return last{} }) == "" {
		t.Error("the check does not fire on a holder that keeps what comes last")
	}
}

// Three that each have part of the rows agree after digests alone, in whatever order these go out, without gossip.
func TestDigestsAlone(t *testing.T) {
	for order := range 6 {
		all := map[string]*Instance{"a": newOne("a", 3), "b": newOne("b", 3), "c": newOne("c", 3)}
		names := [][]string{{"a", "b", "c"}, {"a", "c", "b"}, {"b", "a", "c"}, {"b", "c", "a"}, {"c", "a", "b"}, {"c", "b", "a"}}[order]
		for i, n := range names {
			for k := range 30 {
				all[n].Listed(0, false, int64(i+k), []Row{{Key: fmt.Sprint("c", k%(20+i)), Count: int64(k), Body: []byte(n)}})
			}
		}
		var deliver func(from string, ds []Decision)
		deliver = func(from string, ds []Decision) {
			for _, d := range append([]Decision(nil), ds...) {
				to := all[d.To]
				switch d.Act {
				case Digest:
					deliver(d.To, to.Digest(0, from, d.Sums))
				case Heads:
					deliver(d.To, to.Heads(0, from, d.Which, d.Heads))
				case Rows:
					deliver(d.To, to.Rows(0, from, append([]Row(nil), d.Rows...)))
				case Want:
					deliver(d.To, to.Want(0, from, d.IDs))
				}
			}
		}
		for _, pair := range [][2]string{{names[0], names[1]}, {names[1], names[2]}, {names[0], names[1]}} {
			deliver(pair[0], []Decision{{Act: Digest, To: pair[1], Sums: all[pair[0]].Sums()}})
		}
		if a, b, c := all["a"].Sums(), all["b"].Sums(), all["c"].Sums(); a != b || b != c || all["a"].Kinds()[Node].Rows != 22 {
			t.Errorf("order %d: they differ", order)
		}
	}
}

// What is asked for follows what was missed, not how much is held.
func TestCatchUpCost(t *testing.T) {
	rows := make([]Row, 2000)
	for i := range rows {
		rows[i] = Row{Key: fmt.Sprint("c", i)}
	}
	a, b := newOne("a", 2), newOne("b", 2)
	a.Listed(0, true, 1, rows)
	b.Listed(0, true, 1, rows)
	a.Listed(0, false, 2, []Row{{Key: "c7", Rank: Leaving}})
	heads := acts(a.Digest(0, "b", b.Sums()), Heads)[0]
	if n := len(heads.Heads); n > 100 {
		t.Errorf("%d heads for one row", n)
	}
	ds := b.Heads(0, "a", heads.Which, heads.Heads)
	if want := acts(ds, Want); len(want) != 1 || len(want[0].IDs) != 1 || len(acts(ds, Rows)) != 1 {
		t.Errorf("%+v", ds)
	}
}

// Few are helped at a time; who is turned away asks another at once.
func TestFewHelped(t *testing.T) {
	a := newOne("a", 9)
	a.Listed(0, true, 1, []Row{{Key: "c1"}})
	served, busy := 0, 0
	for range 10 {
		ds := a.Digest(0, "b", Sums{})
		served, busy = served+len(acts(ds, Heads)), busy+len(acts(ds, Busy))
	}
	if served != helped || busy != 10-helped {
		t.Errorf("%d helped, %d not", served, busy)
	}
}

// Rows of a kind that nobody here knows are held, told and lapse as they say; those that are too large are refused.
func TestUnknownAndOversized(t *testing.T) {
	a := newOne("a", 2)
	ds := a.Rows(0, "b", []Row{{Kind: 77, Key: "order", Writer: "b", Epoch: 1, Life: 3 * Second, Body: []byte("?")}})
	if len(acts(ds, Spread)) != 1 || a.Kinds()[77].Rows != 1 {
		t.Errorf("%+v", ds)
	}
	for _, r := range []Row{
		{Kind: 77, Key: strings.Repeat("k", MostName+1)},
		{Kind: 77, Key: "k", Body: make([]byte, MaxBodyBytes+1)},
		{Key: "k"},
		{Kind: 77},
		{Kind: 77, Key: "k", Age: -1},
		{Kind: 77, Key: "k", Life: 5, Age: 5},
		{Kind: Gone, Key: "a", Epoch: 1<<63 - 1},
	} {
		a.Rows(0, "b", []Row{r})
	}
	if a.Dropped != 7 || a.Kinds()[77].Rows != 1 {
		t.Errorf("%d refused", a.Dropped)
	}
	for now := Time(0); now < 4*Second; now += Second / 10 {
		a.Tick(now)
	}
	if a.Kinds()[77].Rows != 0 || a.Sums() != func() Sums { a.sweep(); return a.Sums() }() {
		t.Error("it does not lapse")
	}
}

// A row keeps its age from hand to hand: passed round, it lapses no later than where it was written.
func TestAgeGoesAlong(t *testing.T) {
	a, b := newOne("a", 2), newOne("b", 2)
	row := acts(a.Saw(0, "c1", false), Spread)[0].Rows[0]
	row.Age = 4 * Second
	b.Rows(100*Second, "a", []Row{row})
	b.sweepAt, b.tickAt = 0, 101*Second
	b.Tick(1015 * Second / 10)
	if b.Kinds()[Sight].Rows != 0 {
		t.Error("it is there yet")
	}
}

// A proxy that comes back with a clock that stepped back goes on from its old rows, also where one tells of its end.
func TestClockStepsBack(t *testing.T) {
	for _, old := range []Row{{Kind: Sight, Key: "c1", Writer: "a", Epoch: 50, Count: 900}, {Kind: Gone, Key: "a", Epoch: 50}} {
		a := newOne("a", 2)
		a.Rows(0, "b", []Row{old})
		if pulse := acts(a.Tick(100), Spread); a.Incarnation != 51 || len(pulse) == 0 || pulse[0].Rows[0].Epoch != 51 {
			t.Errorf("%+v: incarnation %d, %+v", old, a.Incarnation, pulse)
		}
		// a second process that carries on the same name is not outdone without end
		a.Rows(200, "b", []Row{{Kind: Pulse, Key: "a", Writer: "a", Epoch: 60}})
		if a.Incarnation != 51 {
			t.Errorf("incarnation %d at once again", a.Incarnation)
		}
	}
}

// One that stood still says that it is behind, uses its least share, and has an end of that though nobody helps.
func TestStoodStill(t *testing.T) {
	a := newOne("a", 1)
	now := Time(0)
	pass := func(span Time) {
		for end := now + span; now < end; now += Second / 10 {
			a.Tick(now)
		}
	}
	pass(4 * Second)
	if a.Behind() || a.Share() != 1 {
		t.Fatalf("alone by the operators' word: behind %v, share %v", a.Behind(), a.Share())
	}
	now += 30 * Second
	a.Tick(now)
	if !a.Behind() || a.Share() != 0.25 {
		t.Errorf("after 30 s: behind %v, share %v", a.Behind(), a.Share())
	}
	if pass(aloneFor + Second); a.Behind() || a.Share() != 1 {
		t.Errorf("without end: behind %v, share %v", a.Behind(), a.Share())
	}
}

// A process that another of its name speaks for says nothing of itself, not when it has caught up either.
func TestYields(t *testing.T) {
	a := newOne("a", 1)
	a.Yield(true)
	for now := Time(0); now < 5*Second; now += Second / 10 {
		if ds := acts(a.Tick(now), Spread); len(ds) > 0 {
			t.Fatalf("%+v", ds[0].Rows)
		}
	}
	if a.Behind() {
		t.Error("it is behind yet")
	}
}

// One that is replaced says so last. Its heir takes a while to begin, on a busy machine over two pulses, and nothing listens in
// between: that is no end. With no heir it is, and is looked into.
func TestHeir(t *testing.T) {
	for _, heir := range []bool{true, false} {
		a, b := newOne("a", 2), newOne("b", 2)
		a.Rows(0, "b", acts(b.Tick(0), Spread)[0].Rows)
		if b.Yield(heir); heir {
			a.Rows(Second, "b", acts(b.Leave(Second), Spread)[0].Rows)
		}
		probed := Time(0)
		for now := Second; now < 9*Second && probed == 0; now += Second / 10 {
			if len(acts(a.Tick(now), Probe)) > 0 {
				probed = now
			}
		}
		if late := probed > 7*Second; probed == 0 || late != heir {
			t.Errorf("heir %v: looked into at %v", heir, probed)
		}
	}
}

// Silence takes nothing from anybody; the end of a process that is known of does, after the hold; whoever comes back under
// the same name has it back.
func TestGone(t *testing.T) {
	a, b := newOne("a", 2), newOne("b", 2)
	now := Time(0)
	swap := func(from *Instance, to *Instance, ds []Decision) {
		for _, d := range acts(ds, Spread) {
			to.Rows(now, from.Me, d.Rows)
		}
	}
	pass := func(span Time, both bool) (probes int) {
		for end := now + span; now < end; now += Second / 10 {
			if both {
				swap(b, a, append([]Decision(nil), b.Tick(now)...))
			}
			ds := append([]Decision(nil), a.Tick(now)...)
			probes += len(acts(ds, Probe))
			if both {
				swap(a, b, ds)
			}
		}
		return probes
	}
	if pass(8*Second, true); a.Share() != 0.5 || b.Share() != 0.5 {
		t.Fatalf("shares %v %v", a.Share(), b.Share())
	}
	if n := pass(8*Second, false); a.Share() != 0.5 || n == 0 {
		t.Errorf("silent: share %v, %d probes", a.Share(), n)
	}
	if a.Refused(now, "b", 7); a.ended(a.byName["b"]) {
		t.Error("an incarnation that never was is believed to have ended")
	}
	a.Refused(now, "b", 1)
	if pass(Second, false); a.Share() != 0.5 {
		t.Errorf("before the hold: %v", a.Share())
	}
	if pass(a.loanSpan(), false); a.Share() != 1-0.25/2 {
		t.Errorf("after it: %v", a.Share())
	}
	b = newOne("b", 2)
	b.Incarnation, b.tickAt = 2, now
	swap(b, a, append([]Decision(nil), b.Tick(now)...))
	if pass(Second/2, true); a.Share() != 0.5 || b.Share() > 0.25/2 {
		t.Errorf("back: %v %v", a.Share(), b.Share())
	}
	if pass(8*Second, true); a.Share() != 0.5 || b.Share() != 0.5 {
		t.Errorf("settled again: %v %v", a.Share(), b.Share())
	}
}

// A whole list says nothing new of what is held as it stands, and that what it lacks has left; an older one says neither.
func TestWholeList(t *testing.T) {
	a := newOne("a", 1)
	a.Listed(0, true, 5, []Row{{Key: "c1"}, {Key: "c2"}})
	if ds := acts(a.Listed(0, true, 9, []Row{{Key: "c1"}, {Key: "c2"}}), Spread); len(ds) != 0 {
		t.Errorf("%+v", ds)
	}
	a.Listed(0, true, 4, []Row{{Key: "c1"}})
	if r, _ := a.holds("c2"); r.Rank != Active {
		t.Errorf("an older list lets c2 go: %+v", r)
	}
	a.Listed(0, true, 10, []Row{{Key: "c1"}})
	if r, _ := a.holds("c2"); r.Rank != Left || r.Epoch != 10 {
		t.Errorf("c2 has not left: %+v", r)
	}
}

// All is bounded: rows, members, and what one message holds.
func TestBounds(t *testing.T) {
	a := newOne("a", 1)
	for i := range mostRows + 50 {
		a.Rows(0, "b", []Row{{Kind: 77, Key: fmt.Sprint(i), Writer: "b"}})
	}
	if len(a.rows) != mostRows || a.Dropped == 0 {
		t.Errorf("%d rows", len(a.rows))
	}
	for _, d := range acts(a.Want(0, "b", make([]uint64, 2*mostAsked)), Rows) {
		if len(d.Rows) > mostSent {
			t.Error("a message of", len(d.Rows))
		}
	}
}

// fleet has instances that hear each other at once; what a dead one says is not heard.
type fleet struct {
	now Time
	all map[string]*Instance
}

func (f *fleet) pass(span Time, each func()) {
	names := []string{"a", "b", "c"}
	for end := f.now + span; f.now < end; f.now += Second / 10 {
		for _, n := range names {
			from := f.all[n]
			if from == nil {
				continue
			}
			for _, d := range acts(append([]Decision(nil), from.Tick(f.now)...), Spread) {
				for _, to := range names {
					if f.all[to] != nil && to != n {
						f.all[to].Rows(f.now, n, d.Rows)
					}
				}
			}
		}
		if each != nil {
			each()
		}
	}
}

// What one has lent is not used a second time when its process ends or starts anew: the others wait for the loan's end, and
// so does the new process.
func TestLoanOutlivesLender(t *testing.T) {
	f := &fleet{all: map[string]*Instance{}}
	for i, n := range []string{"a", "b", "c"} {
		f.all[n] = newOne(n, 3)
		f.all[n].Hold = Second / 2
		f.all[n].Demand([]float64{0, 0, 50}[i])
	}
	f.pass(15*Second, nil)
	if a, c := f.all["a"].Share(), f.all["c"].Share(); a > 0.17 || c < 0.6 {
		t.Fatalf("shares %.3f and %.3f by demand", a, c)
	}
	sum := func() {
		total := 0.0
		for _, r := range f.all {
			if r != nil {
				total += r.Share()
			}
		}
		if total > 1+1e-9 {
			t.Fatalf("at %d: %.3f together", f.now, total)
		}
	}
	again := newOne("a", 3)
	again.Incarnation, again.now, again.began, again.behindAt, again.tickAt, again.askedAt = 2, f.now, f.now, f.now, f.now, f.now
	again.pulsedAt, again.behind = f.now-1000*Second, false
	f.all["a"] = again
	f.pass(6*Second, sum)
	if again.Share() < 0.1 {
		t.Errorf("the new process has %.3f", again.Share())
	}
	f.all["a"] = nil
	for _, n := range []string{"b", "c"} {
		f.all[n].Refused(f.now, "a", 2)
	}
	f.pass(3*Second, func() {
		if f.all["b"].gone() > 0 {
			t.Fatal("its share is taken over before what it lent has ended")
		}
	})
	if f.pass(3*Second, nil); f.all["b"].gone() != 1 {
		t.Error("its share is never taken over")
	}
}

// One that starts and meets nobody asks the first that it meets at its next tick, and does not wait for an answer that nobody
// was asked for.
func TestAsksAtOnce(t *testing.T) {
	a, b := newOne("a", 2), newOne("b", 2)
	a.Tick(0)
	for _, d := range acts(b.Tick(0), Spread) {
		a.Rows(Second/20, "b", d.Rows)
	}
	if ds := acts(a.Tick(Second/10), Digest); len(ds) != 1 || ds[0].To != "b" {
		t.Errorf("%+v", ds)
	}
}
