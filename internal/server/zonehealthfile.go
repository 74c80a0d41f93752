package server

import (
	"fmt"
	"slices"

	"woodproxy/internal/settings"
	"woodproxy/zonehealth"
)

const (
	maxZoneNameLength = 100 // bytes
	minRegionZones    = 2   // minimum number of zones in a region

	minQuietMS    = 50        // minimum of quiet_ms
	maxShortMS    = 60_000    // maximum of quiet_ms and settle_ms: a minute
	minLongMS     = 100       // minimum of hold_ms and step_ms
	maxLongMS     = 3_600_000 // maximum of hold_ms, most_hold_ms and step_ms: an hour
	quietFraction = 0.6       // fraction of the shortest latency objective; default of quiet_ms
)

// zoneHealthFile is the format of the zone health file (deploy/zones.toml). Times are in milliseconds.
type zoneHealthFile struct {
	// Zone is the zone of this proxy if the settings have no locality. If they have one, all proxies can use the same file.
	Zone string `toml:"zone"`
	// Zones are the zones that nodes may have. If there are none, the zones of the settings apply, and if the settings
	// have none either, nodes may have any zone.
	Zones   []string     `toml:"zones"`
	Regions []regionFile `toml:"region"`

	QuietMS        float64 `toml:"quiet_ms"`
	ReportFraction float64 `toml:"voices"`
	ConfirmationMS float64 `toml:"settle_ms"`
	HoldDownMS     float64 `toml:"hold_ms"`
	MaxHoldDownMS  float64 `toml:"most_hold_ms"`
	RampStepMS     float64 `toml:"step_ms"`
	Standalone     bool    `toml:"alone"`
	Cooperative    bool    `toml:"together"`
}

// regionFile is a group of zones that may fail together.
type regionFile struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// readZoneHealthFile reads the zone health file for the proxy with the given name.
func readZoneHealthFile(file, name string, proxySettings *settings.Settings) (*zonehealth.Settings, error) {
	values := &zoneHealthFile{
		ReportFraction: 0.2,
		ConfirmationMS: 200,
		HoldDownMS:     2000,
		MaxHoldDownMS:  60000,
		RampStepMS:     1000,
		Standalone:     true,
		Cooperative:    true,
	}
	var policy *zonehealth.Settings
	err := readPolicyFile("zones", file, values, func() (err error) {
		policy, err = values.policy(name, proxySettings)
		return err
	})
	if err != nil {
		return nil, err
	}
	return policy, nil
}

// policy validates the values and converts them. It first sets the default of quiet_ms, which depends on the settings.
func (f *zoneHealthFile) policy(name string, proxySettings *settings.Settings) (*zonehealth.Settings, error) {
	shortest := shortestObjective[zonehealth.Time](proxySettings)
	if f.QuietMS == 0 {
		f.QuietMS = max(float64(shortest)/10*quietFraction, minQuietMS)
	}
	if err := f.checkRanges(); err != nil {
		return nil, err
	}
	allowed, err := f.allowedZones(proxySettings)
	if err != nil {
		return nil, err
	}
	zone := proxySettings.LocalZone
	if zone == "" {
		zone = f.Zone
	}
	if zone != "" && len(allowed) > 0 && !slices.Contains(allowed, zone) {
		return nil, fmt.Errorf("zone: %q: not one of the zones that nodes may have", zone)
	}
	regions, err := f.regions(allowed)
	if err != nil {
		return nil, err
	}
	return &zonehealth.Settings{
		ProxyName:                name,
		Zone:                     zone,
		Regions:                  regions,
		ShortestObjective:        shortest,
		SilenceTimeout:           tenths[zonehealth.Time](f.QuietMS),
		VoteFraction:             f.ReportFraction,
		ConfirmationTime:         tenths[zonehealth.Time](f.ConfirmationMS),
		HoldDownTime:             tenths[zonehealth.Time](f.HoldDownMS),
		MaxHoldDownTime:          tenths[zonehealth.Time](f.MaxHoldDownMS),
		RampStepTime:             tenths[zonehealth.Time](f.RampStepMS),
		SlowStartTime:            zonehealth.Time(proxySettings.Balancer.SlowStart),
		SlowStartInitialFraction: proxySettings.Balancer.SlowStartInitialFraction,
		StandaloneEnabled:        f.Standalone,
		WithoutPeers:             !f.Cooperative,
	}, nil
}

// checkRanges checks the ranges of the numbers, in the order of the keys in deploy/zones.toml.
func (f *zoneHealthFile) checkRanges() error {
	for _, number := range []struct {
		key               string
		value, least, max float64
	}{
		{"quiet_ms", f.QuietMS, minQuietMS, maxShortMS},
		{"voices", f.ReportFraction, 0.01, 1},
		{"settle_ms", f.ConfirmationMS, 0, maxShortMS},
		{"hold_ms", f.HoldDownMS, minLongMS, maxLongMS},
		{"most_hold_ms", f.MaxHoldDownMS, f.HoldDownMS, maxLongMS},
		{"step_ms", f.RampStepMS, minLongMS, maxLongMS},
	} {
		if !(number.value >= number.least && number.value <= number.max) { // true for NaN as well
			return fmt.Errorf("%s: %v: not from %v to %v", number.key, number.value, number.least, number.max)
		}
	}
	return nil
}

// allowedZones returns the zones that nodes may have: those of the file, or those of the settings if the file has none. It
// is empty if all zones are allowed.
func (f *zoneHealthFile) allowedZones(proxySettings *settings.Settings) ([]string, error) {
	if len(f.Zones) == 0 {
		var allowed []string
		for zone := range proxySettings.Zones {
			allowed = append(allowed, zone)
		}
		return allowed, nil
	}
	if len(proxySettings.Zones) > 0 {
		for _, zone := range f.Zones {
			if _, ok := proxySettings.Zones[zone]; !ok {
				return nil, fmt.Errorf("zones: %q: not a zone of the settings", zone)
			}
		}
	}
	seen := map[string]bool{}
	for _, zone := range f.Zones {
		if zone == "" || len(zone) > maxZoneNameLength || seen[zone] {
			return nil, fmt.Errorf("zones: %q: empty, too long or duplicate", zone)
		}
		seen[zone] = true
	}
	return f.Zones, nil
}

// regions validates and converts the regions. Their names must differ from one another and from the names of zones, and a
// zone may be in at most one region.
func (f *zoneHealthFile) regions(allowed []string) ([]zonehealth.Region, error) {
	var regions []zonehealth.Region
	regionNames, regionOfZone := map[string]bool{}, map[string]string{}
	for i, region := range f.Regions {
		if region.Name == "" || regionNames[region.Name] || slices.Contains(allowed, region.Name) {
			return nil, fmt.Errorf("region[%d].name: %q: empty, duplicate or the name of a zone", i, region.Name)
		}
		regionNames[region.Name] = true
		if len(region.Zones) < minRegionZones {
			return nil, fmt.Errorf("region[%d].zones: %s: fewer than two zones", i, region.Name)
		}
		for _, zone := range region.Zones {
			if other, ok := regionOfZone[zone]; ok {
				return nil, fmt.Errorf("region[%d].zones: %q: already in region %s", i, zone, other)
			}
			if len(allowed) > 0 && !slices.Contains(allowed, zone) {
				return nil, fmt.Errorf("region[%d].zones: %q: not one of the zones that nodes may have", i, zone)
			}
			regionOfZone[zone] = region.Name
		}
		regions = append(regions, zonehealth.Region{Name: region.Name, Zones: region.Zones})
	}
	return regions, nil
}
