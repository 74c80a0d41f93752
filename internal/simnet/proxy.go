package simnet

import (
	"fmt"
	"strconv"
	"strings"

	"woodproxy/replica"
)

// proxyNamePrefix stands before the number of a proxy in its name.
const proxyNamePrefix = "n"

// Proxy is one proxy of a fleet.
type Proxy struct {
	Store        *replica.Store // a new one with each start
	Number       int
	Running      bool                   // the process is there
	Paused       bool                   // the process is there and does nothing; what it receives is queued
	Quota        float64                // fraction of the limits of the fleet that the proxy may use
	Bytes        int                    // roughly, that it has sent
	EndpointRows map[string]replica.Row // the endpoint rows that it has learned from others, by key

	wasPaused   bool
	incarnation int64
	clockSkew   replica.Time
	broadcasts  []broadcast
	received    []packet // while it was paused
}

// clock returns what the proxy's own clock shows.
func (p *Proxy) clock(now replica.Time) replica.Time { return now + p.clockSkew }

// ProxyName returns the name of a proxy by its number.
func ProxyName(number int) string { return proxyNamePrefix + strconv.Itoa(number) }

// proxyNumber is the inverse of ProxyName. Names come from the simulation itself, so that another one is a bug.
func proxyNumber(name string) int {
	number, err := strconv.Atoi(strings.TrimPrefix(name, proxyNamePrefix))
	if err != nil {
		panic(fmt.Sprintf("simnet: proxy name %q: %v", name, err))
	}
	return number
}
