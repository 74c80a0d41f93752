package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// surplusPhase is the phase of an upstream connection in which a surplus response was detected: a response that no request
// on the connection asked for.
type surplusPhase uint8

const (
	surplusIdle           surplusPhase = iota // while the connection was idle
	surplusBeforeWrite                        // right before an attempt was written
	surplusBehindResponse                     // together with the response to an attempt
	numSurplusPhases
)

var surplusPhaseNames = [numSurplusPhases]string{"idle", "before_write", "behind_response"}

// String returns the name of the phase in logs and metrics.
func (p surplusPhase) String() string { return surplusPhaseNames[p%numSurplusPhases] }

// maxSurplusPrefix is the number of bytes of a surplus response that are looked at to classify it.
const maxSurplusPrefix = 128

// surplusResponse describes a surplus response.
type surplusResponse struct {
	phase  surplusPhase
	prefix []byte // its first bytes, at most maxSurplusPrefix
	next   []byte // ID of the request that the connection was to carry next; nil: none
}

// reportSurplus counts and logs a surplus response and distrusts its host. The connection must be closed after it.
func (u *upstreamConn) reportSurplus(surplus surplusResponse) {
	counters, delay := u.host.router.counters, time.Duration(0)
	if u.served > 0 && surplus.phase != surplusBehindResponse {
		delay = time.Since(u.lastResponseAt)
	}
	counters.BadPeer.Add(1)
	counters.Surplus[surplus.phase].Add(1)
	counters.SurplusDelay.observe(delay)
	conditions := lifecycle.SurplusConditions{Served: u.served, SinceResponse: delay}
	period := conditions.DistrustPeriod()
	u.host.distrust(period)
	u.host.log().Warn("surplus response, upstream connection closed and host distrusted",
		zap.Uint64("connection", u.id), zap.Stringer("phase", surplus.phase),
		zap.Stringer("kind", wire.ClassifyResponse(surplus.prefix, u.host.isOrigin)), zap.Int("served", u.served),
		zap.ByteString("previous", u.lastRequestID), zap.ByteString("next", surplus.next),
		zap.Float64("delay_ms", float64(delay)/float64(time.Millisecond)), zap.Duration("distrusted_for", period))
}

// hasInputBehind reports whether bytes have arrived behind a response. What arrives with a short response is in the buffer, so
// that the socket is looked at behind a long one only.
func (u *upstreamConn) hasInputBehind(response *wire.Response) bool {
	return u.reader.Buffered() > 0 || response.ValueLength >= upstreamReadBuffer/2 && hasUnread(u.conn)
}

// inputPrefix returns the first bytes that have arrived and were not consumed.
func (u *upstreamConn) inputPrefix() []byte {
	if n := u.reader.Buffered(); n > 0 {
		prefix, _ := u.reader.Peek(min(n, maxSurplusPrefix)) // never fails: the bytes are buffered
		return prefix
	}
	return peekBytes(u.conn, maxSurplusPrefix)
}

// delayBuckets are the upper bounds of the buckets of a DelayHistogram.
var delayBuckets = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// DelayHistogram is a histogram of delays. Any goroutine may use it.
type DelayHistogram struct {
	mu     sync.Mutex
	counts [len(delayBuckets)]uint64 // delays up to the bucket's bound and above that of the bucket before
	count  uint64
	sum    time.Duration
}

func (h *DelayHistogram) observe(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	h.sum += delay
	for i, bound := range delayBuckets {
		if delay <= bound {
			h.counts[i]++
			return
		}
	}
}

// Cumulative returns the number and the sum in seconds of all delays, and the number of delays up to each bound in seconds.
func (h *DelayHistogram) Cumulative() (count uint64, sum float64, upTo map[float64]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	upTo, total := make(map[float64]uint64, len(delayBuckets)), uint64(0)
	for i, bound := range delayBuckets {
		total += h.counts[i]
		upTo[bound.Seconds()] = total
	}
	return h.count, h.sum.Seconds(), upTo
}

// surplusCounters count surplus responses by the phase in which they were detected.
type surplusCounters [numSurplusPhases]atomic.Int64
