package main

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["stale-agent"] = staleAgent
	cases["slow-list"] = slowList
}

// Bounds of the rule on drains: the grace of the site, the slack on sockets, and the time for which a proxy may be held up.
const drainGrace = 300*time.Millisecond + 50*time.Millisecond + 150*time.Millisecond

// drainFleet is four caches, of which the first drains, an origin, and clients that read all the time.
type drainFleet struct {
	rig          *rig
	addresses    []string
	origin       string
	told         atomic.Int64 // when the drain counts as told, in nanoseconds since the beginning; 0: not yet
	before, late atomic.Int64
	answered     atomic.Int64
}

func (r *rig) newDrainFleet() *drainFleet {
	f := &drainFleet{rig: r}
	for i := range 4 {
		f.addresses = append(f.addresses, r.newCache(fmt.Sprintf("s-%d", i), func(conn net.Conn, c command) error {
			if i == 0 {
				f.arrived(c)
			}
			time.Sleep(5 * time.Millisecond)
			_, err := conn.Write(hit([]byte("value of " + c.key + " for " + c.id)))
			return err
		}))
	}
	f.origin = r.newOrigin(func(conn net.Conn, w fetch) error {
		time.Sleep(20 * time.Millisecond)
		_, err := conn.Write(originValue([]byte("value of " + w.key + " for " + w.id)))
		return err
	})
	return f
}

// arrived checks a command that came to the cache that drains.
func (f *drainFleet) arrived(c command) {
	told := time.Duration(f.told.Load())
	if told == 0 {
		f.before.Add(1)
	} else if since := time.Since(f.rig.began) - told; since > drainGrace {
		f.late.Add(1)
		f.rig.note("BROKEN: s-0 got %s, %v after the drain counts as told", c.id, since.Round(time.Millisecond))
	}
}

// announce puts all entries into an agent's list.
func (f *drainFleet) announce(d *discovery) {
	for i, address := range f.addresses {
		d.set(fmt.Sprintf("s-%d", i), address, "std-2c", []string{"saint-louis", "dakar"}[i%2], "active", 0)
	}
	d.set("ledger", f.origin, "origin", "dakar", "active", 0)
}

// drain has an agent learn that the first cache drains.
func (f *drainFleet) drain(d *discovery) {
	d.set("s-0", f.addresses[0], "std-2c", "saint-louis", "leaving", 0)
}

// read sends 50 reads a second until the end.
func (f *drainFleet) read(p *proxy, end time.Time) {
	done := make(chan struct{})
	const clients = 10
	for i := range clients {
		go func() {
			defer func() { done <- struct{}{} }()
			var conn net.Conn
			var reader *bufio.Reader
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				if conn == nil {
					var err error
					if conn, reader, err = dial(p.listen); err != nil {
						conn = nil
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				_, _ = conn.Write(encode("KV.GET", fmt.Sprintf("boat-%d", (i+n*clients)%400), fmt.Sprintf("read-%d-%d", i, n), "c=lookup,t=base-dakar,d=1500"))
				_ = conn.SetReadDeadline(began.Add(2050 * time.Millisecond))
				if a := readAnswer(reader); a.kind == "closed" || a.kind == "unreadable" {
					_ = conn.Close()
					conn = nil
				} else {
					f.answered.Add(1)
				}
				time.Sleep(time.Until(began.Add(200 * time.Millisecond)))
			}
		}()
	}
	for range clients {
		<-done
	}
}

// judge ends the case.
func (f *drainFleet) judge() {
	r := f.rig
	r.note("reads answered: %d; the cache that drains got %d commands before, %d too late", f.answered.Load(), f.before.Load(), f.late.Load())
	switch {
	case f.before.Load() == 0:
		r.note("the cache got nothing before it drained")
		r.end(exitNotRun)
	case f.late.Load() > 0:
		r.end(exitBroken)
	}
	r.end(exitHeld)
}

// staleAgent: a proxy is told that a cache drains, and a new configuration moves it to an agent that learns it later.
func staleAgent(record string) {
	r := newRig(record, 60*time.Second)
	f := r.newDrainFleet()
	first, second := r.newDiscovery(), r.newDiscovery()
	f.announce(first)
	f.announce(second)
	p := r.startProxy(first.address, settings(), map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 640})
	go func() {
		time.Sleep(3 * time.Second)
		f.drain(first)
		f.told.Store(int64(time.Since(r.began)))
		if !r.trouble {
			f.drain(second)
		}
		time.Sleep(time.Second)
		p.writeConfig(second.address, nil)
		p.signal(syscall.SIGHUP)
		time.Sleep(time.Second)
		if r.trouble {
			f.drain(second)
		}
	}()
	f.read(p, time.Now().Add(9*time.Second))
	f.judge()
}

// slowList: discovery answers each call after two seconds, and a cache drains.
func slowList(record string) {
	r := newRig(record, 60*time.Second)
	f := r.newDrainFleet()
	d := r.newDiscovery()
	if r.trouble {
		d.delay = 2 * time.Second
		r.note("discovery answers each call after %v", d.delay)
	}
	f.announce(d)
	p := r.startProxyKnowing(d.address, settings(), map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 640}, d.list())
	go func() {
		time.Sleep(5 * time.Second)
		f.drain(d)
		f.told.Store(int64(time.Since(r.began) + 6*time.Second))
	}()
	f.read(p, time.Now().Add(25*time.Second))
	f.judge()
}
