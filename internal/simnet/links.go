// Package simnet plays many instances of the replication module on simulated links, in simulated time: datagrams that are
// lost, doubled and late, cuts one way and both, processes that stand still, die and come back. The same seed plays the
// same again.
package simnet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"woodproxy/replica"
)

const (
	Step     = replica.Second / 20 // of simulated time
	gossip   = 2                   // steps between two rounds of gossip
	fanOut   = 4                   // to so many each round
	repeats  = 3                   // times the logarithm of the fleet
	mostRows = 20                  // of gossip in one datagram
)

// Terms of a fleet.
type Terms struct {
	Proxies   int
	Stated    int // how many the operators say there are; 0: as many
	Loss      float64
	Double    float64
	Late      int // steps that a datagram takes at most; 1 at least
	Floor     float64
	Hold      replica.Time
	Quiet     bool // none tells that it is up
	ClockSkew replica.Time
	ZoneOf    func(proxy int) string                   // nil: none is told
	Demand    func(proxy int, at replica.Time) float64 // exchanges a second; nil: none
}

// Proxy is one of the fleet.
type Proxy struct {
	*replica.Instance
	Number int
	Alive  bool
	Still  bool // stopped, with what comes kept for it
	stood  bool
	Shares float64
	Bytes  int // it sent, about
	starts int64
	skew   replica.Time
	queue  []rumour
	inbox  []letter
	Rows   map[string]replica.Row // of kind Node, as last told
}

type rumour struct {
	row  replica.Row
	left int
}

type letter struct {
	at   int
	from int
	give func(p *Proxy) []replica.Decision
}

// World is a fleet on its links.
type World struct {
	Terms
	Now     replica.Time
	Proxies []*Proxy
	Cut     func(from, to int) bool // nil: none
	Logs    func(proxy int, text string)
	heard   func(proxy int, row replica.Row)
	post    map[int][]post
	step    int
	chance  *rand.Rand
}

type post struct {
	to int
	letter
}

// New starts a fleet.
func New(t Terms, seed uint64) *World {
	w := &World{Terms: t, chance: rand.New(rand.NewPCG(seed, 9)), post: map[int][]post{}, Now: 1000 * replica.Second}
	if w.Stated == 0 {
		w.Stated = t.Proxies
	}
	w.Late = max(w.Late, 1)
	for i := range t.Proxies {
		p := &Proxy{Number: i, skew: replica.Time(w.chance.Int64N(int64(t.ClockSkew) + 1))}
		w.Proxies = append(w.Proxies, p)
		w.Start(i)
	}
	return w
}

// Name of a proxy.
func Name(i int) string { return fmt.Sprintf("n%d", i) }

// Start starts a proxy, anew if it has died.
func (w *World) Start(i int) {
	p := w.Proxies[i]
	p.starts++
	zone := ""
	if w.ZoneOf != nil {
		zone = w.ZoneOf(i)
	}
	p.Instance = replica.New(w.Now+p.skew, replica.Terms{
		Me: Name(i), Zone: zone, Incarnation: p.starts, Proxies: w.Stated, Address: fmt.Sprint(i),
		Hold: w.Hold, Floor: w.Floor, SightLife: 10 * replica.Second,
	}, w.chance.Uint64())
	p.Yield(w.Quiet)
	p.Alive, p.Still, p.queue, p.inbox, p.Rows = true, false, nil, nil, map[string]replica.Row{}
	p.Shares = p.Instance.Share()
	// it joins by a few that it knows, who hear of it by its first pulse
}

// Die ends a proxy's process.
func (w *World) Die(i int) { w.Proxies[i].Alive = false }

// Do has a proxy do something of its own.
func (w *World) Do(i int, f func(p *Proxy, now replica.Time) []replica.Decision) {
	p := w.Proxies[i]
	w.carry(p, f(p, w.Now+p.skew))
}

func (w *World) cut(from, to int) bool { return w.Cut != nil && w.Cut(from, to) }

// send puts a letter on its way; what goes by stream is not lost but by a cut, and not doubled.
func (w *World) send(from, to int, stream bool, give func(p *Proxy) []replica.Decision) {
	if w.cut(from, to) || stream && w.cut(to, from) || !w.Proxies[to].Alive {
		return
	}
	copies := 1
	if !stream {
		if w.chance.Float64() < w.Loss {
			copies = 0
		} else if w.chance.Float64() < w.Double {
			copies = 2
		}
	}
	for range copies {
		at := w.step + 1 + w.chance.IntN(w.Late)
		w.post[at] = append(w.post[at], post{to, letter{at, from, give}})
	}
}

func number(name string) int {
	var i int
	fmt.Sscanf(name, "n%d", &i)
	return i
}

