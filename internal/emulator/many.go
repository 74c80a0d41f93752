package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Troubles that stand between processes, or befall many at one moment.

// nets counts days with peers that this process plays: each has addresses of its own.
var nets struct {
	sync.Mutex
	n int
}

// meet settles where a proxy's peers meet it: at a relay, which has an address of its own, as the proxy has.
func (p *player) meet(i int, m *member) error {
	if i == 0 {
		nets.Lock()
		nets.n++
		p.net = fmt.Sprintf("127.%d.%d.", 100+nets.n%100, os.Getpid()%250)
		nets.Unlock()
		p.names = map[string]string{}
	}
	own, met := fmt.Sprint(p.net, i+1), fmt.Sprint(p.net, i+101)
	listen, err := freePort(own)
	if err != nil {
		return err
	}
	at, err := freePort(met)
	if err != nil {
		return err
	}
	p.names[own] = proxyName(i)
	r, err := newRelay(p.ways, proxyName(i), at, listen, p.names)
	if err != nil {
		return err
	}
	p.relays = append(p.relays, r)
	for m.site.Management = listen; m.site.Management == listen; {
		if m.site.Management, err = freePort(own); err != nil {
			return err
		}
	}
	m.site.Peers = filepath.Join(m.site.Dir, "peers.toml")
	return nil
}

