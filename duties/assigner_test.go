package duties

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

var usual = Terms{Watchers: 6, Keepers: 4, Trials: true, Rest: Second / 2, Step: Second / 5, Beat: Second / 2, Patience: 3 * Second / 2}

// rig plays instances that hear each other late, some of it never, in steps of 50 ms.
type rig struct {
	now     Time
	all     []*one
	chance  *rand.Rand
	loss    float64
	late    Time                        // at most, beyond
	slow    Time                        // what all take
	cut     func(a, b int) bool         // nil: none
	post    map[Time][]func()           // by when
	silent  bool                        // the node
	rate    float64                     // exchanges a second for the node, of the whole fleet
	own     bool                        // each goes by its own clock: the baseline
	tries   int                         // at the silent node
	lies    func(r *rig, o *one, i int) // nil: none does
	names   []Proxy
	watched Time // the latest moment at which some watch was live
	most    Time // the longest for which none was
}

type one struct {
	*Instance
	up     bool
	passed bool
	until  Time
	rest   Time
	doubt  float64
	watch  bool
	live   Time // its watch speaks from then on, 0: none
	mute   bool // its watch never does
}

func newRig(n int, t Terms, seed uint64) *rig {
	r := &rig{now: 100 * Second, chance: rand.New(rand.NewPCG(seed, 5)), late: Second / 4, post: map[Time][]func(){}, names: fleetOf(n, 3), rate: 40}
	for i := range n {
		r.all = append(r.all, r.begin(i, t))
	}
	return r
}

func (r *rig) begin(i int, t Terms) *one {
	t.Me = r.names[i].Name
	o := &one{Instance: New(r.now, t), up: true, watch: true, live: r.now + Second/10, rest: t.Rest}
	o.Nodes(r.now, []string{"c1", "c2"})
	return o
}

// fleet tells all who is here; views differ where a link is cut.
func (r *rig) fleet() {
	for i, o := range r.all {
		view := append([]Proxy(nil), r.names...)
		for k := range view {
			view[k].Here = r.all[k].up && (r.cut == nil || k == i || !r.cut(k, i))
		}
		r.do(i, o.Fleet(r.now, view, false))
	}
}

func (r *rig) do(i int, ds []Decision) {
	o := r.all[i]
	for _, d := range ds {
		switch d.Act {
		case Rest:
			if d.Node == "c1" {
				o.until = d.Until
			}
		case Doubt: // as the module takes hearsay
			if o.doubt += (1 - o.doubt) * 0.4; !d.On {
				o.doubt = 0
			}
		case Watch:
			if o.watch = d.On; d.On {
				o.live = r.now + Second/10
			} else {
				o.live = 0
				o.Watching(r.now, false)
			}
		case Say:
			d, sent := d, r.now
			for k, to := range r.all {
				if k == i || r.chance.Float64() < r.loss || r.cut != nil && r.cut(i, k) {
					continue
				}
				at := r.now + r.slow + Second/20*(1+Time(r.chance.Int64N(int64(r.late/(Second/20))+1)))
				r.post[at] = append(r.post[at], func() {
					if to == r.all[k] && to.up && r.all[i].up {
						r.do(k, to.Heard(r.now, o.view.settings.Me, d.Kind, d.Key, d.Said, r.now-sent))
					}
				})
			}
		}
	}
}

// ask is an exchange of a proxy's whose key the node owns.
func (r *rig) ask(i int) {
	o := r.all[i]
	if o.passed && r.now < o.until {
		return // it goes to the next clockwise
	}
	if !o.passed && r.chance.Float64() < o.doubt {
		return
	}
	if !r.silent {
		if o.passed {
			o.passed = false
			if o.rest = usual.Rest; !r.own {
				r.do(i, o.Passed(r.now, "c1", false))
			}
		}
		return
	}
	if r.tries++; r.own {
		o.passed, o.until = true, r.now+o.rest
		o.rest = min(2*o.rest, 8*usual.Rest)
		return
	}
	if !o.passed {
		o.passed, o.until = true, r.now+o.rest
		r.do(i, o.Passed(r.now, "c1", true))
		return
	}
	o.until = r.now + o.rest
	r.do(i, o.Tried(r.now, "c1"))
	at := r.now + Second/2
	r.post[at] = append(r.post[at], func() { r.do(i, o.Failed(r.now, "c1")) })
}

