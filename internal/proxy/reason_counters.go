package proxy

import (
	"sync/atomic"

	"woodproxy/balancer"
	"woodproxy/internal/invariant"
	"woodproxy/internal/lifecycle"
)

// ReasonCount is one of several counts that differ in a label. Its metric's name says what is counted.
type ReasonCount struct {
	Metric string // without prefix and unit
	Help   string
	Label  string // name of the label
	Value  string // of the label
	Count  int64
}

// EachReason calls f with each count by reason, in a fixed order. Those of invariants are there from the start, so that
// an alert can be set on them; others once they are not zero.
func (c *Counters) EachReason(f func(ReasonCount)) {
	each(c.Reasons[:], func(i int, count int64) {
		f(ReasonCount{"attempts_by_reason", "Attempts, by why they are sent.", "reason", balancer.Reason(i).String(), count})
	})
	each(c.Rejections[:], func(i int, count int64) {
		f(ReasonCount{"rejections", "Requests that were shed or failed, by reason.", "reason", balancer.Reason(i).String(), count})
	})
	each(c.Refusals[:], func(i int, count int64) {
		f(ReasonCount{
			"attempts_refused", "Attempts that were refused at the last moment, by reason.", "reason", lifecycle.Refusal(i).String(), count,
		})
	})
	each(c.Closes[:], func(i int, count int64) {
		f(ReasonCount{"client_connections_closed", "Client connections that ended, by reason.", "reason", closeReason(i).String(), count})
	})
	for i := range invariant.Invariant(invariant.NumInvariants) {
		f(ReasonCount{"invariant_violations", "Promises that were broken.", "invariant", i.String(), c.Invariants.Count(i)})
	}
}

// each calls f with each count that is not zero.
func each(counts []atomic.Int64, f func(i int, count int64)) {
	for i := range counts {
		if count := counts[i].Load(); count > 0 {
			f(i, count)
		}
	}
}
