package recovery

// Time is an instant on the caller's monotonic clock, in units of 0.1 ms. The caller chooses the zero point.
type Time int64

// Duration is a time span in units of 0.1 ms.
type Duration int64

// Units of Duration.
const (
	Millisecond Duration = 10
	Second               = 1000 * Millisecond
)

// Add returns t plus d.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return float64(d) / float64(Second) }

// Milliseconds returns the duration in whole milliseconds, rounded toward zero.
func (d Duration) Milliseconds() int64 { return int64(d / Millisecond) }
