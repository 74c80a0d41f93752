package zonehealth

// Time is an instant on the caller's monotonic clock, or a time span, in units of 0.1 ms.
type Time int64

// Second is one second in units of Time.
const Second = Time(10000)

// distantPast is the age that is assumed for the latest event of a kind that has never happened.
const distantPast = 1000 * Second
