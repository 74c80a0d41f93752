package negativecache

// growthLimiter limits how many absent keys a proxy adds a second, by a token bucket for each tenant, so that no tenant
// takes more than its part. Requests that belong to no tenant share a bucket of their own.
type growthLimiter struct {
	rate    float64       // tokens a second, and capacity, of each bucket
	buckets []tokenBucket // the first is that of requests without a tenant
}

// tokenBucket holds the absent keys that a tenant may still add.
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

// bucket returns the bucket of a tenant, refilled. A tenant that is out of range has that of requests without one.
func (l *growthLimiter) bucket(now Time, tenant int) *tokenBucket {
	b := &l.buckets[0]
	if tenant >= 0 && tenant < len(l.buckets)-1 {
		b = &l.buckets[tenant+1]
	}
	b.tokens = min(b.tokens+float64(now-b.refilledAt)/float64(Second)*l.rate, l.rate)
	b.refilledAt = now
	return b
}

// empty reports whether nothing may be taken now.
func (b *tokenBucket) empty() bool { return b.tokens < 1 }

// take takes a token.
func (b *tokenBucket) take() { b.tokens-- }
