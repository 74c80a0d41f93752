package proxy

import (
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
)

// aboutTo is how near two wake-ups are to be one: their timers are set one after the other.
const aboutTo = balancer.Time(10)

// onlooker asks a second instance of the module, under the terms to come, what it would do with all that comes to the
// first, counts by kind where it would do otherwise, and then tells it what was done. Nothing that it decides is
// carried out. An exchange is compared until the first difference on it; what comes of it after that is only learnt
// from, so that one difference is counted once.
type onlooker struct {
	instance *balancer.Instance
	wakes    balancer.Time // when it wants to be woken, 0: not at all
	timer    *time.Timer
	did      map[int]*balancer.Decision // by exchange, of the call in hand
	count    *Counters
}

// Watch has the module's decisions compared with those under other terms. It is called before Run.
func (m *Router) Watch(book *settings.Book, seed uint64) {
	m.watch = &onlooker{
		instance: balancer.New(m.clock.Now(), book.Terms, seed), timer: time.NewTimer(time.Hour),
		did: map[int]*balancer.Decision{}, count: m.count,
	}
}

// decide puts a call to the module and, where there is one, to the instance that watches.
func (m *Router) decide(now balancer.Time, call func(b *balancer.Instance) []balancer.Decision) []balancer.Decision {
	ds := call(m.brain)
	m.watched(func(w *onlooker) { w.compare(now, ds, call(w.instance)) })
	return ds
}

// watched keeps what goes wrong in watching from the proxy's work: then it is over.
func (m *Router) watched(call func(w *onlooker)) {
	if m.watch == nil {
		return
	}
	well := false
	guarded(m.log, m.count, func() {
		call(m.watch)
		well = true
	})
	if !well {
		m.watch = nil
		m.log.Error("watching has ended")
	}
}

// woken carries out the wake-up that the module asked for; the instance that watches has its own times.
func (m *Router) woken() {
	now := m.clock.Now()
	m.wakes = 0
	ds := m.brain.Woken(now)
	m.watched(func(w *onlooker) { w.woken(now, ds) })
	m.act(ds)
}

// watchWoken wakes the instance that watches, unless the module is about to be woken itself: both are then asked at
// one time, or what they agree on would look like a difference.
func (m *Router) watchWoken() {
	if now := m.clock.Now(); m.wakes == 0 || now+aboutTo < m.wakes {
		m.watched(func(w *onlooker) { w.woken(now, nil) })
	}
}

// due is nil where nothing watches.
func (m *Router) due() <-chan time.Time {
	if m.watch == nil {
		return nil
	}
	return m.watch.timer.C
}

func (w *onlooker) woken(now balancer.Time, ds []balancer.Decision) {
	var would []balancer.Decision
	if w.wakes != 0 && now >= w.wakes {
		w.wakes = 0
		would = w.instance.Woken(now)
	}
	w.compare(now, ds, would)
}

// compare counts what the module did against what the instance that watches would have done, and sets that right.
func (w *onlooker) compare(now balancer.Time, did, would []balancer.Decision) {
	for i := range did {
		if ends(did[i]) || did[i].Act == balancer.Send {
			w.did[did[i].Cx] = &did[i]
		}
	}
	for i := range would {
		switch d := &would[i]; d.Act {
		case balancer.Wake:
			w.wakes = now + d.After
			w.timer.Reset(span(d.After))
		case balancer.Tell:
			w.count.WatchTold.Add(1)
		case balancer.Send, balancer.Shed, balancer.Error:
			w.one(now, d, w.did[d.Cx])
			delete(w.did, d.Cx)
		}
	}
	for i := range did { // in order, and not in the map's
		if d := w.did[did[i].Cx]; d != nil {
			delete(w.did, d.Cx)
			if w.instance.Has(d.Cx) {
				w.one(now, nil, d)
			} else if d.Act == balancer.Send {
				w.instance.Went(now, d.Cx, d.Node)
			}
		}
	}
}

func ends(d balancer.Decision) bool { return d.Act == balancer.Shed || d.Act == balancer.Error }

// one compares the decisions on one exchange; nil means that it is held.
func (w *onlooker) one(now balancer.Time, would, did *balancer.Decision) {
	switch {
	case would != nil && did != nil && would.Act == did.Act && (ends(*did) || would.Node == did.Node):
		w.count.WatchSame.Add(1)
		return
	case would == nil && ends(*did), would != nil && did != nil && would.Act == balancer.Send && ends(*did):
		w.count.WatchKept.Add(1)
	case would != nil && ends(*would) && (did == nil || did.Act == balancer.Send):
		w.count.WatchGivenUp.Add(1)
	case would == nil || did == nil:
		w.count.WatchHeld.Add(1)
	case ends(*would):
		w.count.WatchAnswer.Add(1)
	default:
		w.count.WatchNode.Add(1)
	}
	cx := 0
	if would != nil {
		if cx = would.Cx; would.Act == balancer.Send {
			w.instance.Unsent(cx)
		}
	} else {
		cx = did.Cx
	}
	if w.instance.Has(cx) {
		w.instance.Yield(cx)
	}
	if did != nil && did.Act == balancer.Send {
		w.instance.Went(now, cx, did.Node)
	}
}
