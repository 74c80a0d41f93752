package replica

// Member is what is shown of a proxy.
type Member struct {
	Name        string
	Incarnation int64
	State       string // "here", "silent", "gone" or "unknown"
	Lag         Time   // since its latest heartbeat was written
	Pulsed
}
