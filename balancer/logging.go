package balancer

func (b *Balancer) logOverload(load float64) {
	overloaded := load > 1
	if overloaded != b.admission.overloaded && (overloaded || load < overloadEnd) {
		b.admission.overloaded = overloaded
		b.logf("overload %v: %d in flight, capacity %.0f", overloaded, b.caches.inFlight, b.admission.capacity)
	}
}

// logConstrained logs when the limit falls below the low-water mark and when it has regained twice that mark.
func (b *Balancer) logConstrained() {
	o := &b.origin
	constrained := o.limit < o.lowWater || o.constrained && o.limit < 2*o.lowWater
	if constrained != o.constrained {
		o.constrained = constrained
		b.logf("origin constrained %v: limit %.1f in flight, mean latency %.0f ms, %d queued",
			constrained, o.limit, o.latency.value/10, b.originQueue.length)
	}
}
