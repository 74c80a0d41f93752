package zonehealth

import (
	"cmp"
	"slices"
)

const (
	maxRetainedNodes = 16      // in a verdict, while a zone is partly evacuated
	maxFlaps         = 16      // that an own verdict counts up to
	maxAcceptedFlaps = 64      // in a verdict of a peer
	maxAcceptedEpoch = 1 << 50 // exclusive, so that a wrong epoch of a peer leaves room for later ones
)

// rampFractions are the shares of its keys that a returning zone serves at each step of the recovery ramp. The first is a
// few trial requests of the whole fleet.
var rampFractions = [...]float64{1.0 / 64, 1.0 / 16, 1.0 / 4, 1.0 / 2}

// State of a zone. Of two verdicts of one epoch the one with the greater State takes precedence.
type State uint8

const (
	// InService is a zone in service.
	InService State = iota
	// Returning is a zone in recovery: it serves the share of its keys that the step of the recovery ramp allows.
	Returning
	// PartlyEvacuated is a partly evacuated zone: the retained nodes stay in service for want of capacity
	// elsewhere.
	PartlyEvacuated
	// Evacuated is an evacuated zone.
	Evacuated
)

// String returns the name of the state in logs and in the operators' status.
func (s State) String() string { return [...]string{"in", "returning", "leaving", "out"}[s&3] }

// Verdict is a verdict on a zone. Of two verdicts the one with the later epoch takes precedence, then the one with the
// greater State, then the one with the lower step.
type Verdict struct {
	Epoch         int64    `msgpack:"e"`
	State         State    `msgpack:"s"`
	Step          int      `msgpack:"n,omitempty"` // of the recovery ramp, from 0
	Flaps         int      `msgpack:"f,omitempty"` // evacuations since the zone was last in service for flapMemory
	RetainedNodes []uint32 `msgpack:"k,omitempty"` // hashes of names of the nodes that stay in service in a part evacuation
}

// valid reports whether a verdict of a peer is within the bounds that this version relies on.
func (s *Verdict) valid() bool {
	return len(s.RetainedNodes) <= maxRetainedNodes && s.State <= Evacuated && s.Step >= 0 && s.Step < len(rampFractions) &&
		s.Epoch >= 0 && s.Epoch < maxAcceptedEpoch && s.Flaps >= 0 && s.Flaps <= maxAcceptedFlaps
}

// compare is a total order of verdicts by precedence: no two that differ are equal. Nil precedes all.
func (s *Verdict) compare(other *Verdict) int {
	if other == nil {
		return 1
	}
	return cmp.Or(
		s.comparePrecedence(other),
		cmp.Compare(s.Flaps, other.Flaps),
		-slices.Compare(s.RetainedNodes, other.RetainedNodes),
	)
}

// comparePrecedence compares by epoch, state and step alone.
func (s *Verdict) comparePrecedence(other *Verdict) int {
	return cmp.Or(cmp.Compare(s.Epoch, other.Epoch), cmp.Compare(s.State, other.State), -cmp.Compare(s.Step, other.Step))
}

// differsOnlyInFlaps reports whether two verdicts on a zone in service have the same epoch. Their flaps lapse by the time
// of each proxy, so that to follow a peer in them would take back what has lapsed here.
func (s *Verdict) differsOnlyInFlaps(other *Verdict) bool {
	return s.State == InService && s.comparePrecedence(other) == 0
}

// servedFraction is the share of its keys that the zone serves, 0 to 1.
func (s *Verdict) servedFraction() float64 {
	switch s.State {
	case InService:
		return 1
	case Returning:
		return rampFractions[s.Step]
	}
	return 0
}

// successor returns a verdict of the next epoch.
func (s *Verdict) successor(state State, step int) Verdict {
	return Verdict{Epoch: s.Epoch + 1, State: state, Step: step, Flaps: s.Flaps}
}

// flappingSuccessor is successor with one more flap.
func (s *Verdict) flappingSuccessor(state State, step int) Verdict {
	next := s.successor(state, step)
	next.Flaps = min(next.Flaps+1, maxFlaps)
	return next
}

// holdDownTime is how long a zone stays evacuated under a verdict: twice as long with each flap, up to a limit.
func (t *Settings) holdDownTime(verdict *Verdict) Time {
	return min(t.HoldDownTime<<min(verdict.Flaps, maxFlaps), t.MaxHoldDownTime)
}
