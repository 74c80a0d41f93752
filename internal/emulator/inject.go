package emulator

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// How troubles come and pass.

// hit is the nodes that stand, as a trouble begins, in the places that it hits: others may be replaced meanwhile.
func (p *runner) targetNodes(b FaultEvent) []*Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hit []*Node
	for _, i := range b.Targets {
		hit = append(hit, p.nodes[i])
	}
	return hit
}

// strike lets a trouble come and pass.
func (p *runner) injectFault(ctx context.Context, b FaultEvent, start time.Time) {
	if !sleep(ctx, time.Until(start.Add(seconds(b.At)))) {
		return
	}
	long := seconds(b.For)
	habit := map[string]Habit{"silent": "silent", "failing": "fails", "reset": "cuts", "garbled": "garbled", "halves": "halves"}[b.Kind]
	switch b.Kind {
	case "silent", "failing", "reset", "garbled", "halves":
		part := b.Part
		if part == 0 {
			part = 1
		}
		hit, began := p.targetNodes(b), time.Now()
		for _, n := range hit {
			n.Set(habit, part, 0, 0)
		}
		sleep(ctx, long)
		for _, n := range hit {
			n.Set("", 1, 0, 0)
			if b.Kind == "silent" {
				p.recordSilence(n, began, time.Now())
			}
		}
	case "slow", "origin-slow":
		hit := []*Node{p.origin}
		if b.Kind == "slow" {
			hit = p.targetNodes(b)
		}
		set := func(times float64) {
			for _, n := range hit {
				n.work.setSlowdown(times)
			}
		}
		set(b.Times)
		sleep(ctx, long)
		set(1)
	case "cold":
		for _, n := range p.targetNodes(b) {
			n.Stop()
			if !sleep(ctx, 200*time.Millisecond) || n.Restart() != nil {
				return
			}
			p.recordNodeStart(n, time.Now())
			p.publish(n, "active")
		}
	case "replace":
		for k, old := range p.targetNodes(b) {
			p.publish(old, "leaving")
			if !sleep(ctx, max(millis(b.Leave), 500*time.Millisecond)) {
				return
			}
			p.publish(old, "left")
			old.Stop()
			n, err := p.startNextNode()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.nodes[b.Targets[k]] = n
			p.mu.Unlock()
			p.publish(n, "active")
			if !sleep(ctx, long/time.Duration(len(b.Targets))) {
				return
			}
		}
	case "stale":
		for _, i := range b.Targets {
			p.discoveries[i].SetWithholding(true)
		}
		sleep(ctx, long)
		for _, i := range b.Targets {
			p.discoveries[i].SetWithholding(false)
		}
	case "hush":
		for _, i := range b.Targets {
			p.discoveries[i].SilenceOpenWatches()
		}
	case "agent-ahead":
		p.mu.Lock()
		n := p.nodes[b.Targets[0]%len(p.nodes)]
		p.mu.Unlock()
		for _, i := range b.Targets {
			p.endProxy(i, nil, "killed")
		}
		p.publish(n, "leaving")
		for _, i := range b.Targets {
			if ctx.Err() != nil || p.startProxy(ctx, i) != nil {
				return
			}
		}
		sleep(ctx, long)
		p.publish(n, "active")
	case "deaf", "refusing":
		mood := map[string]Mood{"deaf": "silent", "refusing": "full"}[b.Kind]
		for _, i := range b.Targets {
			p.discoveries[i].Feel(mood)
		}
		sleep(ctx, long)
		for _, i := range b.Targets {
			p.discoveries[i].Feel("")
		}
	case "part", "one-way", "lossy", "zone-cut", "link":
		end := p.network.addFault(p.linkFaultOf(b))
		p.noteZoneFault(b, true)
		sleep(ctx, long)
		end()
		p.noteZoneFault(b, false)
	case "zone-grey":
		p.degradeZone(ctx, b, long)
	case "whisper":
		p.announceToOne(ctx, b.Nodes, long)
	case "pause":
		p.pauseProxies(ctx, b.Targets, long)
	case "mass-kill":
		p.killProxies(ctx, b.Targets, max(long, 500*time.Millisecond), seconds(b.Spread), func() {})
	case "zone-lost":
		p.loseZone(ctx, b, long)
	case "kill", "restart":
		for _, i := range b.Targets {
			if b.Kind == "kill" {
				p.endProxy(i, nil, "killed")
				sleep(ctx, 500*time.Millisecond)
			} else {
				p.endProxy(i, syscall.SIGTERM, "stopped")
			}
			if ctx.Err() != nil || p.startProxy(ctx, i) != nil {
				return
			}
		}
	case "bad-clients":
		var all sync.WaitGroup
		for i := 0; time.Since(start) < seconds(b.At)+long && ctx.Err() == nil; i++ {
			all.Add(1)
			go func() {
				defer all.Done()
				if !sendMalformed(p.load.addresses[i%len(p.load.addresses)], i) {
					p.unansweredBadClients.Add(1)
				}
			}()
			sleep(ctx, seconds(1/b.Rate))
		}
		all.Wait()
	case "slow-clients":
		during, end := context.WithTimeout(ctx, long)
		defer end()
		var all sync.WaitGroup
		for i := range b.Nodes {
			all.Add(1)
			go func() {
				defer all.Done()
				readSlowly(during, p.load.addresses[i%len(p.load.addresses)], fmt.Sprint("slow", i), p.plan.Day.Routes[0])
			}()
		}
		all.Wait()
	}
}
