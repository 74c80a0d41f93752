package emulator

import (
	"slices"
	"time"
)

// lateSendMargin is the time before and after a late send of the load generator within which the overloaded machine may have
// affected the proxies.
const lateSendMargin = 300 * time.Millisecond

// endOfRunRules are the rules whose violations are detected only at the end of a run, whatever the time at which they
// occurred.
var endOfRunRules = []Rule{InvariantRule, ResidueRule}

// timingIndependentRules are the rules that an overloaded machine does not break.
var timingIndependentRules = []Rule{MemoryRule, DescriptorRule, CrashRule, InventedRule, OwnValueRule, ResendRule, RefusedEffectRule}

// Unexcused returns the violations that an overloaded machine does not explain: no send was late between the first event of
// the request and the violation, or within lateSendMargin of either. A violation of endOfRunRules is excused by any late
// send, one of timingIndependentRules by none.
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

// LateFraction returns the fraction of the scenario's length that lies within lateSendMargin of late sends, where
// the results prove nothing.
func (r *Report) LateFraction() float64 {
	late, until := time.Duration(0), time.Duration(0)
	for _, at := range r.LateSendTimes { // ascending
		from := max(at-lateSendMargin, until)
		until = at + lateSendMargin
		late += until - from
	}
	return min(late.Seconds()/r.Plan.Scenario.LengthS, 1)
}

// faultEffects are the events, and notes if they have any, that prove that a fault of a kind had an effect.
var faultEffects = map[string]Event{
	"kill":        {Kind: ProcessEnded, Note: endKilled},
	"mass-kill":   {Kind: ProcessEnded, Note: endKilled},
	"restart":     {Kind: ProcessEnded, Note: endStopped},
	"hot-restart": {Kind: ProcessEnded, Note: endReplaced},
	"pause":       {Kind: ProcessPaused, Note: pauseBegins},
	"cold":        {Kind: SlowStartBegan},
	"replace":     {Kind: SlowStartBegan},
	"surplus":     {Kind: SurplusSent},
	"origin-busy": {Kind: AttemptRefused, Note: string(modeBusy)},
}

// IdleFaults returns the sorted kinds of those faults of the scenario that had no effect according to the events. Only the
// kinds in faultEffects are checked.
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
