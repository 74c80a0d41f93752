package zonehealth

import "slices"

const (
	standaloneMinRun        = 3 // unanswered attempts required for a standalone evacuation
	standaloneMaxNodes      = 3 // nodes with unanswered attempts required in a zone of four nodes or more
	standaloneSilenceFactor = 2 // time without a response required for a standalone evacuation, in silence timeouts
	standaloneQuorumFactor  = 2 // factor on the required attempts and time if this proxy has a quorum
	standaloneFirstStep     = 1 // first ramp step; at step 0 the few trial requests of one proxy would take too long
	probeMinRun             = 2 // unanswered attempts required to probe a zone in service
	probeIntervalFactor     = 2 // minimum interval between connect probes of a zone, in silence timeouts
	maxStandaloneStepFactor = 2 // duration, in RampStepTime, after which a step without a response in time is done
)

// logEvacuatedStandalone is the log text of a standalone evacuation. Checks of recorded logs match "evacuated standalone".
const logEvacuatedStandalone = "zone %s: evacuated standalone, %d attempts unanswered in %.1f s, on %d nodes, " +
	"connections refused by %d; %d of %d proxies reachable"

// StandaloneCounts are the numbers of standalone evacuations of one proxy since its start.
type StandaloneCounts struct {
	Evacuations    int // standalone evacuations
	FalsePositives int // evacuations after whose hold-down time the first trial requests were answered
}

// standaloneVerdict is the verdict on a zone that this proxy reaches by its own evidence and that affects this proxy
// only. It has no epoch, and the next verdict of the fleet replaces it.
type standaloneVerdict struct {
	verdict      Verdict
	at           Time // time of the latest change, 0 if there was none
	probedAt     Time // time of the latest connect probes of the zone's nodes
	trialsFailed bool // trial requests have found the zone still lost since it was last evacuated from service
}

// setStandalone changes the standalone verdict and restarts the evidence.
func (c *Controller) setStandalone(z *zone, state State, step int) {
	s := &z.standalone
	s.verdict.State, s.verdict.Step, s.at = state, step, c.now
	z.evidence.restart(c.now)
}

// enoughConnectFailures reports whether enough nodes of a zone refused connections for a standalone evacuation.
func (z *zone) enoughConnectFailures() bool {
	return len(z.evidence.connectFailedNodes) >= min(z.nodes, minConnectFailedNodes)
}

func (c *Controller) unansweredRecently(z *zone) bool {
	return c.now-z.evidence.lastUnansweredAt < evidenceWindow
}

// needsProbe reports whether attempts in a zone are unanswered and it is unknown whether its nodes are alive. Open
// connections give no evidence, and an overloaded zone may send no response in time, so new connections are probed.
func (c *Controller) needsProbe(z *zone) bool {
	s, e := &z.standalone, &z.evidence
	if !c.settings.StandaloneEnabled || z.verdict.State != InService || z.enoughConnectFailures() || !c.unansweredRecently(z) ||
		c.now-s.probedAt < probeIntervalFactor*c.settings.SilenceTimeout {
		return false
	}
	switch s.verdict.State {
	case InService:
		return e.unansweredRun >= probeMinRun && c.now-e.lastResponseAt >= c.settings.SilenceTimeout
	case Returning:
		return e.unansweredRun >= 1
	}
	return false
}

// probeCandidate reports whether a node has unanswered attempts and is not known to refuse connections.
func (e *localEvidence) probeCandidate(node uint32) bool {
	return slices.Contains(e.unhealthyNodes, node) && !slices.Contains(e.connectFailedNodes, node)
}

// probe requests connections to nodes with unanswered attempts, as many as must still refuse a connection for a
// standalone evacuation.
func (c *Controller) probe(z *zone) {
	e := &z.evidence
	z.standalone.probedAt = c.now
	probes := minConnectFailedNodes - len(e.connectFailedNodes)
	for i, n := range c.nodes {
		if probes == 0 {
			return
		}
		if n != nil && n.zone == z && e.probeCandidate(n.hash) {
			probes--
			c.decide(Decision{Action: ProbeNode, Node: i})
		}
	}
}

