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
	config := &settings.Book{Terms: balancer.Terms{Routes: []balancer.Route{{Objective: 6000, Overall: 12000, Value: 1}}}}
	router := NewRouter(config, 1, NewClock(), 1, &Counters{}, zap.NewNop())
	router.valueMemory.resize(1 << 20)
	return router
}

// A panic in one call is counted and ends there: the actor goes on with the next.
func TestPanicInCallDoesNotStopActor(t *testing.T) {
	router := newTestRouter()
	go router.Run()
	done := make(chan struct{})
	router.mailbox.post(func() { panic("odd") })
	router.mailbox.post(func() { close(done) })
	<-done
	if n := router.counters.Panics.Load(); n != 1 {
		t.Errorf("%d panics counted", n)
	}
}

// What has ended holds no value any more: places are counted as if it did not, and 64 KiB for each index
// and each request would be more than the memory.
func TestFinishedRequestReleasesValues(t *testing.T) {
	router := newTestRouter()
	s := requestSlot{request: &request{}, attempts: []*attempt{{request: &request{value: make([]byte, 9)}}}, finished: true}
	router.slots = append(router.slots, s)
	router.releaseSlot(0)
	if s.attempts[0] != nil || len(router.freeSlots) != 1 {
		t.Error("a free index holds its last try")
	}

	near, far := net.Pipe()
	go io.Copy(io.Discard, far)
	c := &clientConn{listener: &Door{counters: router.counters, router: router}, conn: near, reader: bufio.NewReader(near)}
	c.pending = []*request{{ready: true, header: crlf}, {conn: c}}
	line := c.pending
	if err := c.flush(); err != nil || len(c.pending) != 1 || line[1] != nil {
		t.Errorf("a client's line holds a request that is written: %v", err)
	}
}

// A second answer that lies behind the first would pass for the answer to the next try: no such is carried.
func TestExtraResponseClosesUpstreamConn(t *testing.T) {
	router := newTestRouter()
	near, far := net.Pipe()
	go func() {
		far.Read(make([]byte, 1000))
		far.Write([]byte("*1\r\n$3\r\none\r\n*1\r\n$3\r\ntwo\r\n"))
	}()
	upstream := &upstreamConn{host: newUpstreamHost(router, 0, "c1", false), conn: near, reader: bufio.NewReader(near)}
	upstream.host.ready.Store(true)
	got := upstream.roundTrip(&attempt{request: &request{}, sentAt: router.clock.Now(), timeout: secondTicks})
	if got.outcome != balancer.Completed || string(got.value) != "one" || got.reusable || got.err != nil || router.counters.BadPeer.Load() != 1 {
		t.Errorf("outcome %d, %q, reusable %v: %v", got.outcome, got.value, got.reusable, got.err)
	}
}

