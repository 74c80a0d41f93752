package replica

// Pulsed is the body of a heartbeat, a row of the kind Pulse.
type Pulsed struct {
	Address string  `msgpack:"a"` // host:port at which peers reach the proxy
	Zone    string  `msgpack:"z,omitempty"`
	Demand  float64 `msgpack:"d"` // requests a second from its clients
	View    uint64  `msgpack:"v"` // hash of the proxies that it knows, their incarnations, and which have departed
	Behind  bool    `msgpack:"b"` // it is catching up
	Base    float64 `msgpack:"s"` // its quota before leases, 0 to 1
	Loans   []Loan  `msgpack:"l,omitempty"`
	Wrote   int64   `msgpack:"o,omitempty"` // messages about its writes that it has sent
	Heir    bool    `msgpack:"h,omitempty"` // the process is ending, and a successor takes its name
}
