package emulator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// zoneFaultGrace is the time after the end of a zone fault in which a verdict is still attributed to it.
const zoneFaultGrace = 2 * time.Second

// Spans over which the earned fraction of the requests' priority weight is measured, from the start and the end of a zone
// fault.
const (
	weightSpanDuring = 5 * time.Second
	weightSpanAfter  = 10 * time.Second
)

// ZoneFaultResult is the outcome of a zone fault. Times count from the start of the fault unless stated otherwise.
type ZoneFaultResult struct {
	Zone                          string
	At, Duration                  time.Duration // start, since the start of the event log, and duration
	FirstEvacuated, LastEvacuated time.Duration // until the first and last proxy outside the zone evacuated it; 0: none did
	NeverEvacuated                int           // number of proxies outside the zone that did not evacuate it during the fault
	Returned                      time.Duration // from the fault's end until the last proxy served all keys there; 0: not seen
	EarnedWeightDuring            float64       // fraction of the priority weight earned in the first 5 s of the fault
	EarnedWeightAfter             float64       // the same fraction in the 10 s after the end of the fault
}

// zoneFault is a fault of a complete zone, in wall-clock time.
type zoneFault struct {
	zone          string
	from, to      time.Time    // to is zero while the fault lasts
	proxiesInside map[int]bool // proxies that are in the zone
	harmless      bool         // the fault does not justify an evacuation
}

// explains reports whether a verdict at the given time may be caused by the fault.
func (f *zoneFault) explains(at time.Time) bool {
	return !f.harmless && at.After(f.from) && (f.to.IsZero() || at.Before(f.to.Add(zoneFaultGrace)))
}

// writeZoneConfig writes the zone health file of a proxy, unless zone health is off.
func (r *runner) writeZoneConfig(m *managedProxy) error {
	zones := r.plan.Scenario.ZoneHealth
	if zones.Decision == "" {
		return nil
	}
	m.config.ZoneHealthFile = filepath.Join(m.config.Dir, "zones.toml")
	text := ""
	switch zones.Decision {
	case zonesJudgedByOperators:
		text = "alone = false\ntogether = false\n"
	case zonesJudgedAlone:
		text = "together = false\n"
	}
	for name, members := range zones.Regions {
		text += fmt.Sprintf("[[region]]\nname = %q\nzones = [\"%s\"]\n", name, strings.Join(members, "\", \""))
	}
	return os.WriteFile(m.config.ZoneHealthFile, []byte(text), 0o600)
}

// zoneFaultBegins records the start of a fault if it affects a zone. Where operators judge zones, it immediately sets the
// override "out".
func (r *runner) zoneFaultBegins(event FaultEvent) {
	if event.Zone == "" {
		return
	}
	fault := zoneFault{zone: event.Zone, from: time.Now(), proxiesInside: map[int]bool{}, harmless: event.Kind == "zone-grey"}
	for _, i := range event.Targets {
		fault.proxiesInside[i] = true
	}
	r.mu.Lock()
	r.zoneFaults = append(r.zoneFaults, fault)
	r.mu.Unlock()
	r.overrideZone(event, "out")
}

// zoneFaultEnds records the end of a fault if it affects a zone. Where operators judge zones, it immediately sets the
// override "auto".
func (r *runner) zoneFaultEnds(event FaultEvent) {
	if event.Zone == "" {
		return
	}
	r.mu.Lock()
	for i := range r.zoneFaults {
		if r.zoneFaults[i].zone == event.Zone && r.zoneFaults[i].to.IsZero() {
			r.zoneFaults[i].to = time.Now()
		}
	}
	r.mu.Unlock()
	r.overrideZone(event, "auto")
}

// overrideZone sends the override for a zone to every proxy outside it. It does nothing unless operators judge zones, or for
// faults that do not justify an evacuation.
func (r *runner) overrideZone(event FaultEvent, mode string) {
	if r.plan.Scenario.ZoneHealth.Decision != zonesJudgedByOperators || event.Kind == "zone-grey" {
		return
	}
	var calls sync.WaitGroup
	for i, m := range r.proxies {
		if slices.Contains(event.Targets, i) {
			continue
		}
		calls.Go(func() {
			client := http.Client{Timeout: time.Second}
			target := "http://" + m.config.AdminAddress + "/control/zones/" + url.PathEscape(event.Zone) + "/" + mode
			if response, err := client.Post(target, "", nil); err == nil { // a proxy that is down misses the override
				_ = response.Body.Close() // only the delivery matters
			}
		})
	}
	calls.Wait()
}

