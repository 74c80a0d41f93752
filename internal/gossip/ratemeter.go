package gossip

import "time"

const (
	demandSampleInterval = time.Second      // minimum time between samples
	demandTimeConstant   = 10 * time.Second // time constant of the moving average
)

// rateMeter computes the rate of increase of a counter as an exponential moving average.
type rateMeter struct {
	total     int64     // value of the counter at the latest sample
	sampledAt time.Time // time of the latest sample
	perSecond float64   // moving average of the rate
}

// sample adds a sample of the counter, where elapsed is the time since the latest sample. It returns the new average rate
// per second.
func (m *rateMeter) sample(total int64, elapsed time.Duration) float64 {
	current := float64(total-m.total) / elapsed.Seconds()
	weight := min(elapsed.Seconds()/demandTimeConstant.Seconds(), 1)
	m.perSecond += (current - m.perSecond) * weight
	m.total, m.sampledAt = total, time.Now()
	return m.perSecond
}
