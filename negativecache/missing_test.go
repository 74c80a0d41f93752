package negativecache

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func hashOf(n int) uint64 { return uint64(n)*0x9e3779b97f4a7c15 ^ 0xabcdef }

// learn has a table take a key as missing.
func learn(t *Table, h uint64, now Time) bool { return t.recordAbsent(h, t.Begin(h), now) }

// A key is missing for as long as it may be believed, and never past a write.
func TestTable(t *testing.T) {
	x := newTable(4096, 10*Second)
	x.serveUntil(1000 * Second)
	h := hashOf(1)
	if !learn(x, h, Second) || !x.Has(h, Second) || x.Has(hashOf(2), Second) {
		t.Error("not held")
	}
	if !x.Has(h, 11*Second-1) || x.Has(h, 11*Second) {
		t.Error("its time is not kept to")
	}
	learn(x, h, 12*Second)
	out := x.Begin(h) // a look-up is out as the write passes
	x.Wrote(h, 13*Second)
	if x.Has(h, 13*Second) || x.recordAbsent(h, out, 14*Second) || x.Has(h, 14*Second) {
		t.Error("missing past a write")
	}
	// one that begins after it may still be answered before the write is carried out
	if learn(x, h, 15*Second) || x.recordPeerAbsent(h, 15*Second, 15*Second) || x.Has(h, 15*Second) {
		t.Error("learnt again while the write may be under way")
	}
	if !learn(x, h, 24*Second) || !x.Has(h, 24*Second) {
		t.Error("not learnt again after that")
	}
	x.serveUntil(24 * Second)
	if x.Has(h, 24*Second) {
		t.Error("believed past the time that was said")
	}
	x.serveUntil(1000 * Second)
	k := x.Begin(h)
	if x.flush(25 * Second); x.Has(h, 25*Second) || x.recordAbsent(h, k, 25*Second) || x.recordPeerAbsent(h, 25*Second, 25*Second) {
		t.Error("there after all was forgotten")
	}
}

// Keys that never come again push out none that came again, and memory does not grow; writes that are pushed out leave nothing stale.
func TestScan(t *testing.T) {
	x := newTable(4096, 100*Second)
	x.serveUntil(10000 * Second)
	for i := range 500 {
		learn(x, hashOf(i), Second)
		x.Has(hashOf(i), Second)
	}
	for i := range 1 << 18 {
		h := hashOf(1000 + i)
		x.recordAbsent(h, x.Begin(h), 2*Second)
	}
	held := 0
	for i := range 500 {
		if x.Has(hashOf(i), 3*Second) {
			held++
		}
	}
	if held < 450 {
		t.Errorf("%d of 500 held after a scan", held)
	}
	for i := range 1 << 16 { // far more writes than there is room for
		x.Wrote(hashOf(1<<20+i), 3*Second)
	}
	for i := range 1 << 16 {
		if h := hashOf(1<<20 + i); x.recordPeerAbsent(h, 4*Second, 5*Second) || learn(x, h, 5*Second) {
			t.Fatalf("key %d is missing two seconds after it was written", i)
		}
	}
}

// rig plays proxies that share a store, by words that are late, doubled and lost, cuts and pauses.
type rig struct {
	now    Time
	all    []*one
	r      *rand.Rand
	loss   float64
	cut    func(a, b int) bool
	post   map[Time][]func()
	exists map[int]Time // keys, and when they were written
	worst  Time         // by which a key was called missing after it was written
	asked  int          // look-ups of missing keys at the store
	hits   int
	plant  string
}

type one struct {
	*Instance
	still  bool
	stood  Time
	inbox  []func()
	slots  map[string]func(to *one, age Time) // what others hold of its words, for who asks what it missed
	said   map[string]Time
	pulses map[string]Time // when others were last heard
	wrote  map[string]int64
	epochs map[string]int64
	epoch  int64
}

const (
	stepFor = Second / 20
	every   = Second
	here    = 7 * Second / 2
)

func newRig(n int, seed uint64) *rig {
	g := &rig{now: 1000 * Second, r: rand.New(rand.NewPCG(seed, 1)), post: map[Time][]func(){}, exists: map[int]Time{}}
	for i := range n {
		x := New(g.now, Terms{Me: fmt.Sprint("n", i), Entries: 2048, Believe: 10 * Second, Grace: 2 * Second, Grow: 1000})
		g.all = append(g.all, &one{
			Instance: x, slots: map[string]func(*one, Time){}, said: map[string]Time{}, pulses: map[string]Time{}, wrote: map[string]int64{},
			epochs: map[string]int64{}, epoch: 1,
		})
	}
	return g
}