func (w *World) carry(p *Proxy, ds []replica.Decision) {
	now := func(p *Proxy) replica.Time { return w.Now + p.skew }
	from := Name(p.Number)
	for _, d := range slices.Clone(ds) {
		to := 0
		if d.To != "" {
			if to = number(d.To); to >= len(w.Proxies) {
				continue
			}
		}
		switch d.Act {
		case replica.Spread:
			row := d.Rows[0]
			p.queue = slices.DeleteFunc(p.queue, func(o rumour) bool {
				return o.row.Kind == row.Kind && o.row.Key == row.Key && o.row.Writer == row.Writer
			})
			p.queue = append(p.queue, rumour{row, w.repeatsFor()})
		case replica.Digest:
			p.Bytes += 600
			w.send(p.Number, to, false, func(q *Proxy) []replica.Decision { return q.Digest(now(q), from, d.Sums) })
		case replica.Heads:
			p.Bytes += 16 * len(d.Heads)
			w.send(p.Number, to, true, func(q *Proxy) []replica.Decision { return q.Heads(now(q), from, d.Which, d.Heads) })
		case replica.Rows:
			rows := slices.Clone(d.Rows)
			p.Bytes += 100 * len(rows)
			w.send(p.Number, to, true, func(q *Proxy) []replica.Decision { return q.Instance.Rows(now(q), from, rows) })
		case replica.Want:
			p.Bytes += 8 * len(d.IDs)
			w.send(p.Number, to, true, func(q *Proxy) []replica.Decision { return q.Want(now(q), from, d.IDs) })
		case replica.Busy:
			w.send(p.Number, to, false, func(q *Proxy) []replica.Decision { return q.Busy(now(q), from) })
		case replica.Same:
			w.send(p.Number, to, false, func(q *Proxy) []replica.Decision { return q.Same(now(q), from) })
		case replica.Probe:
			// nothing listens where a process has ended; a link that is cut tells nothing
			if q := w.Proxies[to]; !q.Alive && !w.cut(p.Number, to) && !w.cut(to, p.Number) {
				w.carry(p, p.Refused(now(p), d.To, d.Epoch))
			}
		case replica.Changed:
			if d.Rows[0].Kind == replica.Node {
				p.Rows[d.Rows[0].Key] = d.Rows[0]
			}
			if w.heard != nil {
				w.heard(p.Number, d.Rows[0])
			}
		case replica.SetShare:
			p.Shares = d.Share
		case replica.Log:
			if w.Logs != nil {
				w.Logs(p.Number, d.Text)
			}
		}
	}
}

func (w *World) repeatsFor() int {
	n := 1
	for m := len(w.Proxies); m > 1; m /= 10 {
		n++
	}
	return repeats * n
}

// Run lets time pass; after each step check is called, where it is not nil.
func (w *World) Run(span replica.Time, check func()) {
	for end := w.Now + span; w.Now < end; {
		w.step++
		w.Now += Step
		came := w.post[w.step]
		delete(w.post, w.step)
		for _, l := range came {
			p := w.Proxies[l.to]
			switch {
			case !p.Alive || w.cut(l.from, l.to):
			case p.Still:
				if len(p.inbox) < 1000 {
					p.inbox = append(p.inbox, l.letter)
				}
			default:
				w.carry(p, l.give(p))
			}
		}
		for _, p := range w.Proxies {
			if p.Still {
				p.stood = true
			}
			if !p.Alive || p.Still {
				continue
			}
			if p.stood { // timers come first
				p.stood = false
				w.carry(p, p.Tick(w.Now+p.skew))
			}
			for len(p.inbox) > 0 {
				l := p.inbox[0]
				p.inbox = p.inbox[1:]
				w.carry(p, l.give(p))
			}
			if w.step%2 == 0 {
				if w.Demand != nil {
					p.Instance.Demand(w.Demand(p.Number, w.Now))
				}
				w.carry(p, p.Tick(w.Now+p.skew))
			}
			if w.step%gossip == 0 {
				w.talk(p)
			}
		}
		if check != nil {
			check()
		}
	}
}

// talk is one round of gossip: what was repeated least goes out first.
func (w *World) talk(p *Proxy) {
	if len(p.queue) == 0 || len(w.Proxies) < 2 {
		return
	}
	for range fanOut {
		to := w.chance.IntN(len(w.Proxies))
		if to == p.Number {
			continue
		}
		slices.SortStableFunc(p.queue, func(a, b rumour) int { return b.left - a.left })
		n := min(len(p.queue), mostRows)
		rows := make([]replica.Row, n)
		for i := range n {
			rows[i] = p.queue[i].row
			p.queue[i].left--
		}
		p.queue = slices.DeleteFunc(p.queue, func(r rumour) bool { return r.left <= 0 })
		p.Bytes += 100 * n
		from := Name(p.Number)
		w.send(p.Number, to, false, func(q *Proxy) []replica.Decision { return q.Instance.Rows(w.Now+q.skew, from, rows) })
		if len(p.queue) == 0 {
			return
		}
	}
}

// Spread has one proxy told of a node, and returns after how long each other had it, in order; those that never had it are
// lacking.
func (w *World) Spread(span replica.Time) (took []replica.Time) {
	row := replica.Row{Key: "c1", Rank: replica.Leaving}
	w.Do(0, func(p *Proxy, now replica.Time) []replica.Decision {
		return p.Listed(now, false, 5, []replica.Row{row})
	})
	from, had := w.Now, make([]bool, len(w.Proxies))
	w.Run(span, func() {
		for i, p := range w.Proxies[1:] {
			if !had[i] && p.Rows["c1"].Epoch == 5 {
				had[i] = true
				took = append(took, w.Now-from)
			}
		}
	})
	return took
}

// Sum is what all that run use of the fleet's limits.
func (w *World) Sum() float64 {
	sum := 0.0
	for _, p := range w.Proxies {
		if p.Alive && !p.Still {
			sum += p.Shares
		}
	}
	return sum
}

// Agree tells whether two hold the same nodes.
func (w *World) Agree(i, j int) bool { return w.Nodes(i) == w.Nodes(j) }

// Nodes is the digest of what a proxy holds of nodes.
func (w *World) Nodes(i int) uint64 { return w.Proxies[i].Kinds()[replica.Node].Sum }
