package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

func newTestRouter() *Router {
	book := &settings.Book{Terms: balancer.Terms{Routes: []balancer.Route{{Objective: 6000, Overall: 12000, Value: 1}}}}
	m := NewRouter(book, 1, NewClock(), 1, &Counters{}, zap.NewNop())
	m.memory.grow(1 << 20)
	return m
}

// A panic in one call is counted and ends there: the actor goes on with the next.
func TestPanicStops(t *testing.T) {
	m := newTestRouter()
	go m.Run()
	done := make(chan struct{})
	m.box.post(func() { panic("odd") })
	m.box.post(func() { close(done) })
	<-done
	if n := m.count.Panics.Load(); n != 1 {
		t.Errorf("%d panics counted", n)
	}
}

// What has ended holds no value any more: places are counted as if it did not, and 64 KiB for each index
// and each request would be more than the memory.
func TestEndedHoldsNothing(t *testing.T) {
	m := newTestRouter()
	s := slot{request: &request{}, legs: []*try{{request: &request{value: make([]byte, 9)}}}, over: true}
	m.slots = append(m.slots, s)
	m.clear(0)
	if s.legs[0] != nil || len(m.free) != 1 {
		t.Error("a free index holds its last try")
	}

	near, far := net.Pipe()
	go io.Copy(io.Discard, far)
	c := &client{door: &Door{count: m.count, router: m}, conn: near, in: bufio.NewReader(near)}
	c.pending = []*request{{ready: true, head: crlf}, {client: c}}
	line := c.pending
	if err := c.flush(); err != nil || len(c.pending) != 1 || line[1] != nil {
		t.Errorf("a client's line holds a request that is written: %v", err)
	}
}

// A second answer that lies behind the first would pass for the answer to the next try: no such is carried.
func TestSecondAnswer(t *testing.T) {
	m := newTestRouter()
	near, far := net.Pipe()
	go func() {
		far.Read(make([]byte, 1000))
		far.Write([]byte("*1\r\n$3\r\none\r\n*1\r\n$3\r\ntwo\r\n"))
	}()
	l := &link{peer: newPeer(m, 0, "c1", false), conn: near, in: bufio.NewReader(near)}
	l.peer.ready.Store(true)
	ending, value, again, err := l.carry(&try{request: &request{}, sent: m.clock.Now(), wait: second})
	if ending != balancer.Completed || string(value) != "one" || again || err != nil || m.count.BadPeer.Load() != 1 {
		t.Errorf("ending %d, %q, again %v: %v", ending, value, again, err)
	}
}