func (r *rig) run(span Time) {
	for end := r.now + span; r.now < end; {
		r.now += Second / 20
		for _, f := range r.post[r.now] {
			f()
		}
		delete(r.post, r.now)
		live := false
		for i, o := range r.all {
			if !o.up {
				continue
			}
			if on := o.watch && o.live > 0 && o.live <= r.now && !o.mute; on {
				live = true
				o.Watching(r.now, true)
			}
			if r.now%(Second/10) == 0 {
				if r.lies != nil {
					r.lies(r, o, i)
				}
				r.do(i, o.Tick(r.now))
			}
			if r.chance.Float64() < r.rate/float64(len(r.all))/20 {
				r.ask(i)
			}
		}
		if live {
			r.watched = r.now
		}
		r.most = max(r.most, r.now-r.watched)
	}
}

func (r *rig) passed() (n int) {
	for _, o := range r.all {
		n += boolToInt(o.passed && o.up)
	}
	return n
}

func (r *rig) watching() (n int) {
	for _, o := range r.all {
		n += boolToInt(o.watch && o.up)
	}
	return n
}

// silence plays a node that falls silent for twenty seconds, and tells how many trials it had a second once all had found out,
// and after how long nine in ten use it again; more than the span: they do not.
func silence(r *rig) (perSecond float64, back Time) {
	r.fleet()
	r.run(2 * Second)
	r.silent = true
	r.run(10 * Second)
	r.tries = 0
	r.run(10 * Second)
	r.silent = false
	for from := r.now; ; r.run(Second / 5) {
		if back = r.now - from; r.passed()*10 <= len(r.all) || back > 30*Second {
			return float64(r.tries) / 10, back
		}
	}
}

// What a silent node gets from the whole fleet does not grow with it, whatever is lost on the way, and all are back as soon as
// their own exchanges come; where each goes by its own clock it grows as the fleet does.
func TestTrialsDoNotGrow(t *testing.T) {
	sizes := []int{8, 24, 60, 300}
	if n, err := strconv.Atoi(os.Getenv("WOODPROXY_LARGE")); err == nil {
		sizes = append(sizes, n)
	}
	for _, loss := range []float64{0, 0.33} {
		first := 0.0
		for _, n := range sizes {
			r := newRig(n, usual, 1)
			r.loss, r.rate = loss, 4*float64(n) // each asks as much, however many there are
			got, back := silence(r)
			t.Logf("%d proxies, loss %.2f: %.2f trials a second, back after %.2f s", n, loss, got, float64(back)/float64(Second))
			if first = max(first, got*float64(boolToInt(n == 8))); got > 5 || got < 0.5 || got > 1.5*first || back > 3*Second {
				t.Errorf("%d proxies, loss %.2f: %.2f trials a second, 8 had %.2f; back after %.2f s", n, loss, got, first, float64(back)/float64(Second))
			}
		}
	}
	r := newRig(300, usual, 1)
	r.own, r.rate = true, 1200
	if got, _ := silence(r); got < 20 {
		t.Errorf("by their own clocks 300 try %.1f times a second: nothing is measured", got)
	}
}

// Where the fleet as a whole meets a node thirteen times a second, each proxy seldom does: turns go on to those who do.
func TestThinTraffic(t *testing.T) {
	for _, n := range []int{24, 300} {
		r := newRig(n, usual, 2)
		r.rate = 13
		if got, _ := silence(r); got < 0.3 || got > 3 {
			t.Errorf("%d proxies: %.2f trials a second", n, got)
		}
	}
}

// One that claims every turn and tries nothing, and one that says all the time that the node answers, move next to nothing.
func TestLiars(t *testing.T) {
	honest, _ := silence(newRig(24, usual, 3))
	for _, how := range []ProbeOutcome{ProbeStarted, ProbeSucceeded} {
		r := newRig(24, usual, 3)
		r.lies = func(r *rig, o *one, i int) {
			if i == 5 {
				r.do(i, []Decision{{Act: Say, Kind: Trial, Key: "c1", Said: Said{Round: int64(r.now), How: how}}})
			}
		}
		if got, back := silence(r); got < honest/2 || got > honest*2+1 || back > 5*Second {
			t.Errorf("liar %d: %.2f trials a second, honest %.2f; back after %.2f s", how, got, honest, float64(back)/float64(Second))
		}
	}
}

