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
	// zoneStatusInterval is the interval at which the status is updated while there are no decisions: 300 ms, in the
	// balancer's ticks.
	zoneStatusInterval = balancer.Time(3000)
)

// zoneBroadcast sends this proxy's vote on a zone to the other proxies. The vote expires after lifetime. The function
// must not block.
type zoneBroadcast = func(zone string, vote zonehealth.Report, lifetime zonehealth.Time)

// zoneController is the part of the router that evacuates zones and returns them to service. It is accessed only by the
// router's goroutine, except for the status.
type zoneController struct {
	health       *zonehealth.Controller
	timer        *time.Timer
	armed        bool          // the timer is set
	broadcast    zoneBroadcast // nil: there are no other proxies
	latencyLimit balancer.Time // latency above which a response is late
	status       atomic.Pointer[[]zonehealth.ZoneStatus]
	statusAt     balancer.Time // time of the last status update
}

// EnableZoneHealth enables the evacuation of unhealthy zones and their return to service. It must be called before Run.
func (r *Router) EnableZoneHealth(config zonehealth.Settings, broadcast zoneBroadcast) {
	r.zones = &zoneController{
		health: zonehealth.New(r.zoneNow(), config), timer: time.NewTimer(unarmed),
		broadcast: broadcast, latencyLimit: balancer.Time(config.ShortestObjective),
	}
	r.zones.status.Store(&[]zonehealth.ZoneStatus{})
}

func (r *Router) zoneNow() zonehealth.Time { return zonehealth.Time(r.clock.Now()) }

// zoneTimer returns the channel of the next tick, or nil if zone health is not enabled.
func (r *Router) zoneTimer() <-chan time.Time {
	if r.zones == nil {
		return nil
	}
	return r.zones.timer.C
}

// tickZones runs a tick of the zone health controller.
func (r *Router) tickZones() {
	z := r.zones
	z.armed = false
	inFlight, capacity := r.balancer.Load()
	z.health.SetLoad(float64(inFlight), capacity)
	r.executeZoneDecisions(z.health.Tick(r.zoneNow()))
}

// arm sets the timer for the next tick, if the controller needs one.
func (z *zoneController) arm() {
	if !z.armed && z.health.NeedsTick() {
		z.armed = true
		z.timer.Reset(zoneTick)
	}
}

// updateZoneNodes updates the zone health controller with hosts that have changed: caches that accept requests are
// listed, all others removed.
func (r *Router) updateZoneNodes(changed []*upstreamHost) {
	z := r.zones
	if z == nil {
		return
	}
	var listed []zonehealth.Node
	var removed []int
	for _, h := range changed {
		if !h.isServing() {
			removed = append(removed, h.index)
			continue
		}
		listed = append(listed, zonehealth.Node{
			Index: h.index, Name: h.name, Zone: h.endpoint.Zone, StartedAt: zonehealth.Time(h.startedAt),
		})
	}
	z.statusAt = 0 // forces a status update
	r.executeZoneDecisions(z.health.UpdateNodes(r.zoneNow(), listed, removed))
	if missing := z.health.MissingZone(); missing != "" && len(listed) > 0 {
		r.log.Warn("zones: no node has a zone that the file names", zap.String("zone", missing))
	}
}

