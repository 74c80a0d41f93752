package emulator

import (
	"time"
)

// quotaWindow is the time over which the least reported quota of a proxy is taken.
const quotaWindow = time.Second

// quotaCheck checks QuotaRule.
type quotaCheck struct {
	*findings
	reports  map[int][]Event // by running proxy, reports of the last quotaWindow
	exceeded bool            // the sum was exceeded; only the first violation is reported
}

// observeReport adds up the least quota that each proxy reported within quotaWindow. The sum of the latest quotas could
// exceed the limits without a fault: proxies are polled one after another, so a quota that has already grown would be added
// to one that has shrunk since its proxy was polled.
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
		q.violate(QuotaRule, Event{At: e.At}, "the quotas of %d proxies add up to %.3f of the fleet's limits", len(q.reports), sum)
	}
}
