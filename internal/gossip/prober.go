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
	maxConnectProbes    = 8 // maximum number of concurrent probes
)

// prober detects whether the process of a silent proxy has ended, by connecting to the address of the proxy.
type prober struct {
	source     net.IP        // local address of the connections
	started    *atomic.Int64 // number of probes since the start
	running    atomic.Int64  // number of probes that have not ended
	background *sync.WaitGroup
}

// probe connects to the address in a separate goroutine. If the connection is refused, the process has ended, and that
// goroutine calls refused. Other failures are ignored, as the network may have caused them. If the address is invalid or
// maxConnectProbes probes are running, probe does nothing. It is called from the event loop.
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
			_ = conn.Close() // nothing was written, so no data can be lost
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			refused()
		}
	})
}
