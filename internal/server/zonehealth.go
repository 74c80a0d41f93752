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
	// autoOverrideTTL is the time for which an override that cancels another one is replicated. It exceeds the time for
	// which a proxy that still has the canceled override may be unreachable.
	autoOverrideTTL = 24 * 3600 * replica.Second

	maxIssuerLength   = 128 // maximum length in bytes of the name of the proxy that received an override
	maxReportersShown = 8   // maximum number of unhealthy voters in the status of a zone
)

var errZoneHealthOff = errors.New("zone health is off: no --zones file is configured")

// zoneHealthAdapter exchanges reports on zones and operators' overrides with the other proxies, and handles operators'
// calls that concern zones. A nil adapter is valid if zones are not evacuated: its receiving methods do nothing, override
// returns an error and statusText an empty string.
type zoneHealthAdapter struct {
	sender    *gossipSender
	router    *proxy.Router
	config    *zonehealth.Settings
	proxyName string
	log       *zap.Logger
}

// publishReport sends this proxy's report on a zone to the other proxies.
func (z *zoneHealthAdapter) publishReport(zone string, report zonehealth.Report, ttl zonehealth.Time) {
	z.sender.publish(replica.KindZoneReport, zone, replica.Time(ttl), &report)
}

// cooperates reports whether verdicts on zones are reached together with the other proxies.
func (z *zoneHealthAdapter) cooperates() bool { return z != nil && !z.config.WithoutPeers }

// receiveReport passes another proxy's report to the router. A report that can't be decoded is dropped.
func (z *zoneHealthAdapter) receiveReport(row *replica.Row) {
	var report zonehealth.Report
	if !z.cooperates() || rowcodec.Decode(row.Body, &report) != nil {
		return
	}
	z.router.ReceiveZoneVote(row.Writer, row.Key, report, zonehealth.Time(row.Age), zonehealth.Time(row.TTL))
}

// receiveOverride passes an override that another proxy received from an operator to the router.
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

// updateMembers passes the members of the fleet to the router.
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

// override applies an operator's override to a zone, or to each zone of a region, and replicates it. The epoch is that of
// the override to replace; a negative epoch replaces the current override. It returns a line for the operator for each
// zone. An error states why an override was not applied; in a region, zones before the one at fault keep the new override.
func (z *zoneHealthAdapter) override(name, want string, epoch int64, force bool) (string, error) {
	if z == nil {
		return "", errZoneHealthOff
	}
	mode, ok := zonehealth.OverrideModes[want]
	if !ok {
		return "", fmt.Errorf("%q: none of in, out, hold, auto", want)
	}
	status, zones := z.router.ZoneStatus(), z.config.ZonesNamed(name)
	if fault := zonehealth.CheckOverride(status, zones, mode, epoch, force); fault != "" {
		return "", errors.New(fault)
	}
	var text strings.Builder
	for _, zone := range zones {
		i := slices.IndexFunc(status, func(s zonehealth.ZoneStatus) bool { return s.Name == zone })
		override := zonehealth.Override{
			Zone: zone, Mode: mode, Epoch: status[i].Override.Epoch + 1, Proxy: z.proxyName, Force: force,
		}
		if !z.router.OverrideZone(override) {
			return "", fmt.Errorf("zone %q: too busy to apply the override; the zone is unchanged", zone)
		}
		z.sender.publishShared(overrideRow(&override))
		fmt.Fprintf(&text, "zone %s: %s, order %d\n", zone, mode, override.Epoch)
	}
	z.log.Info("zones: override accepted", zap.String("zone", name), zap.String("want", want), zap.Bool("force", force))
	return text.String(), nil
}

// overrideRow returns the row that replicates an override.
func overrideRow(override *zonehealth.Override) replica.Row {
	row := replica.Row{
		Kind: replica.KindZoneOverride, Key: override.Zone, Epoch: override.Epoch, Rank: uint8(override.Mode),
		Body: []byte(override.Proxy),
	}
	if override.Force {
		row.Sequence = 1
	}
	if override.Mode == zonehealth.OverrideAuto {
		row.TTL = autoOverrideTTL
	}
	return row
}

// statusText returns the response to GET /control/zones; it is empty if zone health is not configured.
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

// writeZoneStatus writes the status line of one zone.
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
	if override := zone.Override; override.Epoch > 0 {
		fmt.Fprintf(text, "; ordered %v by way of %s, order %d", override.Mode, override.Proxy, override.Epoch)
	}
	text.WriteByte('\n')
}
