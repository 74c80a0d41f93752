package proxy

import (
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/zonehealth"

	"go.uber.org/zap"
)

const (
	zoneTick = 100 * time.Millisecond
	// zoneStatusInterval is how often the status is renewed where nothing is decided: 300 ms, in the balancer's time.
	zoneStatusInterval = balancer.Time(3000)
)

// zoneBroadcast tells other proxies this one's vote on a zone, which counts for a lifetime. It must not wait.
type zoneBroadcast = func(zone string, vote zonehealth.Voice, lifetime zonehealth.Time)

// zoneController is the router's part that evacuates zones and brings them back. Only the router's goroutine looks at
// it, but for the status.
type zoneController struct {
	health       *zonehealth.Instance
	timer        *time.Timer
	armed        bool          // the timer is set
	broadcast    zoneBroadcast // nil: there are no other proxies
	latencyLimit balancer.Time // a response that takes longer is late
	status       atomic.Pointer[[]zonehealth.Shown]
	statusAt     balancer.Time // when the status was renewed
}

// EnableZoneHealth has whole zones evacuated and brought back. It is to be called before Run.
func (r *Router) EnableZoneHealth(terms zonehealth.Terms, broadcast zoneBroadcast) {
	r.zones = &zoneController{
		health: zonehealth.New(r.zoneNow(), terms), timer: time.NewTimer(unarmed),
		broadcast: broadcast, latencyLimit: balancer.Time(terms.Shortest),
	}
	r.zones.status.Store(&[]zonehealth.Shown{})
}

func (r *Router) zoneNow() zonehealth.Time { return zonehealth.Time(r.clock.Now()) }

// zoneTimer returns the channel of the next tick; nil where zones are not judged.
func (r *Router) zoneTimer() <-chan time.Time {
	if r.zones == nil {
		return nil
	}
	return r.zones.timer.C
}

// tickZones gives the zone health its tick.
func (r *Router) tickZones() {
	z := r.zones
	z.armed = false
	inFlight, capacity := r.balancer.Load()
	z.health.Load(float64(inFlight), capacity)
	r.executeZoneDecisions(z.health.Tick(r.zoneNow()))
}

// arm sets the timer for the next tick, if there is anything to decide.
func (z *zoneController) arm() {
	if !z.armed && z.health.Busy() {
		z.armed = true
		z.timer.Reset(zoneTick)
	}
}

// updateZoneNodes tells the zone health which caches take requests.
func (r *Router) updateZoneNodes() {
	z := r.zones
	if z == nil {
		return
	}
	var nodes []zonehealth.Node
	for index, h := range r.hosts {
		if h != nil && h.isServing() {
			nodes = append(nodes, zonehealth.Node{
				Index: index, Name: h.name, Zone: h.endpoint.Zone,
				Since: zonehealth.Time(h.endpoint.StartedAtUnixMilli) * ticksPerMillisecond,
			})
		}
	}
	z.statusAt = 0 // so that the status is renewed
	r.executeZoneDecisions(z.health.Nodes(r.zoneNow(), nodes))
	if missing := z.health.Missing(); missing != "" && len(nodes) > 0 {
		r.log.Warn("zones: no node has a zone that the file names", zap.String("zone", missing))
	}
}

// executeZoneDecisions carries out what the zone health decides, and renews the status.
func (r *Router) executeZoneDecisions(decisions []zonehealth.Decision) {
	z, now := r.zones, r.clock.Now()
	for i := range decisions {
		switch d := &decisions[i]; d.Act {
		case zonehealth.Bar:
			r.excludeHost(now, d)
		case zonehealth.Speak:
			if z.broadcast != nil {
				z.broadcast(d.Zone, d.Voice, d.Life)
			}
		case zonehealth.Knock:
			if h := r.hosts[d.Node]; h != nil {
				h.mailbox.tryPost(h.probe)
			}
		case zonehealth.Log:
			r.log.Info("zones: " + d.Text)
		}
	}
	if len(decisions) > 0 || now-z.statusAt > zoneStatusInterval {
		r.renewZoneStatus(now)
	}
	z.arm()
}

