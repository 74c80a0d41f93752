// Package experiment measures: it plays days of the emulator by experiments, keeps what came of them in tables, and says by how
// much variants differ.
package experiment

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"woodproxy/internal/emulator"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sums is what is kept of a played day.
type Sums struct {
	Requests                                        int
	Completed, InTime, Shed, Errored, Lost, Refused float64 // parts of those that clients waited for
	Worth                                           float64 // part of the value that was earned, in time
	P50, P90, P99, Max                              float64 // latency of completed ones, from when they were due, in milliseconds
	Tries                                           float64 // commands that nodes took, a request
	CPU                                             float64 // of all proxies, microseconds a request; 0 where it is not known
	LateMS                                          float64
	Breaches                                        int
	BadMute                                         int
	// of the talk among proxies, 0 where there is none
	HeardP50, HeardP99, CaughtP50, CaughtMax float64 // ms until a proxy had what one other was told; until one that came back had caught up
	Unheard                                  int     // proxies that never had it
	PeerBytes, PeerPackets                   float64 // a second and proxy, in and out; in
	// of zones that were hit: ms until the first and last proxy had left, and until all served all of its keys again, the most
	// and the mean; proxies that never left; worth in the first five seconds, and in the ten after its end, the means
	LeftFirst, LeftLast, ZoneBack, WorthHit, WorthBack float64
	NeverLeft, Convicted                               int
	ColdPeak                                           float64 // the most any node took cold, against what fells it
	emulator.Together
	FullS                            float64 // after the last kill, until in-time service stayed over 95% of what it was before; the most
	AbsentAsked, AbsentSaid, StaleMS float64 // missing keys that the origin was asked for, and clients heard of, a second; called missing after a write
}

// Of sums up a day.
func Of(r *emulator.Report) Sums {
	s := Sums{LateMS: r.LateMS, Breaches: len(r.Breaches), BadMute: r.BadMute, CPU: r.CPU}
	h := hdrhistogram.New(1, 120_000_000, 3) // microseconds
	waited, worth, all := 0.0, 0.0, 0.0
	d := r.Plan.Day
	for _, q := range r.Results {
		route := d.Routes[q.Request.Route]
		if q.Outcome == emulator.Left {
			continue
		}
		waited++
		all += route.Value
		switch q.Outcome {
		case emulator.Completed:
			s.Completed++
			h.RecordValue(max(q.Latency.Microseconds(), 1))
			if q.Latency.Seconds()*1000 <= route.Objective {
				s.InTime++
				worth += route.Value
			}
		case emulator.Shed:
			s.Shed++
		case emulator.Errored:
			s.Errored++
		case emulator.Lost:
			s.Lost++
		case emulator.Refused:
			s.Refused++
		}
	}
	for _, f := range []*float64{&s.Completed, &s.InTime, &s.Shed, &s.Errored, &s.Lost, &s.Refused} {
		*f /= max(waited, 1)
	}
	s.Requests, s.Worth = len(r.Results), worth/max(all, 1e-9)
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	s.P50, s.P90, s.P99, s.Max = ms(50), ms(90), ms(99), float64(h.Max())/1000
	took := 0.0
	for _, e := range r.Seen {
		if e.What == emulator.Took {
			took++
		}
	}
	at := func(all []time.Duration, part float64) float64 {
		if len(all) == 0 {
			return 0
		}
		return float64(all[min(int(part*float64(len(all))), len(all)-1)].Microseconds()) / 1000
	}
	s.HeardP50, s.HeardP99, s.Unheard = at(r.Whispers, 0.5), at(r.Whispers, 0.99), r.Unheard
	s.CaughtP50, s.CaughtMax = at(r.CatchUps, 0.5), at(r.CatchUps, 1)
	s.PeerBytes, s.PeerPackets = r.PeerBytes, r.PeerPackets
	for _, z := range r.Zones {
		s.LeftFirst, s.LeftLast = max(s.LeftFirst, z.First.Seconds()*1000), max(s.LeftLast, z.Last.Seconds()*1000)
		s.ZoneBack = max(s.ZoneBack, z.Back.Seconds()*1000)
		n := float64(len(r.Zones))
		s.WorthHit, s.WorthBack, s.NeverLeft = s.WorthHit+z.WorthAt/n, s.WorthBack+z.WorthBack/n, s.NeverLeft+z.Kept
	}
	s.Convicted, s.ColdPeak, s.Together = r.Convicted, r.ColdPeak, r.Together
	for _, x := range r.Returns {
		s.FullS = max(s.FullS, x.Full.Seconds())
	}
	s.AbsentAsked, s.AbsentSaid, s.StaleMS = r.AbsentAsked, r.AbsentSaid, r.Stale.Seconds()*1000
	s.Tries = took / max(float64(s.Requests), 1)
	return s
}