// degradeZone slows down a third of the nodes in a zone and makes a fraction of the responses of all its nodes errors.
func (r *runner) degradeZone(ctx context.Context, event FaultEvent, duration time.Duration) {
	nodes := r.nodesInZone(event.Zone)
	set := func(slowdown, errorFraction float64) {
		for k, n := range nodes {
			if k%3 == 0 {
				n.work.setSlowdown(slowdown)
			}
			if errorFraction > 0 {
				n.SetMode(modeFails, errorFraction, 0, 0)
			} else {
				n.SetMode(modeServe, 1, 0, 0)
			}
		}
	}
	r.zoneFaultBegins(event)
	set(event.Slowdown, event.Fraction)
	sleep(ctx, duration)
	set(1, 0)
	r.zoneFaultEnds(event)
}

// zoneShift is a log line in which a proxy reports the fraction of a zone's keys that it serves from that zone.
type zoneShift struct {
	proxy  int
	zone   string
	at     time.Time
	served float64
}

// measureZoneHealth adds to the report the outcome of each zone fault and the number of verdicts that no fault explains,
// both from the logs of the proxies.
func (r *runner) measureZoneHealth(report *Report) {
	var shifts []zoneShift
	r.eachLogLine(func(proxy int, line logLine) {
		message, ok := strings.CutPrefix(line.Msg, messageZone)
		if !ok {
			return
		}
		at := time.UnixMicro(int64(line.At * 1e6))
		zone, verdict, _ := strings.Cut(message, ": ")
		var served float64
		if n, err := fmt.Sscanf(verdict, verdictServed, &served); n == 1 && err == nil {
			shifts = append(shifts, zoneShift{proxy, zone, at, served})
		}
		r.countFalsePositive(report, proxy, zone, verdict, at)
	})
	for _, fault := range r.zoneFaults {
		report.ZoneFaults = append(report.ZoneFaults, r.zoneFaultResult(fault, shifts))
	}
}

// countFalsePositive counts a verdict on a zone in the report if no fault explains it.
func (r *runner) countFalsePositive(report *Report, proxy int, zone, verdict string, at time.Time) {
	if strings.HasPrefix(verdict, verdictStandalone) && !r.hasCause(proxy, zone, at) {
		report.FalsePositives++
	}
	evacuated := strings.HasPrefix(verdict, verdictLeaving) ||
		strings.HasPrefix(verdict, verdictOut) && strings.Contains(verdict, verdictFromIn)
	if evacuated && !slices.ContainsFunc(r.zoneFaults, func(f zoneFault) bool { return f.zone == zone && f.explains(at) }) {
		report.FalseVerdicts++
	}
}

// zoneFaultResult calculates the outcome of a fault from the shifts of all proxies, which must be ordered by time for each
// proxy.
func (r *runner) zoneFaultResult(fault zoneFault, shifts []zoneShift) ZoneFaultResult {
	result := ZoneFaultResult{Zone: fault.zone, At: fault.from.Sub(r.log.start)}
	to := fault.to
	if to.IsZero() {
		to = r.log.start.Add(seconds(r.plan.Scenario.LengthS))
	}
	result.Duration = to.Sub(fault.from)
	evacuated, served := map[int]bool{}, map[int]float64{}
	for _, shift := range shifts {
		if shift.zone != fault.zone || fault.proxiesInside[shift.proxy] || shift.at.Before(fault.from) {
			continue
		}
		if shift.served == 0 && !evacuated[shift.proxy] && shift.at.Before(to) {
			evacuated[shift.proxy] = true
			elapsed := shift.at.Sub(fault.from)
			if result.FirstEvacuated == 0 || elapsed < result.FirstEvacuated {
				result.FirstEvacuated = elapsed
			}
			result.LastEvacuated = max(result.LastEvacuated, elapsed)
		}
		if served[shift.proxy] = shift.served; shift.served == 1 && shift.at.After(to) {
			result.Returned = max(result.Returned, shift.at.Sub(to))
		}
	}
	for i := range r.proxies {
		if !fault.proxiesInside[i] && !evacuated[i] {
			result.NeverEvacuated++
		}
		if fraction, ok := served[i]; ok && fraction < 1 {
			result.Returned = 0 // this proxy does not serve all of its keys there
		}
	}
	start := r.load.start
	result.EarnedWeightDuring = r.earnedWeightFraction(fault.from.Sub(start), fault.from.Add(weightSpanDuring).Sub(start))
	result.EarnedWeightAfter = r.earnedWeightFraction(to.Sub(start), to.Add(weightSpanAfter).Sub(start))
	return result
}

// hasCause reports whether a fault explains that a proxy finds a zone unreachable at the given time: the fault affects that
// zone or the zone of the proxy.
func (r *runner) hasCause(proxy int, zone string, at time.Time) bool {
	return slices.ContainsFunc(r.zoneFaults, func(f zoneFault) bool {
		return f.explains(at) && (f.zone == zone || f.proxiesInside[proxy])
	})
}
