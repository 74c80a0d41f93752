package server

import (
	"woodproxy/duties"
	"woodproxy/internal/proxy"
	"woodproxy/internal/rowcodec"
	"woodproxy/replica"
)

// dutiesAdapter exchanges the messages of the duties module with the other proxies. The methods receive and
// updateMembers do nothing if the adapter is nil.
type dutiesAdapter struct {
	sender *gossipSender
	actor  *proxy.Duties
}

// dutyRowKinds maps the message kinds of the duties module to the kinds of rows that carry them.
var dutyRowKinds = [...]replica.Kind{duties.ProbeReport: replica.KindEndpointProbe, duties.WatchHeartbeat: replica.KindWatchHeartbeat}

// publish sends a message of this proxy to the other proxies.
func (d *dutiesAdapter) publish(kind duties.ReportKind, key string, message duties.Report, ttl duties.Time) {
	d.sender.publish(dutyRowKinds[kind], key, replica.Time(ttl), &message)
}

// receive passes a message of another proxy to the duties module. A message that can't be decoded is dropped.
func (d *dutiesAdapter) receive(row *replica.Row) {
	var message duties.Report
	if d == nil || rowcodec.Decode(row.Body, &message) != nil {
		return
	}
	for kind, rowKind := range dutyRowKinds {
		if rowKind == row.Kind {
			d.actor.Receive(row.Writer, duties.ReportKind(kind), row.Key, message, duties.Time(row.Age))
		}
	}
}

// updateMembers passes the members of the fleet to the duties module.
func (d *dutiesAdapter) updateMembers(members []replica.Member, catchingUp bool) {
	if d == nil {
		return
	}
	fleet := make([]duties.Proxy, 0, len(members))
	for i := range members {
		member := &members[i]
		fleet = append(fleet, duties.Proxy{Name: member.Name, Zone: member.Zone, Alive: isAlive(member)})
	}
	d.actor.SetMembers(fleet, catchingUp)
}
