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

// What befalls whole zones, and how proxies judge it.

// ZoneHit is what became of a zone that was hit. Times are from the hit, and from its end.
type ZoneFaultResult struct {
	Zone        string
	At, For     time.Duration
	First, Last time.Duration // until the first and the last proxy outside had left it; 0: none had
	Kept        int           // proxies outside that never left it
	Back        time.Duration // until the last proxy served all of its keys there; 0: it was not seen
	WorthAt     float64       // part of the value earned of what was asked in the first five seconds,
	WorthBack   float64       // and in the ten seconds after its end
}

// hit is when a zone was hit, by the wall clock.
type zoneFault struct {
	zone          string
	from, to      time.Time // zero: to the end of the day
	proxiesInside map[int]bool
	harmless      bool // what hits it is no reason to leave it
}

// quarter writes a proxy's file of zones.
func (p *runner) writeZoneConfig(m *managedProxy) error {
	d := p.plan.Day
	if d.Zones.Judged == "" {
		return nil
	}
	m.site.ZoneHealthFile = filepath.Join(m.site.Dir, "zones.toml")
	text := ""
	if d.Zones.Judged == "told" {
		text = "alone = false\ntogether = false\n"
	} else if d.Zones.Judged == "alone" {
		text = "together = false\n"
	}
	for name, zones := range d.Zones.Regions {
		text += fmt.Sprintf("[[region]]\nname = %q\nzones = [\"%s\"]\n", name, strings.Join(zones, "\", \""))
	}
	return os.WriteFile(m.site.ZoneHealthFile, []byte(text), 0o600)
}

// struck notes that a zone is hit, or that it is over. Operators who are told order it out and in at once, by way of every
// proxy that they reach.
func (p *runner) noteZoneFault(b FaultEvent, on bool) {
	if b.Zone == "" {
		return
	}
	p.mu.Lock()
	if on {
		h := zoneFault{zone: b.Zone, from: time.Now(), proxiesInside: map[int]bool{}, harmless: b.Kind == "zone-grey"}
		for _, i := range b.Targets {
			h.proxiesInside[i] = true
		}
		p.zoneFaults = append(p.zoneFaults, h)
	} else {
		for i := range p.zoneFaults {
			if p.zoneFaults[i].zone == b.Zone && p.zoneFaults[i].to.IsZero() {
				p.zoneFaults[i].to = time.Now()
			}
		}
	}
	p.mu.Unlock()
	if p.plan.Day.Zones.Judged != "told" || b.Kind == "zone-grey" {
		return
	}
	want := "auto"
	if on {
		want = "out"
	}
	var all sync.WaitGroup
	for i, m := range p.proxies {
		if slices.Contains(b.Targets, i) {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			c := http.Client{Timeout: time.Second}
			if r, err := c.Post("http://"+m.site.AdminAddress+"/control/zones/"+url.PathEscape(b.Zone)+"/"+want, "", nil); err == nil {
				r.Body.Close()
			}
		}()
	}
	all.Wait()
}

// greyZone has a third of a zone's nodes be slow, and a part of all its answers be failures.
func (p *runner) degradeZone(ctx context.Context, b FaultEvent, duration time.Duration) {
	nodes := p.nodesInZone(b.Zone)
	set := func(times, part float64) {
		for k, n := range nodes {
			if k%3 == 0 {
				n.work.setSlowdown(times)
			}
			if part > 0 {
				n.Set("fails", part, 0, 0)
			} else {
				n.Set("", 1, 0, 0)
			}
		}
	}
	p.noteZoneFault(b, true)
	set(b.Times, b.Part)
	sleep(ctx, duration)
	set(1, 0)
	p.noteZoneFault(b, false)
}

// judged reads in the proxies' logs when each left a zone that was hit, and returned to it.
func (p *runner) measureZoneHealth(r *Report) {
	type turn struct {
		proxy int
		zone  string
		at    time.Time
		open  float64
	}
	var turns []turn
	p.eachLogLine(func(i int, l logLine) {
		said, ok := strings.CutPrefix(l.Msg, "zones: zone ")
		if !ok {
			return
		}
		at := time.UnixMicro(int64(l.At * 1e6))
		zone, rest, _ := strings.Cut(said, ": ")
		if strings.HasPrefix(rest, "passed by this proxy alone") && !p.hasCause(i, zone, at) {
			r.Hasty++
		}
		var open float64
		if n, err := fmt.Sscanf(rest, "%f of its keys are served there", &open); n == 1 && err == nil {
			turns = append(turns, turn{i, zone, at, open})
		}
		if strings.HasPrefix(rest, "out (") && strings.Contains(rest, " from in,") || strings.HasPrefix(rest, "leaving (") {
			if !slices.ContainsFunc(p.zoneFaults, func(h zoneFault) bool { return h.zone == zone && h.explains(at) }) {
				r.Convicted++
			}
		}
	})
	for _, h := range p.zoneFaults {
		z := ZoneFaultResult{Zone: h.zone, At: h.from.Sub(p.log.start)}
		to := h.to
		if to.IsZero() {
			to = p.log.start.Add(seconds(p.plan.Day.Length))
		}
		z.For = to.Sub(h.from)
		left, open := map[int]bool{}, map[int]float64{}
		for _, t := range turns { // of one proxy in order
			if t.zone != h.zone || h.proxiesInside[t.proxy] || t.at.Before(h.from) {
				continue
			}
			if t.open == 0 && !left[t.proxy] && t.at.Before(to) {
				left[t.proxy] = true
				took := t.at.Sub(h.from)
				if z.First == 0 || took < z.First {
					z.First = took
				}
				z.Last = max(z.Last, took)
			}
			if open[t.proxy] = t.open; t.open == 1 && t.at.After(to) {
				z.Back = max(z.Back, t.at.Sub(to))
			}
		}
		for i := range p.proxies {
			if !h.proxiesInside[i] && !left[i] {
				z.Kept++
			}
			if f, ok := open[i]; ok && f < 1 {
				z.Back = 0 // one has not come to the end
			}
		}
		start := p.load.start
		z.WorthAt = p.earnedValuePart(h.from.Sub(start), h.from.Add(5*time.Second).Sub(start))
		z.WorthBack = p.earnedValuePart(to.Sub(start), to.Add(10*time.Second).Sub(start))
		r.Zones = append(r.Zones, z)
	}
}

// may tells whether a verdict at that moment may come of the hit.
func (h *zoneFault) explains(at time.Time) bool {
	return !h.harmless && at.After(h.from) && (h.to.IsZero() || at.Before(h.to.Add(2*time.Second)))
}

// cutOff tells whether a proxy may find a zone gone at that moment: something had hit the zone, or the proxy's own.
func (p *runner) hasCause(proxy int, zone string, at time.Time) bool {
	return slices.ContainsFunc(p.zoneFaults, func(h zoneFault) bool { return h.explains(at) && (h.zone == zone || h.proxiesInside[proxy]) })
}

// worth is the part of the value that was earned in time of what was asked within a span of the day.
func (p *runner) earnedValuePart(from, to time.Duration) float64 {
	value, all := 0.0, 0.0
	for _, q := range p.load.results {
		route := p.plan.Day.Routes[q.Request.Route]
		if q.Request.At < from || q.Request.At >= to || q.Outcome == Left {
			continue
		}
		if all += route.Value; q.Outcome == Completed && q.Latency <= millis(route.Objective) {
			value += route.Value
		}
	}
	return value / max(all, 1e-9)
}