// What comes behind a good answer only after its connection was handed the next try is not taken for the answer to
// that, and one that the other side has closed by then is not written to: each time there is a new connection.
func TestStale(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sent := make(chan func(), 3)
	go func() {
		for _, value := range []string{"one", "two", "six"} {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 4096))
			answer := "*1\r\n$3\r\n" + value + "\r\n"
			io.WriteString(c, answer)
			if value == "one" {
				sent <- func() { io.WriteString(c, answer) }
			} else {
				sent <- func() { c.Close() }
			}
		}
	}()
	m := newTestRouter()
	l := &link{peer: newPeer(m, 0, "c1", false), addr: ln.Addr().String()}
	l.peer.ready.Store(true)
	for _, want := range []string{"one", "two", "six"} {
		ending, value, again, err := l.carry(&try{request: &request{}, sent: m.clock.Now(), wait: second})
		if ending != balancer.Completed || string(value) != want || !again || err != nil {
			t.Errorf("ending %d, %q, again %v: %v", ending, value, again, err)
		}
		select {
		case behind := <-sent:
			behind()
		case <-time.After(time.Second):
			t.Fatal("no new connection")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Nodes that are replaced all day by others under new names leave nothing behind: neither places nor goroutines.
func TestChurn(t *testing.T) {
	m := newTestRouter()
	m.book.Longest = 30
	row := func(i int) wire.Target {
		return wire.Target{Name: fmt.Sprint("c", i), Address: "127.0.0.1:1", Ready: true}
	}
	m.nodes(true, true, []wire.Target{row(0), row(1)})
	before := runtime.NumGoroutine()
	for i := 2; i < 60; i++ {
		gone := row(i - 2)
		gone.Ready, gone.Gone = false, true
		m.nodes(false, false, []wire.Target{gone, row(i)})
		time.Sleep(4 * time.Millisecond)
	}
	if len(m.byName) > 5 || len(m.peers) > 5 {
		t.Errorf("%d names, %d places", len(m.byName), len(m.peers))
	}
	if n := runtime.NumGoroutine(); n > before+5 {
		t.Errorf("%d goroutines, %d before", n, before)
	}
	m.nodes(true, false, []wire.Target{row(58), row(59)}) // whole: what it does not name has gone
	m.nodes(false, false, []wire.Target{row(58)})
	if m.peers[m.byName["c59"]].since != 0 || m.peers[m.byName["c58"]].since != 0 {
		t.Error("a node that is listed counts as gone")
	}
}

// The clock counts tenths of a millisecond of Unix time, as the list's starting times do.
func TestClock(t *testing.T) {
	c := NewClock()
	if got, want := c.Now(), balancer.Time(c.base.UnixMilli()*10); got < want || got > want+second {
		t.Errorf("%d at %d", got, want)
	}
}

const second = 10000

// What goes wrong in watching ends the watching: the module's own decision stands.
func TestWatchingEndsAlone(t *testing.T) {
	m := newTestRouter()
	m.watch = &onlooker{} // with no module to ask
	ds := m.decide(1, func(b *balancer.Instance) []balancer.Decision {
		return b.Arrive(1, 0, balancer.Exchange{Tenant: -1, Remaining: 12000})
	})
	if len(ds) == 0 || ds[0].Act != balancer.Shed || m.watch != nil {
		t.Errorf("%v decided, still watching: %v", ds, m.watch != nil)
	}
}

// Thousands of exchanges with all endings, put to a module and to one that watches: under the same terms they never
// differ, and under others the one that watches keeps its books, as far as it can tell what becomes of each try.
func TestWatchKeepsUp(t *testing.T) {
	under := func(change func(*balancer.Terms)) *Counters {
		mine := balancer.Terms{
			Routes: []balancer.Route{{Objective: 2000, Overall: 6000, Value: 1}}, Proxies: 4, MaxTries: 3,
			Tick: 10, Aside: true, Cold: 50000, ColdFrom: 0.3, Fall: 20000, FallMultiple: 3, MayCancel: true,
		}
		other := mine
		other.Routes = append([]balancer.Route{}, mine.Routes...)
		change(&other)
		m := newTestRouter()
		m.brain = balancer.New(0, mine, 1)
		m.Watch(&settings.Book{Terms: other}, 1)
		m.watch.instance = balancer.New(0, other, 1)
		chance := rand.New(rand.NewPCG(1, 2))
		type out struct {
			cx, node int
			sent     balancer.Time
			ends     balancer.Time
			ending   balancer.Ending
		}
		var tries []out
		over := make([]bool, 8000) // an index each, so that none is reused too soon
		wake := balancer.Time(0)
		take := func(now balancer.Time, ds []balancer.Decision) {
			for _, d := range ds {
				switch d.Act {
				case balancer.Send:
					o := out{d.Cx, d.Node, now, now + min(d.After, balancer.Time(chance.IntN(2500))), balancer.Ending(chance.IntN(9))}
					tries = append(tries, o)
				case balancer.Shed, balancer.Error:
					over[d.Cx] = true
				case balancer.Wake:
					wake = now + d.After
				}
			}
		}
		var list []balancer.Listing
		for i, name := range []string{"a", "b", "c", "d", "e", "o"} {
			list = append(list, balancer.Listing{Node: i, Name: name, Origin: name == "o", Ready: true, Weight: 1})
		}
		take(0, m.decide(0, func(b *balancer.Instance) []balancer.Decision { return b.Nodes(0, true, true, list) }))
		cx := 0
		for now := balancer.Time(10); cx < len(over) || len(tries) > 0; now += 10 {
			if wake != 0 && now >= wake || m.watch.wakes != 0 && now >= m.watch.wakes {
				var ds []balancer.Decision
				if wake != 0 && now >= wake {
					wake = 0
					ds = m.brain.Woken(now)
				}
				m.watched(func(w *onlooker) { w.woken(now, ds) })
				take(now, ds)
			}
			for i := 0; i < len(tries); i++ {
				o := tries[i]
				if o.ends > now {
					continue
				}
				tries = slices.Delete(tries, i, i+1)
				i--
				over[o.cx] = over[o.cx] || o.ending == balancer.Completed
				a := balancer.Answer{Cx: o.cx, Node: o.node, Ending: o.ending, Took: now - o.sent, Ended: over[o.cx]}
				take(now, m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Returned(now, a) }))
			}
			for n := chance.IntN(3); n > 0 && cx < len(over); n-- {
				e := balancer.Exchange{Tenant: -1, Remaining: 6000, Key: chance.Uint64N(50), Keyed: true, Write: chance.IntN(9) == 0}
				take(now, m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Arrive(now, cx, e) }))
				cx++
			}
		}
		if m.watch == nil || m.watch.instance.Out() != 0 {
			t.Fatal("the one that watches fell, or counts tries that are not out")
		}
		return m.count
	}
	differ := func(c *Counters) int64 {
		return c.WatchNode.Load() + c.WatchHeld.Load() + c.WatchGivenUp.Load() + c.WatchKept.Load() + c.WatchAnswer.Load()
	}
	if c := under(func(*balancer.Terms) {}); differ(c) != 0 || c.WatchSame.Load() < 8000 {
		t.Errorf("under the same terms: %s", c)
	}
	for name, change := range map[string]func(*balancer.Terms){
		"many proxies": func(o *balancer.Terms) { o.Proxies, o.Peers, o.Me = 400, 399, 7 },
		"one try":      func(o *balancer.Terms) { o.MaxTries = 1 },
		"late earns":   func(o *balancer.Terms) { o.Routes[0].Overdue = 0.5 },
		"short":        func(o *balancer.Terms) { o.Routes[0].Objective = 500 },
		"deduped":      func(o *balancer.Terms) { o.Routes[0].Effect, o.Routes[0].Window = balancer.Deduped, 500 },
	} {
		if c := under(change); differ(c) == 0 || differ(c) > 8000 {
			t.Errorf("%s: %s", name, c)
		}
	}
}

