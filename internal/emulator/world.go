package emulator

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// World is what nodes share: which keys lie where, which caches lacked a key for a request, what has run.
type World struct {
	Log  *Log
	size int
	ways *Ways // nil: nothing stands between processes

	mu     sync.Mutex
	day    *Day
	zones  map[string]string          // of nodes
	keeps  map[string]map[string]bool // by node, the keys that lie there
	lacked map[string][]string        // by request, the caches that missed; emptied as the origin answers
	ran    map[string]time.Time       // by mark, when the origin last carried it out
	writes map[string]Route           // by request
	asked  map[string]int             // by request, the proxy that a client asked last
	made   map[string]bool            // keys that the origin lacked and that were written
}

func newWorld(day *Day, log *Log) *World {
	return &World{
		Log: log, size: day.Keys.Size, day: day, zones: map[string]string{}, keeps: map[string]map[string]bool{},
		lacked: map[string][]string{}, ran: map[string]time.Time{}, writes: map[string]Route{}, asked: map[string]int{}, made: map[string]bool{},
	}
}

func proxyName(i int) string { return fmt.Sprintf("n%d", i) }

// asks notes whom a client asks, whose tells it: a proxy that has an address from another can't be told by the address.
func (w *World) asks(id string, proxy int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked[id] = proxy
}

func (w *World) whose(id string, otherwise int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p, ok := w.asked[id]; ok {
		return p
	}
	return otherwise
}

// far waits for as long as the way between a proxy and a node takes more than usual.
func (w *World) far(n *Node, proxy int) {
	if zones := w.day.Fleet.Zones; len(zones) > 1 && !n.Origin {
		w.mu.Lock()
		away := w.zones[n.Name] != zones[proxy%len(zones)]
		w.mu.Unlock()
		if away {
			time.Sleep(millis(w.day.Fleet.Cross))
		}
	}
}

// read is a cache's work on a command; it tells whether the key lies there.
func (w *World) read(n *Node, proxy int, id, key string) (bool, error) {
	if n.work == nil {
		return true, nil
	}
	w.far(n, proxy)
	if err := n.work.do(id, n.Name); err != nil {
		return false, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	has := w.keeps[n.Name][key]
	if !has {
		w.lacked[id] = append(w.lacked[id], n.Name)
	}
	return has, nil
}

// fetched is the origin's work on a request. What it answers is kept from then on by the caches that missed; what is
// written is kept nowhere. A write's repeat is dropped while its mark stands.
func (w *World) fetched(n *Node, proxy int, id, key, mark string, write bool) error {
	if n.work == nil {
		return nil
	}
	if err := n.work.do(id, n.Name); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !write && w.lacks(key) {
		w.Log.See(Seen{What: Lacked, ID: id, Proxy: proxy, Node: n.Name, Note: key})
		return errAbsent
	}
	if !write {
		for _, name := range w.lacked[id] {
			if k := w.keeps[name]; k != nil {
				k[key] = true
			}
		}
		delete(w.lacked, id)
		return nil
	}
	window := millis(w.writes[id].Dedup)
	if at, ok := w.ran[mark]; mark == "" || !ok || time.Since(at) >= window {
		if mark != "" {
			w.ran[mark] = time.Now()
		}
		w.Log.See(Seen{What: Ran, ID: id, Proxy: proxy, Node: n.Name, Note: mark})
	}
	w.made[key] = true
	for _, k := range w.keeps {
		delete(k, key)
	}
	return nil
}

var errAbsent = errors.New("the origin has no such key")

// lacks tells whether the origin has no such key by now.
func (w *World) lacks(key string) bool {
	return w.day.Missing.Part > 0 && !w.made[key] && draw("missing", key) < w.day.Missing.Part
}

// empties has a node keep nothing, or only what it is given.
func (w *World) empties(name string, keys map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if keys == nil {
		keys = map[string]bool{}
	}
	w.keeps[name] = keys
}
