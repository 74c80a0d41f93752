package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

// agentLag is how much later the second agent of discovery has a change than the first.
const agentLag = 2 * time.Second

// runStaleAgent has a proxy told that a cache drains, and then moved by SIGHUP to another agent of discovery, which has the change later.
func runStaleAgent(r *rig) error {
	var toldAt, late, before atomic.Int64
	f, err := r.startFleet(4, func(f *fleet, n *node, c *command) answer {
		if n == f.caches[0] {
			if told := toldAt.Load(); told == 0 {
				before.Add(1)
			} else if since := time.Since(r.began) - time.Duration(told); since > drainGrace+heldUp {
				late.Add(1)
				r.violate("node %s was sent %s, %.2f s after the proxy was told that it drains", n.name, c.id, since.Seconds())
			}
		}
		time.Sleep(5 * time.Millisecond)
		if !n.keeps(c.key) {
			f.noteMiss(n, c.id)
			return missed()
		}
		return served(madeFor(c.key, c.id))
	}, func(f *fleet, _ *node, c *command) answer {
		time.Sleep(20 * time.Millisecond)
		f.store(c)
		return httpOK(madeFor(c.key, c.id))
	})
	if err != nil {
		return err
	}
	atOnce := func() time.Duration { return 0 }
	first, err := r.startDiscovery(f.entries(), atOnce)
	if err != nil {
		return err
	}
	second, err := r.startDiscovery(f.entries(), atOnce)
	if err != nil {
		return err
	}
	p, err := r.startProxy("n1", first.listener.Addr().String(), nil, limits{192, 1024}, settings(4, canalRoutes))
	if err != nil {
		return err
	}
	defer p.stop()
	if err := p.awaitReady(10 * time.Second); err != nil {
		return err
	}
	pool := &clients{rig: r, address: p.listen}
	defer pool.close()
	for i := range 10 * 100 {
		switch i {
		case 300:
			first.change(f.caches[0].entry("leaving"))
			toldAt.Store(int64(time.Since(r.began)))
			lag := agentLag
			if !r.trouble {
				lag = 0
			}
			time.AfterFunc(time.Second+lag, func() { second.change(f.caches[0].entry("leaving")) })
		case 400:
			p.config["discovery"] = second.listener.Addr().String()
			if err := p.writeConfig(); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond) // without the lag the second agent has the change before the proxy asks
			p.signal(syscall.SIGHUP)
		}
		go pool.ask(fmt.Sprintf("boat-%d", i*7919%600), r.newID(), "c=lookup,t=base-dakar,d=1500", nil, 3*time.Second, 0)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	r.note("the node that drains took %d commands before, %d too late", before.Load(), late.Load())
	if before.Load() == 0 {
		return fmt.Errorf("%w: the node got nothing before it drained", errCannotRun)
	}
	return nil
}
