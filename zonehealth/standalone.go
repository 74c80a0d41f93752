package zonehealth

import "slices"

const (
	standaloneMinRun        = 3 // unanswered attempts that a standalone evacuation takes
	standaloneMaxNodes      = 3 // nodes that did not answer these, in a zone of four nodes or more
	standaloneSilenceFactor = 2 // silence timeouts without an answer that it takes
	standaloneQuorumFactor  = 2 // by which it takes more where the fleet can evaluate the zone
	standaloneFirstStep     = 1 // of the ramp: the few trial requests of one proxy at step 0 would take too long
	probeMinRun             = 2 // unanswered attempts that it takes to probe a zone in service
	probeIntervalFactor     = 2 // silence timeouts between two connect probes of a zone
	maxStandaloneStepFactor = 2 // steps' times after which a standalone step without an answer in time is done
)

// logEvacuatedStandalone begins with words by which checks of recorded logs find standalone evacuations.
const logEvacuatedStandalone = "zone %s: evacuated standalone, %d attempts unanswered in %.1f s, on %d nodes, " +
	"connections refused by %d; %d of %d proxies reachable"

// StandaloneCounts counts what one proxy decided standalone since its start.
type StandaloneCounts struct {
	Evacuations    int // zones that it evacuated
	FalsePositives int // of these the false positives: the first trial requests after the hold-down time were answered
}

// standaloneVerdict is what this proxy decides on a zone by its own evidence, for itself. It has no epoch, and ends
// with the next verdict of the fleet.
type standaloneVerdict struct {
	verdict      Verdict
	at           Time // of the latest change, 0: there was none
	probedAt     Time // the latest connect probes of the zone's nodes
	trialsFailed bool // trial requests have found the zone still lost since it was last evacuated from service
}

// setStandalone changes the standalone verdict, and counts evidence anew from now on.
func (c *Controller) setStandalone(z *zone, state State, step int) {
	s := &z.standalone
	s.verdict.State, s.verdict.Step, s.at = state, step, c.now
	z.evidence.restart(c.now)
}

// enoughConnectFailures reports whether as many of a zone's nodes refused connections as it takes for a standalone evacuation.
func (z *zone) enoughConnectFailures() bool {
	return len(z.evidence.connectFailedNodes) >= min(z.nodes, minConnectFailedNodes)
}

func (c *Controller) unansweredRecently(z *zone) bool {
	return c.now-z.evidence.lastUnansweredAt < evidenceWindow
}

// needsProbe reports whether attempts in a zone are unanswered while it is not known whether its nodes are alive:
// nothing is learned from open connections, and an overloaded zone may answer nothing in time.
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

// probeCandidate reports whether a node did not answer and is not known to refuse connections.
func (e *localEvidence) probeCandidate(node uint32) bool {
	return slices.Contains(e.unhealthyNodes, node) && !slices.Contains(e.connectFailedNodes, node)
}

// probe asks for connections to nodes that did not answer, as many as may still refuse one.
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

// standaloneLost reports whether this proxy's own evidence says that a zone in service is lost: unanswered attempts
// at several nodes, no answer for long, refused connections, and another zone that answers. A zone that accepts
// connections and answers late is overloaded; a proxy of little traffic would otherwise evacuate whole zones in a
// burst. Where the fleet can evaluate the zone and does not find it lost it takes more, since the fault may be in this
// proxy's own network path.
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

// evacuateStandalone evacuates a zone for this proxy, from service or after its trial requests failed.
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

// standaloneTrialsFail reports whether attempts of the ramp are unanswered and a node refuses connections. A single
// unanswered attempt may have another cause.
func (c *Controller) standaloneTrialsFail(z *zone) bool {
	s, e := &z.standalone, &z.evidence
	return s.verdict.State == Returning && e.unansweredRun >= 1 && e.lastUnansweredAt >= s.at && len(e.connectFailedNodes) > 0 &&
		e.counts.unanswered+1 > (e.counts.inTime+e.counts.late)/3
}

// standaloneStepDone reports whether a step of the ramp has lasted and has answers in time, or has lasted too long
// for that.
func (c *Controller) standaloneStepDone(z *zone) bool {
	s, counts := &z.standalone, &z.evidence.counts
	elapsed := c.now - s.at
	return s.verdict.State == Returning && elapsed >= c.settings.RampStepTime &&
		(counts.inTime >= 1 && counts.late <= counts.inTime || elapsed >= maxStandaloneStepFactor*c.settings.RampStepTime)
}

// advanceStandaloneRamp goes on to the next step, or to service after the last one.
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

// StandaloneCounts returns the counts of standalone decisions since the start.
func (c *Controller) StandaloneCounts() StandaloneCounts { return c.standaloneCounts }
