package emulator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var errNoSuchKey = errors.New("the origin has no such key")

// cluster is the state that nodes share: which cache has which keys, and what the origin has carried out. Its methods may be
// called concurrently, those whose name ends in Locked with mu held.
type cluster struct {
	log         *EventLog
	scenario    *Scenario
	valueSize   int           // bytes
	network     *network      // nil: nothing stands between processes
	connections atomic.Int64  // that nodes have accepted
	sent        *sentCommands // nil: nobody notes what clients send

	mu       sync.Mutex
	zones    map[string]string     // by node
	cached   map[string]*nodeCache // by node
	missedBy map[string][]string   // by request, the caches that missed until the origin answers
	lastRun  map[string]time.Time  // by idempotency key, when what the origin last carried out had come
	routes   map[string]Route      // by request
	proxyOf  map[string]int        // by request, the proxy that a client sent it to last
	written  map[string]int        // by key that was written, the number of its last write
	writes   int
}

// nodeCache is the keys that a cache has: those that it was started with, and those that it was given, unless they were
// written since.
type nodeCache struct {
	warm  bool           // it was started with the scenario's part of all keys
	given map[string]int // by key, the number of the last write of any key then
}

func newCluster(scenario *Scenario, log *EventLog) *cluster {
	return &cluster{
		sent: &sentCommands{byID: map[string]clientCommand{}},
		log:  log, valueSize: scenario.Keys.ValueBytes, scenario: scenario, zones: map[string]string{},
		cached: map[string]*nodeCache{}, missedBy: map[string][]string{}, lastRun: map[string]time.Time{},
		routes: map[string]Route{}, proxyOf: map[string]int{}, written: map[string]int{},
	}
}

// proxyName returns the name of a proxy by its index.
func proxyName(i int) string { return fmt.Sprintf("n%d", i) }

// recordProxy records to which proxy a client sends a request.
func (c *cluster) recordProxy(id string, proxy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proxyOf[id] = proxy
}

// proxyFor returns the proxy that a client sent a request to, or the given one where that is not known. An attempt's address does
// not tell it, since a proxy may have learnt the address from another.
func (c *cluster) proxyFor(id string, otherwise int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.proxyOf[id]; ok {
		return p
	}
	return otherwise
}

// checkSent records that a node has received what no client has sent, if it has.
func (c *cluster) checkSent(n *Node, proxy int, id string, received clientCommand) {
	if !c.sent.wasSent(id, received) {
		note := fmt.Sprintf("%s %.40q, request %q, %q, %d bytes", received.name, received.key, id, received.facts, len(received.value))
		c.log.Record(Event{Kind: CommandInvented, RequestID: id, Proxy: proxy, Node: n.Name, Note: note})
	}
}

// checkReadable records that a node could not read a command, unless its connection ended before the last byte.
func (c *cluster) checkReadable(n *Node, proxy int, err error) {
	var networkError net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, errLinkReset) || errors.As(err, &networkError)
	if c.sent != nil && !ended {
		c.log.Record(Event{Kind: CommandInvented, Proxy: proxy, Node: n.Name, Note: "what can't be read: " + err.Error()})
	}
}

// crossZoneDelay waits for as long as the way between a proxy and a cache takes more than within a zone.
func (c *cluster) crossZoneDelay(n *Node, proxy int) {
	zones := c.scenario.Fleet.Zones
	if len(zones) <= 1 || n.Origin {
		return
	}
	c.mu.Lock()
	crossZone := c.zones[n.Name] != zones[proxy%len(zones)]
	c.mu.Unlock()
	if crossZone {
		time.Sleep(millis(c.scenario.Fleet.CrossZoneMS))
	}
}

// lookUp does a cache's work on a command and reports whether it has the key. An error is errQueueFull.
func (c *cluster) lookUp(n *Node, proxy int, id, key string) (bool, error) {
	if n.work == nil {
		return true, nil
	}
	c.crossZoneDelay(n, proxy)
	if err := n.work.process(id, n.Name); err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.hasKeyLocked(n.Name, key)
	if !cached {
		c.missedBy[id] = append(c.missedBy[id], n.Name)
	}
	return cached, nil
}

// originRequest is a request at the origin.
type originRequest struct {
	id             string
	proxy          int
	key            string
	idempotencyKey string // "": none
	write          bool
	receivedAt     time.Time // to its last byte
}

// fetch does the origin's work on a request. A value that is read is cached from then on by the caches that missed; one that is
// written is cached nowhere. A write's repeat is dropped if it came within the deduplication window of its idempotency key, which
// counts from when the other came, however long either waits for its turn. An error is
// errQueueFull or errNoSuchKey.
func (c *cluster) fetch(n *Node, r originRequest) error {
	if n.work == nil {
		return nil
	}
	if err := n.work.process(r.id, n.Name); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.write {
		c.writeLocked(n, r)
		return nil
	}
	if c.isAbsentLocked(r.key) {
		c.log.Record(Event{Kind: KeyAbsent, RequestID: r.id, Proxy: r.proxy, Node: n.Name, Note: r.key})
		return errNoSuchKey
	}
	for _, name := range c.missedBy[r.id] {
		if cache := c.cached[name]; cache != nil {
			cache.given[r.key] = c.writes
		}
	}
	delete(c.missedBy, r.id)
	return nil
}

func (c *cluster) writeLocked(n *Node, r originRequest) {
	window := millis(c.routes[r.id].DedupMS)
	if at, ok := c.lastRun[r.idempotencyKey]; r.idempotencyKey == "" || !ok || r.receivedAt.Sub(at).Abs() >= window+timingSlack {
		if r.idempotencyKey != "" {
			c.lastRun[r.idempotencyKey] = r.receivedAt
		}
		c.log.Record(Event{Kind: WriteExecuted, RequestID: r.id, Proxy: r.proxy, Node: n.Name, Note: r.idempotencyKey})
	}
	c.writes++
	c.written[r.key] = c.writes
}

// hasKeyLocked reports whether a cache has a key.
func (c *cluster) hasKeyLocked(node, key string) bool {
	cache := c.cached[node]
	if cache == nil {
		return false
	}
	if since, given := cache.given[key]; given {
		return since >= c.written[key]
	}
	return cache.warm && c.written[key] == 0 && hashedFloat("warm", key) < c.scenario.Keys.CachedFraction && !c.isAbsentLocked(key)
}

// isAbsentLocked reports whether the origin has no such key by now.
func (c *cluster) isAbsentLocked(key string) bool {
	part := c.scenario.NegativeCache.AbsentFraction
	return part > 0 && c.written[key] == 0 && hashedFloat("missing", key) < part
}

// resetCache empties a node's cache, or has it hold the keys that caches have at the start.
func (c *cluster) resetCache(name string, warm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached[name] = &nodeCache{warm: warm, given: map[string]int{}}
}

// assignZone puts a node into the next of the zones, if there are any.
func (c *cluster) assignZone(name string) {
	zones := c.scenario.Fleet.Zones
	if len(zones) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[name] = zones[len(c.zones)%len(zones)]
}

// zoneOf returns a node's zone, "" where it has none.
func (c *cluster) zoneOf(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zones[name]
}

// nodesInZone returns the names of a zone's caches.
func (c *cluster) nodesInZone(zone string) (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, z := range c.zones {
		if z == zone {
			names = append(names, name)
		}
	}
	return names
}