// introduce writes each proxy's file of peers, with three others as seeds.
func (p *player) introduce() error {
	talk := p.plan.Day.Peers
	for i, r := range p.relays {
		var seeds []string
		for k, other := range p.relays {
			if k != i && len(seeds) < 3 {
				seeds = append(seeds, fmt.Sprintf("%q", other.at))
			}
		}
		text := fmt.Sprintf("cluster = \"day\"\nlisten = %q\nadvertise = %q\nseeds = [%s]\n", r.to, r.at, strings.Join(seeds, ", "))
		if talk.Hold > 0 {
			text += fmt.Sprintf("hold_s = %v\n", talk.Hold)
		}
		if talk.Floor > 0 {
			text += fmt.Sprintf("floor = %v\n", talk.Floor)
		}
		if err := os.WriteFile(p.proxies[i].site.Peers, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// asks is how often proxies are asked how they stand with their peers.
const asks = 200 * time.Millisecond

// ask asks each proxy, for as long as the day lasts, what its share is, and what it holds.
func (p *player) ask(ctx context.Context) {
	var all sync.WaitGroup
	for i, m := range p.proxies {
		all.Add(1)
		go func() {
			defer all.Done()
			c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for sleep(ctx, asks) {
				if !p.clients.up[i].Load() {
					continue
				}
				r, err := c.Get("http://" + m.site.Management + "/control/peers")
				if err != nil {
					continue
				}
				text, err := io.ReadAll(r.Body)
				r.Body.Close()
				if s, ok := standing(string(text)); err == nil && ok && p.clients.up[i].Load() {
					s.Proxy = i
					p.log.See(s)
				}
			}
		}()
	}
	all.Wait()
}

// whisper is a node of which one proxy alone was told.
type whisper struct {
	node  string
	proxy int
	at    time.Time
}

// whisper adds nodes, cold ones that are in nobody's way, and tells each to one proxy alone, over a span; all are told at the end.
func (p *player) whisper(ctx context.Context, nodes int, long time.Duration) {
	var added []*Node
	for k := range nodes {
		n, err := p.another()
		if err != nil {
			return
		}
		added = append(added, n)
		to := (k*7 + 3) % len(p.found)
		for k := range p.found {
			to = (to + k) % len(p.found)
			if p.clients.up[to].Load() && p.found[to].Mood() == "" {
				break
			}
		}
		// all the others' discoveries count this version too, and hold it back
		for i, f := range p.found {
			f.Stale(i != to)
			f.Say(p.row(n, i, "active"))
		}
		p.mu.Lock()
		p.whispers = append(p.whispers, whisper{n.Name, to, time.Now()})
		p.mu.Unlock()
		if !sleep(ctx, long/time.Duration(nodes)) {
			return
		}
	}
	p.mu.Lock()
	p.nodes = append(p.nodes, added...)
	p.mu.Unlock()
	for _, f := range p.found {
		f.Stale(false)
	}
}

// logLine is what is read of a line of a proxy's log.
type logLine struct {
	At   float64 `json:"ts"` // Unix seconds
	Msg  string  `json:"msg"`
	Peer string  `json:"peer"`
}

// logged calls f with each line of each proxy's log that can be read, in order.
func (p *player) logged(f func(proxy int, l logLine)) {
	for i, m := range p.proxies {
		text, err := os.ReadFile(filepath.Join(m.site.Dir, "log"))
		if err != nil {
			continue
		}
		for _, raw := range strings.Split(string(text), "\n") {
			var l logLine
			if json.Unmarshal([]byte(raw), &l) == nil {
				f(i, l)
			}
		}
	}
}

// heard reads in the proxies' logs when each learnt what, and in what they said what that cost.
func (p *player) heard(r *Report) {
	if !p.plan.Day.Peers.Talk {
		return
	}
	first, began := map[string]map[int]float64{}, map[int]float64{}
	p.logged(func(i int, l logLine) {
		switch {
		case l.Msg == "started" || strings.HasPrefix(l.Msg, "peers: process was suspended"):
			began[i] = l.At
		case strings.HasPrefix(l.Msg, "peers: caught up") && began[i] > 0:
			r.CatchUps = append(r.CatchUps, seconds(l.At-began[i]))
			began[i] = 0
		case l.Msg == "new endpoint":
			if first[l.Peer] == nil {
				first[l.Peer] = map[int]float64{}
			}
			if _, ok := first[l.Peer][i]; !ok {
				first[l.Peer][i] = l.At
			}
		}
	})
	for _, w := range p.whispers {
		for i := range p.proxies {
			at, ok := first[w.node][i]
			if p.stood(r.Seen, i, w.at, at) {
				continue // it could hear nothing
			}
			if ok && i != w.proxy {
				r.Whispers = append(r.Whispers, seconds(at-float64(w.at.UnixMicro())/1e6))
			} else if !ok {
				r.Unheard++
			}
		}
	}
	slices.Sort(r.Whispers)
	slices.Sort(r.CatchUps)
	sum, packets, spans := 0.0, 0.0, 0.0
	last := map[int]Seen{}
	for _, s := range r.Seen {
		if s.What != Shared {
			continue
		}
		if l, ok := last[s.Proxy]; ok && s.Bytes >= l.Bytes { // else a process has begun anew
			sum, packets, spans = sum+float64(s.Bytes-l.Bytes), packets+float64(s.Packets-l.Packets), spans+(s.At-l.At).Seconds()
		}
		last[s.Proxy] = s
	}
	if spans > 0 {
		r.PeerBytes, r.PeerPackets = sum/spans, packets/spans
	}
}

// stood tells whether a proxy's process was stopped where it stood between a moment and another, which is a log's.
func (p *player) stood(all []Seen, i int, from time.Time, to float64) bool {
	began, stopped := from.Sub(p.log.start), time.Duration(-1)
	until := seconds(to - float64(p.log.start.UnixMicro())/1e6)
	for _, s := range all {
		if s.What == Paused && s.Proxy == i {
			if s.Note != "goes on" {
				stopped = s.At
			} else if stopped <= until && s.At >= began {
				return true
			}
		}
	}
	return false
}

// standing reads what a proxy says of its peers.
func standing(text string) (s Seen, ok bool) {
	s.What = Shared
	for _, line := range strings.Split(text, "\n") {
		if _, rest, found := strings.Cut(line, "; behind "); found {
			var behind, share string
			if _, err := fmt.Sscanf(rest, "%s share %s", &behind, &share); err != nil {
				return s, false
			}
			s.Made = strings.TrimSuffix(behind, ",")
			s.Figure, ok = number(share)
		}
		if strings.HasPrefix(line, "packets ") {
			var streams, in, out int64
			if _, err := fmt.Sscanf(line, "packets %d streams %d bytes-in %d bytes-out %d", &s.Packets, &streams, &in, &out); err == nil {
				s.Bytes = in + out
			}
		}
		if rest, found := strings.CutPrefix(line, "rows node "); found {
			s.Note = rest
		}
	}
	return s, ok
}

func number(s string) (float64, bool) {
	f, err := strconv.ParseFloat(s, 64)
	return f, err == nil
}

// sides tells which names are on the hit side of a trouble: proxies, and where a zone is hit its nodes.
func (p *player) sides(b Blow) map[string]bool {
	hit := map[string]bool{}
	for _, i := range b.Hits {
		hit[proxyName(i)] = true
	}
	if b.Zone != "" {
		p.world.mu.Lock()
		defer p.world.mu.Unlock()
		for name, zone := range p.world.zones {
			if zone == b.Zone {
				hit[name] = true
			}
		}
	}
	return hit
}

// cutOf is what a trouble does to links. Those to the origin and to a proxy's own discovery are hit by
// name only.
func (p *player) cutOf(b Blow) cut {
	hit := p.sides(b)
	between := func(name string) bool {
		return strings.HasPrefix(name, "n") || b.Zone != "" && strings.HasPrefix(name, "c")
	}
	c := cut{loss: 1, reset: b.Reset}
	switch b.Kind {
	case "one-way":
		c.hits = func(from, to string) bool { return hit[from] && !hit[to] && (to == "" || between(to)) }
	case "link":
		c.loss, c.twice, c.slow = b.Part, min(b.Part, 1-b.Part)/3, millis(b.Slow)
		c.hits = func(from, to string) bool {
			return oneOf(b.From, from) && oneOf(b.To, to) || !b.OneWay && oneOf(b.To, from) && oneOf(b.From, to)
		}
	case "lossy":
		c.loss, c.twice, c.slow = min(b.Part, 0.99), b.Part/3, 60*time.Millisecond
		c.hits = func(from, to string) bool { return strings.HasPrefix(from, "n") && strings.HasPrefix(to, "n") }
	default:
		c.hits = func(from, to string) bool {
			return hit[from] != hit[to] && (from == "" || between(from)) && (to == "" || between(to))
		}
	}
	return c
}

// oneOf tells whether one of the patterns is a name's; "" is anybody's.
func oneOf(patterns []string, name string) bool {
	for _, p := range patterns {
		if ok, _ := path.Match(p, name); ok || name == "" {
			return true
		}
	}
	return false
}

// pause stops processes where they stand, and has them go on.
func (p *player) pause(ctx context.Context, hits []int, long time.Duration) {
	signal := func(s syscall.Signal, note string) {
		for _, i := range hits {
			m := p.proxies[i]
			m.mu.Lock()
			now := m.now
			m.mu.Unlock()
			if s == syscall.SIGCONT {
				p.log.See(Seen{What: Paused, Proxy: i, Note: note})
			}
			now.Signal(s)
			if s == syscall.SIGSTOP {
				p.log.See(Seen{What: Paused, Proxy: i, Note: note})
			}
			p.clients.up[i].Store(s == syscall.SIGCONT)
		}
	}
	signal(syscall.SIGSTOP, "stands")
	sleep(ctx, long)
	signal(syscall.SIGCONT, "goes on")
}

// massKill kills proxies at one moment; after a while then is done, and each starts again, spread over a span.
func (p *player) massKill(ctx context.Context, hits []int, after, spread time.Duration, then func()) {
	var all sync.WaitGroup
	for _, i := range hits {
		all.Add(1)
		go func() {
			defer all.Done()
			p.end(i, nil, "killed")
		}()
	}
	all.Wait()
	if !sleep(ctx, after) {
		return
	}
	then()
	for k, i := range hits {
		all.Add(1)
		go func() {
			defer all.Done()
			if sleep(ctx, spread*time.Duration(k)/time.Duration(len(hits))) {
				p.start(ctx, i)
			}
		}()
	}
	all.Wait()
}

// within is the nodes that stand in a zone.
func (p *player) within(zone string) (nodes []*Node) {
	in := p.sides(Blow{Trouble: Trouble{Zone: zone}})
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.nodes {
		if in[n.Name] {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// loseZone takes a zone's proxies and nodes away. Where it is not dead it is silent: machines that vanished refuse nothing.
func (p *player) loseZone(ctx context.Context, b Blow, long time.Duration) {
	nodes, hit := p.within(b.Zone), p.sides(b)
	end := func() {}
	if !b.Dead {
		end = p.ways.begin(cut{loss: 1, reset: true, hits: func(from, to string) bool {
			return hit[from] && to != "origin" || hit[to] && from != "origin"
		}})
	} else {
		for _, n := range nodes {
			n.Stop()
		}
	}
	p.struck(b, true)
	p.massKill(ctx, b.Hits, long, seconds(b.Spread), func() {
		end()
		p.struck(b, false)
		for _, n := range nodes {
			if b.Dead && n.Restart() != nil {
				return
			}
			if b.Dead || b.Cold {
				p.starts(n, time.Now())
				p.say(n, "active")
			}
		}
	})
}