func (g *rig) send(from int, give func(to *one)) {
	for k, to := range g.all {
		if k == from || g.r.Float64() < g.loss || g.cut != nil && g.cut(from, k) {
			continue
		}
		at := g.now + stepFor*Time(1+g.r.IntN(6))
		g.post[at] = append(g.post[at], func() {
			if to.still {
				to.inbox = append(to.inbox, func() { give(to) })
			} else {
				give(to)
			}
		})
	}
}

func (g *rig) do(i int, ds []Decision) {
	o := g.all[i]
	for _, d := range ds {
		d, epoch := d, o.epoch
		var give func(to *one, age Time)
		key := ""
		switch d.Act {
		case SayWrote:
			key = fmt.Sprint("w", d.Slot)
			give = func(to *one, _ Time) { to.HeardWrote(g.now, o.settings.Me, epoch, d.Word) }
		case SayAbsent:
			key = fmt.Sprint("a", d.Slot)
			give = func(to *one, age Time) { to.HeardAbsent(g.now, o.settings.Me, d.Word, age) }
		default:
			continue
		}
		o.slots[key], o.said[key] = give, g.now
		g.send(i, func(to *one) { give(to, 0) }) // which may lie unread, and nobody counts that
	}
}

// ask looks a key up through a proxy.
func (g *rig) ask(i, key int) {
	o, h := g.all[i], hashOf(key)
	if o.Table.Has(h, g.now) {
		g.hits++
		if at, ok := g.exists[key]; ok {
			g.worst = max(g.worst, g.now-at)
		}
		return
	}
	k := o.Table.Begin(h)
	g.asked++
	looks := g.now + stepFor*Time(g.r.IntN(3))
	back := looks + stepFor*Time(1+g.r.IntN(3))
	absent := false
	g.post[looks] = append(g.post[looks], func() { _, ok := g.exists[key]; absent = !ok })
	g.post[back] = append(g.post[back], func() {
		if absent && !o.still {
			g.do(i, o.Learned(g.now, h, k, -1))
		}
	})
}

// write goes through a proxy, and is carried out a while later, or is not though it may be.
func (g *rig) write(i, key int) {
	o, h := g.all[i], hashOf(key)
	if g.plant != "late" {
		o.Table.Wrote(h, g.now)
		if g.plant != "silent" {
			g.do(i, o.Instance.Wrote(g.now, h))
		}
	}
	at := g.now + stepFor*Time(1+g.r.IntN(20))
	g.post[at] = append(g.post[at], func() {
		if _, ok := g.exists[key]; !ok {
			g.exists[key] = g.now
		}
		if g.plant == "late" {
			o.Table.Wrote(h, g.now)
			g.do(i, o.Instance.Wrote(g.now, h))
		}
	})
}

func (g *rig) run(span Time, each func()) {
	for end := g.now + span; g.now < end; {
		g.now += stepFor
		for _, f := range g.post[g.now] {
			f()
		}
		delete(g.post, g.now)
		for i, o := range g.all {
			if o.still {
				o.stood = g.now
				continue
			}
			inbox := o.inbox
			o.inbox = nil
			for _, f := range inbox {
				f()
			}
			g.do(i, o.Tick(g.now))
			if (g.now/stepFor)%20 == Time(i%20) { // a pulse, and a digest with one other that brings what was lost
				sent, epoch := o.Sent(), o.epoch
				if g.plant == "no-count" {
					sent = 0
				}
				g.send(i, func(to *one) {
					to.pulses[o.settings.Me], to.wrote[o.settings.Me], to.epochs[o.settings.Me] = g.now, max(to.wrote[o.settings.Me], sent), epoch
				})
				if k := g.r.IntN(len(g.all)); k != i && !g.all[k].still && (g.cut == nil || !g.cut(i, k)) {
					for key, give := range g.all[k].slots {
						give(o, g.now-g.all[k].said[key])
					}
				}
			}
			if (g.now/stepFor)%4 == 0 {
				var fleet []Proxy
				for _, p := range g.all {
					fleet = append(fleet, Proxy{Name: p.settings.Me, Here: p == o || g.now-o.pulses[p.settings.Me] < here || g.plant == "deaf", Wrote: o.wrote[p.settings.Me], Epoch: o.epochs[p.settings.Me]})
				}
				g.do(i, o.Fleet(g.now, fleet, len(g.all), g.now-o.stood < Second && o.stood > 0))
			}
		}
		each()
	}
}

