package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Forms of spoilt answers, and the share of answers that come so.
const (
	spoiltShare = 0.05

	formLength = "length" // the origin's Content-Length is too small for its value
	formNoise  = "noise"  // a cache's answer is an array of a line of noise in place of the value
)

// madeFor is the value that a node makes for a request.
func madeFor(key, id string) []byte {
	return fmt.Appendf(nil, "{\"boat\":%q,\"made-for\":%q,\"berth\":\"pontoon 4\",\"from\":\"2026-12-05\",\"to\":\"2026-12-08\"}", key, id)
}

// runLength has one of twenty answers of the origin come with a length that does not fit.
func runLength(r *rig) error { return runSpoilt(r, formLength) }

// runNoise has one of twenty answers of caches come as noise.
func runNoise(r *rig) error { return runSpoilt(r, formNoise) }

// runSpoilt has some answers come spoilt, and compares what clients are served with what was made for them.
func runSpoilt(r *rig, spoilt string) error {
	spoils := func(form string) bool { return r.trouble && form == spoilt && r.random.float() < spoiltShare }
	var mu sync.Mutex
	spoiltFor := map[string]string{} // form by request's id
	noteSpoilt := func(form string, n *node, c *command) {
		mu.Lock()
		spoiltFor[c.id] = form
		mu.Unlock()
		r.note("node %s: spoilt answer (%s) for %s", n.name, form, c.id)
	}
	f, err := r.startFleet(4, func(f *fleet, n *node, c *command) answer {
		time.Sleep(5 * time.Millisecond)
		switch {
		case !n.keeps(c.key):
			f.noteMiss(n, c.id)
			return missed()
		case spoils(formNoise):
			noteSpoilt(formNoise, n, c)
			return answer{parts: [][]byte{[]byte("*3\r\n+" + strings.Repeat("\x07~", 20) + "\r\n$3\r\nhit\r\n$-1\r\n")}}
		}
		return served(madeFor(c.key, c.id))
	}, func(f *fleet, n *node, c *command) answer {
		time.Sleep(20 * time.Millisecond)
		value := madeFor(c.key, c.id)
		if spoils(formLength) {
			noteSpoilt(formLength, n, c)
			return httpOKWithLength(value, len(value)-23)
		}
		f.store(c)
		return httpOK(value)
	})
	if err != nil {
		return err
	}
	d, err := r.startDiscovery(f.entries(), func() time.Duration { return 0 })
	if err != nil {
		return err
	}
	p, err := r.startProxy("n1", d.listener.Addr().String(), nil, limits{192, 1024}, settings(4, canalRoutes))
	if err != nil {
		return err
	}
	defer p.stop()
	if err := p.awaitReady(10 * time.Second); err != nil {
		return err
	}
	pool := &clients{rig: r, address: p.listen}
	defer pool.close()
	counts := map[string]int{}
	var wait sync.WaitGroup
	for i := range 1500 { // fifty a second, for half a minute
		wait.Go(func() {
			key, id := fmt.Sprintf("boat-%d", i*7919%600), r.newID()
			got := pool.ask(key, id, "c=lookup,t=base-dakar,d=1500", nil, 3*time.Second, 0)
			mu.Lock()
			form := spoiltFor[id]
			counts[got.kind]++
			mu.Unlock()
			made := madeFor(key, id)
			r.note("client: %s %s: %s %q after %v", id, key, got.kind, string(got.value)+got.text, got.took.Round(time.Millisecond))
			if got.kind == "value" && !bytes.Equal(got.value, made) {
				r.violate("request %s was served %d bytes %q, not the %d made for it (spoilt answer: %s)", id, len(got.value), got.value, len(made), form)
				mu.Lock()
				counts["wrong value"]++
				mu.Unlock()
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	r.note("answers: %v; requests for which an answer was spoilt: %d", counts, len(spoiltFor))
	if counts["value"] < 1000 {
		return fmt.Errorf("%w: only %d requests were served", errCannotRun, counts["value"])
	}
	return nil
}
