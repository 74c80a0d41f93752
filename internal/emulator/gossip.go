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
var networkNumbers struct {
	sync.Mutex
	n int
}

// meet settles where a proxy's peers meet it: at a relay, which has an address of its own, as the proxy has.
func (p *runner) setUpGossip(i int, m *managedProxy) error {
	if i == 0 {
		networkNumbers.Lock()
		networkNumbers.n++
		p.addressPrefix = fmt.Sprintf("127.%d.%d.", 100+networkNumbers.n%100, os.Getpid()%250)
		networkNumbers.Unlock()
		p.proxyByIP = map[string]string{}
	}
	own, met := fmt.Sprint(p.addressPrefix, i+1), fmt.Sprint(p.addressPrefix, i+101)
	listen, err := freePort(own)
	if err != nil {
		return err
	}
	at, err := freePort(met)
	if err != nil {
		return err
	}
	p.proxyByIP[own] = proxyName(i)
	r, err := newRelay(p.network, proxyName(i), at, listen, p.proxyByIP)
	if err != nil {
		return err
	}
	p.relays = append(p.relays, r)
	for m.site.AdminAddress = listen; m.site.AdminAddress == listen; {
		if m.site.AdminAddress, err = freePort(own); err != nil {
			return err
		}
	}
	m.site.GossipFile = filepath.Join(m.site.Dir, "peers.toml")
	return nil
}

