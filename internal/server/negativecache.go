package server

import (
	"fmt"

	"woodproxy/internal/rowcodec"

	"woodproxy/internal/proxy"
	"woodproxy/negativecache"
	"woodproxy/replica"
)

// negativeCacheAdapter exchanges reports on written keys and on keys absent at the origin with the other proxies. The
// methods receive and updateMembers do nothing if the adapter is nil.
type negativeCacheAdapter struct {
	sender  *gossipSender
	ttl     replica.Time // TTL of published rows
	proxies int          // number of proxies in the fleet according to the settings
	actor   *proxy.NegativeCache
}

// publish sends a report on keys that this proxy has written, or that are absent at the origin.
func (n *negativeCacheAdapter) publish(decision *negativecache.Decision) {
	kind := replica.KindWrittenKeys
	if decision.Action == negativecache.ActionReportAbsent {
		kind = replica.KindAbsentKeys
	}
	n.sender.publish(kind, fmt.Sprint("s", decision.Slot), n.ttl, &decision.Report)
}

// receive passes a report of another proxy to the negative cache. A report that can't be decoded is dropped.
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

// updateMembers passes the proxies that may write keys to the negative cache.
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
