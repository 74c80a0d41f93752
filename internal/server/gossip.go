package server

import (
	"fmt"
	"strings"
	"sync/atomic"

	"woodproxy/internal/gossip"
	"woodproxy/internal/proxy"
	"woodproxy/internal/wire"
	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// observationObjectives is the TTL of an observation that a node is silent, in shortest latency objectives. The
// balancer forgets what others observed after half of that.
const observationObjectives = 12

// gossipSender publishes rows to the other proxies. Until gossip has started, and where it never does, rows are
// dropped: what is current is published again. Its methods may be called from any goroutine and do not wait.
type gossipSender struct {
	talker atomic.Pointer[gossip.Agent] // nil: gossip does not run
}

// publish sends a row that this proxy owns. A body that can't be encoded is dropped.
func (s *gossipSender) publish(kind replica.Kind, key string, ttl replica.Time, body any) {
	talker := s.talker.Load()
	if talker == nil {
		return
	}
	if encoded, err := msgpack.Marshal(body); err == nil {
		talker.PublishOwnRow(kind, key, ttl, encoded)
	}
}

// publishShared sends a row that no single proxy owns.
func (s *gossipSender) publishShared(row replica.Row) {
	if talker := s.talker.Load(); talker != nil {
		talker.PublishSharedRow(row)
	}
}

// status returns how gossip stands; nil if it does not run.
func (s *gossipSender) status() *gossip.Status {
	if talker := s.talker.Load(); talker != nil {
		return talker.Status()
	}
	return nil
}

// gossipAdapter connects the parts of the proxy to gossip: it passes on what the talker receives (gossip.Proxy) and
// sends endpoint list changes and health observations. It exists where gossip is not configured as well, and does
// nothing then.
type gossipAdapter struct {
	sender    *gossipSender
	config    *Config
	router    *proxy.Router
	endpoints *proxy.EndpointList
	counters  *proxy.Counters
	log       *zap.Logger

	zoneHealth    *zoneHealthAdapter    // nil: zones are not evacuated
	duties        *dutiesAdapter        // nil: each proxy performs all duties itself
	negativeCache *negativeCacheAdapter // nil: there is no negative cache

	listVersion atomic.Int64 // of the endpoint list that discovery sent last
}

// start binds the gossip address and begins to talk, where a gossip file is named.
func (g *gossipAdapter) start() error {
	config := g.config
	if config.Gossip == nil {
		return nil
	}
	observationTTL := observationObjectives * shortestObjective[replica.Time](config.Settings)
	talker, err := gossip.Start(config.Gossip, config.Name, config.Zone(), config.proxies(), observationTTL, config.Seed,
		g, g.log)
	if err != nil {
		return err
	}
	g.router.SetQuotaShare(config.Gossip.QuotaFloor / float64(config.proxies()))
	g.sender.talker.Store(talker)
	if version := g.listVersion.Load(); version > 0 { // discovery has sent a list before gossip started
		talker.PublishEndpoints(version, true, g.router.Endpoints())
	}
	return nil
}

// stop leaves the fleet. Where a successor carries on under the same name, the others are not told of a departure.
func (g *gossipAdapter) stop(hasSuccessor bool) {
	if talker := g.sender.talker.Load(); talker != nil {
		talker.SetReplaced(hasSuccessor)
		talker.Close()
	}
}

// publishEndpoints sends what discovery told of the endpoint list: all of it, or changes.
func (g *gossipAdapter) publishEndpoints(version int64, complete bool, targets []wire.Endpoint) {
	g.listVersion.Store(version)
	if talker := g.sender.talker.Load(); talker != nil {
		talker.PublishEndpoints(version, complete, targets)
	}
}

// publishObservation tells that a node fell silent here, or answers again.
func (g *gossipAdapter) publishObservation(node string, answers bool) {
	if talker := g.sender.talker.Load(); talker != nil {
		talker.PublishHealth(node, answers)
	}
}

// catchingUp tells whether rows of the other proxies are still being fetched.
func (g *gossipAdapter) catchingUp() bool {
	status := g.sender.status()
	return status != nil && status.CatchingUp
}

// EndpointChanged passes on an endpoint that a peer's discovery sent.
func (g *gossipAdapter) EndpointChanged(index int64, target wire.Endpoint) {
	g.endpoints.ReceivePeerUpdate(index, target)
}

// HealthReported passes on that a peer found a node silent, or answering.
func (g *gossipAdapter) HealthReported(node string, answers bool) {
	g.router.ReceivePeerReport(node, answers)
}

// QuotaShareChanged passes on this proxy's part of the fleet's quota, from 0 to 1.
func (g *gossipAdapter) QuotaShareChanged(part float64) { g.router.SetQuotaShare(part) }

// RequestCount returns the number of requests since the start.
func (g *gossipAdapter) RequestCount() int64 { return g.counters.Exchanges.Load() }

// WriteRowCount returns the number of write notices sent since the start, which heartbeats carry.
func (g *gossipAdapter) WriteRowCount() int64 {
	if g.negativeCache == nil {
		return 0
	}
	return g.negativeCache.actor.SentWriteMessages()
}

// RowChanged passes a peer's row to the part that its kind belongs to.
func (g *gossipAdapter) RowChanged(row *replica.Row) {
	switch row.Kind {
	case replica.KindZoneReport:
		g.zoneHealth.receiveReport(row)
	case replica.KindZoneOverride:
		g.zoneHealth.receiveOverride(row)
	case replica.KindEndpointProbe, replica.KindWatchHeartbeat:
		g.duties.receive(row)
	case replica.KindWrittenKeys, replica.KindAbsentKeys:
		g.negativeCache.receive(row)
	}
}

// MembersUpdated passes on the members of the fleet, this proxy included, and whether it still catches up with them.
func (g *gossipAdapter) MembersUpdated(members []replica.Member, catchingUp bool) {
	g.duties.updateMembers(members, catchingUp)
	g.negativeCache.updateMembers(members, catchingUp)
	g.zoneHealth.updateMembers(members, catchingUp)
}

func isAlive(member *replica.Member) bool { return member.State == replica.MemberLive }

func hasDeparted(member *replica.Member) bool { return member.State == replica.MemberDeparted }

// kindNames are the names of row kinds in the answer to GET /control/peers.
var kindNames = map[replica.Kind]string{
	replica.KindHeartbeat:         "pulse",
	replica.KindHealthObservation: "sight",
	replica.KindEndpoint:          "node",
	replica.KindDeparture:         "gone",
	replica.KindZoneReport:        "voice",
	replica.KindZoneOverride:      "order",
	replica.KindEndpointProbe:     "trial",
	replica.KindWatchHeartbeat:    "beat",
	replica.KindWrittenKeys:       "wrote",
	replica.KindAbsentKeys:        "absent",
}

// statusText returns the answer to GET /control/peers; empty if gossip does not run.
func (g *gossipAdapter) statusText() string {
	talker := g.sender.talker.Load()
	if talker == nil {
		return ""
	}
	status := talker.Status()
	var text strings.Builder
	fmt.Fprintf(&text, "cluster %s, at %s; behind %v, share %.6f\n",
		g.config.Gossip.Cluster, g.config.Gossip.Advertise, status.CatchingUp, status.QuotaShare)
	fmt.Fprintf(&text, "packets %d streams %d bytes-in %d bytes-out %d dropped %d bad %d refused %d probes %d\n",
		talker.PacketsReceived.Load(), talker.StreamsAccepted.Load(), talker.BytesIn.Load(), talker.BytesOut.Load(),
		talker.Dropped.Load(), talker.Faults.Load(), status.RejectedRows, talker.ConnectProbes.Load())
	for kind := range 256 {
		rows, ok := status.RowsByKind[replica.Kind(kind)]
		if !ok {
			continue
		}
		name := kindNames[replica.Kind(kind)]
		if name == "" {
			name = fmt.Sprint("kind-", kind)
		}
		fmt.Fprintf(&text, "rows %s %d digest %016x\n", name, rows.Rows, rows.Digest)
	}
	for _, member := range status.Members {
		fmt.Fprintf(&text, "proxy %s %s incarnation %d at %s lag %d ms demand %.1f/s behind %v\n",
			member.Name, member.State, member.Incarnation, member.Address, member.HeartbeatAge/10, member.Demand, member.CatchingUp)
	}
	return text.String()
}
