package simnet

import (
	"fmt"
	"strconv"
	"strings"

	"woodproxy/replica"
)

// proxyNamePrefix precedes the number of a proxy in its name.
const proxyNamePrefix = "n"

// Proxy is one proxy of a fleet.
type Proxy struct {
	Store        *replica.Store // replaced at each start
	Number       int
	Running      bool                   // the process runs or is paused
	Paused       bool                   // the process is suspended; packets that it receives are queued
	Quota        float64                // fraction of the fleet's limits that the proxy may use
	Bytes        int                    // approximate number of bytes sent
	EndpointRows map[string]replica.Row // endpoint rows received from peers, by key

	wasPaused   bool
	incarnation int64
	clockSkew   replica.Time
	broadcasts  []broadcast
	received    []packet // packets received while the proxy was paused
}

// clock returns the time of the proxy's own clock at a simulated time.
func (p *Proxy) clock(now replica.Time) replica.Time { return now + p.clockSkew }

// ProxyName returns the name of a proxy by its number.
func ProxyName(number int) string { return proxyNamePrefix + strconv.Itoa(number) }

// proxyNumber is the inverse of ProxyName. It panics on an invalid name, which is a bug, because all names come from the
// simulation itself.
func proxyNumber(name string) int {
	number, err := strconv.Atoi(strings.TrimPrefix(name, proxyNamePrefix))
	if err != nil {
		panic(fmt.Sprintf("simnet: proxy name %q: %v", name, err))
	}
	return number
}
