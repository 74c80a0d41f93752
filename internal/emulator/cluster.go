package emulator

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// World is what nodes share: which keys lie where, which caches lacked a key for a request, what has run.
type cluster struct {
	Log       *EventLog
	valueSize int
	network   *network // nil: nothing stands between processes

	mu       sync.Mutex
	scenario *Day
	zones    map[string]string          // of nodes
	cached   map[string]map[string]bool // by node, the keys that lie there
	missedBy map[string][]string        // by request, the caches that missed; emptied as the origin answers
	lastRun  map[string]time.Time       // by mark, when the origin last carried it out
	routes   map[string]Route           // by request
	proxyOf  map[string]int             // by request, the proxy that a client asked last
	written  map[string]bool            // keys that the origin lacked and that were written
}

func newCluster(day *Day, log *EventLog) *cluster {
	return &cluster{
		Log: log, valueSize: day.Keys.Size, scenario: day, zones: map[string]string{}, cached: map[string]map[string]bool{},
		missedBy: map[string][]string{}, lastRun: map[string]time.Time{}, routes: map[string]Route{}, proxyOf: map[string]int{}, written: map[string]bool{},
	}
}

func proxyName(i int) string { return fmt.Sprintf("n%d", i) }

// asks notes whom a client asks, whose tells it: a proxy that has an address from another can't be told by the address.
func (w *cluster) recordProxy(id string, proxy int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proxyOf[id] = proxy
}

func (w *cluster) proxyFor(id string, otherwise int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p, ok := w.proxyOf[id]; ok {
		return p
	}
	return otherwise
}

// far waits for as long as the way between a proxy and a node takes more than usual.
func (w *cluster) crossZoneDelay(n *Node, proxy int) {
	if zones := w.scenario.Fleet.Zones; len(zones) > 1 && !n.Origin {
		w.mu.Lock()
		away := w.zones[n.Name] != zones[proxy%len(zones)]
		w.mu.Unlock()
		if away {
			time.Sleep(millis(w.scenario.Fleet.Cross))
		}
	}
}

// read is a cache's work on a command; it tells whether the key lies there.
func (w *cluster) lookUp(n *Node, proxy int, id, key string) (bool, error) {
	if n.work == nil {
		return true, nil
	}
	w.crossZoneDelay(n, proxy)
	if err := n.work.process(id, n.Name); err != nil {
		return false, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	has := w.cached[n.Name][key]
	if !has {
		w.missedBy[id] = append(w.missedBy[id], n.Name)
	}
	return has, nil
}

// fetched is the origin's work on a request. What it answers is kept from then on by the caches that missed; what is
// written is kept nowhere. A write's repeat is dropped while its mark stands.
func (w *cluster) fetch(n *Node, proxy int, id, key, mark string, write bool) error {
	if n.work == nil {
		return nil
	}
	if err := n.work.process(id, n.Name); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !write && w.isAbsent(key) {
		w.Log.Record(Seen{What: Lacked, ID: id, Proxy: proxy, Node: n.Name, Note: key})
		return errAbsent
	}
	if !write {
		for _, name := range w.missedBy[id] {
			if k := w.cached[name]; k != nil {
				k[key] = true
			}
		}
		delete(w.missedBy, id)
		return nil
	}
	window := millis(w.routes[id].Dedup)
	if at, ok := w.lastRun[mark]; mark == "" || !ok || time.Since(at) >= window {
		if mark != "" {
			w.lastRun[mark] = time.Now()
		}
		w.Log.Record(Seen{What: Ran, ID: id, Proxy: proxy, Node: n.Name, Note: mark})
	}
	w.written[key] = true
	for _, k := range w.cached {
		delete(k, key)
	}
	return nil
}

var errAbsent = errors.New("the origin has no such key")

// lacks tells whether the origin has no such key by now.
func (w *cluster) isAbsent(key string) bool {
	return w.scenario.Missing.Part > 0 && !w.written[key] && hashedFloat("missing", key) < w.scenario.Missing.Part
}

// empties has a node keep nothing, or only what it is given.
func (w *cluster) resetCache(name string, keys map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if keys == nil {
		keys = map[string]bool{}
	}
	w.cached[name] = keys
}
