package server

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"woodproxy/internal/rowcodec"

	"woodproxy/internal/proxy"
	"woodproxy/replica"
	"woodproxy/zonehealth"

	"go.uber.org/zap"
)

const (
	// autoOverrideTTL is how long an override that cancels another one is replicated: longer than a proxy is away that
	// may still have the cancelled one.
	autoOverrideTTL = 24 * 3600 * replica.Second

	maxIssuerLength   = 128 // bytes of the name of the proxy that took an override
	maxReportersShown = 8
)

var errZoneHealthOff = errors.New("zones are not judged: no file of zones is named")

// zoneHealthAdapter exchanges reports on zones and operators' overrides with the other proxies, and answers operators'
// calls on zones. Its receiving methods accept a nil adapter and do nothing then.
type zoneHealthAdapter struct {
	sender    *gossipSender
	router    *proxy.Router
	config    *zonehealth.Settings
	proxyName string
	log       *zap.Logger
}

// publishReport sends what this proxy reports on a zone.
func (z *zoneHealthAdapter) publishReport(zone string, report zonehealth.Report, ttl zonehealth.Time) {
	z.sender.publish(replica.KindZoneReport, zone, replica.Time(ttl), &report)
}

// cooperates tells whether zones are judged with the other proxies.
func (z *zoneHealthAdapter) cooperates() bool { return z != nil && !z.config.WithoutPeers }

// receiveReport passes on another proxy's report; one that can't be decoded is dropped.
func (z *zoneHealthAdapter) receiveReport(row *replica.Row) {
	var report zonehealth.Report
	if !z.cooperates() || rowcodec.Decode(row.Body, &report) != nil {
		return
	}
	z.router.ReceiveZoneVote(row.Writer, row.Key, report, zonehealth.Time(row.Age), zonehealth.Time(row.TTL))
}

// receiveOverride passes on an override that another proxy took from an operator.
func (z *zoneHealthAdapter) receiveOverride(row *replica.Row) {
	if z == nil {
		return
	}
	z.router.OverrideZone(zonehealth.Override{
		Zone:  row.Key,
		Mode:  zonehealth.OverrideMode(row.Rank),
		Epoch: row.Epoch,
		Proxy: string(row.Body[:min(len(row.Body), maxIssuerLength)]),
		Force: row.Sequence != 0,
	})
}

// updateMembers passes on the members of the fleet.
func (z *zoneHealthAdapter) updateMembers(members []replica.Member, catchingUp bool) {
	if !z.cooperates() {
		return
	}
	fleet := make([]zonehealth.Proxy, 0, len(members))
	for i := range members {
		member := &members[i]
		fleet = append(fleet, zonehealth.Proxy{
			Name: member.Name, Zone: member.Zone, Reachable: isAlive(member), Departed: hasDeparted(member),
		})
	}
	z.router.SetZoneMembers(fleet, catchingUp)
}

// override applies an operator's order to a zone, or to each zone of a region, and replicates it. The epoch is that of
// the override to replace; below zero: whichever is in force. It returns the lines for the operator; an error says why
// nothing has changed.
func (z *zoneHealthAdapter) override(name, want string, epoch int64, force bool) (string, error) {
	if z == nil {
		return "", errZoneHealthOff
	}
	wanted, ok := zonehealth.OverrideModes[want]
	if !ok {
		return "", fmt.Errorf("%q: none of in, out, hold, auto", want)
	}
	status, zones := z.router.ZoneStatus(), z.config.ZonesNamed(name)
	if fault := zonehealth.CheckOverride(status, zones, wanted, epoch, force); fault != "" {
		return "", errors.New(fault)
	}
	var text strings.Builder
	for _, zone := range zones {
		i := slices.IndexFunc(status, func(s zonehealth.ZoneStatus) bool { return s.Name == zone })
		order := zonehealth.Override{
			Zone: zone, Mode: wanted, Epoch: status[i].Override.Epoch + 1, Proxy: z.proxyName, Force: force,
		}
		if !z.router.OverrideZone(order) {
			return "", fmt.Errorf("zone %q: too busy to take it; nothing has changed there", zone)
		}
		z.sender.publishShared(overrideRow(&order))
		fmt.Fprintf(&text, "zone %s: %s, order %d\n", zone, wanted, order.Epoch)
	}
	z.log.Info("zones: override accepted", zap.String("zone", name), zap.String("want", want), zap.Bool("force", force))
	return text.String(), nil
}

// overrideRow returns the row that replicates an override.
func overrideRow(order *zonehealth.Override) replica.Row {
	row := replica.Row{
		Kind: replica.KindZoneOverride, Key: order.Zone, Epoch: order.Epoch, Rank: uint8(order.Mode), Body: []byte(order.Proxy),
	}
	if order.Force {
		row.Sequence = 1
	}
	if order.Mode == zonehealth.OverrideAuto {
		row.TTL = autoOverrideTTL
	}
	return row
}

// statusText returns the answer to GET /control/zones; empty if zones are not judged.
func (z *zoneHealthAdapter) statusText() string {
	if z == nil {
		return ""
	}
	var text strings.Builder
	fmt.Fprintf(&text, "this proxy stands in %q; %d regions\n", z.config.Zone, len(z.config.Regions))
	for _, zone := range z.router.ZoneStatus() {
		writeZoneStatus(&text, &zone)
	}
	return text.String()
}

// writeZoneStatus writes the line of one zone.
func writeZoneStatus(text *strings.Builder, zone *zonehealth.ZoneStatus) {
	state := zone.Verdict.State.String()
	switch {
	case zone.Verdict.State == zonehealth.InService && zone.Watched:
		state = "watched"
	case zone.ServedLocally:
		state += " for others"
	}
	fmt.Fprintf(text, "zone %s %s epoch %d step %d flaps %d open %.3f nodes %d for %d s;",
		zone.Name, state, zone.Verdict.Epoch, zone.Verdict.Step, zone.Verdict.Flaps, zone.ServedFraction, zone.Nodes,
		zone.VerdictAge/zonehealth.Second)
	fmt.Fprintf(text, " %d against from %d zones, %d for;", zone.UnhealthyVotes, zone.UnhealthyVoteZones, zone.HealthyVotes)
	fmt.Fprintf(text, " of %d that tried it since %d in time, %d late, %d unanswered",
		zone.Attempted, zone.InTime, zone.Late, zone.Unanswered)
	if n := len(zone.UnhealthyVoters); n > 0 {
		fmt.Fprintf(text, "; against: %s", strings.Join(zone.UnhealthyVoters[:min(n, maxReportersShown)], " "))
	}
	if zone.Standalone {
		text.WriteString("; passed by alone")
	}
	if order := zone.Override; order.Epoch > 0 {
		fmt.Fprintf(text, "; ordered %v by way of %s, order %d", order.Mode, order.Proxy, order.Epoch)
	}
	text.WriteByte('\n')
}
