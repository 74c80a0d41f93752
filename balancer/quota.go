package balancer

// Share takes the part of what all proxies may do together that this one may from now on; it begins as an
// even one. What has been learnt of the origin's limit goes with it, so that the sum over all stays.
func (b *Instance) Share(now Time, part float64) []Decision {
	b.begin(now)
	by := part / b.share
	b.share, b.least, b.lean = part, min(1, 8*part), min(4, max(16*part, 1))/2
	b.limit, b.held = min(max(b.limit*by, b.least), 256), b.held*by
	for i := range b.allowance {
		b.allowance[i] *= by
	}
	return b.settle()
}

// spend counts an arrival against its tenant's share and tells whether it lies beyond.
func (b *Instance) spend(tenant int) bool {
	if tenant < 0 || tenant >= len(b.spent) {
		return false
	}
	gone := float64(b.now-b.spentAt[tenant]) / float64(second)
	b.spentAt[tenant] = b.now
	b.spent[tenant] = max(0, b.spent[tenant]-gone*b.allowance[tenant])
	if b.spent[tenant] > b.allowance[tenant]*2+2 {
		return true
	}
	b.spent[tenant]++
	return false
}
