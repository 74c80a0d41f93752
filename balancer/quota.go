package balancer

// A tenant may use quotaBurst seconds of its rate and quotaSlack requests at once.
const (
	quotaBurst = 2
	quotaSlack = 2
)

// consume counts a request of a tenant and reports whether it is over quota.
func (q *tenantQuota) consume(now Time, tenant int) bool {
	if tenant < 0 || tenant >= len(q.used) {
		return false
	}
	elapsed := float64(now-q.updatedAt[tenant]) / float64(second)
	q.updatedAt[tenant] = now
	q.used[tenant] = max(0, q.used[tenant]-elapsed*q.rates[tenant])
	if q.used[tenant] > q.rates[tenant]*quotaBurst+quotaSlack {
		return true
	}
	q.used[tenant]++
	return false
}
