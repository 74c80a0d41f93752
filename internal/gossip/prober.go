package gossip

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	connectProbeTimeout = 300 * time.Millisecond
	maxConnectProbes    = 8 // at one time
)

// prober finds out whether anything listens at an address where a proxy was reached before.
type prober struct {
	source     net.IP
	started    *atomic.Int64 // counts probes
	running    atomic.Int64
	background *sync.WaitGroup
}

// probe connects to the address and calls refused, in another goroutine, if the connection is refused: the process
// has ended. Any other failure tells nothing, as the network may be at fault. A probe beyond maxConnectProbes is left
// out. The method itself is called from the event loop.
func (p *prober) probe(ctx context.Context, address string, refused func()) {
	if !isReachable(address) || p.running.Load() >= maxConnectProbes {
		return
	}
	p.running.Add(1)
	p.started.Add(1)
	p.background.Go(func() {
		defer p.running.Add(-1)
		dialer := net.Dialer{Timeout: connectProbeTimeout, LocalAddr: &net.TCPAddr{IP: p.source}}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close() // nothing was written that a failure could lose
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			refused()
		}
	})
}