// What comes behind a good answer only after its connection was handed the next try is not taken for the answer to
// that, and one that the other side has closed by then is not written to: each time there is a new connection.
func TestStaleUpstreamConnIsReplaced(t *testing.T) {
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
	router := newTestRouter()
	upstream := &upstreamConn{host: newUpstreamHost(router, 0, "c1", false), addr: ln.Addr().String()}
	upstream.host.ready.Store(true)
	for _, want := range []string{"one", "two", "six"} {
		got := upstream.roundTrip(&attempt{request: &request{}, sentAt: router.clock.Now(), timeout: secondTicks})
		if got.outcome != balancer.Completed || string(got.value) != want || !got.reusable || got.err != nil {
			t.Errorf("outcome %d, %q, reusable %v: %v", got.outcome, got.value, got.reusable, got.err)
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
func TestDepartedHostsAreRemoved(t *testing.T) {
	router := newTestRouter()
	router.settings.Longest = 30
	row := func(i int) wire.Target {
		return wire.Target{Name: fmt.Sprint("c", i), Address: "127.0.0.1:1", Ready: true}
	}
	router.updateEndpoints(endpointUpdate{whole: true, initial: true, targets: []wire.Target{row(0), row(1)}})
	before := runtime.NumGoroutine()
	for i := 2; i < 60; i++ {
		gone := row(i - 2)
		gone.Ready, gone.Gone = false, true
		router.updateEndpoints(endpointUpdate{targets: []wire.Target{gone, row(i)}})
		time.Sleep(4 * time.Millisecond)
	}
	if len(router.hostIndex) > 5 || len(router.hosts) > 5 {
		t.Errorf("%d names, %d places", len(router.hostIndex), len(router.hosts))
	}
	if n := runtime.NumGoroutine(); n > before+5 {
		t.Errorf("%d goroutines, %d before", n, before)
	}
	router.updateEndpoints(endpointUpdate{whole: true, targets: []wire.Target{row(58), row(59)}}) // whole: what it does not name has gone
	router.updateEndpoints(endpointUpdate{targets: []wire.Target{row(58)}})
	if router.hosts[router.hostIndex["c59"]].departedAt != 0 || router.hosts[router.hostIndex["c58"]].departedAt != 0 {
		t.Error("a node that is listed counts as gone")
	}
}

// The clock counts tenths of a millisecond of Unix time, as the list's starting times do.
func TestClockCountsUnixTenthsOfMillisecond(t *testing.T) {
	c := NewClock()
	if got, want := c.Now(), balancer.Time(c.base.UnixMilli()*10); got < want || got > want+secondTicks {
		t.Errorf("%d at %d", got, want)
	}
}

const secondTicks = 10000

// What goes wrong in watching ends the watching: the module's own decision stands.
func TestShadowPanicDisablesShadowOnly(t *testing.T) {
	router := newTestRouter()
	router.shadow = &shadowBalancer{} // with no module to ask
	decisions := router.decide(1, func(b *balancer.Instance) []balancer.Decision {
		return b.Arrive(1, 0, balancer.Exchange{Tenant: -1, Remaining: 12000})
	})
	if len(decisions) == 0 || decisions[0].Act != balancer.Shed || router.shadow != nil {
		t.Errorf("%v decided, still watching: %v", decisions, router.shadow != nil)
	}
}

// Thousands of exchanges with all endings, put to a module and to one that watches: under the same terms they never
// differ, and under others the one that watches keeps its books, as far as it can tell what becomes of each try.
func TestShadowComparesAllOutcomes(t *testing.T) {
	under := func(change func(*balancer.Terms)) *Counters {
		mine := balancer.Terms{
			Routes: []balancer.Route{{Objective: 2000, Overall: 6000, Value: 1}}, Proxies: 4, MaxTries: 3,
			Tick: 10, Aside: true, Cold: 50000, ColdFrom: 0.3, Fall: 20000, FallMultiple: 3, MayCancel: true,
		}
		other := mine
		other.Routes = append([]balancer.Route{}, mine.Routes...)
		change(&other)
		router := newTestRouter()
		router.balancer = balancer.New(0, mine, 1)
		router.Watch(&settings.Book{Terms: other}, 1)
		router.shadow.balancer = balancer.New(0, other, 1)
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
		take := func(now balancer.Time, decisions []balancer.Decision) {
			for _, d := range decisions {
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
		take(0, router.decide(0, func(b *balancer.Instance) []balancer.Decision { return b.Nodes(0, true, true, list) }))
		slot := 0
		for now := balancer.Time(10); slot < len(over) || len(tries) > 0; now += 10 {
			if wake != 0 && now >= wake || router.shadow.wakeAt != 0 && now >= router.shadow.wakeAt {
				var decisions []balancer.Decision
				if wake != 0 && now >= wake {
					wake = 0
					decisions = router.balancer.Woken(now)
				}
				router.withShadow(func(shadow *shadowBalancer) { shadow.timerFired(now, decisions) })
				take(now, decisions)
			}
			for i := 0; i < len(tries); i++ {
				o := tries[i]
				if o.ends > now {
					continue
				}
				tries = slices.Delete(tries, i, i+1)
				i--
				over[o.cx] = over[o.cx] || o.ending == balancer.Completed
				result := balancer.Answer{Cx: o.cx, Node: o.node, Ending: o.ending, Took: now - o.sent, Ended: over[o.cx]}
				take(now, router.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Returned(now, result) }))
			}
			for n := chance.IntN(3); n > 0 && slot < len(over); n-- {
				exchange := balancer.Exchange{Tenant: -1, Remaining: 6000, Key: chance.Uint64N(50), Keyed: true, Write: chance.IntN(9) == 0}
				take(now, router.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Arrive(now, slot, exchange) }))
				slot++
			}
		}
		if router.shadow == nil || router.shadow.balancer.Out() != 0 {
			t.Fatal("the one that watches fell, or counts tries that are not out")
		}
		return router.counters
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
func TestStreamAppliesBackpressure(t *testing.T) {
	router := newTestRouter()
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
	upstream := &upstreamConn{host: newUpstreamHost(router, 0, "c1", false), conn: near, reader: bufio.NewReader(near)}
	answer, err := wire.ReadAnswer(upstream.reader)
	if err != nil || answer.Long != long {
		t.Fatal(answer, err)
	}
	stream := newStream(answer.Long)
	ended := make(chan error)
	go func() { ended <- upstream.readChunks(stream, &answer) }()
	taken := 0
	for range 10 {
		p := <-stream.filled
		taken += len(p)
		stream.empty <- p[:0]
	}
	time.Sleep(50 * time.Millisecond)
	if w := int(written.Load()); w > taken+streamBufferBytes+8<<10 {
		t.Errorf("%d read, %d taken", w, taken)
	}
	stream.abandon()
	select {
	case err := <-ended:
		if !errors.Is(err, errStreamAbandoned) {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Error("read on for nobody")
	}
}

// Watches that end at once, at many proxies, are not begun anew at once, and each that fails waits longer.
func TestWatchBackoffIsSpreadAndGrows(t *testing.T) {
	var firsts []time.Duration
	for seed := range uint64(40) {
		l, err := NewList("", nil, newTestRouter(), seed, &Counters{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		firsts = append(firsts, l.nextBackoff())
		sum := time.Duration(0)
		for range 20 {
			last := l.nextBackoff()
			if sum += last; last > 3*maxWatchBackoff/2 {
				t.Errorf("a pause of %v", last)
			}
		}
		if sum < 12*maxWatchBackoff {
			t.Errorf("twenty pauses of %v together", sum)
		}
	}
	slices.Sort(firsts)
	if firsts[0] < minWatchBackoff/2 || firsts[30]-firsts[10] < minWatchBackoff/4 {
		t.Errorf("pauses from %v to %v", firsts[0], firsts[39])
	}
}
