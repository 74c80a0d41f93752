package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// call makes an operator's call and returns the status of its answer.
func (p *proxyProcess) call(manage, method, path string) int {
	request, err := http.NewRequest(method, "http://"+manage+path, http.NoBody)
	if err != nil {
		return 0
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	p.rig.note("operator: %s %s at %s: %d", method, path, manage, response.StatusCode)
	return response.StatusCode
}

// runReplaced sends clients away from a proxy and then replaces its process.
func runReplaced(r *rig) error {
	f, err := r.startFleet(4, func(f *fleet, n *node, c *command) answer {
		if !n.keeps(c.key) {
			f.noteMiss(n, c.id)
			return missed()
		}
		return served(madeFor(c.key, c.id))
	}, func(f *fleet, n *node, c *command) answer {
		time.Sleep(10 * time.Millisecond)
		f.store(c)
		return httpOK(madeFor(c.key, c.id))
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
	if p.call(p.manage, http.MethodPost, "/control/out-of-service") != http.StatusOK {
		return fmt.Errorf("%w: the call was refused", errCannotRun)
	}
	calledAt := time.Now()
	time.Sleep(time.Second)
	r.note("front: PING %q", p.ping())
	current := p
	if r.trouble {
		manage, err := freeAddress()
		if err != nil {
			return err
		}
		next := &proxyProcess{rig: r, name: p.name, listen: p.listen, manage: manage, configFile: p.configFile, config: p.config, temp: p.temp}
		if err := next.start(); err != nil {
			return err
		}
		defer next.stop()
		for end := time.Now().Add(6 * time.Second); next.call(manage, http.MethodGet, "/control/ready") != http.StatusOK; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%w: the second process is not ready", errCannotRun)
			}
		}
		p.signal(syscall.SIGTERM)
		<-p.done
		current = next
	}
	time.Sleep(time.Until(calledAt.Add(4500 * time.Millisecond)))
	var mu sync.Mutex
	counts := map[string]int{}
	for range 50 {
		answer := current.ping()
		mu.Lock()
		counts[answer]++
		mu.Unlock()
		if strings.HasPrefix(answer, "+PONG") {
			r.violate("PING says yes %.1f s after the call out of service", time.Since(calledAt).Seconds())
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.note("answers to PING: %v", counts)
	return nil
}
