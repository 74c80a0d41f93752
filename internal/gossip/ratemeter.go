package gossip

import "time"

const (
	demandSampleInterval = time.Second
	demandTimeConstant   = 10 * time.Second
)

// rateMeter derives a rate from a growing total, as an exponential moving average.
type rateMeter struct {
	total     int64 // at the latest sample
	sampledAt time.Time
	perSecond float64
}

// sample takes the total after the time that has elapsed since the latest sample, and returns the new average per
// second.
func (m *rateMeter) sample(total int64, elapsed time.Duration) float64 {
	current := float64(total-m.total) / elapsed.Seconds()
	weight := min(elapsed.Seconds()/demandTimeConstant.Seconds(), 1)
	m.perSecond += (current - m.perSecond) * weight
	m.total, m.sampledAt = total, time.Now()
	return m.perSecond
}
