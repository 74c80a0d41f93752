package replica

// Time is an instant or a duration in units of 0.1 ms. Instants are read from the caller's monotonic clock, whose zero
// is arbitrary. They have no meaning in another process, so rows carry an age and never an instant.
type Time int64

// Second is one second in units of Time.
const Second = Time(10000)