// Sum words a day's figures.
func Sum(r *emulator.Report) string {
	s := Of(r)
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d: %d requests; completed %.1f%% (in time %.1f%%), shed %.1f%%, errored %.1f%%, lost %.1f%%, refused %.1f%%\n",
		r.Plan.Day.Name, r.Plan.Seed, s.Requests, 100*s.Completed, 100*s.InTime, 100*s.Shed, 100*s.Errored, 100*s.Lost, 100*s.Refused)
	fmt.Fprintf(&b, "worth %.4f; latency from when it was due, ms: p50 %.1f, p90 %.1f, p99 %.1f, most %.1f; %.2f tries and %.0f us of CPU a request\n",
		s.Worth, s.P50, s.P90, s.P99, s.Max, s.Tries, s.CPU)
	if r.Plan.Day.Peers.Talk {
		fmt.Fprintf(&b, "talk: %.0f bytes and %.0f packets a second and proxy; caught up after p50 %.0f ms, most %.0f (%d times)\n", s.PeerBytes,
			s.PeerPackets, s.CaughtP50, s.CaughtMax, len(r.CatchUps))
		if len(r.Whispers) > 0 || r.Unheard > 0 {
			fmt.Fprintf(&b, "what one proxy was told the others had after p50 %.0f ms, p99 %.0f (%d), and %d never\n", s.HeardP50, s.HeardP99,
				len(r.Whispers), r.Unheard)
		}
	}
	fmt.Fprintf(&b, "together: a silent node took %.2f a second, discovery %.1f watches at a time and %.2f calls a second, a cache held %.1f connections, %d at most\n",
		s.Trials, s.Watches, s.Calls, s.Conns, s.Most)
	for _, z := range r.Zones {
		fmt.Fprintf(&b, "zone %s, hit at %.1f s for %.1f: left after %.0f to %.0f ms, %d never; all of it again %.0f ms after its end; worth %.3f in the first 5 s, %.3f in the 10 s after its end\n",
			z.Zone, z.At.Seconds(), z.For.Seconds(), z.First.Seconds()*1000, z.Last.Seconds()*1000, z.Kept, z.Back.Seconds()*1000, z.WorthAt, z.WorthBack)
	}
	if r.Plan.Day.Zones.Judged != "" {
		fmt.Fprintf(&b, "zones judged %s: %d verdicts on zones that nothing had hit, and %d passed by alone\n", r.Plan.Day.Zones.Judged,
			r.Convicted, r.Hasty)
	}
	for _, x := range r.Returns {
		fmt.Fprintf(&b, "%d proxies killed at %.1f s: full service again after %.0f s, %.0f s after the last start; before %.3f in time, %.3f in the time between\n", x.Killed,
			x.At.Seconds(), x.Full.Seconds(), max(x.Full-x.Started, 0).Seconds(), x.Before, x.Between)
	}
	if r.AbsentSaid > 0 {
		fmt.Fprintf(&b, "missing keys: the origin was asked for %.1f a second, clients heard of %.1f; one was called missing %.0f ms after it was written at most\n",
			r.AbsentAsked, r.AbsentSaid, r.Stale.Seconds()*1000)
	}
	if r.ColdPeak > 0 {
		fmt.Fprintf(&b, "the most a cold node took in a second, of all proxies, is %.2f of what fells it\n", r.ColdPeak)
	}
	if !r.Ran {
		fmt.Fprintf(&b, "the load itself ran late, by up to %.1f ms: the figures do not count\n", s.LateMS)
	}
	if s.BadMute > 0 {
		fmt.Fprintf(&b, "%d bad clients had neither an error nor a close\n", s.BadMute)
	}
	return b.String()
}

// Fresh makes a directory that has nothing in it.
func Fresh(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if len(entries) > 0 {
		return fmt.Errorf("%s: not empty", dir)
	}
	return os.MkdirAll(dir, 0o700)
}
