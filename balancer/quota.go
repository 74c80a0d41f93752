package balancer

// What a tenant may use at one time: seconds of its rate, and requests beside.
const (
	quotaBurst = 2
	quotaSlack = 2
)

// consume counts a request of a tenant and tells whether it is over quota.
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