// excludeHost keeps a part of a host's keys from it.
func (r *Router) excludeHost(now balancer.Time, d *zonehealth.Decision) {
	r.apply(now, func(b *balancer.Balancer) []balancer.Decision { return b.SetExclusion(now, d.Node, d.Part, d.Off) })
	if h := r.hosts[d.Node]; d.Part == 1 && h != nil {
		h.mailbox.tryPost(h.closeIdleConns) // nothing is sent there for a while
	}
}

func (r *Router) renewZoneStatus(now balancer.Time) {
	z := r.zones
	z.statusAt = now
	standalone := z.health.Judged()
	r.counters.ZonesPassed.Store(int64(standalone.Passed))
	r.counters.ZonesHasty.Store(int64(standalone.Hasty))
	status := z.health.Shown(zonehealth.Time(now))
	z.status.Store(&status)
}

// zoneAttemptSent takes note of an attempt at a cache.
func (r *Router) zoneAttemptSent(index int) {
	if r.zones != nil && !r.hosts[index].isOrigin {
		r.zones.health.Sent(r.zoneNow(), index)
	}
}

// zoneAttemptFinished takes note of how an attempt has ended, and how long it took.
func (r *Router) zoneAttemptFinished(index int, outcome balancer.Outcome, took balancer.Time) {
	z := r.zones
	if z == nil {
		return
	}
	now := r.zoneNow()
	if r.hosts[index].isOrigin {
		if outcome != balancer.NotSent && outcome != balancer.Cancelled {
			z.health.Origin(now, outcome != balancer.Completed || took > z.latencyLimit)
		}
		return
	}
	z.health.Ended(now, index, z.observation(outcome, took), zonehealth.Time(took))
	z.arm()
}

// observation returns what an attempt's end says of its cache's health.
func (z *zoneController) observation(outcome balancer.Outcome, took balancer.Time) zonehealth.Ending {
	switch {
	case outcome == balancer.ConnectFailed:
		return zonehealth.Shut
	case outcome == balancer.TimedOut, outcome == balancer.Reset:
		return zonehealth.Nothing
	case outcome == balancer.Cancelled:
		return zonehealth.Undone
	case outcome == balancer.NotSent:
		return zonehealth.Unknown
	case outcome == balancer.ServerError, outcome == balancer.Overloaded, took > z.latencyLimit:
		return zonehealth.Late
	}
	return zonehealth.Answered
}

// zoneConnectFinished takes note of whether a new connection to a cache has come up.
func (r *Router) zoneConnectFinished(index int, connected bool) {
	switch {
	case r.zones == nil || r.hosts[index] == nil || r.hosts[index].isOrigin:
	case connected:
		r.zones.health.Reached(index)
	default:
		r.zones.health.Refused(index)
	}
}

// SetZoneMembers takes who the proxies are. catchingUp means that not all are known yet.
func (r *Router) SetZoneMembers(all []zonehealth.Proxy, catchingUp bool) {
	r.mailbox.post(func() {
		r.zones.health.Fleet(r.zoneNow(), all, catchingUp)
		r.zones.arm()
	})
}

// ReceiveZoneVote takes another proxy's vote on a zone, sent age ago, which counts for a lifetime.
func (r *Router) ReceiveZoneVote(from, zone string, vote zonehealth.Voice, age, lifetime zonehealth.Time) {
	r.mailbox.post(func() {
		r.executeZoneDecisions(r.zones.health.Voice(r.zoneNow(), from, zone, vote, age, lifetime))
	})
}

// OverrideZone takes an operator's override of a zone. It does not wait, and returns false if the router is too busy.
func (r *Router) OverrideZone(order zonehealth.Order) bool {
	return r.mailbox.tryPost(func() { r.executeZoneDecisions(r.zones.health.Order(r.zoneNow(), order)) })
}

// ZoneStatus returns the zones' status as of a moment ago; nil where they are not judged.
func (r *Router) ZoneStatus() []zonehealth.Shown {
	if r.zones == nil {
		return nil
	}
	return *r.zones.status.Load()
}
