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

// cluster is the state that the nodes of a run share: the keys in each cache and the writes that the origin has executed.
// Its methods may be called concurrently; methods whose name ends in Locked require mu.
type cluster struct {
	log         *EventLog
	scenario    *Scenario
	valueSize   int           // bytes
	network     *network      // nil: no simulated links
	connections atomic.Int64  // number of connections that nodes have accepted
	sent        *sentCommands // nil: commands of clients are not recorded

	mu           sync.Mutex
	zones        map[string]string     // by node
	cached       map[string]*nodeCache // by node
	missedBy     map[string][]string   // by request ID, the caches that missed, until the origin responds
	lastExecuted map[string]time.Time  // by idempotency key, the receive time of the last executed write
	routes       map[string]Route      // by request ID
	proxyOf      map[string]int        // by request ID, the proxy that a client last sent the request to
	written      map[string]int        // by key, the number of its last write; absent: never written
	writes       int                   // number of executed and repeated writes
}

// nodeCache is the set of keys in a cache: the keys that it started with and the keys inserted since, except those that were
// written later.
type nodeCache struct {
	warm       bool           // the cache started with the scenario's fraction of all keys
	insertedAt map[string]int // by key, the value of cluster.writes when the key was inserted
}

func newCluster(scenario *Scenario, log *EventLog) *cluster {
	return &cluster{
		sent: &sentCommands{byID: map[string]clientCommand{}},
		log:  log, valueSize: scenario.Keys.ValueBytes, scenario: scenario, zones: map[string]string{},
		cached: map[string]*nodeCache{}, missedBy: map[string][]string{}, lastExecuted: map[string]time.Time{},
		routes: map[string]Route{}, proxyOf: map[string]int{}, written: map[string]int{},
	}
}

// proxyName returns the name of the proxy with index i.
func proxyName(i int) string { return fmt.Sprintf("n%d", i) }

// recordProxy records the proxy to which a client sends a request.
func (c *cluster) recordProxy(id string, proxy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proxyOf[id] = proxy
}

// proxyFor returns the proxy that a client last sent a request to, or fallback if no client has sent the request. The
// address at which an attempt arrives does not identify the proxy, because a proxy may have received that address by gossip.
func (c *cluster) proxyFor(id string, fallback int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.proxyOf[id]; ok {
		return p
	}
	return fallback
}

// checkSent records a CommandInvented event if a node has received a command that no client has sent.
func (c *cluster) checkSent(n *Node, proxy int, id string, received clientCommand) {
	if !c.sent.wasSent(id, received) {
		note := fmt.Sprintf("%s %.40q, request %q, %q, %d bytes", received.name, received.key, id, received.facts, len(received.value))
		c.log.Record(Event{Kind: CommandInvented, RequestID: id, Proxy: proxy, Node: n.Name, Note: note})
	}
}

// checkReadable records a CommandInvented event if a node could not parse a command. An error of a connection that ended
// before the last byte is ignored.
func (c *cluster) checkReadable(n *Node, proxy int, err error) {
	var networkError net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, errLinkReset) || errors.As(err, &networkError)
	if c.sent != nil && !ended {
		c.log.Record(Event{Kind: CommandInvented, Proxy: proxy, Node: n.Name, Note: "malformed command: " + err.Error()})
	}
}

// crossZoneDelay sleeps for the additional latency between a proxy and a cache in different zones.
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

// lookUp processes a command at a cache and reports whether the cache has the key. The only error is errQueueFull.
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

// originRequest is a request that the origin has received.
type originRequest struct {
	id             string
	proxy          int
	key            string
	idempotencyKey string // "": none
	write          bool
	receivedAt     time.Time // of the last byte
}

// recordRead records that a node served a read that must not be executed twice.
func (c *cluster) recordRead(n *Node, proxy int, id string) {
	c.mu.Lock()
	unsafe := c.routes[id].Unsafe
	c.mu.Unlock()
	if unsafe {
		c.log.Record(Event{Kind: ReadExecuted, RequestID: id, Proxy: proxy, Node: n.Name})
	}
}

// recordRefusal records that a node answers an attempt without executing it, if the mode of the response says so.
func (c *cluster) recordRefusal(n *Node, proxy int, id string, mode NodeMode) {
	if mode == modeBusy || mode == modeMiss {
		c.log.Record(Event{Kind: AttemptRefused, RequestID: id, Proxy: proxy, Node: n.Name, Note: string(mode)})
	}
}

// fetch processes a request at the origin. A read inserts the key into the caches that missed; a write invalidates the key
// in all caches. A repeated write is not executed if it was received within the deduplication window of its idempotency key.
// The window starts when the executed write was received, regardless of how long either write is queued. The error is
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
			cache.insertedAt[r.key] = c.writes
		}
	}
	delete(c.missedBy, r.id)
	return nil
}

// writeLocked executes a write, unless it repeats one within the deduplication window, and invalidates the key in all
// caches.
func (c *cluster) writeLocked(n *Node, r originRequest) {
	window := millis(c.routes[r.id].DedupMS)
	if at, ok := c.lastExecuted[r.idempotencyKey]; r.idempotencyKey == "" || !ok || r.receivedAt.Sub(at).Abs() >= window+timingSlack {
		if r.idempotencyKey != "" {
			c.lastExecuted[r.idempotencyKey] = r.receivedAt
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
	if insertedWrite, ok := cache.insertedAt[key]; ok {
		return insertedWrite >= c.written[key]
	}
	return cache.warm && c.written[key] == 0 && hashedFloat("warm", key) < c.scenario.Keys.CachedFraction && !c.isAbsentLocked(key)
}

// isAbsentLocked reports whether the origin lacks a key: the key was absent at the start and has not been written since.
func (c *cluster) isAbsentLocked(key string) bool {
	fraction := c.scenario.NegativeCache.AbsentFraction
	return fraction > 0 && c.written[key] == 0 && hashedFloat("missing", key) < fraction
}

// resetCache empties the cache of a node or, if warm, fills it with the keys that caches have at the start.
func (c *cluster) resetCache(name string, warm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached[name] = &nodeCache{warm: warm, insertedAt: map[string]int{}}
}

// assignZone assigns zones to nodes in rotation. Without zones it does nothing.
func (c *cluster) assignZone(name string) {
	zones := c.scenario.Fleet.Zones
	if len(zones) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[name] = zones[len(c.zones)%len(zones)]
}

// zoneOf returns the zone of a node, "" if it has none.
func (c *cluster) zoneOf(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zones[name]
}

// nodesInZone returns the names of the caches in a zone.
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
