package balancer

import "math"

const (
	second = Time(10000)

	// rateHalfLife is the half-life of the counted responses.
	rateHalfLife = 7 * second
	// latencySamples limits the weight of earlier samples in the mean latency of the caches.
	latencySamples = 32
	// deviationSamples is the minimum divisor for the deviation, so that the first samples do not make it jump.
	deviationSamples = 4
	// endpointErrorSamples and errorSamples are the numbers of responses over which the error rates of one cache
	// and of all caches are smoothed.
	endpointErrorSamples = 8
	errorSamples         = 64
)

// movingAverage is a moving average in which a sample's weight grows with the time since the previous one.
type movingAverage struct {
	value     float64
	updatedAt Time
}

// observe adds a sample. Its weight is the time since the previous one divided by span, limited to
// [minWeight, 1].
func (m *movingAverage) observe(now Time, value, minWeight float64, span Time) {
	m.value += (value - m.value) * observationWeight(minWeight, now-m.updatedAt, span)
	m.updatedAt = now
}

func observationWeight(minWeight float64, elapsed, span Time) float64 {
	return min(max(minWeight, float64(elapsed)/float64(span)), 1)
}

// indicator returns 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// decay returns the fraction of a count that remains after the elapsed time.
func decay(elapsed Time) float64 { return math.Exp2(-float64(elapsed) / float64(rateHalfLife)) }

// responseRate measures a rate of responses by a count that decays with rateHalfLife.
type responseRate struct {
	count     float64
	updatedAt Time
	startedAt Time
}

// add counts more responses and returns the rate per second, corrected if startedAt is recent.
// Each call rounds, so calling it more or less often changes the last digits of the result.
func (r *responseRate) add(now Time, more float64) float64 {
	r.count = r.count*decay(now-r.updatedAt) + more
	r.updatedAt = now
	return r.count * 0.1 / max(1-decay(now-r.startedAt), 0.01)
}

// cacheStatistics holds this proxy's observations of all caches together.
type cacheStatistics struct {
	inFlight       int     // attempts of this proxy at caches
	meanLatency    float64 // in units of Time, as is meanDeviation
	meanDeviation  float64
	samples        float64       // number of samples in the two means, at most latencySamples
	lateRate       movingAverage // fraction of late responses
	errorRate      float64       // fraction of responses that are server errors
	lastResponseAt Time
	rate           responseRate
}

func newCacheStatistics(now, objective Time) cacheStatistics {
	return cacheStatistics{
		meanLatency: float64(objective),
		rate:        responseRate{updatedAt: now, startedAt: now},
	}
}

// observeLatency adds the latency of a response in time to mean and deviation. The first samples have more
// weight, because with little traffic it takes seconds to collect latencySamples.
func (s *cacheStatistics) observeLatency(latency Time) {
	s.samples = min(s.samples+1, latencySamples)
	s.meanLatency += (float64(latency) - s.meanLatency) / s.samples
	s.meanDeviation += (math.Abs(float64(latency)-s.meanLatency) - s.meanDeviation) /
		max(s.samples, deviationSamples)
}

// cacheResponseRate returns the rate per second of the caches' responses to this proxy.
func (b *Balancer) cacheResponseRate() float64 { return b.caches.rate.add(b.now, 0) }

// responseInterval returns the mean time between two responses of the same cache to this proxy.
func (b *Balancer) responseInterval() Time {
	return Time(float64(second) * float64(b.ring.caches) / max(b.cacheResponseRate(), 1))
}

func (b *Balancer) observeEndpointLatency(endpoint *endpointState, latency Time, minWeight float64) {
	endpoint.latency.observe(b.now, float64(latency), minWeight, 10*second)
}

// countCacheResponse adds the response of a cache that executed the request to the rate and the error rates.
func (b *Balancer) countCacheResponse(endpoint *endpointState, isError bool) {
	endpoint.responses++
	b.caches.rate.add(b.now, 1)
	value := indicator(isError)
	endpoint.errorRate += (value - endpoint.errorRate) / endpointErrorSamples
	b.caches.errorRate += (value - b.caches.errorRate) / errorSamples
}
