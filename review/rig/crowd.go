package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The crowd of the case, and what the usual clients do beside it.
const (
	crowdClients  = 3000
	crowdSeconds  = 3
	crowdSockets  = 256
	crowdMemoryMB = 96
	usualRate     = 50 // requests a second
	usualSeconds  = 12
	crowdAt       = 3 * time.Second        // when the crowd begins to come
	usualDeadline = 1500                   // d of the usual clients' requests, in milliseconds
	finalGrace    = 500 * time.Millisecond // an answer may come so long after its time
	machineSlack  = 250 * time.Millisecond // for the machine that runs the case
)

func figure(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// runCrowd lets a crowd connect, ask PING and idle, while usual clients ask each request on a new connection.
func runCrowd(r *rig) error {
	f, err := r.startFleet(4, func(f *fleet, n *node, c *command) answer {
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
	d, err := r.startDiscovery(f.entries(), func() time.Duration { return 0 })
	if err != nil {
		return err
	}
	p, err := r.startProxy("n1", d.listener.Addr().String(), nil, limits{crowdMemoryMB, figure("SOCKETS", crowdSockets)}, settings(4, canalRoutes))
	if err != nil {
		return err
	}
	defer p.stop()
	if err := p.awaitReady(10 * time.Second); err != nil {
		return err
	}
	crowd := &crowd{rig: r, address: p.listen, leave: make(chan struct{})}
	began := time.Now()
	if r.trouble {
		time.AfterFunc(crowdAt, crowd.come)
	}
	counts := map[string]int{}
	var mu sync.Mutex
	var slowest time.Duration
	var wait sync.WaitGroup
	for i := range usualSeconds * usualRate {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / usualRate)))
		wait.Go(func() {
			kind, took := r.askOnce(p.listen, fmt.Sprintf("boat-%d", i*7919%600))
			mu.Lock()
			defer mu.Unlock()
			counts[kind]++
			slowest = max(slowest, took)
		})
	}
	wait.Wait()
	close(crowd.leave)
	crowd.members.Wait()
	r.note("crowd: %d connected, %d had +PONG; usual clients: %v, slowest %v", crowd.connected.Load(), crowd.answered.Load(), counts, slowest)
	if wanted := int64(figure("CROWD", crowdClients)); r.trouble && len(r.broken) == 0 && crowd.connected.Load() < wanted*9/10 {
		return fmt.Errorf("%w: only %d of the crowd could connect", errCannotRun, crowd.connected.Load())
	}
	return nil
}

// crowd is clients that connect, ask PING once, and keep their connection without looking at it again.
type crowd struct {
	rig                 *rig
	address             string
	leave               chan struct{}
	members             sync.WaitGroup
	connected, answered atomic.Int64
}

// come has the crowd connect, evenly over its time.
func (c *crowd) come() {
	n := figure("CROWD", crowdClients)
	c.rig.note("a crowd of %d connects within %d s", n, crowdSeconds)
	began := time.Now()
	for i := range n {
		time.Sleep(time.Until(began.Add(time.Duration(i) * crowdSeconds * time.Second / time.Duration(n))))
		c.members.Go(func() {
			conn, err := net.DialTimeout("tcp", c.address, 5*time.Second)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			c.connected.Add(1)
			_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
			pong := make([]byte, 7)
			go func() {
				if _, err := io.ReadFull(conn, pong); err == nil {
					c.answered.Add(1)
				}
			}()
			<-c.leave
		})
	}
}

// askOnce sends a read on a new connection, and waits for its final answer. It asks again on another one where the proxy closes the
// connection unread.
func (r *rig) askOnce(address, key string) (kind string, took time.Duration) {
	const patience = usualDeadline*time.Millisecond + finalGrace + machineSlack
	id, began := r.newID(), time.Now()
	for tries := 1; ; tries++ {
		dialed, err := net.DialTimeout("tcp", address, time.Until(began.Add(patience)))
		if err != nil {
			r.note("client: %s: not connected: %v", id, err) // what was never accepted was not taken
			return "not connected", time.Since(began)
		}
		conn := &clientConn{Conn: dialed}
		conn.in = newReader(dialed)
		got, err := exchange(conn, encode(key, id, fmt.Sprintf("c=lookup,t=base-dakar,d=%d", usualDeadline), nil), began.Add(patience), 0)
		_ = conn.Close()
		took = time.Since(began)
		switch {
		case err == nil:
			r.note("client: %s: %s after %v", id, got.kind, took.Round(time.Millisecond))
			return got.kind, took
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.violate("request %s (d=%d) has no answer and no close %d ms after it was written", id, usualDeadline, took.Milliseconds())
			return "none", took
		}
		r.note("client: %s: connection %d closed unread after %v: %v", id, tries, took.Round(time.Millisecond), err)
		if tries == 3 {
			return "closed", took
		}
	}
}