// introduce writes each proxy's file of peers, with three others as seeds.
func (p *runner) writeGossipConfigs() error {
	talk := p.plan.Day.Peers
	for i, r := range p.relays {
		var seeds []string
		for k, other := range p.relays {
			if k != i && len(seeds) < 3 {
				seeds = append(seeds, fmt.Sprintf("%q", other.listenAddress))
			}
		}
		text := fmt.Sprintf("cluster = \"day\"\nlisten = %q\nadvertise = %q\nseeds = [%s]\n", r.targetAddress, r.listenAddress, strings.Join(seeds, ", "))
		if talk.Hold > 0 {
			text += fmt.Sprintf("hold_s = %v\n", talk.Hold)
		}
		if talk.Floor > 0 {
			text += fmt.Sprintf("floor = %v\n", talk.Floor)
		}
		if err := os.WriteFile(p.proxies[i].site.GossipFile, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// asks is how often proxies are asked how they stand with their peers.
const statusPollInterval = 200 * time.Millisecond

// ask asks each proxy, for as long as the day lasts, what its share is, and what it holds.
func (p *runner) pollGossipStatus(ctx context.Context) {
	var all sync.WaitGroup
	for i, m := range p.proxies {
		all.Add(1)
		go func() {
			defer all.Done()
			c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for sleep(ctx, statusPollInterval) {
				if !p.load.available[i].Load() {
					continue
				}
				r, err := c.Get("http://" + m.site.AdminAddress + "/control/peers")
				if err != nil {
					continue
				}
				text, err := io.ReadAll(r.Body)
				r.Body.Close()
				if s, ok := parseGossipStatus(string(text)); err == nil && ok && p.load.available[i].Load() {
					s.Proxy = i
					p.log.Record(s)
				}
			}
		}()
	}
	all.Wait()
}

// whisper is a node of which one proxy alone was told.
type announcement struct {
	node  string
	proxy int
	at    time.Time
}

// whisper adds nodes, cold ones that are in nobody's way, and tells each to one proxy alone, over a span; all are told at the end.
func (p *runner) announceToOne(ctx context.Context, nodes int, duration time.Duration) {
	var added []*Node
	for k := range nodes {
		n, err := p.startNextNode()
		if err != nil {
			return
		}
		added = append(added, n)
		to := (k*7 + 3) % len(p.discoveries)
		for k := range p.discoveries {
			to = (to + k) % len(p.discoveries)
			if p.load.available[to].Load() && p.discoveries[to].Mode() == "" {
				break
			}
		}
		// all the others' discoveries count this version too, and hold it back
		for i, f := range p.discoveries {
			f.SetWithholding(i != to)
			f.Say(p.endpointRow(n, i, "active"))
		}
		p.mu.Lock()
		p.announcements = append(p.announcements, announcement{n.Name, to, time.Now()})
		p.mu.Unlock()
		if !sleep(ctx, duration/time.Duration(nodes)) {
			return
		}
	}
	p.mu.Lock()
	p.nodes = append(p.nodes, added...)
	p.mu.Unlock()
	for _, f := range p.discoveries {
		f.SetWithholding(false)
	}
}

// logLine is what is read of a line of a proxy's log.
type logLine struct {
	At   float64 `json:"ts"` // Unix seconds
	Msg  string  `json:"msg"`
	Peer string  `json:"peer"`
}

// logged calls f with each line of each proxy's log that can be read, in order.
func (p *runner) eachLogLine(f func(proxy int, l logLine)) {
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
func (p *runner) measureGossip(r *Report) {
	if !p.plan.Day.Peers.Talk {
		return
	}
	first, began := map[string]map[int]float64{}, map[int]float64{}
	p.eachLogLine(func(i int, l logLine) {
		switch {
		case l.Msg == "started" || strings.HasPrefix(l.Msg, "peers: stood still"):
			began[i] = l.At
		case strings.HasPrefix(l.Msg, "peers: caught up") && began[i] > 0:
			r.CatchUps = append(r.CatchUps, seconds(l.At-began[i]))
			began[i] = 0
		case l.Msg == "new on the list":
			if first[l.Peer] == nil {
				first[l.Peer] = map[int]float64{}
			}
			if _, ok := first[l.Peer][i]; !ok {
				first[l.Peer][i] = l.At
			}
		}
	})
	for _, w := range p.announcements {
		for i := range p.proxies {
			at, ok := first[w.node][i]
			if p.wasPaused(r.Seen, i, w.at, at) {
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
func (p *runner) wasPaused(all []Seen, i int, from time.Time, to float64) bool {
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
func parseGossipStatus(text string) (s Seen, ok bool) {
	s.What = Shared
	for _, line := range strings.Split(text, "\n") {
		if _, rest, found := strings.Cut(line, "; behind "); found {
			var behind, share string
			if _, err := fmt.Sscanf(rest, "%s share %s", &behind, &share); err != nil {
				return s, false
			}
			s.Made = strings.TrimSuffix(behind, ",")
			s.Figure, ok = parseNumber(share)
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

func parseNumber(s string) (float64, bool) {
	f, err := strconv.ParseFloat(s, 64)
	return f, err == nil
}

// sides tells which names are on the hit side of a trouble: proxies, and where a zone is hit its nodes.
func (p *runner) affectedNames(b FaultEvent) map[string]bool {
	affected := map[string]bool{}
	for _, i := range b.Targets {
		affected[proxyName(i)] = true
	}
	if b.Zone != "" {
		p.world.mu.Lock()
		defer p.world.mu.Unlock()
		for name, zone := range p.world.zones {
			if zone == b.Zone {
				affected[name] = true
			}
		}
	}
	return affected
}

// cutOf is what a trouble does to links. Those to the origin and to a proxy's own discovery are hit by
// name only.
func (p *runner) linkFaultOf(b FaultEvent) linkFault {
	affected := p.affectedNames(b)
	between := func(name string) bool {
		return strings.HasPrefix(name, "n") || b.Zone != "" && strings.HasPrefix(name, "c")
	}
	fault := linkFault{lossRate: 1, resetStreams: b.Reset}
	switch b.Kind {
	case "one-way":
		fault.affects = func(from, to string) bool { return affected[from] && !affected[to] && (to == "" || between(to)) }
	case "link":
		fault.lossRate, fault.duplicateRate, fault.maxDelay = b.Part, min(b.Part, 1-b.Part)/3, millis(b.Slow)
		fault.affects = func(from, to string) bool {
			return matchesAny(b.From, from) && matchesAny(b.To, to) || !b.OneWay && matchesAny(b.To, from) && matchesAny(b.From, to)
		}
	case "lossy":
		fault.lossRate, fault.duplicateRate, fault.maxDelay = min(b.Part, 0.99), b.Part/3, 60*time.Millisecond
		fault.affects = func(from, to string) bool { return strings.HasPrefix(from, "n") && strings.HasPrefix(to, "n") }
	default:
		fault.affects = func(from, to string) bool {
			return affected[from] != affected[to] && (from == "" || between(from)) && (to == "" || between(to))
		}
	}
	return fault
}

// oneOf tells whether one of the patterns is a name's; "" is anybody's.
func matchesAny(patterns []string, name string) bool {
	for _, p := range patterns {
		if ok, _ := path.Match(p, name); ok || name == "" {
			return true
		}
	}
	return false
}

// pause stops processes where they stand, and has them go on.
func (p *runner) pauseProxies(ctx context.Context, proxies []int, duration time.Duration) {
	signal := func(s syscall.Signal, note string) {
		for _, i := range proxies {
			m := p.proxies[i]
			m.mu.Lock()
			now := m.current
			m.mu.Unlock()
			if s == syscall.SIGCONT {
				p.log.Record(Seen{What: Paused, Proxy: i, Note: note})
			}
			now.Signal(s)
			if s == syscall.SIGSTOP {
				p.log.Record(Seen{What: Paused, Proxy: i, Note: note})
			}
			p.load.available[i].Store(s == syscall.SIGCONT)
		}
	}
	signal(syscall.SIGSTOP, "stands")
	sleep(ctx, duration)
	signal(syscall.SIGCONT, "goes on")
}

// massKill kills proxies at one moment; after a while then is done, and each starts again, spread over a span.
func (p *runner) killProxies(ctx context.Context, proxies []int, after, spread time.Duration, then func()) {
	var all sync.WaitGroup
	for _, i := range proxies {
		all.Add(1)
		go func() {
			defer all.Done()
			p.endProxy(i, nil, "killed")
		}()
	}
	all.Wait()
	if !sleep(ctx, after) {
		return
	}
	then()
	for k, i := range proxies {
		all.Add(1)
		go func() {
			defer all.Done()
			if sleep(ctx, spread*time.Duration(k)/time.Duration(len(proxies))) {
				p.startProxy(ctx, i)
			}
		}()
	}
	all.Wait()
}

// within is the nodes that stand in a zone.
func (p *runner) nodesInZone(zone string) (nodes []*Node) {
	in := p.affectedNames(FaultEvent{Trouble: Trouble{Zone: zone}})
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
func (p *runner) loseZone(ctx context.Context, b FaultEvent, duration time.Duration) {
	nodes, affected := p.nodesInZone(b.Zone), p.affectedNames(b)
	end := func() {}
	if !b.Dead {
		end = p.network.addFault(linkFault{lossRate: 1, resetStreams: true, affects: func(from, to string) bool {
			return affected[from] && to != "origin" || affected[to] && from != "origin"
		}})
	} else {
		for _, n := range nodes {
			n.Stop()
		}
	}
	p.noteZoneFault(b, true)
	p.killProxies(ctx, b.Targets, duration, seconds(b.Spread), func() {
		end()
		p.noteZoneFault(b, false)
		for _, n := range nodes {
			if b.Dead && n.Restart() != nil {
				return
			}
			if b.Dead || b.Cold {
				p.recordNodeStart(n, time.Now())
				p.publish(n, "active")
			}
		}
	})
}