// executeZoneDecisions carries out the decisions of the zone health controller, and updates the status.
func (r *Router) executeZoneDecisions(decisions []zonehealth.Decision) {
	z, now := r.zones, r.clock.Now()
	for i := range decisions {
		switch d := &decisions[i]; d.Action {
		case zonehealth.ExcludeNode:
			r.excludeHost(now, d)
		case zonehealth.PublishReport:
			if z.broadcast != nil {
				z.broadcast(d.Zone, d.Report, d.TTL)
			}
		case zonehealth.ProbeNode:
			if h := r.hosts[d.Node]; h != nil {
				h.post(h.probe)
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

// excludeHost excludes a host from a fraction of its keys.
func (r *Router) excludeHost(now balancer.Time, d *zonehealth.Decision) {
	r.apply(now, func(b *balancer.Balancer) []balancer.Decision {
		return b.SetExclusion(now, d.Node, d.ExcludedFraction, d.CancelInFlight)
	})
	if h := r.hosts[d.Node]; d.ExcludedFraction == 1 && h != nil {
		h.releaseIdleConns() // the host receives no requests for a while
	}
}

func (r *Router) renewZoneStatus(now balancer.Time) {
	z := r.zones
	z.statusAt = now
	standalone := z.health.StandaloneCounts()
	r.counters.ZonesPassed.Store(int64(standalone.Evacuations))
	r.counters.ZonesHasty.Store(int64(standalone.FalsePositives))
	status := z.health.Statuses(zonehealth.Time(now))
	z.status.Store(&status)
}

// zoneAttemptSent reports an attempt to a cache to the zone health controller.
func (r *Router) zoneAttemptSent(index int) {
	if r.zones != nil && !r.hosts[index].isOrigin {
		r.zones.health.AttemptSent(r.zoneNow(), index)
	}
}

// zoneAttemptFinished reports the outcome and the latency of an attempt to the zone health controller.
func (r *Router) zoneAttemptFinished(index int, outcome balancer.Outcome, took balancer.Time) {
	z := r.zones
	if z == nil {
		return
	}
	now := r.zoneNow()
	if r.hosts[index].isOrigin {
		if outcome != balancer.NotSent && outcome != balancer.Canceled {
			z.health.OriginFetched(now, outcome != balancer.Completed || took > z.latencyLimit)
		}
		return
	}
	z.health.AttemptFinished(now, index, z.observation(outcome, took), zonehealth.Time(took))
	z.arm()
}

// observation returns the evidence that the end of an attempt gives about the cache's health.
func (z *zoneController) observation(outcome balancer.Outcome, took balancer.Time) zonehealth.Outcome {
	switch {
	case outcome == balancer.ConnectFailed:
		return zonehealth.ConnectFailed
	case outcome == balancer.TimedOut, outcome == balancer.Reset:
		return zonehealth.Unanswered
	case outcome == balancer.Canceled:
		return zonehealth.Canceled
	case outcome == balancer.NotSent:
		return zonehealth.NotSent
	case outcome == balancer.ServerError, outcome == balancer.Overloaded, took > z.latencyLimit:
		return zonehealth.AnsweredLate
	}
	return zonehealth.AnsweredInTime
}

// zoneConnectFinished reports to the zone health controller whether a new connection to a cache was established.
func (r *Router) zoneConnectFinished(index int, connected bool) {
	switch {
	case r.zones == nil || r.hosts[index] == nil || r.hosts[index].isOrigin:
	case connected:
		r.zones.health.ConnectionOpened(index)
	default:
		r.zones.health.ConnectionRefused(index)
	}
}

// SetZoneMembers sets the list of proxies. catchingUp means that the list may still be incomplete.
func (r *Router) SetZoneMembers(all []zonehealth.Proxy, catchingUp bool) {
	r.mailbox.post(func() {
		r.zones.health.SetFleet(r.zoneNow(), all, catchingUp)
		r.zones.arm()
	})
}

// ReceiveZoneVote handles another proxy's vote on a zone. age is the time since the vote was sent, lifetime the time
// after which it expires.
func (r *Router) ReceiveZoneVote(from, zone string, vote zonehealth.Report, age, lifetime zonehealth.Time) {
	r.mailbox.post(func() {
		r.executeZoneDecisions(r.zones.health.PeerReport(r.zoneNow(), from, zone, vote, age, lifetime))
	})
}

// OverrideZone sets an operator's override of a zone. It does not block, and returns false if the router is too busy.
func (r *Router) OverrideZone(override zonehealth.Override) bool {
	return r.mailbox.tryPost(func() { r.executeZoneDecisions(r.zones.health.SetOverride(r.zoneNow(), override)) })
}

// ZoneStatus returns the last status of the zones, or nil if zone health is not enabled.
func (r *Router) ZoneStatus() []zonehealth.ZoneStatus {
	if r.zones == nil {
		return nil
	}
	return *r.zones.status.Load()
}
