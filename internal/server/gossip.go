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

// observationObjectives is the TTL of a health observation in multiples of the shortest latency objective. The balancer
// discards an observation of another proxy after half of that time.
const observationObjectives = 12

// gossipSender publishes rows to the other proxies. While gossip does not run, rows are dropped: current state is
// published repeatedly. Its methods may be called from any goroutine and do not block.
type gossipSender struct {
	agent atomic.Pointer[gossip.Agent] // nil: gossip does not run
}

// publish sends a row that this proxy owns. A row whose body can't be encoded is dropped.
func (s *gossipSender) publish(kind replica.Kind, key string, ttl replica.Time, body any) {
	agent := s.agent.Load()
	if agent == nil {
		return
	}
	if encoded, err := msgpack.Marshal(body); err == nil {
		agent.PublishOwnRow(kind, key, ttl, encoded)
	}
}

// publishShared sends a row that is not owned by a single proxy.
func (s *gossipSender) publishShared(row replica.Row) {
	if agent := s.agent.Load(); agent != nil {
		agent.PublishSharedRow(row)
	}
}

// status returns the status of gossip; nil if it does not run.
func (s *gossipSender) status() *gossip.Status {
	if agent := s.agent.Load(); agent != nil {
		return agent.Status()
	}
	return nil
}

// gossipAdapter connects the parts of the proxy to gossip. It passes on the data that the gossip agent receives
// (gossip.Proxy), and sends endpoint list changes and health observations. It exists even if gossip is not configured,
// and does nothing then.
type gossipAdapter struct {
	sender    *gossipSender
	config    *Config
	router    *proxy.Router
	endpoints *proxy.EndpointList
	counters  *proxy.Counters
	log       *zap.Logger

	zoneHealth    *zoneHealthAdapter    // nil: zones are not evacuated
	duties        *dutiesAdapter        // nil: each proxy performs all duties itself
	negativeCache *negativeCacheAdapter // nil: no negative cache

	listIndex atomic.Int64 // index of the endpoint list that discovery sent last
}

// start listens on the gossip address and starts the gossip agent. It does nothing if no gossip file is configured, and
// fails if the agent can't be started.
func (g *gossipAdapter) start() error {
	config := g.config
	if config.Gossip == nil {
		return nil
	}
	observationTTL := observationObjectives * shortestObjective[replica.Time](config.Settings)
	agent, err := gossip.Start(config.Gossip, config.Name, config.Zone(), config.proxies(), observationTTL, config.Seed,
		g, g.log)
	if err != nil {
		return err
	}
	g.router.SetQuotaShare(config.Gossip.QuotaFloor / float64(config.proxies()))
	g.sender.agent.Store(agent)
	if index := g.listIndex.Load(); index > 0 { // discovery sent a list before gossip was started
		agent.PublishEndpoints(index, true, g.router.Endpoints())
	}
	return nil
}

// stop leaves the fleet. If a successor continues under the same name, no departure is announced to the other proxies.
// It waits until the goroutines of the agent have ended.
func (g *gossipAdapter) stop(hasSuccessor bool) {
	if agent := g.sender.agent.Load(); agent != nil {
		agent.SetReplaced(hasSuccessor)
		agent.Close()
	}
}

// publishEndpoints sends a complete endpoint list from discovery, or changes of it.
func (g *gossipAdapter) publishEndpoints(index int64, complete bool, endpoints []wire.Endpoint) {
	g.listIndex.Store(index)
	if agent := g.sender.agent.Load(); agent != nil {
		agent.PublishEndpoints(index, complete, endpoints)
	}
}

// publishObservation sends this proxy's observation that a node does not respond, or responds again.
func (g *gossipAdapter) publishObservation(node string, responds bool) {
	if agent := g.sender.agent.Load(); agent != nil {
		agent.PublishHealth(node, responds)
	}
}

// catchingUp reports whether this proxy still fetches the rows of the other proxies.
func (g *gossipAdapter) catchingUp() bool {
	status := g.sender.status()
	return status != nil && status.CatchingUp
}

// EndpointChanged passes an endpoint that a peer received from discovery to the endpoint list.
func (g *gossipAdapter) EndpointChanged(index int64, endpoint wire.Endpoint) {
	g.endpoints.ReceivePeerUpdate(index, endpoint)
}

// HealthReported passes a peer's observation that a node does not respond, or responds again, to the router.
func (g *gossipAdapter) HealthReported(node string, responds bool) {
	g.router.ReceivePeerReport(node, responds)
}

// QuotaShareChanged passes this proxy's fraction of the fleet's quota, from 0 to 1, to the router.
func (g *gossipAdapter) QuotaShareChanged(share float64) { g.router.SetQuotaShare(share) }

// RequestCount returns the number of requests since the start of the process.
func (g *gossipAdapter) RequestCount() int64 { return g.counters.Exchanges.Load() }

// WriteRowCount returns the number of write reports sent since the start of the process. Heartbeats carry this number.
func (g *gossipAdapter) WriteRowCount() int64 {
	if g.negativeCache == nil {
		return 0
	}
	return g.negativeCache.actor.SentWriteMessages()
}

// RowChanged passes a peer's row to the module that handles its kind.
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

// MembersUpdated passes the members of the fleet, including this proxy, to the modules, and whether this proxy is still
// catching up with the others.
func (g *gossipAdapter) MembersUpdated(members []replica.Member, catchingUp bool) {
	g.duties.updateMembers(members, catchingUp)
	g.negativeCache.updateMembers(members, catchingUp)
	g.zoneHealth.updateMembers(members, catchingUp)
}

func isAlive(member *replica.Member) bool { return member.State == replica.MemberLive }

func hasDeparted(member *replica.Member) bool { return member.State == replica.MemberDeparted }

// kindNames are the names of row kinds in the response to GET /control/peers.
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

// statusText returns the response to GET /control/peers; it is empty if gossip does not run.
func (g *gossipAdapter) statusText() string {
	agent := g.sender.agent.Load()
	if agent == nil {
		return ""
	}
	status := agent.Status()
	var text strings.Builder
	fmt.Fprintf(&text, "cluster %s, at %s; behind %v, share %.6f\n",
		g.config.Gossip.Cluster, g.config.Gossip.Advertise, status.CatchingUp, status.QuotaShare)
	fmt.Fprintf(&text, "packets %d streams %d bytes-in %d bytes-out %d dropped %d bad %d refused %d probes %d\n",
		agent.PacketsReceived.Load(), agent.StreamsAccepted.Load(), agent.BytesIn.Load(), agent.BytesOut.Load(),
		agent.Dropped.Load(), agent.Faults.Load(), status.RejectedRows, agent.ConnectProbes.Load())
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
