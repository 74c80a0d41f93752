package duties

// Time is a time on the caller's monotonic clock, or a duration, in units of 0.1 ms.
type Time int64

// Second is one second in units of [Time].
const Second = Time(10000)

// milliseconds converts a duration to milliseconds, the unit of the configuration file.
func milliseconds(span Time) float64 { return float64(span) / 10 }
