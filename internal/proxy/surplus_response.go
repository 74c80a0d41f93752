package proxy

import (
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

// surplusCounters count surplus responses by the phase in which they were detected.
type surplusCounters [numSurplusPhases]atomic.Int64
