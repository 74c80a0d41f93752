package zonehealth

import (
	"cmp"
	"slices"
	"strings"
)

// maxZones is the maximum number of zones that are evaluated. The nodes of further zones always stay in service.
const maxZones = 64

// zone is the state of a controller for one zone.
type zone struct {
	name           string
	region         *Region // nil if the zone is in no region
	nodes          int     // number of listed nodes
	servedFraction float64 // fraction of its keys that the zone serves, 0 to 1, as last decided

	evidence      localEvidence
	reports       []*receivedReport // the latest report of each proxy that has not expired, sorted by proxy name
	outsideZone   quorumView
	outsideRegion quorumView
	votes         voteCount

	verdict      Verdict // the verdict on which this proxy acts
	verdictAt    Time
	evacuatedAt  Time     // time of the latest partial or complete evacuation
	proposal     *Verdict // nil if this proxy proposes no verdict
	confirmation confirmation
	standalone   standaloneVerdict
	override     Override // epoch 0 if there is none
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

// findOrAddZone returns the zone with the given name, and adds it if it does not exist. It returns nil for the name "",
// and for a new zone if there are already maxZones.
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

// removeUnusedZones removes the zones in service that have no nodes, no override and no reports.
func (c *Controller) removeUnusedZones() {
	c.zones = slices.DeleteFunc(c.zones, func(z *zone) bool {
		return z.nodes == 0 && z.verdict.State == InService && z.override.Epoch == 0 && len(z.reports) == 0
	})
}

// storeReport stores the report of a proxy in place of its previous one.
func (z *zone) storeReport(proxy string, report Report, at, ttl Time) *receivedReport {
	compareProxy := func(r *receivedReport, name string) int { return cmp.Compare(r.proxy, name) }
	i, found := slices.BinarySearchFunc(z.reports, proxy, compareProxy)
	if !found {
		z.reports = slices.Insert(z.reports, i, nil)
	}
	z.reports[i] = &receivedReport{Report: report, proxy: strings.Clone(proxy), at: at, ttl: ttl}
	return z.reports[i]
}

// MissingZone returns the first zone in the configured regions that has no node, or "" if there is none.
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
