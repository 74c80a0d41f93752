package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	listDelay  = 2 * time.Second        // until discovery's agent begins to answer a call
	toldWithin = 6 * time.Second        // a change counts as told then at the latest, since discovery could be reached
	drainGrace = 350 * time.Millisecond // 300 ms of the site, 50 ms more on sockets
	heldUp     = 150 * time.Millisecond // a command may be so long on its way
)

// runSlowList has discovery answer each call after two seconds, and a cache begin to drain.
func runSlowList(r *rig) error {
	var drainsAt atomic.Int64 // when discovery had the change, in nanoseconds since the beginning
	var late, before atomic.Int64
	f, err := r.startFleet(4, func(f *fleet, n *node, c *command) answer {
		if n == f.caches[0] {
			at := time.Since(r.began)
			if told := drainsAt.Load(); told == 0 {
				before.Add(1)
			} else if since := at - time.Duration(told); since > toldWithin+drainGrace+heldUp {
				if late.Add(1) <= 200 {
					r.violate("node %s was sent %s, %.1f s after discovery had that it drains", n.name, c.id, since.Seconds())
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
		if !n.keeps(c.key) {
			f.noteMiss(n, c.id)
			return missed()
		}
		return served(madeFor(c.key, c.id))
	}, func(f *fleet, n *node, c *command) answer {
		time.Sleep(20 * time.Millisecond)
		f.store(c)
		return httpOK(madeFor(c.key, c.id))
	})
	if err != nil {
		return err
	}
	var slow atomic.Bool
	d, err := r.startDiscovery(f.entries(), func() time.Duration {
		if slow.Load() {
			return listDelay
		}
		return 0
	})
	if err != nil {
		return err
	}
	known := map[string]any{"index": 41, "snapshot": true, "endpoints": f.entries()}
	slow.Store(r.trouble)
	p, err := r.startProxy("n1", d.listener.Addr().String(), known, limits{192, 1024}, settings(4, canalRoutes))
	if err != nil {
		return err
	}
	defer p.stop()
	if err := p.awaitReady(10 * time.Second); err != nil {
		return err
	}
	pool := &clients{rig: r, address: p.listen}
	defer pool.close()
	counts := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	const seconds = 40
	for i := range seconds * 50 {
		if i == 5*50 {
			d.change(f.caches[0].entry("leaving"))
			drainsAt.Store(int64(time.Since(r.began)))
		}
		wait.Go(func() {
			got := pool.ask(fmt.Sprintf("boat-%d", i*7919%600), r.newID(), "c=lookup,t=base-dakar,d=1500", nil, 3*time.Second, 0)
			mu.Lock()
			defer mu.Unlock()
			counts[got.kind]++
		})
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	r.note("answers: %v; the node that drains took %d commands before, %d too late", counts, before.Load(), late.Load())
	if before.Load() == 0 {
		return fmt.Errorf("%w: the node got nothing before it drained", errCannotRun)
	}
	return nil
}
