package server

import (
	"fmt"

	"woodproxy/internal/rowcodec"

	"woodproxy/internal/proxy"
	"woodproxy/negativecache"
	"woodproxy/replica"
)

// negativeCacheAdapter exchanges write notices and misses at the origin with the other proxies. Its receiving methods
// accept a nil adapter and do nothing then.
type negativeCacheAdapter struct {
	sender  *gossipSender
	ttl     replica.Time // of published rows
	proxies int          // of the fleet, as the settings state it
	actor   *proxy.NegativeCache
}

// publish sends which keys this proxy wrote, or which the origin lacks.
func (n *negativeCacheAdapter) publish(decision *negativecache.Decision) {
	kind := replica.KindWrittenKeys
	if decision.Action == negativecache.ActionReportAbsent {
		kind = replica.KindAbsentKeys
	}
	n.sender.publish(kind, fmt.Sprint("s", decision.Slot), n.ttl, &decision.Report)
}

// receive passes on a row of another proxy; one that can't be decoded is dropped.
func (n *negativeCacheAdapter) receive(row *replica.Row) {
	var message negativecache.KeyReport
	if n == nil || rowcodec.Decode(row.Body, &message) != nil {
		return
	}
	if row.Kind == replica.KindWrittenKeys {
		n.actor.ReceiveWrites(row.Writer, row.Epoch, message)
	} else {
		n.actor.ReceiveAbsentKeys(row.Writer, message, negativecache.Time(row.Age))
	}
}

// updateMembers passes on the proxies that may write.
func (n *negativeCacheAdapter) updateMembers(members []replica.Member, catchingUp bool) {
	if n == nil {
		return
	}
	fleet := make([]negativecache.Proxy, 0, len(members))
	for i := range members {
		member := &members[i]
		fleet = append(fleet, negativecache.Proxy{
			Name:         member.Name,
			Reachable:    isAlive(member),
			Departed:     hasDeparted(member),
			WriteReports: member.WritesSent,
			Incarnation:  member.Incarnation,
		})
	}
	n.actor.SetMembers(fleet, n.proxies, catchingUp)
}