// However many watchers die at once, are cut off, or watch what never speaks, somebody watches again within the stated time on each
// side, few do in the end, and nobody goes on for nothing.
func TestSomebodyWatches(t *testing.T) {
	for _, n := range []int{2, 7, 8, 24, 300} {
		for _, what := range []string{"calm", "die", "mute", "lossy"} {
			r := newRig(n, usual, 4)
			r.loss = map[string]float64{"lossy": 0.33}[what]
			r.fleet()
			r.run(8 * Second)
			want := min(n, usual.Watchers)
			if got := r.watching(); got != want && what != "lossy" {
				t.Errorf("%d, %s: %d watch, of %d wanted", n, what, got, want)
			}
			for _, o := range r.all {
				if o.watch && what == "mute" {
					o.mute = true
					o.Watching(r.now, false)
				} else if o.watch && what == "die" && n > 8 {
					o.up = false // nobody is told that they have gone
				}
			}
			r.watched, r.most = r.now, 0
			r.run(8 * Second)
			// patience, the steps until all are asked, and the watch's own first word
			steps := Time(math.Ceil(math.Log2(float64(n)/float64(usual.Watchers)))) + 1
			if limit := usual.Patience + usual.Beat + max(steps, 1)*usual.Step + Second/2; r.most > limit && !(n <= 7 && what == "mute") {
				t.Errorf("%d, %s: none for %.2f s, over %.2f", n, what, float64(r.most)/float64(Second), float64(limit)/float64(Second))
			}
			if r.fleet(); n > 8 {
				r.run(8 * Second)
				if got := r.watching(); got < usual.Watchers || got > 3*usual.Watchers {
					t.Errorf("%d, %s: %d watch in the end", n, what, got)
				}
			}
		}
	}
}

// Where all watch, as after a fault that befell most, all but a few leave off again though words take two seconds. Believed for a second
// and a half only, none ever does: found by sixty processes on a busy machine.
func TestAllWatch(t *testing.T) {
	for _, patience := range []Time{5 * Second / 2, 3 * Second / 2} {
		terms := usual
		terms.Beat, terms.Patience = 7*Second/10, patience
		r := newRig(60, terms, 9)
		r.slow = 2 * Second
		r.fleet()
		for _, o := range r.all {
			o.Instance.watch.shortSince, o.Instance.watch.assigned, o.changed = r.now, true, true
		}
		r.run(12 * Second)
		if got := r.watching(); (got <= 4*usual.Watchers) != (patience > r.slow) {
			t.Errorf("%d watch, with a patience of %v", got, patience)
		}
	}
}

// On both sides of a cut that nobody is told of there are watchers soon.
func TestWatchedOnBothSides(t *testing.T) {
	r := newRig(60, usual, 6)
	r.fleet()
	r.run(5 * Second)
	r.cut = func(a, b int) bool { return (a%10 == 0) != (b%10 == 0) }
	r.run(usual.Patience + usual.Beat + 6*usual.Step + Second/2)
	few := 0
	for i, o := range r.all {
		few += boolToInt(i%10 == 0 && o.watch && o.live > 0)
	}
	if few < 2 {
		t.Errorf("%d of six that are cut off watch", few)
	}
}

// Who starts, stands alone, or catches up leaves nothing to others: it watches, keeps, and tries by its own clock.
func TestAlone(t *testing.T) {
	x := New(0, Terms{Me: "n1", Watchers: 2, Keepers: 2, Trials: true, Rest: Second, Step: Second / 5, Beat: Second / 2, Patience: 2 * Second})
	x.Nodes(0, []string{"c1"})
	x.Fleet(0, fleetOf(9, 1), true)
	for now := Time(0); now < 10*Second; now += Second / 10 {
		if ds := x.Tick(now); len(ds) > 0 {
			t.Fatalf("%+v", ds)
		}
	}
	for _, d := range x.Passed(11*Second, "c1", true) {
		if d.Act != Say {
			t.Errorf("%+v", d)
		}
	}
}

// What comes out of its bounds is refused, and counted.
func TestRefused(t *testing.T) {
	x := New(0, usual)
	x.view.settings.Me = "n0"
	x.Nodes(0, []string{"c1"})
	x.Fleet(0, fleetOf(5, 1), false)
	for _, s := range []Said{{Round: -1}, {Round: 1 << 40}, {How: 9}} {
		x.Heard(0, "n1", Trial, "c1", s, 0)
	}
	x.Heard(0, "n1", Trial, "else", Said{}, 0)
	if got := x.Shown().Refused; got != 4 {
		t.Errorf("%d refused", got)
	}
}

