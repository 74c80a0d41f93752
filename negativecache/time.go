package negativecache

// Time is a time on the caller's monotonic clock, or a duration, in units of 0.1 ms.
type Time int64

// Second is one second in units of [Time].
const Second = Time(10000)

// millisecond is one millisecond in units of [Time].
const millisecond = Second / 1000