// No more is read of a value than the client takes and two pieces hold, and once nobody takes it no more is read at all.
func TestFlowKeepsPace(t *testing.T) {
	m := newTestRouter()
	near, far := net.Pipe()
	defer far.Close()
	const long = 1 << 20
	var written atomic.Int64
	go func() {
		fmt.Fprintf(far, "*1\r\n$%d\r\n", long)
		for n := 0; n < long; n += 1 << 10 {
			if _, err := far.Write(make([]byte, 1<<10)); err != nil {
				return
			}
			written.Add(1 << 10)
		}
		io.WriteString(far, "\r\n")
	}()
	l := &link{peer: newPeer(m, 0, "c1", false), conn: near, in: bufio.NewReader(near)}
	a, err := wire.ReadAnswer(l.in)
	if err != nil || a.Long != long {
		t.Fatal(a, err)
	}
	f := newFlow(a.Long)
	ended := make(chan error)
	go func() { ended <- l.pour(f, &a) }()
	taken := 0
	for range 10 {
		p := <-f.full
		taken += len(p)
		f.free <- p[:0]
	}
	time.Sleep(50 * time.Millisecond)
	if w := int(written.Load()); w > taken+flowSize+8<<10 {
		t.Errorf("%d read, %d taken", w, taken)
	}
	f.drop()
	select {
	case err := <-ended:
		if !errors.Is(err, errDropped) {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Error("read on for nobody")
	}
}

// Watches that end at once, at many proxies, are not begun anew at once, and each that fails waits longer.
func TestWatchesSpread(t *testing.T) {
	var firsts []time.Duration
	for seed := range uint64(40) {
		l, err := NewList("", nil, newTestRouter(), seed, &Counters{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		firsts = append(firsts, l.pause())
		sum := time.Duration(0)
		for range 20 {
			last := l.pause()
			if sum += last; last > 3*longestWait/2 {
				t.Errorf("a pause of %v", last)
			}
		}
		if sum < 12*longestWait {
			t.Errorf("twenty pauses of %v together", sum)
		}
	}
	slices.Sort(firsts)
	if firsts[0] < pauseWatch/2 || firsts[30]-firsts[10] < pauseWatch/4 {
		t.Errorf("pauses from %v to %v", firsts[0], firsts[39])
	}
}
