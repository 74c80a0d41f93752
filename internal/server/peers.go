package server

import (
	"fmt"
	"strings"
	"sync/atomic"

	"woodproxy/internal/gossip"
	"woodproxy/internal/proxy"
	"woodproxy/internal/wire"
	"woodproxy/replica"

	"go.uber.org/zap"
)

// sightsFor is for how many of the shortest objectives a silent node is worth telling of: the module forgets hearsay
// half by then.
const sightsFor = 12

// peers is this proxy's talk with others; it may begin after the proxy does, or never.
type peers struct {
	place  *Place
	router *proxy.Router
	list   *proxy.List
	count  *proxy.Counters
	log    *zap.Logger
	now    atomic.Pointer[gossip.Talker]
	index  atomic.Int64  // of the list, as discovery last told
	absent *proxy.Absent // nil: no keys are known to be missing
	duties *proxy.Duties // nil: nothing goes by turns
}

// start begins to talk, where a file of peers is named.
func (p *peers) start() error {
	if p.place.Talk == nil {
		return nil
	}
	terms := &p.place.Book.Terms
	shortest := 60 * replica.Second
	for _, r := range terms.Routes {
		shortest = min(shortest, replica.Time(r.Objective))
	}
	t, err := gossip.Start(p.place.Talk, p.place.Name, p.place.Zone(), max(terms.Proxies, 1), sightsFor*shortest, p.place.Seed, p, p.log)
	if err != nil {
		return err
	}
	p.router.Share(p.place.Talk.Floor / float64(max(terms.Proxies, 1)))
	p.now.Store(t)
	if index := p.index.Load(); index > 0 { // discovery has told before the talk began
		t.Listed(index, true, p.router.Targets())
	}
	return nil
}

func (p *peers) stop(replaced bool) {
	if t := p.now.Load(); t != nil {
		t.Yield(replaced)
		t.Close()
	}
}

// Hear and what follows is what the talk tells of.
func (p *peers) Hear(index int64, t wire.Target) { p.list.Hear(index, t) }
func (p *peers) Heard(node string, answers bool) { p.router.Heard(node, answers) }
func (p *peers) Share(part float64)              { p.router.Share(part) }
func (p *peers) Demand() int64                   { return p.count.Exchanges.Load() }

func (p *peers) listed(index int64, whole bool, list []wire.Target) {
	p.index.Store(index)
	if t := p.now.Load(); t != nil {
		t.Listed(index, whole, list)
	}
}

func (p *peers) tell(node string, answers bool) {
	if t := p.now.Load(); t != nil {
		t.Tell(node, answers)
	}
}

func (p *peers) behind() bool {
	t := p.now.Load()
	return t != nil && t.Shown().Behind
}

var kinds = map[replica.Kind]string{
	replica.Pulse: "pulse", replica.Sight: "sight", replica.Node: "node", replica.Gone: "gone",
	replica.Voice: "voice", replica.Order: "order", replica.Trial: "trial", replica.Beat: "beat", replica.Wrote: "wrote", replica.Absent: "absent",
}

// words is the answer to the call for peers.
func (p *peers) words() string {
	t := p.now.Load()
	if t == nil {
		return ""
	}
	s := t.Shown()
	var b strings.Builder
	fmt.Fprintf(&b, "cluster %s, at %s; behind %v, share %.6f\n", p.place.Talk.Cluster, p.place.Talk.Advertise, s.Behind, s.Share)
	fmt.Fprintf(&b, "packets %d streams %d bytes-in %d bytes-out %d dropped %d bad %d refused %d probes %d\n", t.Packets.Load(), t.Streams.Load(),
		t.BytesIn.Load(), t.BytesOut.Load(), t.Dropped.Load(), t.Bad.Load(), s.Refused, t.Probes.Load())
	for k := range 256 {
		if row, ok := s.Kinds[replica.Kind(k)]; ok {
			name := kinds[replica.Kind(k)]
			if name == "" {
				name = fmt.Sprint("kind-", k)
			}
			fmt.Fprintf(&b, "rows %s %d digest %016x\n", name, row.Rows, row.Sum)
		}
	}
	for _, m := range s.Members {
		fmt.Fprintf(&b, "proxy %s %s incarnation %d at %s lag %d ms demand %.1f/s behind %v\n", m.Name, m.State, m.Incarnation, m.Address,
			m.Lag/10, m.Demand, m.Behind)
	}
	return b.String()
}