// day plays keys that are asked for all over and written now and then, with everything that may go wrong between proxies.
func day(seed uint64, plant string) *rig {
	g := newRig(6, seed)
	g.plant = plant
	z := rand.NewZipf(rand.New(rand.NewPCG(seed, 2)), 1.2, 4, 400)
	load := func() {
		for range 30 {
			if i := g.r.IntN(6); !g.all[i].still {
				g.ask(i, int(z.Uint64()))
			}
		}
		if i := g.r.IntN(6); g.r.Float64() < 0.05 && !g.all[i].still {
			g.write(i, int(z.Uint64())) // a key that most likely has been asked for
		}
		if g.r.Float64() < 0.005 {
			clear(g.exists) // all that was written is taken out at the store, which makes keys missing again
		}
	}
	g.run(8*Second, load)
	g.loss = 0.33
	g.run(8*Second, load)
	g.cut = func(a, b int) bool { return (a < 2) != (b < 2) }
	g.run(9*Second, load)
	g.cut = nil
	g.run(6*Second, load)
	g.all[3].still = true
	g.run(6*Second, load)
	g.all[3].still = false
	g.run(6*Second, load)
	g.loss = 0
	g.run(5*Second, load)
	return g
}

// No key is called missing for longer after it was written than stated: until the last pulse that was heard has lapsed, or the one
// that came just before that and the grace have passed. Planted faults are found.
func TestStale(t *testing.T) {
	limit := here + 2*Second + Second
	for seed := range uint64(12) {
		g := day(seed, "")
		if g.worst > limit || g.hits < 1000 {
			t.Errorf("seed %d: missing for %.2f s after it was written; %d answered, %d asked", seed, float64(g.worst)/float64(Second), g.hits, g.asked)
		}
	}
	for _, plant := range []string{"silent", "deaf", "no-count"} {
		worst := Time(0)
		for seed := range uint64(6) {
			worst = max(worst, day(seed, plant).worst)
		}
		if worst <= limit && plant != "no-count" {
			t.Errorf("%s: missing for %.2f s at most: not found", plant, float64(worst)/float64(Second))
		}
	}
}

// An origin that says of every key for a moment that it has none fills the table no faster than stated; one call empties it.
func TestGrow(t *testing.T) {
	x := New(0, Terms{Me: "n1", Entries: 1 << 16, Believe: 100 * Second, Grace: Second, Grow: 50})
	x.Fleet(0, []Proxy{{Name: "n1", Here: true}}, 1, false)
	for i := range 4000 {
		x.Learned(Time(i)*5, hashOf(i), x.Table.Begin(hashOf(i)), -1)
	}
	if f := x.Shown(); f.Put > 50+2*50+1 || f.Put < 100 || f.GrowthLimited == 0 {
		t.Errorf("%+v", f)
	}
	x.Fleet(2*Second, []Proxy{{Name: "n1", Here: true}}, 1, false)
	has := func() (n int) {
		for i := range 4000 {
			if x.Table.Has(hashOf(i), 2*Second) {
				n++
			}
		}
		return n
	}
	if has() < 100 {
		t.Error("nothing is held")
	}
	if x.Forget(2 * Second); has() != 0 {
		t.Error("something is held after all was forgotten")
	}
}

// A tenant whose clients scan takes its own part of the growth and nobody else's.
func TestTenants(t *testing.T) {
	x := New(0, Terms{Me: "n1", Entries: 1 << 16, Believe: 100 * Second, Grace: Second, Grow: 100, Tenants: 4})
	put := func(from, n, tenant int) int64 {
		was := x.Shown().Put
		for i := range n {
			x.Learned(Second, hashOf(from+i), x.Table.Begin(hashOf(from+i)), tenant)
		}
		return x.Shown().Put - was
	}
	if scan, other, none := put(0, 5000, 2), put(10000, 20, 0), put(20000, 20, -1); scan != 25 || other != 20 || none != 20 {
		t.Errorf("%d by who scans, %d and %d by others", scan, other, none)
	}
}

