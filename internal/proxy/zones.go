package proxy

import (
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/zonehealth"

	"go.uber.org/zap"
)

const zoneTick = 100 * time.Millisecond

// quarters is what the module's actor has of the zones; nobody else looks but at what is shown.
type quarters struct {
	in    *zonehealth.Instance
	timer *time.Timer
	armed bool
	due   <-chan time.Time
	tell  func(zone string, v zonehealth.Voice, life zonehealth.Time) // peers; it may not wait. nil: there are none
	quick balancer.Time                                               // an answer that takes longer is late
	shown atomic.Pointer[[]zonehealth.Shown]
	at    balancer.Time // when that was
}

// Zones has whole zones left and returned to. It is called before Run.
func (m *Router) Zones(t zonehealth.Terms, tell func(zone string, v zonehealth.Voice, life zonehealth.Time)) {
	q := &quarters{in: zonehealth.New(zonehealth.Time(m.clock.Now()), t), timer: time.NewTimer(time.Hour), tell: tell, quick: balancer.Time(t.Shortest)}
	q.due = q.timer.C
	q.shown.Store(&[]zonehealth.Shown{})
	m.zones = q
}

// zoneDue is nil where zones are not judged.
func (m *Router) zoneDue() <-chan time.Time {
	if m.zones == nil {
		return nil
	}
	return m.zones.due
}

// zonesLook gives the zones their tick.
func (m *Router) zonesLook() {
	q := m.zones
	q.armed = false
	flying, room := m.brain.Load()
	q.in.Load(float64(flying), room)
	m.zoned(q.in.Tick(zonehealth.Time(m.clock.Now())))
}

// arm sees that there is a next tick, where there is something to look at.
func (q *quarters) arm() {
	if !q.armed && q.in.Busy() {
		q.armed = true
		q.timer.Reset(zoneTick)
	}
}

// zoneList tells the zones of the caches that are on the ring.
func (m *Router) zoneList() {
	q := m.zones
	if q == nil {
		return
	}
	var all []zonehealth.Node
	for n, p := range m.peers {
		if p != nil && !p.origin && p.listed.Ready && p.since == 0 {
			all = append(all, zonehealth.Node{Index: n, Name: p.name, Zone: p.listed.Zone, Since: zonehealth.Time(p.listed.Since) * 10})
		}
	}
	q.at = 0
	m.zoned(q.in.Nodes(zonehealth.Time(m.clock.Now()), all))
	if missing := q.in.Missing(); missing != "" && len(all) > 0 {
		m.log.Warn("zones: no node has a zone that the file names", zap.String("zone", missing))
	}
}

// zoned carries out what the zones decide.
func (m *Router) zoned(ds []zonehealth.Decision) {
	q, now := m.zones, m.clock.Now()
	for i := range ds {
		switch d := &ds[i]; d.Act {
		case zonehealth.Bar:
			m.act(m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Bar(now, d.Node, d.Part, d.Off) }))
			if p := m.peers[d.Node]; d.Part == 1 && p != nil {
				p.box.offer(p.closeIdle) // nothing is sent there for a while
			}
		case zonehealth.Speak:
			if q.tell != nil {
				q.tell(d.Zone, d.Voice, d.Life)
			}
		case zonehealth.Knock:
			if p := m.peers[d.Node]; p != nil {
				p.box.offer(p.knock)
			}
		case zonehealth.Log:
			m.log.Info("zones: " + d.Text)
		}
	}
	if len(ds) > 0 || now-q.at > 3000 {
		q.at = now
		alone := q.in.Judged()
		m.count.ZonesPassed.Store(int64(alone.Passed))
		m.count.ZonesHasty.Store(int64(alone.Hasty))
		shown := q.in.Shown(zonehealth.Time(now))
		q.shown.Store(&shown)
	}
	q.arm()
}

// zoneSent and zoneEnded note tries at caches.
func (m *Router) zoneSent(n int) {
	if m.zones != nil && !m.peers[n].origin {
		m.zones.in.Sent(zonehealth.Time(m.clock.Now()), n)
	}
}

func (m *Router) zoneEnded(n int, ending balancer.Ending, took balancer.Time) {
	q := m.zones
	if q == nil {
		return
	}
	now := zonehealth.Time(m.clock.Now())
	if m.peers[n].origin {
		if ending != balancer.NeverSent && ending != balancer.Undone {
			q.in.Origin(now, ending != balancer.Completed || took > q.quick)
		}
		return
	}
	how := zonehealth.Answered
	switch {
	case ending == balancer.Unreachable:
		how = zonehealth.Shut
	case ending == balancer.Silent || ending == balancer.Cut:
		how = zonehealth.Nothing
	case ending == balancer.Undone:
		how = zonehealth.Undone
	case ending == balancer.NeverSent:
		how = zonehealth.Unknown
	case ending == balancer.Fault || ending == balancer.NoRoom || took > q.quick:
		how = zonehealth.Late
	}
	q.in.Ended(now, n, how, zonehealth.Time(took))
	q.arm()
}

// zoneDialled hears whether a new connection to a cache came up.
func (m *Router) zoneDialled(n int, up bool) {
	switch {
	case m.zones == nil || m.peers[n] == nil || m.peers[n].origin:
	case up:
		m.zones.in.Reached(n)
	default:
		m.zones.in.Refused(n)
	}
}

// ZoneFleet takes who the proxies are; ZoneVoice what one says of a zone, ZoneOrder an operator's word.
func (m *Router) ZoneFleet(all []zonehealth.Proxy, behind bool) {
	m.box.post(func() {
		m.zones.in.Fleet(zonehealth.Time(m.clock.Now()), all, behind)
		m.zones.arm()
	})
}

// ZoneVoice takes what a peer says of a zone, and how long ago it did.
func (m *Router) ZoneVoice(from, of string, v zonehealth.Voice, age, life zonehealth.Time) {
	m.box.post(func() { m.zoned(m.zones.in.Voice(zonehealth.Time(m.clock.Now()), from, of, v, age, life)) })
}

// ZoneOrder takes an operator's word on a zone. It tells whether there was room for that, and does not wait.
func (m *Router) ZoneOrder(d zonehealth.Order) bool {
	return m.box.offer(func() { m.zoned(m.zones.in.Order(zonehealth.Time(m.clock.Now()), d)) })
}

// ZonesShown is how the zones stood a moment ago; nothing where they are not judged.
func (m *Router) ZonesShown() []zonehealth.Shown {
	if m.zones == nil {
		return nil
	}
	return *m.zones.shown.Load()
}
