package zonehealth

import (
	"cmp"
	"slices"
)

const (
	maxRetainedNodes = 16      // maximum number of retained nodes in a verdict of a partly evacuated zone
	maxFlaps         = 16      // maximum number of flaps in a verdict of this proxy
	maxAcceptedFlaps = 64      // maximum number of flaps in a verdict of a peer
	maxAcceptedEpoch = 1 << 50 // exclusive bound on an epoch of a peer, so that a wrong epoch leaves room for later ones
)

// rampFractions are the fractions of its keys that a returning zone serves at each step of the recovery ramp. The first
// fraction yields a few trial requests of the whole fleet.
var rampFractions = [...]float64{1.0 / 64, 1.0 / 16, 1.0 / 4, 1.0 / 2}

// State is the state of a zone in a verdict. Of two verdicts with the same epoch, the one with the greater State takes
// precedence.
type State uint8

const (
	// InService is the state of a zone that serves all of its keys.
	InService State = iota
	// Returning is the state of a zone in recovery, which serves the fraction of its keys that the current step of the
	// recovery ramp allows.
	Returning
	// PartlyEvacuated is the state of a zone of which only the retained nodes stay in service, because the other zones
	// lack capacity.
	PartlyEvacuated
	// Evacuated is the state of a zone that serves no keys.
	Evacuated
)

// String returns the name of the state in logs and in the status for operators.
func (s State) String() string { return [...]string{"in", "returning", "leaving", "out"}[s&3] }

// Verdict is a verdict on a zone. Of two verdicts, the one with the later epoch takes precedence, then the one with the
// greater State, then the one with the lower step.
type Verdict struct {
	Epoch         int64    `msgpack:"e"`
	State         State    `msgpack:"s"`
	Step          int      `msgpack:"n,omitempty"` // step of the recovery ramp, from 0
	Flaps         int      `msgpack:"f,omitempty"` // evacuations since the zone was last in service for flapMemory
	RetainedNodes []uint32 `msgpack:"k,omitempty"` // name hashes of the nodes that stay in service in a partial evacuation
}

// valid reports whether a verdict of a peer is within the bounds that this package relies on.
func (v *Verdict) valid() bool {
	return len(v.RetainedNodes) <= maxRetainedNodes && v.State <= Evacuated && v.Step >= 0 && v.Step < len(rampFractions) &&
		v.Epoch >= 0 && v.Epoch < maxAcceptedEpoch && v.Flaps >= 0 && v.Flaps <= maxAcceptedFlaps
}

// compare compares two verdicts by precedence and returns a positive number if v takes precedence over other. It is a
// total order: it returns 0 only for equal verdicts. Every verdict takes precedence over a nil one.
func (v *Verdict) compare(other *Verdict) int {
	if other == nil {
		return 1
	}
	return cmp.Or(
		v.comparePrecedence(other),
		cmp.Compare(v.Flaps, other.Flaps),
		-slices.Compare(v.RetainedNodes, other.RetainedNodes),
	)
}

// comparePrecedence compares two verdicts by epoch, state and step only.
func (v *Verdict) comparePrecedence(other *Verdict) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.State, other.State), -cmp.Compare(v.Step, other.Step))
}

// differsOnlyInFlaps reports whether two verdicts on a zone in service are equal in all but their flaps. Each proxy
// clears flaps by its own clock, so following a peer in them would restore flaps that this proxy has already cleared.
func (v *Verdict) differsOnlyInFlaps(other *Verdict) bool {
	return v.State == InService && v.comparePrecedence(other) == 0
}

// servedFraction returns the fraction of its keys that the zone serves, 0 to 1.
func (v *Verdict) servedFraction() float64 {
	switch v.State {
	case InService:
		return 1
	case Returning:
		return rampFractions[v.Step]
	}
	return 0
}

// successor returns a verdict of the next epoch with the same number of flaps.
func (v *Verdict) successor(state State, step int) Verdict {
	return Verdict{Epoch: v.Epoch + 1, State: state, Step: step, Flaps: v.Flaps}
}

// flappingSuccessor returns a verdict of the next epoch with one more flap, up to maxFlaps.
func (v *Verdict) flappingSuccessor(state State, step int) Verdict {
	next := v.successor(state, step)
	next.Flaps = min(next.Flaps+1, maxFlaps)
	return next
}

// holdDownTime returns the time for which a zone stays evacuated under a verdict. It doubles with each flap, up to
// MaxHoldDownTime.
func (s *Settings) holdDownTime(verdict *Verdict) Time {
	return min(s.HoldDownTime<<min(verdict.Flaps, maxFlaps), s.MaxHoldDownTime)
}