// standaloneLost reports whether a zone in service is lost according to the evidence of this proxy alone: unanswered
// attempts at several nodes, no response for a long time, refused connections, and another zone that responds.
//
// Refused connections are required because a zone that accepts connections and responds late is only overloaded, and a
// proxy with little traffic would otherwise evacuate whole zones during a burst. If this proxy has a quorum and the
// fleet has not evacuated the zone, more evidence is required, since the fault may be in this proxy's network path.
func (c *Controller) standaloneLost(z *zone) bool {
	e, factor := &z.evidence, 1
	if c.hasQuorum(z) {
		factor = standaloneQuorumFactor
	}
	return c.settings.StandaloneEnabled && z.standalone.verdict.State == InService && z.nodes > 0 &&
		e.unansweredRun >= standaloneMinRun*factor &&
		len(e.unhealthyNodes) >= min(z.nodes/2+1, standaloneMaxNodes) &&
		z.enoughConnectFailures() &&
		c.now-e.lastResponseAt >= standaloneSilenceFactor*Time(factor)*c.settings.SilenceTimeout &&
		c.unansweredRecently(z) &&
		c.anotherZoneResponded(z, e.runStartedAt) &&
		c.anotherZoneServes(z)
}

// evacuateStandalone evacuates a zone for this proxy only, from service or after its trial requests failed.
func (c *Controller) evacuateStandalone(z *zone) {
	s, e := &z.standalone, &z.evidence
	inService := s.verdict.State == InService
	switch {
	case s.verdict.State == Returning && s.verdict.Step > standaloneFirstStep,
		inService && s.at > 0 && c.now-s.at < flapMemory:
		s.verdict.Flaps = min(s.verdict.Flaps+1, maxFlaps)
	case inService:
		s.verdict.Flaps = 0
	}
	s.trialsFailed = s.verdict.State == Returning
	if !s.trialsFailed {
		c.standaloneCounts.Evacuations++
	}
	silentSeconds := float64(c.now-e.lastResponseAt) / float64(Second)
	c.log(logEvacuatedStandalone, z.name, e.unansweredRun, silentSeconds, len(e.unhealthyNodes), len(e.connectFailedNodes),
		len(c.fleet.reachable), len(c.fleet.proxies))
	c.setStandalone(z, Evacuated, 0)
}

func (c *Controller) standaloneHoldDownOver(z *zone) bool {
	s := &z.standalone
	return s.verdict.State == Evacuated && c.now-s.at >= c.settings.holdDownTime(&s.verdict)
}

func (c *Controller) startStandaloneRamp(z *zone) { c.setStandalone(z, Returning, standaloneFirstStep) }

// standaloneTrialsFail reports whether attempts of the ramp are unanswered and a node refuses connections. The refused
// connection is required because a single unanswered attempt may have another cause.
func (c *Controller) standaloneTrialsFail(z *zone) bool {
	s, e := &z.standalone, &z.evidence
	return s.verdict.State == Returning && e.unansweredRun >= 1 && e.lastUnansweredAt >= s.at &&
		len(e.connectFailedNodes) > 0 && e.counts.unanswered+1 > (e.counts.inTime+e.counts.late)/3
}

// standaloneStepDone reports whether a step of the ramp has lasted for RampStepTime and has enough responses in time, or
// has lasted longer than maxStandaloneStepFactor allows.
func (c *Controller) standaloneStepDone(z *zone) bool {
	s, counts := &z.standalone, &z.evidence.counts
	elapsed := c.now - s.at
	return s.verdict.State == Returning && elapsed >= c.settings.RampStepTime &&
		(counts.inTime >= 1 && counts.late <= counts.inTime || elapsed >= maxStandaloneStepFactor*c.settings.RampStepTime)
}

// advanceStandaloneRamp starts the next step of the ramp, or returns the zone to service after the last step.
func (c *Controller) advanceStandaloneRamp(z *zone) {
	s := &z.standalone
	if next := s.verdict.Step + 1; next < len(rampFractions) {
		c.setStandalone(z, Returning, next)
		return
	}
	c.setStandalone(z, InService, 0)
	if s.trialsFailed {
		c.log("zone %s: in service again for this proxy", z.name)
		return
	}
	c.standaloneCounts.FalsePositives++
	c.log("zone %s: in service again for this proxy; its first trial requests were answered, a false positive", z.name)
}

// StandaloneCounts returns the numbers of standalone evacuations since the start.
func (c *Controller) StandaloneCounts() StandaloneCounts { return c.standaloneCounts }
