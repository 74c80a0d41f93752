package zonehealth

import (
	"cmp"
	"slices"
	"strings"
)

// maxZones bounds the zones that are judged. The nodes of further zones are in service whatever happens to their zone.
const maxZones = 64

// zone is all that a controller knows of one zone.
type zone struct {
	name           string
	region         *Region // nil: none
	nodes          int     // that are listed
	servedFraction float64 // share of its keys that it serves, as last decided

	evidence      localEvidence
	reports       []*receivedReport // by name of the proxy; the latest of each that has not expired
	outsideZone   quorumView
	outsideRegion quorumView
	votes         voteCount

	verdict      Verdict // on which this proxy acts
	verdictAt    Time
	evacuatedAt  Time     // the latest evacuation, of a part or all
	proposal     *Verdict // nil: none
	confirmation confirmation
	standalone   standaloneVerdict
	override     Override // of epoch 0: there is none
	publication  publication
}

func newZone(name string, now Time) *zone {
	never := now - distantPast
	return &zone{
		name: name, servedFraction: 1, evidence: newLocalEvidence(now), verdictAt: now, evacuatedAt: never,
		standalone: standaloneVerdict{probedAt: never}, publication: publication{lastAt: never},
	}
}

func compareZoneName(z *zone, name string) int { return cmp.Compare(z.name, name) }

// findOrAddZone returns nil for the name "", and for a new zone where there are maxZones.
func (c *Controller) findOrAddZone(name string) *zone {
	i, found := slices.BinarySearchFunc(c.zones, name, compareZoneName)
	if found {
		return c.zones[i]
	}
	if name == "" || len(c.zones) >= maxZones {
		return nil
	}
	z := newZone(name, c.now)
	for r := range c.settings.Regions {
		if slices.Contains(c.settings.Regions[r].Zones, name) {
			z.region = &c.settings.Regions[r]
		}
	}
	c.zones = slices.Insert(c.zones, i, z)
	c.updateQuorum(z)
	return z
}

// removeUnusedZones forgets the zones without nodes of which there is nothing to remember.
func (c *Controller) removeUnusedZones() {
	c.zones = slices.DeleteFunc(c.zones, func(z *zone) bool {
		return z.nodes == 0 && z.verdict.State == InService && z.override.Epoch == 0 && len(z.reports) == 0
	})
}

// storeReport replaces the report of a proxy.
func (z *zone) storeReport(proxy string, report Report, at, ttl Time) *receivedReport {
	compareProxy := func(r *receivedReport, name string) int { return cmp.Compare(r.proxy, name) }
	i, found := slices.BinarySearchFunc(z.reports, proxy, compareProxy)
	if !found {
		z.reports = slices.Insert(z.reports, i, nil)
	}
	z.reports[i] = &receivedReport{Report: report, proxy: strings.Clone(proxy), at: at, ttl: ttl}
	return z.reports[i]
}

// MissingZone returns the first zone of a region that has no node, "" if there is none.
func (c *Controller) MissingZone() string {
	for _, region := range c.settings.Regions {
		for _, name := range region.Zones {
			if !slices.ContainsFunc(c.zones, func(z *zone) bool { return z.name == name && z.nodes > 0 }) {
				return name
			}
		}
	}
	return ""
}
