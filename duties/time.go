package duties

// Time counts tenths of a millisecond, on the caller's own monotonic clock. It is used for instants and for spans.
type Time int64

// Second is the span of one second.
const Second = Time(10000)

// milliseconds converts a span to the unit of the configuration file.
func milliseconds(span Time) float64 { return float64(span) / 10 }
