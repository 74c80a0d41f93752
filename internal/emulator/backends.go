package emulator

import (
	"fmt"
	"time"
)

// startBackends starts the origin, the caches and one discovery agent per proxy. Each agent serves the complete endpoint list.
func (r *runner) startBackends() error {
	d := r.plan.Scenario
	var err error
	if r.origin, err = r.startNode("origin", true, time.Time{}); err != nil {
		return err
	}
	for i := range d.Fleet.Nodes {
		name := fmt.Sprintf("c%d", i)
		n, err := r.startNode(name, false, time.Time{})
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		r.cluster.resetCache(name, true)
	}
	r.nextNode = len(r.nodes)
	for _, request := range r.plan.Requests {
		r.cluster.routes[request.ID] = d.Routes[request.Route]
	}
	for i := range d.Proxies {
		if err := r.startDiscovery(i); err != nil {
			return err
		}
	}
	return nil
}

// startDiscovery starts the discovery agent of a proxy and publishes all endpoints as active.
func (r *runner) startDiscovery(proxy int) error {
	d := NewDiscovery(proxy, r.log)
	d.network = r.network
	_, address, err := d.Listen("127.0.0.1")
	if err != nil {
		return err
	}
	rows := []Endpoint{r.endpointRow(r.origin, proxy, statusActive)}
	for _, n := range r.nodes {
		rows = append(rows, r.endpointRow(n, proxy, statusActive))
	}
	d.Publish(rows...)
	r.discoveries, r.discoveryAddresses = append(r.discoveries, d), append(r.discoveryAddresses, address)
	return nil
}

// startNode starts a cache or the origin. A nonzero startedAt is the time at which a cache starts during the scenario: the cache
// begins empty and in slow start. With the zero time it begins warm.
func (r *runner) startNode(name string, origin bool, startedAt time.Time) (*Node, error) {
	d := r.plan.Scenario
	n, err := NewNode(r.nextNodeIP(), name, origin, d.Proxies, r.log)
	if err != nil {
		return nil, err
	}
	n.attach(r.cluster)
	if origin {
		n.work = newWorkQueue(d.Origin, 0, 1)
		return n, nil
	}
	n.work = newWorkQueue(d.Fleet.NodeCapacity, seconds(d.Fleet.SlowStartS), d.Fleet.InitialSpeed)
	r.recordNodeStart(n, startedAt)
	r.cluster.assignZone(name)
	return n, nil
}

// nodesPerIP is the number of nodes that share one loopback address. It is limited because each node takes one port per proxy,
// and connections of the machine take their local ports from the same address.
const nodesPerIP = 32

// nextNodeIP returns the loopback address of the next node.
func (r *runner) nextNodeIP() string {
	block := r.startedNodes.Add(1) / nodesPerIP
	return fmt.Sprintf("127.%d.%d.1", 64+block/256%64, block%256)
}

// startNextNode starts a cache under a new name, empty and in slow start.
func (r *runner) startNextNode() (*Node, error) {
	r.mu.Lock()
	name := fmt.Sprintf("c%d", r.nextNode)
	r.nextNode++
	r.mu.Unlock()
	return r.startNode(name, false, time.Now())
}

// recordNodeStart sets the start time of a cache. If the time is nonzero, it also empties the cache and records that slow start
// has begun.
func (r *runner) recordNodeStart(n *Node, at time.Time) {
	n.work.start(at)
	if at.IsZero() {
		return
	}
	r.cluster.resetCache(n.Name, false)
	r.log.Record(Event{Kind: SlowStartBegan, Proxy: -1, Node: n.Name, Figure: n.work.commandsPerSecond()})
}

// endpointRow returns the row of a node in the endpoint list of a proxy's discovery agent.
func (r *runner) endpointRow(n *Node, proxy int, status string) Endpoint {
	row := Endpoint{Name: n.Name, Address: n.Addr(proxy), Kind: "cache", Status: status}
	if n.Origin {
		row.Kind = "origin"
		return row
	}
	row.Zone = r.cluster.zoneOf(n.Name)
	if started := n.work.started(); !started.IsZero() {
		row.StartedAtMS = started.UnixMilli()
	}
	return row
}

// publish publishes the status of a node at every discovery agent.
func (r *runner) publish(n *Node, status string) {
	for i, d := range r.discoveries {
		d.Publish(r.endpointRow(n, i, status))
	}
}

// nodesInZone returns the caches in a zone.
func (r *runner) nodesInZone(zone string) (nodes []*Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.nodes {
		if r.cluster.zoneOf(n.Name) == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}
