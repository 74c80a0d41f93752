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
func (p *player) hit(b Blow) []*Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hit []*Node
	for _, i := range b.Hits {
		hit = append(hit, p.nodes[i])
	}
	return hit
}

// strike lets a trouble come and pass.
func (p *player) strike(ctx context.Context, b Blow, start time.Time) {
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
		hit, began := p.hit(b), time.Now()
		for _, n := range hit {
			n.Set(habit, part, 0, 0)
		}
		sleep(ctx, long)
		for _, n := range hit {
			n.Set("", 1, 0, 0)
			if b.Kind == "silent" {
				p.fellSilent(n, began, time.Now())
			}
		}
	case "slow", "origin-slow":
		hit := []*Node{p.origin}
		if b.Kind == "slow" {
			hit = p.hit(b)
		}
		set := func(times float64) {
			for _, n := range hit {
				n.work.slower(times)
			}
		}
		set(b.Times)
		sleep(ctx, long)
		set(1)
	case "cold":
		for _, n := range p.hit(b) {
			n.Stop()
			if !sleep(ctx, 200*time.Millisecond) || n.Restart() != nil {
				return
			}
			p.starts(n, time.Now())
			p.say(n, "active")
		}
	case "replace":
		for k, old := range p.hit(b) {
			p.say(old, "leaving")
			if !sleep(ctx, max(millis(b.Leave), 500*time.Millisecond)) {
				return
			}
			p.say(old, "left")
			old.Stop()
			n, err := p.another()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.nodes[b.Hits[k]] = n
			p.mu.Unlock()
			p.say(n, "active")
			if !sleep(ctx, long/time.Duration(len(b.Hits))) {
				return
			}
		}
	case "stale":
		for _, i := range b.Hits {
			p.found[i].Stale(true)
		}
		sleep(ctx, long)
		for _, i := range b.Hits {
			p.found[i].Stale(false)
		}
	case "hush":
		for _, i := range b.Hits {
			p.found[i].Hush()
		}
	case "agent-ahead":
		p.mu.Lock()
		n := p.nodes[b.Hits[0]%len(p.nodes)]
		p.mu.Unlock()
		for _, i := range b.Hits {
			p.end(i, nil, "killed")
		}
		p.say(n, "leaving")
		for _, i := range b.Hits {
			if ctx.Err() != nil || p.start(ctx, i) != nil {
				return
			}
		}
		sleep(ctx, long)
		p.say(n, "active")
	case "deaf", "refusing":
		mood := map[string]Mood{"deaf": "silent", "refusing": "full"}[b.Kind]
		for _, i := range b.Hits {
			p.found[i].Feel(mood)
		}
		sleep(ctx, long)
		for _, i := range b.Hits {
			p.found[i].Feel("")
		}
	case "part", "one-way", "lossy", "zone-cut", "link":
		end := p.ways.begin(p.cutOf(b))
		p.struck(b, true)
		sleep(ctx, long)
		end()
		p.struck(b, false)
	case "zone-grey":
		p.greyZone(ctx, b, long)
	case "whisper":
		p.whisper(ctx, b.Nodes, long)
	case "pause":
		p.pause(ctx, b.Hits, long)
	case "mass-kill":
		p.massKill(ctx, b.Hits, max(long, 500*time.Millisecond), seconds(b.Spread), func() {})
	case "zone-lost":
		p.loseZone(ctx, b, long)
	case "kill", "restart":
		for _, i := range b.Hits {
			if b.Kind == "kill" {
				p.end(i, nil, "killed")
				sleep(ctx, 500*time.Millisecond)
			} else {
				p.end(i, syscall.SIGTERM, "stopped")
			}
			if ctx.Err() != nil || p.start(ctx, i) != nil {
				return
			}
		}
	case "bad-clients":
		var all sync.WaitGroup
		for i := 0; time.Since(start) < seconds(b.At)+long && ctx.Err() == nil; i++ {
			all.Add(1)
			go func() {
				defer all.Done()
				if !bad(p.clients.addrs[i%len(p.clients.addrs)], i) {
					p.badMute.Add(1)
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
				slow(during, p.clients.addrs[i%len(p.clients.addrs)], fmt.Sprint("slow", i), p.plan.Day.Routes[0])
			}()
		}
		all.Wait()
	}
}
