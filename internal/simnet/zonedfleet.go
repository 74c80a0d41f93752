package simnet

import (
	"fmt"
	"slices"

	"woodproxy/internal/rowcodec"

	"woodproxy/replica"
	"woodproxy/zonehealth"

	"github.com/vmihailenco/msgpack/v5"
)

// ZonedFleet is a fleet whose proxies are spread over zones and send requests to simulated cache nodes. The zonehealth
// instance of each proxy decides from the outcomes of these requests which zones to evacuate.
type ZonedFleet struct {
	*Fleet
	ZoneConfig
	Nodes      []*Node
	ZoneHealth []*zonehealth.Controller // by proxy; replaced at each start
	Excluded   []map[int]float64        // by proxy and node: fraction of the node's keys that the proxy sends to other nodes
	Unanswered int                      // number of attempts that timed out or failed to connect
	// ForgeReport holds by proxy a function that falsifies the zone reports of the proxy before they are sent.
	ForgeReport map[int]func(report *zonehealth.Report)
	ZoneLog     func(proxy int, text string) // receives log messages about zones; nil: they are discarded

	attempts map[int][]attempt // in flight, by the step in which they end
}

// ZoneConfig describes the zones of a fleet and its traffic.
type ZoneConfig struct {
	Zones        []string // zone names; proxies and nodes are assigned to zones in round-robin order
	NodesPerZone int
	RequestRate  float64 // requests per second of each proxy
}

// NewZonedFleet returns a fleet of running proxies that are configured with all nodes. It replaces config.ZoneOf.
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

// clock returns the simulated time as a [zonehealth.Time], which has the same unit as [replica.Time].
func (z *ZonedFleet) clock() zonehealth.Time { return zonehealth.Time(z.Now) }

// startZoneHealth gives a proxy the zone health state of a newly started process.
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

// receiveReport passes a zone report received by gossip to the proxy's zone health state.
func (z *ZonedFleet) receiveReport(proxy int, row replica.Row) {
	if row.Kind != replica.KindZoneReport {
		return
	}
	var report zonehealth.Report
	if rowcodec.Decode(row.Body, &report) != nil {
		return // the proxy, too, ignores reports that it can't decode
	}
	age, ttl := zonehealth.Time(row.Age), zonehealth.Time(row.TTL)
	z.applyZoneDecisions(proxy, z.ZoneHealth[proxy].PeerReport(z.clock(), row.Writer, row.Key, report, age, ttl))
}

// applyZoneDecisions carries out the decisions of a proxy's zone health state in order.
func (z *ZonedFleet) applyZoneDecisions(proxy int, decisions []zonehealth.Decision) {
	// The zone health state reuses the slice in its next call, and carrying out a decision may lead to such a call.
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

// SendReport makes a proxy send a report about a zone. The report expires after the TTL.
func (z *ZonedFleet) SendReport(proxy int, zone string, report zonehealth.Report, ttl zonehealth.Time) {
	body, err := msgpack.Marshal(&report)
	if err != nil {
		panic(fmt.Sprintf("simnet: encoding a zone report: %v", err)) // can't fail, because the struct has only plain fields
	}
	z.Do(proxy, func(p *Proxy, now replica.Time) []replica.Decision {
		return p.Store.WriteOwn(now, replica.KindZoneReport, zone, replica.Time(ttl), body)
	})
}

// RunTraffic advances simulated time by a duration while proxies send requests. After each step it calls check if check
// is not nil.
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

// tickZoneHealth passes the current peers to a proxy's zone health state and runs its timers.
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

// FailZone stops all proxies and nodes of a zone without notice, as if their machines had failed.
func (z *ZonedFleet) FailZone(zone int) {
	for _, node := range z.Nodes {
		if node.Zone == zone {
			node.Respond = NoResponse
		}
	}
	for i := range z.Proxies {
		if z.zoneOf(i) == zone {
			z.Stop(i)
		}
	}
}

// RestoreZone restores the nodes of a zone and restarts its proxies without any state.
func (z *ZonedFleet) RestoreZone(zone int) {
	for _, node := range z.Nodes {
		if node.Zone == zone {
			node.Respond = nil
		}
	}
	for i := range z.Proxies {
		if z.zoneOf(i) == zone {
			z.Start(i)
			z.startZoneHealth(i)
		}
	}
}

// ServedFraction returns the fraction of a zone's keys that a proxy sends to nodes in that zone.
func (z *ZonedFleet) ServedFraction(proxy, zone int) float64 {
	return z.zoneStatus(proxy, zone).ServedFraction
}

// Verdict returns the verdict on a zone that is in effect at a proxy.
func (z *ZonedFleet) Verdict(proxy, zone int) zonehealth.Verdict {
	return z.zoneStatus(proxy, zone).Verdict
}

// zoneStatus returns the status of a zone at a proxy. A zone without a status counts as served completely.
func (z *ZonedFleet) zoneStatus(proxy, zone int) zonehealth.ZoneStatus {
	for _, status := range z.ZoneHealth[proxy].Statuses(z.clock()) {
		if status.Name == z.Zones[zone] {
			return status
		}
	}
	return zonehealth.ZoneStatus{ServedFraction: 1}
}