// Terms that can't be kept to are refused by name, with what to do.
func TestTerms(t *testing.T) {
	if err := usual.Check(); err != nil {
		t.Error(err)
	}
	for key, change := range map[string]func(t *Terms){
		"watchers": func(t *Terms) { t.Watchers = 1 }, "keepers": func(t *Terms) { t.Keepers = -1 },
		"trial_ms": func(t *Terms) { t.Rest = 1 }, "turn_ms": func(t *Terms) { t.Step = 0 },
	} {
		terms := usual
		change(&terms)
		var out *RangeError
		if err := terms.Check(); !errors.As(err, &out) || out.Key != key {
			t.Errorf("%s: %v", key, err)
		}
	}
	terms := usual
	terms.Patience = terms.Beat
	var order *OrderError
	if err := terms.Check(); !errors.As(err, &order) || order.LongKey != "patience_ms" {
		t.Errorf("%v", err)
	}
}

// What two others find silent is doubted here before this proxy has lost an exchange there; what one says over and over is not.
func TestDoubt(t *testing.T) {
	x := New(0, usual)
	x.view.settings.Me = "n0"
	x.Nodes(0, []string{"c1"})
	x.Fleet(0, fleetOf(9, 1), false)
	says := func(now Time, who string, how ProbeOutcome) (found []bool) {
		for _, d := range x.Heard(now, who, Trial, "c1", Said{How: how}, 0) {
			if d.Act == Doubt {
				found = append(found, d.On)
			}
		}
		return found
	}
	for i := range 5 {
		if got := says(Time(i)*Second/10, "n1", ProbeFailed); len(got) > 0 {
			t.Errorf("one has it doubted: %v", got)
		}
	}
	if got := says(Second, "n2", ProbeFailed); len(got) != 1 || !got[0] {
		t.Errorf("two do not: %v", got)
	}
	if got := says(Second, "n3", ProbeSucceeded); len(got) != 1 || got[0] {
		t.Errorf("an answer does not end it: %v", got)
	}
}

// A node that leaves and comes back is kept by its keepers, whatever they had been told before.
func TestKeptAgain(t *testing.T) {
	x := New(0, usual)
	x.view.settings.Me = "n3"
	x.Fleet(0, fleetOf(60, 3), false)
	told, now := map[string]bool{}, Time(0)
	take := func(ds []Decision) {
		for _, d := range ds {
			if d.Act == Keep {
				told[d.Node] = d.On
			}
		}
	}
	names := []string{"c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"}
	for _, all := range [][]string{names, names[:2], names} {
		take(x.Nodes(now, all))
		now += Second
		take(x.Tick(now))
	}
	kept := 0
	for _, n := range names {
		if told[n] != x.nodes.byName[n].owned {
			t.Errorf("%s: told %v", n, told[n])
		}
		kept += boolToInt(told[n])
	}
	if kept == len(names) || kept != x.Shown().Kept {
		t.Errorf("%d kept, %d shown", kept, x.Shown().Kept)
	}
}

// A fleet of 8 becomes 300 and 8 again within a minute, in steps, and seven in ten die at once on the way: somebody watches all the time
// but for the stated span, few do as soon as it rests, and no proxy has more than its part of the nodes to keep.
func TestGrowsAndShrinks(t *testing.T) {
	r := newRig(300, usual, 8)
	for i, o := range r.all {
		o.up = i < 8
	}
	r.fleet()
	r.watched = r.now
	now := r.now
	check := func(what string) {
		t.Helper()
		here, most, sum := 0, 0, 0
		for _, o := range r.all {
			if o.up {
				k := 0
				for _, n := range o.nodes.sorted {
					k += boolToInt(n.owned)
				}
				here, most, sum = here+1, max(most, k), sum+k
			}
		}
		if sum < 2*min(usual.Keepers, here) {
			t.Errorf("%s: %d here, two nodes are kept %d times", what, here, sum)
		}
		if got := r.watching(); got < min(here, usual.Watchers) || got > 3*usual.Watchers {
			t.Errorf("%s: %d here, %d watch", what, here, got)
		}
	}
	for _, size := range []int{8, 40, 120, 300, 90, 300, 60, 8} {
		for i, o := range r.all {
			was := o.up
			if o.up = i < size; o.up && !was { // a new process
				r.all[i] = r.begin(i, usual)
			}
		}
		r.run(Second) // before anybody is told
		r.fleet()
		r.run(6 * Second)
		check(fmt.Sprint(size))
	}
	if span := r.now - now; r.most > 4*Second || span > 61*Second {
		t.Errorf("nobody watches for %.2f s, of %.1f s", float64(r.most)/float64(Second), float64(span)/float64(Second))
	}
}

func boolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}
