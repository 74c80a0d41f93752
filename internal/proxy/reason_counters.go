package proxy

import (
	"sync/atomic"

	"woodproxy/balancer"
	"woodproxy/internal/invariant"
	"woodproxy/internal/lifecycle"
)

// ReasonCount is one sample of a metric with one label, such as the reason for which attempts are sent.
type ReasonCount struct {
	Metric string // name of the metric, without prefix and unit
	Help   string // help text of the metric
	Label  string // name of the label
	Value  string // value of the label
	Count  int64
}

// EachReason calls f with each count by reason, in a fixed order. Counts of invariant violations are always included, so
// that an alert can be set on them; other counts only if they are not zero.
func (c *Counters) EachReason(f func(ReasonCount)) {
	eachNonZero(c.Reasons[:], func(i int, count int64) {
		f(ReasonCount{"attempts_by_reason", "Attempts, by why they are sent.", "reason", balancer.Reason(i).String(), count})
	})
	eachNonZero(c.Rejections[:], func(i int, count int64) {
		f(ReasonCount{"rejections", "Requests that were shed or failed, by reason.", "reason", balancer.Reason(i).String(), count})
	})
	eachNonZero(c.Refusals[:], func(i int, count int64) {
		f(ReasonCount{
			"attempts_refused", "Attempts that were refused at the last moment, by reason.", "reason", lifecycle.Refusal(i).String(), count,
		})
	})
	eachNonZero(c.Closes[:], func(i int, count int64) {
		f(ReasonCount{"client_connections_closed", "Client connections that ended, by reason.", "reason", closeReason(i).String(), count})
	})
	eachNonZero(c.Surplus[:], func(i int, count int64) {
		f(ReasonCount{
			"surplus_responses", "Responses of hosts that no request asked for, by when they were detected.", "phase", surplusPhase(i).String(), count,
		})
	})
	for i := range invariant.Invariant(invariant.NumInvariants) {
		f(ReasonCount{"invariant_violations", "Invariant violations, by invariant.", "invariant", i.String(), c.Invariants.Count(i)})
	}
}

// eachNonZero calls f with the index and value of each count that is not zero.
func eachNonZero(counts []atomic.Int64, f func(i int, count int64)) {
	for i := range counts {
		if count := counts[i].Load(); count > 0 {
			f(i, count)
		}
	}
}
