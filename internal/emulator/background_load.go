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
type backgroundSamples struct {
	mu           sync.Mutex
	silentTime   time.Duration // of silence, from two seconds on, over all nodes that were silent
	silentSpans  map[string][2]time.Duration
	samples      int
	watches      int
	connsPerNode float64
	maxConns     int
	watchCalls   int64
	began        time.Time
}

// turn writes a proxy's file of turns.
func (p *runner) writeDutyConfig(m *managedProxy) error {
	t := p.plan.Day.Turns
	if !t.On {
		return nil
	}
	m.site.DutiesFile = filepath.Join(m.site.Dir, "turns.toml")
	return os.WriteFile(m.site.DutiesFile, []byte(fmt.Sprintf("watchers = %d\nkeepers = %d\n", t.Watchers, t.Keepers)), 0o600)
}

// fellSilent notes for how long a node was silent.
func (p *runner) recordSilence(n *Node, from, to time.Time) {
	began, ended := from.Add(2*time.Second).Sub(p.log.start), to.Sub(p.log.start)
	p.backgroundLoad.mu.Lock()
	defer p.backgroundLoad.mu.Unlock()
	if ended > began {
		p.backgroundLoad.silentTime += ended - began
		if p.backgroundLoad.silentSpans == nil {
			p.backgroundLoad.silentSpans = map[string][2]time.Duration{}
		}
		p.backgroundLoad.silentSpans[n.Name] = [2]time.Duration{began, ended}
	}
}

// look counts, for as long as the day lasts, what is open.
func (p *runner) sampleBackgroundLoad(ctx context.Context) {
	t := &p.backgroundLoad
	t.began, t.watchCalls = time.Now(), -p.discoveryCalls()
	for sleep(ctx, statusPollInterval) {
		p.mu.Lock()
		nodes := append([]*Node(nil), p.nodes...)
		p.mu.Unlock()
		sum := 0
		for _, n := range nodes {
			open := n.Open()
			sum += open
			t.maxConns = max(t.maxConns, open)
		}
		t.samples++
		t.connsPerNode += float64(sum) / float64(len(nodes))
		for _, f := range p.discoveries {
			t.watches += int(f.Watches.Load())
		}
	}
	t.watchCalls += p.discoveryCalls()
}

func (p *runner) discoveryCalls() (sum int64) {
	for _, f := range p.discoveries {
		sum += f.Calls.Load()
	}
	return sum
}

// together sums up.
func (p *runner) summarizeBackgroundLoad(all []Seen) (a Together) {
	t := &p.backgroundLoad
	for _, s := range all {
		if span, ok := t.silentSpans[s.Node]; ok && s.What == Took && s.At >= span[0] && s.At <= span[1] {
			a.Trials++
		}
	}
	if t.silentTime > 0 {
		a.Trials /= t.silentTime.Seconds()
	}
	if t.samples > 0 {
		a.Watches, a.Conns = float64(t.watches)/float64(t.samples), t.connsPerNode/float64(t.samples)
		a.Calls, a.Most = float64(t.watchCalls)/time.Since(t.began).Seconds(), t.maxConns
	}
	return a
}

// none marks an answer that there is no such key.
const noSuchKey = "none"

// believed is the longest for which a key may be called missing after it was written: until the latest pulse of who wrote it has
// lapsed, or one has come just before that and the grace after it has passed, and a second for what is on its way.
func (d *Day) maxAbsentStaleness() time.Duration {
	every := time.Second + time.Duration(d.Proxies)*10*time.Millisecond
	return 3*every + 500*time.Millisecond + 2*time.Second + time.Second
}

// lacking sums up what became of keys that the origin lacks.
func (p *runner) measureAbsentKeys(r *Report, all []Seen) {
	for _, s := range all {
		switch {
		case s.What == Lacked:
			r.AbsentAsked++
		case s.What == Answered && s.Node == noSuchKey:
			r.AbsentSaid++
		}
	}
	r.AbsentAsked /= p.plan.Day.Length
	r.AbsentSaid /= p.plan.Day.Length
}
