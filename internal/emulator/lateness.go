package emulator

import (
	"slices"
	"time"
)

// lateSendMargin is how far before and behind a late moment of the machine things may have gone otherwise for it.
const lateSendMargin = 300 * time.Millisecond

// endOfRunRules are the rules whose violations are seen only at the end of a run, whenever they happened.
var endOfRunRules = []Rule{InvariantRule, ResidueRule}

// timingIndependentRules are the rules that no lateness of the machine breaks.
var timingIndependentRules = []Rule{MemoryRule, DescriptorRule, CrashRule, InventedRule, OwnValueRule}

// Unexcused returns the violations that no late moment of the machine may explain: none lies between the first event of
// the request and the violation, or near to them.
func (r *Report) Unexcused() []Violation {
	return slices.DeleteFunc(slices.Clone(r.Violations), func(v Violation) bool {
		if slices.Contains(timingIndependentRules, v.Rule) {
			return false
		}
		if slices.Contains(endOfRunRules, v.Rule) {
			return len(r.LateSendTimes) > 0
		}
		from := v.At
		for i := range v.Events {
			from = min(from, v.Events[i].At)
		}
		return r.hasLateSend(from-lateSendMargin, v.At+lateSendMargin)
	})
}

func (r *Report) hasLateSend(from, to time.Duration) bool {
	return slices.ContainsFunc(r.LateSendTimes, func(at time.Duration) bool { return at >= from && at <= to })
}

// LatePart returns the part of the scenario's time that lies near late moments, for which it shows nothing.
func (r *Report) LatePart() float64 {
	late, until := time.Duration(0), time.Duration(0)
	for _, at := range r.LateSendTimes { // in order
		from := max(at-lateSendMargin, until)
		until = at + lateSendMargin
		late += until - from
	}
	return min(late.Seconds()/r.Plan.Scenario.LengthS, 1)
}

// faultEffects are the events, and notes where they have one, that show that a fault of a kind has done something.
var faultEffects = map[string]Event{
	"kill":        {Kind: ProcessEnded, Note: endKilled},
	"mass-kill":   {Kind: ProcessEnded, Note: endKilled},
	"restart":     {Kind: ProcessEnded, Note: endStopped},
	"hot-restart": {Kind: ProcessEnded, Note: endReplaced},
	"pause":       {Kind: ProcessPaused, Note: pauseBegins},
	"cold":        {Kind: SlowStartBegan},
	"replace":     {Kind: SlowStartBegan},
}

// IdleFaults returns the kinds of faults of the scenario of which nothing shows that any did something, in order of
// name. Only kinds that leave a trace in the events are looked at.
func (r *Report) IdleFaults() []string {
	var idle []string
	for i := range r.Plan.Faults {
		kind := r.Plan.Faults[i].Kind
		effect, known := faultEffects[kind]
		shows := func(e Event) bool { return e.Kind == effect.Kind && (effect.Note == "" || e.Note == effect.Note) }
		if known && !slices.ContainsFunc(r.Events, shows) {
			idle = append(idle, kind)
		}
	}
	slices.Sort(idle)
	return slices.Compact(idle)
}
