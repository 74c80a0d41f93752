package negativecache

// growthLimiter limits the rate at which a proxy adds absent keys, with a token bucket for each tenant, so that no tenant
// uses more than its fraction. Requests without a tenant share a separate bucket.
type growthLimiter struct {
	rate    float64       // rate of each bucket in tokens per second, and capacity in tokens
	buckets []tokenBucket // bucket of requests without a tenant, followed by those of the tenants
}

// tokenBucket limits the rate of one tenant. A token is the permission to add one absent key.
type tokenBucket struct {
	tokens     float64
	refilledAt Time
}

func newGrowthLimiter(now Time, keysPerSecond, tenants int) *growthLimiter {
	l := &growthLimiter{
		rate:    max(float64(keysPerSecond)/float64(max(tenants, 1)), 1),
		buckets: make([]tokenBucket, tenants+1),
	}
	for i := range l.buckets {
		l.buckets[i] = tokenBucket{tokens: l.rate, refilledAt: now}
	}
	return l
}

// bucket refills and returns the bucket of a tenant. For an index out of range, it is the bucket of requests without a
// tenant.
func (l *growthLimiter) bucket(now Time, tenant int) *tokenBucket {
	b := &l.buckets[0]
	if tenant >= 0 && tenant < len(l.buckets)-1 {
		b = &l.buckets[tenant+1]
	}
	b.tokens = min(b.tokens+float64(now-b.refilledAt)/float64(Second)*l.rate, l.rate)
	b.refilledAt = now
	return b
}

// empty reports whether the bucket holds no complete token.
func (b *tokenBucket) empty() bool { return b.tokens < 1 }

// take removes a token.
func (b *tokenBucket) take() { b.tokens-- }
