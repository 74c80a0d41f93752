package emulator

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// pauseProxies stops proxy processes with SIGSTOP and continues them after the duration.
func (r *runner) pauseProxies(ctx context.Context, proxies []int, duration time.Duration) {
	for _, i := range proxies {
		r.currentProcess(i).Signal(syscall.SIGSTOP)
		r.log.Record(Event{Kind: ProcessPaused, Proxy: i, Note: pauseBegins})
		r.load.available[i].Store(false)
	}
	sleep(ctx, duration)
	for _, i := range proxies {
		process := r.currentProcess(i)
		r.log.Record(Event{Kind: ProcessPaused, Proxy: i, Note: pauseEnds})
		process.Signal(syscall.SIGCONT)
		r.load.available[i].Store(true)
	}
}

// currentProcess returns the latest process of a proxy.
func (r *runner) currentProcess(i int) *incarnation {
	m := r.proxies[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// killProxies kills proxies simultaneously. After the downtime it calls beforeRestart and restarts the proxies at even intervals
// over the spread.
func (r *runner) killProxies(ctx context.Context, proxies []int, downtime, spread time.Duration, beforeRestart func()) {
	var kills sync.WaitGroup
	for _, i := range proxies {
		kills.Go(func() { r.endProxy(i, nil, endKilled) })
	}
	kills.Wait()
	if !sleep(ctx, downtime) {
		return
	}
	beforeRestart()
	var starts sync.WaitGroup
	for k, i := range proxies {
		starts.Go(func() {
			if sleep(ctx, spread*time.Duration(k)/time.Duration(len(proxies))) {
				_ = r.startProxy(ctx, i) // the crash of a process during its start is recorded elsewhere
			}
		})
	}
	starts.Wait()
}

// loseZone kills the proxies of a zone and makes its caches unavailable, and restores both after the duration. With
// event.Refuses, the caches are stopped and refuse connections. Otherwise their links are severed, because lost machines do not
// respond at all.
func (r *runner) loseZone(ctx context.Context, event FaultEvent, duration time.Duration) {
	nodes, affected := r.nodesInZone(event.Zone), r.affectedNames(event)
	heal := func() {}
	if event.Refuses {
		for _, n := range nodes {
			n.Stop()
		}
	} else {
		heal = r.network.addFault(linkFault{lossRate: 1, resetStreams: true, affects: func(from, to string) bool {
			return affected[from] && to != "origin" || affected[to] && from != "origin"
		}})
	}
	r.zoneFaultBegins(event)
	r.killProxies(ctx, event.Targets, duration, seconds(event.SpreadS), func() {
		heal()
		r.zoneFaultEnds(event)
		for _, n := range nodes {
			if event.Refuses && n.Restart() != nil {
				return
			}
			if event.Refuses || event.LosesData {
				r.recordNodeStart(n, time.Now())
				r.publish(n, statusActive)
			}
		}
	})
}
