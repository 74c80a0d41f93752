package simnet

import (
	"fmt"
	"slices"

	"woodproxy/internal/rowcodec"

	"woodproxy/replica"
	"woodproxy/zonehealth"

	"github.com/vmihailenco/msgpack/v5"
)

// ZonedFleet is a fleet whose proxies are spread over zones and send requests to simulated cache nodes, from which a
// zonehealth instance of each proxy decides which zones to evacuate.
type ZonedFleet struct {
	*Fleet
	ZoneConfig
	Nodes      []*Node
	ZoneHealth []*zonehealth.Controller // by proxy; a new one with each start
	Excluded   []map[int]float64        // by proxy and node: fraction of the node's keys that the proxy does not send to it
	Unanswered int                      // attempts that timed out or could not connect
	// ForgeReport changes the zone reports of proxies that lie, by proxy.
	ForgeReport map[int]func(report *zonehealth.Report)
	ZoneLog     func(proxy int, text string) // receives log messages on zones; nil: they are dropped

	attempts map[int][]attempt // in flight, by the step in which they end
}

// ZoneConfig describes the zones of a fleet and its traffic.
type ZoneConfig struct {
	Zones        []string // names; proxies and nodes are dealt to them in turn
	NodesPerZone int
	RequestRate  float64 // requests a second, of each proxy
}

// NewZonedFleet returns a fleet of running proxies, each of which knows all nodes. ZoneOf of the configuration is
// replaced.
func NewZonedFleet(config Config, zones ZoneConfig, seed uint64) *ZonedFleet {
	z := &ZonedFleet{
		ZoneConfig:  zones,
		ZoneHealth:  make([]*zonehealth.Controller, config.Proxies),
		Excluded:    make([]map[int]float64, config.Proxies),
		ForgeReport: map[int]func(*zonehealth.Report){},
		attempts:    map[int][]attempt{},
	}
	config.ZoneOf = func(proxy int) string { return zones.Zones[z.zoneOf(proxy)] }
	z.Fleet = NewFleet(config, seed)
	for i := range zones.NodesPerZone * len(zones.Zones) {
		z.Nodes = append(z.Nodes, &Node{Zone: z.zoneOf(i)})
	}
	for i := range z.Proxies {
		z.startZoneHealth(i)
	}
	z.rowChanged = z.receiveReport
	return z
}

// zoneOf returns the zone of a proxy or node by its number.
func (z *ZonedFleet) zoneOf(number int) int { return number % len(z.Zones) }

// clock is the simulated time in the type of zonehealth, which counts in the same unit.
func (z *ZonedFleet) clock() zonehealth.Time { return zonehealth.Time(z.Now) }

// startZoneHealth gives a proxy the zone health state of a process that has just started.
func (z *ZonedFleet) startZoneHealth(proxy int) {
	z.ZoneHealth[proxy] = zonehealth.New(z.clock(), zonehealth.Settings{
		ProxyName:                ProxyName(proxy),
		Zone:                     z.ZoneOf(proxy),
		ShortestObjective:        zonehealth.Second / 2,
		SilenceTimeout:           3 * zonehealth.Second / 10,
		VoteFraction:             0.2,
		ConfirmationTime:         zonehealth.Second / 5,
		HoldDownTime:             2 * zonehealth.Second,
		MaxHoldDownTime:          60 * zonehealth.Second,
		RampStepTime:             zonehealth.Second,
		SlowStartTime:            3 * zonehealth.Second,
		SlowStartInitialFraction: 0.4,
		StandaloneEnabled:        true,
	})
	z.Excluded[proxy] = map[int]float64{}
	var nodes []zonehealth.Node
	for i, node := range z.Nodes {
		nodes = append(nodes, zonehealth.Node{Index: i, Name: fmt.Sprintf("cn%d", i), Zone: z.Zones[node.Zone]})
	}
	z.applyZoneDecisions(proxy, z.ZoneHealth[proxy].SetNodes(z.clock(), nodes))
}

// receiveReport hands a zone report that gossip has brought to the proxy's zone health state.
func (z *ZonedFleet) receiveReport(proxy int, row replica.Row) {
	if row.Kind != replica.KindZoneReport {
		return
	}
	var report zonehealth.Report
	if rowcodec.Decode(row.Body, &report) != nil {
		return // as the proxy does, which ignores what it cannot read
	}
	age, ttl := zonehealth.Time(row.Age), zonehealth.Time(row.TTL)
	z.applyZoneDecisions(proxy, z.ZoneHealth[proxy].PeerReport(z.clock(), row.Writer, row.Key, report, age, ttl))
}

