package emulator

import (
	"time"
)

// quotaWindow is the time over which the least quota that a proxy reported counts.
const quotaWindow = time.Second

// quotaCheck checks QuotaRule.
type quotaCheck struct {
	*findings
	reports  map[int][]Event // by proxy that runs, of the last quotaWindow
	exceeded bool            // one violation is enough
}

// observeReport adds up the least quota that each proxy reported within the window: proxies are polled one after the other, and a
// quota that shrinks makes room for another that grows.
func (q *quotaCheck) observeReport(e Event) {
	recent := append(q.reports[e.Proxy], e) //nolint:gocritic // stored below
	for recent[0].At < e.At-quotaWindow {
		recent = recent[1:]
	}
	q.reports[e.Proxy] = recent
	sum := 0.0
	for _, reports := range q.reports {
		least := 1.0
		for _, report := range reports {
			least = min(least, report.Figure)
		}
		sum += least
	}
	if sum > maxQuotaSum && !q.exceeded {
		q.exceeded = true
		q.violate(QuotaRule, Event{At: e.At}, "%d proxies say that they may use %.3f of the fleet's limits", len(q.reports), sum)
	}
}
