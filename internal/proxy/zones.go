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
type zoneController struct {
	health       *zonehealth.Instance
	timer        *time.Timer
	armed        bool
	ticks        <-chan time.Time
	broadcast    func(zone string, v zonehealth.Voice, life zonehealth.Time) // peers; it may not wait. nil: there are none
	latencyLimit balancer.Time                                               // an answer that takes longer is late
	status       atomic.Pointer[[]zonehealth.Shown]
	statusAt     balancer.Time // when that was
}

// Zones has whole zones left and returned to. It is called before Run.
func (r *Router) Zones(t zonehealth.Terms, tell func(zone string, v zonehealth.Voice, life zonehealth.Time)) {
	zones := &zoneController{health: zonehealth.New(zonehealth.Time(r.clock.Now()), t), timer: time.NewTimer(time.Hour), broadcast: tell, latencyLimit: balancer.Time(t.Shortest)}
	zones.ticks = zones.timer.C
	zones.status.Store(&[]zonehealth.Shown{})
	r.zones = zones
}

// zoneDue is nil where zones are not judged.
func (r *Router) zoneTimer() <-chan time.Time {
	if r.zones == nil {
		return nil
	}
	return r.zones.ticks
}

// zonesLook gives the zones their tick.
func (r *Router) tickZones() {
	zones := r.zones
	zones.armed = false
	flying, room := r.balancer.Load()
	zones.health.Load(float64(flying), room)
	r.executeZoneDecisions(zones.health.Tick(zonehealth.Time(r.clock.Now())))
}

// arm sees that there is a next tick, where there is something to look at.
func (z *zoneController) arm() {
	if !z.armed && z.health.Busy() {
		z.armed = true
		z.timer.Reset(zoneTick)
	}
}

// zoneList tells the zones of the caches that are on the ring.
func (r *Router) updateZoneNodes() {
	zones := r.zones
	if zones == nil {
		return
	}
	var all []zonehealth.Node
	for n, host := range r.hosts {
		if host != nil && !host.isOrigin && host.endpoint.Ready && host.departedAt == 0 {
			all = append(all, zonehealth.Node{Index: n, Name: host.name, Zone: host.endpoint.Zone, Since: zonehealth.Time(host.endpoint.Since) * 10})
		}
	}
	zones.statusAt = 0
	r.executeZoneDecisions(zones.health.Nodes(zonehealth.Time(r.clock.Now()), all))
	if missing := zones.health.Missing(); missing != "" && len(all) > 0 {
		r.log.Warn("zones: no node has a zone that the file names", zap.String("zone", missing))
	}
}

// zoned carries out what the zones decide.
func (r *Router) executeZoneDecisions(decisions []zonehealth.Decision) {
	zones, now := r.zones, r.clock.Now()
	for i := range decisions {
		switch d := &decisions[i]; d.Act {
		case zonehealth.Bar:
			r.execute(r.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Bar(now, d.Node, d.Part, d.Off) }))
			if host := r.hosts[d.Node]; d.Part == 1 && host != nil {
				host.mailbox.tryPost(host.closeIdleConns) // nothing is sent there for a while
			}
		case zonehealth.Speak:
			if zones.broadcast != nil {
				zones.broadcast(d.Zone, d.Voice, d.Life)
			}
		case zonehealth.Knock:
			if host := r.hosts[d.Node]; host != nil {
				host.mailbox.tryPost(host.probe)
			}
		case zonehealth.Log:
			r.log.Info("zones: " + d.Text)
		}
	}
	if len(decisions) > 0 || now-zones.statusAt > 3000 {
		zones.statusAt = now
		alone := zones.health.Judged()
		r.counters.ZonesPassed.Store(int64(alone.Passed))
		r.counters.ZonesHasty.Store(int64(alone.Hasty))
		shown := zones.health.Shown(zonehealth.Time(now))
		zones.status.Store(&shown)
	}
	zones.arm()
}

// zoneSent and zoneEnded note tries at caches.
func (r *Router) zoneAttemptSent(n int) {
	if r.zones != nil && !r.hosts[n].isOrigin {
		r.zones.health.Sent(zonehealth.Time(r.clock.Now()), n)
	}
}

func (r *Router) zoneAttemptFinished(n int, outcome balancer.Ending, took balancer.Time) {
	zones := r.zones
	if zones == nil {
		return
	}
	now := zonehealth.Time(r.clock.Now())
	if r.hosts[n].isOrigin {
		if outcome != balancer.NeverSent && outcome != balancer.Undone {
			zones.health.Origin(now, outcome != balancer.Completed || took > zones.latencyLimit)
		}
		return
	}
	how := zonehealth.Answered
	switch {
	case outcome == balancer.Unreachable:
		how = zonehealth.Shut
	case outcome == balancer.Silent || outcome == balancer.Cut:
		how = zonehealth.Nothing
	case outcome == balancer.Undone:
		how = zonehealth.Undone
	case outcome == balancer.NeverSent:
		how = zonehealth.Unknown
	case outcome == balancer.Fault || outcome == balancer.NoRoom || took > zones.latencyLimit:
		how = zonehealth.Late
	}
	zones.health.Ended(now, n, how, zonehealth.Time(took))
	zones.arm()
}

// zoneDialled hears whether a new connection to a cache came up.
func (r *Router) zoneConnectFinished(n int, up bool) {
	switch {
	case r.zones == nil || r.hosts[n] == nil || r.hosts[n].isOrigin:
	case up:
		r.zones.health.Reached(n)
	default:
		r.zones.health.Refused(n)
	}
}

// ZoneFleet takes who the proxies are; ZoneVoice what one says of a zone, ZoneOrder an operator's word.
func (r *Router) ZoneFleet(all []zonehealth.Proxy, behind bool) {
	r.mailbox.post(func() {
		r.zones.health.Fleet(zonehealth.Time(r.clock.Now()), all, behind)
		r.zones.arm()
	})
}

// ZoneVoice takes what a peer says of a zone, and how long ago it did.
func (r *Router) ZoneVoice(from, of string, v zonehealth.Voice, age, life zonehealth.Time) {
	r.mailbox.post(func() {
		r.executeZoneDecisions(r.zones.health.Voice(zonehealth.Time(r.clock.Now()), from, of, v, age, life))
	})
}

// ZoneOrder takes an operator's word on a zone. It tells whether there was room for that, and does not wait.
func (r *Router) ZoneOrder(d zonehealth.Order) bool {
	return r.mailbox.tryPost(func() { r.executeZoneDecisions(r.zones.health.Order(zonehealth.Time(r.clock.Now()), d)) })
}

// ZonesShown is how the zones stood a moment ago; nothing where they are not judged.
func (r *Router) ZonesShown() []zonehealth.Shown {
	if r.zones == nil {
		return nil
	}
	return *r.zones.status.Load()
}
