package emulator

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// What all proxies together ask of nodes and discovery, and how they take turns in it.

// Turns is what proxies that talk share out among themselves.
type Turns struct {
	On       bool `toml:"on"`
	Watchers int  `toml:"watchers"`
	Keepers  int  `toml:"keepers"`
}

// Asked is what all proxies together asked of nodes and discovery.
type Together struct {
	Trials  float64 // commands that a silent node took a second, from two seconds after it fell silent on
	Watches float64 // watches of discovery that were open, the mean
	Calls   float64 // watches that were asked for, a second
	Conns   float64 // connections open at a cache, the mean,
	Most    int     // and the most at any
}

// taking is what it is made up from.
type taking struct {
	mu      sync.Mutex
	span    time.Duration // of silence, from two seconds on, over all nodes that were silent
	silent  map[string][2]time.Duration
	looks   int
	watches int
	conns   float64
	most    int
	calls   int64
	from    time.Time
}

// turn writes a proxy's file of turns.
func (p *player) turn(m *member) error {
	t := p.plan.Day.Turns
	if !t.On {
		return nil
	}
	m.site.Turns = filepath.Join(m.site.Dir, "turns.toml")
	return os.WriteFile(m.site.Turns, []byte(fmt.Sprintf("watchers = %d\nkeepers = %d\n", t.Watchers, t.Keepers)), 0o600)
}

// fellSilent notes for how long a node was silent.
func (p *player) fellSilent(n *Node, from, to time.Time) {
	began, ended := from.Add(2*time.Second).Sub(p.log.start), to.Sub(p.log.start)
	p.taking.mu.Lock()
	defer p.taking.mu.Unlock()
	if ended > began {
		p.taking.span += ended - began
		if p.taking.silent == nil {
			p.taking.silent = map[string][2]time.Duration{}
		}
		p.taking.silent[n.Name] = [2]time.Duration{began, ended}
	}
}

// look counts, for as long as the day lasts, what is open.
func (p *player) look(ctx context.Context) {
	t := &p.taking
	t.from, t.calls = time.Now(), -p.called()
	for sleep(ctx, asks) {
		p.mu.Lock()
		nodes := append([]*Node(nil), p.nodes...)
		p.mu.Unlock()
		sum := 0
		for _, n := range nodes {
			open := n.Open()
			sum += open
			t.most = max(t.most, open)
		}
		t.looks++
		t.conns += float64(sum) / float64(len(nodes))
		for _, f := range p.found {
			t.watches += int(f.Watches.Load())
		}
	}
	t.calls += p.called()
}

func (p *player) called() (sum int64) {
	for _, f := range p.found {
		sum += f.Calls.Load()
	}
	return sum
}

// together sums up.
func (p *player) together(all []Seen) (a Together) {
	t := &p.taking
	for _, s := range all {
		if span, ok := t.silent[s.Node]; ok && s.What == Took && s.At >= span[0] && s.At <= span[1] {
			a.Trials++
		}
	}
	if t.span > 0 {
		a.Trials /= t.span.Seconds()
	}
	if t.looks > 0 {
		a.Watches, a.Conns = float64(t.watches)/float64(t.looks), t.conns/float64(t.looks)
		a.Calls, a.Most = float64(t.calls)/time.Since(t.from).Seconds(), t.most
	}
	return a
}

// none marks an answer that there is no such key.
const none = "none"

// believed is the longest for which a key may be called missing after it was written: until the latest pulse of who wrote it has
// lapsed, or one has come just before that and the grace after it has passed, and a second for what is on its way.
func (d *Day) believed() time.Duration {
	every := time.Second + time.Duration(d.Proxies)*10*time.Millisecond
	return 3*every + 500*time.Millisecond + 2*time.Second + time.Second
}

// lacking sums up what became of keys that the origin lacks.
func (p *player) lacking(r *Report, all []Seen) {
	for _, s := range all {
		switch {
		case s.What == Lacked:
			r.AbsentAsked++
		case s.What == Answered && s.Node == none:
			r.AbsentSaid++
		}
	}
	r.AbsentAsked /= p.plan.Day.Length
	r.AbsentSaid /= p.plan.Day.Length
}