// applyZoneDecisions carries out the decisions of a proxy's zone health state, in their order.
func (z *ZonedFleet) applyZoneDecisions(proxy int, decisions []zonehealth.Decision) {
	// The slice is reused by the next call, which a decision may lead to.
	for _, d := range slices.Clone(decisions) {
		switch d.Action {
		case zonehealth.ExcludeNode:
			z.Excluded[proxy][d.Node] = d.ExcludedFraction
		case zonehealth.PublishReport:
			if forge := z.ForgeReport[proxy]; forge != nil {
				forge(&d.Report)
			}
			z.SendReport(proxy, d.Zone, d.Report, d.TTL)
		case zonehealth.Log:
			if z.ZoneLog != nil {
				z.ZoneLog(proxy, d.Text)
			}
		}
	}
}

// SendReport has a proxy send a report about a zone, which expires after the TTL.
func (z *ZonedFleet) SendReport(proxy int, zone string, report zonehealth.Report, ttl zonehealth.Time) {
	body, err := msgpack.Marshal(&report)
	if err != nil {
		panic(fmt.Sprintf("simnet: encoding a zone report: %v", err)) // a struct of plain fields always encodes
	}
	z.Do(proxy, func(p *Proxy, now replica.Time) []replica.Decision {
		return p.Store.WriteOwn(now, replica.KindZoneReport, zone, replica.Time(ttl), body)
	})
}

// RunTraffic lets simulated time pass while proxies send requests. After each step it calls check, where that is not nil.
func (z *ZonedFleet) RunTraffic(duration replica.Time, check func()) {
	z.Run(duration, func() {
		z.finishAttempts()
		for i, p := range z.Proxies {
			if !p.Running || p.Paused {
				continue
			}
			if z.random.Float64() < z.RequestRate*float64(StepDuration)/float64(replica.Second) {
				z.sendAttempt(i)
			}
			if z.step%stepsPerTick == 0 {
				z.tickZoneHealth(i)
			}
		}
		if check != nil {
			check()
		}
	})
}

// tickZoneHealth tells a proxy's zone health state which peers there are, and runs its timers.
func (z *ZonedFleet) tickZoneHealth(proxy int) {
	store, health := z.Proxies[proxy].Store, z.ZoneHealth[proxy]
	var peers []zonehealth.Proxy
	for _, member := range store.Members() {
		peers = append(peers, zonehealth.Proxy{
			Name:      member.Name,
			Zone:      member.Zone,
			Reachable: member.State == replica.MemberLive,
			Departed:  member.State == replica.MemberDeparted,
		})
	}
	health.SetFleet(z.clock(), peers, store.CatchingUp())
	z.applyZoneDecisions(proxy, health.Tick(z.clock()))
}

// FailZone has the machines of a zone, proxies and nodes, vanish.
func (z *ZonedFleet) FailZone(zone int) {
	for _, node := range z.Nodes {
		if node.Zone == zone {
			node.Answer = NoAnswer
		}
	}
	for i := range z.Proxies {
		if z.zoneOf(i) == zone {
			z.Stop(i)
		}
	}
}

// RestoreZone brings the machines of a zone back, with proxies that know nothing.
func (z *ZonedFleet) RestoreZone(zone int) {
	for _, node := range z.Nodes {
		if node.Zone == zone {
			node.Answer = nil
		}
	}
	for i := range z.Proxies {
		if z.zoneOf(i) == zone {
			z.Start(i)
			z.startZoneHealth(i)
		}
	}
}

// ServedFraction is the fraction of a zone's keys that a proxy serves there.
func (z *ZonedFleet) ServedFraction(proxy, zone int) float64 {
	return z.zoneStatus(proxy, zone).ServedFraction
}

// Verdict is the verdict on a zone that a proxy acts on.
func (z *ZonedFleet) Verdict(proxy, zone int) zonehealth.Verdict {
	return z.zoneStatus(proxy, zone).Verdict
}

// zoneStatus is the status of a zone at a proxy; a zone that it does not know is served.
func (z *ZonedFleet) zoneStatus(proxy, zone int) zonehealth.ZoneStatus {
	for _, status := range z.ZoneHealth[proxy].Statuses(z.clock()) {
		if status.Name == z.Zones[zone] {
			return status
		}
	}
	return zonehealth.ZoneStatus{ServedFraction: 1}
}