// With one proxy of those stated never met, or one that is not here, nothing is believed.
func TestNotAllHere(t *testing.T) {
	x := New(0, Terms{Me: "n1", Entries: 2048, Believe: 100 * Second, Grace: Second, Grow: 50})
	now, me, other := Time(0), Proxy{Name: "n1", Here: true}, Proxy{Name: "n2", Here: true, Epoch: 1}
	for _, c := range []struct {
		all    []Proxy
		behind bool
		want   bool
	}{
		{[]Proxy{me}, false, false},
		{[]Proxy{me, other}, false, true},
		{[]Proxy{me, {Name: "n2", Epoch: 1}}, false, false},
		{[]Proxy{me, other}, true, false},
		{[]Proxy{me, {Name: "n2", Gone: true, Epoch: 1}}, false, true},
	} {
		now += 3 * Second
		x.Fleet(now, c.all, 2, c.behind)
		now += x.settings.Believe/2 + Second
		if x.Fleet(now, c.all, 2, c.behind); x.Shown().Believes != c.want { // what one that has ended wrote last has had its time
			t.Errorf("%+v: %v", c, x.Shown().Believes)
		}
	}
}

// The first word of a process that has begun anew may come before its first pulse: what the one before it had sent out is not taken for
// this one's, and words that it sends later and that get lost are missed.
func TestNewProcess(t *testing.T) {
	x := New(0, Terms{Me: "n1", Entries: 2048, Believe: 10 * Second, Grace: Second, Grow: 50})
	fleet := func(now Time, wrote, epoch int64) {
		x.Fleet(now, []Proxy{{Name: "n1", Here: true}, {Name: "n2", Here: true, Wrote: wrote, Epoch: epoch}}, 2, false)
	}
	fleet(Second, 500, 1)
	x.HeardWrote(2*Second, "n2", 2, Word{Seq: 1, Hashes: []uint64{7}})
	fleet(2*Second, 500, 1)
	if x.Shown().Believes {
		t.Error("believed on an earlier process's pulse")
	}
	was := x.Shown().Cleared
	if fleet(3*Second, 3, 2); x.Shown().Cleared == was || x.Shown().Believes {
		t.Errorf("two words are missing, and nothing is forgotten: %+v", x.Shown())
	}
	if fleet(9*Second, 3, 2); !x.Shown().Believes {
		t.Error("not believed after that")
	}
	if fleet(10*Second, 4, 2); x.Shown().AwaitedProxies != 1 {
		t.Errorf("one more is missing: %+v", x.Shown())
	}
}

// Terms out of their range are named.
func TestTerms(t *testing.T) {
	good := Terms{Me: "n1", Entries: 1000, Believe: Second, Grace: Second, Grow: 1}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	bad := good
	bad.Believe = 1
	var e *RangeError
	if err := bad.Check(); !errors.As(err, &e) || e.Key != "believe_s" {
		t.Errorf("%v", err)
	}
}

// Look-ups and writes come on any goroutine; the race detector looks on.
func TestMany(t *testing.T) {
	x := newTable(4096, 10*Second)
	x.serveUntil(1000 * Second)
	var all sync.WaitGroup
	for k := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := range 5000 {
				h := hashOf(i % 500)
				switch (i + k) % 10 {
				case 0:
					x.Wrote(h, Time(i))
				case 1:
					learn(x, h, Time(i))
				case 2:
					x.recordPeerAbsent(h, Time(i), Time(i))
				case 3:
					if i%1000 == 3 {
						x.flush(Time(i))
					}
				default:
					x.Has(h, Time(i))
				}
			}
		}()
	}
	all.Wait()
}

func FuzzWord(f *testing.F) {
	good, _ := msgpack.Marshal(&Word{Seq: 3, Hashes: []uint64{1, 2}})
	f.Add(good)
	f.Add([]byte("\xdc\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var w Word
		if msgpack.Unmarshal(b, &w) != nil {
			return
		}
		x := New(0, Terms{Me: "n1", Entries: 2048, Believe: Second, Grace: Second, Grow: 1})
		x.HeardWrote(Second, "n2", 1, w)
		x.HeardAbsent(Second, "n2", w, 0)
		x.Fleet(Second, []Proxy{{Name: "n2", Here: true, Wrote: w.Seq, Epoch: 1}}, 1, false)
	})
}

func bench(b *testing.B, entries int, hit bool) {
	x := newTable(entries, 1000*Second)
	x.serveUntil(1000 * Second)
	for i := range entries / 2 {
		learn(x, hashOf(i), Second)
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		r := rand.New(rand.NewPCG(1, 2))
		for p.Next() {
			n := r.IntN(entries / 2)
			if !hit {
				n += entries
			}
			x.Has(hashOf(n), 2*Second)
		}
	})
}

func BenchmarkHit(b *testing.B)   { bench(b, 1<<17, true) }
func BenchmarkMiss(b *testing.B)  { bench(b, 1<<17, false) }
func BenchmarkHit4M(b *testing.B) { bench(b, 1<<22, true) }
