package emulator

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"woodproxy/internal/faultbuild"
)

// Options configure a run of a scenario.
type Options struct {
	Start     StartFunc      // starts the proxies
	Dir       string         // directory for configuration files and logs, which are kept
	IP        string         // loopback address of the proxies; "": an address unique to the run
	Overrides map[string]any // proxy settings by path, a list of keys separated by dots

	FaultPages bool // the proxies were built by faultbuild; each gets a fault page
}

// runner runs one plan.
type runner struct {
	plan    *Plan
	options Options
	log     *EventLog
	cluster *cluster
	network *network

	origin             *Node
	discoveries        []*Discovery // by proxy
	discoveryAddresses []string     // by proxy
	load               *loadGenerator

	proxies         []*managedProxy
	processWatchers sync.WaitGroup
	proxyCPU        atomic.Int64 // CPU time of the processes that have ended, in nanoseconds

	addressPrefix string            // first three numbers of the IP addresses of gossiping proxies and their relays
	proxyByIP     map[string]string // names of gossiping proxies by IP address
	relays        []*relay          // by proxy; nil without gossip

	unansweredMalformed atomic.Int64 // malformed requests without an error reply or a closed connection
	bursts              atomic.Int64 // number of requests sent in bursts; makes their IDs unique
	backgroundLoad      backgroundSamples
	faultPages          []*faultbuild.Page // by proxy; nil without Options.FaultPages

	mu            sync.Mutex
	nodes         []*Node      // the caches; only announceToOne changes the length
	startedNodes  atomic.Int64 // number of caches and origins started
	nextNode      int          // number of the next cache
	announcements []announcement
	zoneFaults    []zoneFault
	reserved      map[string]bool // addresses returned by reservePort
}

// Run runs a plan and returns its report. No proxy process is left when it returns, even after an error. If the context ends
// before the scenario, Run removes Options.Dir and returns the error of the context.
func Run(ctx context.Context, plan *Plan, options Options) (*Report, error) {
	if options.IP == "" { // unique to the run, so that outgoing connections of the machine take no ports there
		options.IP = nextAddressPrefix() + "250"
	}
	log := NewEventLog()
	r := &runner{plan: plan, options: options, log: log, cluster: newCluster(plan.Scenario, log), network: newNetwork(plan.Seed), reserved: map[string]bool{}}
	r.cluster.network = r.network
	defer func() {
		r.stop()
		r.closeFaultPages()
		if ctx.Err() != nil {
			_ = os.RemoveAll(options.Dir) // the caller receives the error of the context
		}
	}()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
	r.reportResidue(ctx)
	r.stop()
	r.processWatchers.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return r.buildReport(), nil
}

// start starts the backends and the proxies and opens the connections that clients hold.
func (r *runner) start(ctx context.Context) error {
	if err := r.plan.Scenario.checkDescriptors(); err != nil {
		return err
	}
	if err := r.startBackends(); err != nil {
		return err
	}
	if err := r.startProxies(ctx); err != nil {
		return err
	}
	return r.load.openHeldConns()
}

// play generates the load and injects the faults until the scenario or the context ends. It returns once both have stopped.
func (r *runner) play(ctx context.Context) {
	start := time.Now()
	scenarioCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	for _, event := range r.plan.Faults {
		background.Go(func() { r.injectFault(scenarioCtx, event, start) })
	}
	background.Go(func() { r.sampleBackgroundLoad(scenarioCtx) })
	if r.plan.Scenario.Gossip.On {
		background.Go(func() { r.pollGossipStatus(scenarioCtx) })
	}
	r.load.run(ctx, start)
	r.load.close()
	if ctx.Err() == nil {
		sleep(ctx, time.Until(start.Add(seconds(r.plan.Scenario.LengthS))))
	}
	cancel()
	background.Wait()
}

// spareDescriptors is the number of file descriptors needed in addition to those of connections.
const spareDescriptors = 256

// severedDescriptors is the number of descriptors needed to fill the backlog of a listener while its link is severed: both ends
// of each filler connection.
const severedDescriptors = 2 * fillersNeeded

// checkDescriptors returns an error if the limit on open file descriptors is too low for the scenario. A client connection takes
// one descriptor in this process and one in its proxy, and each cache has one listener per proxy.
func (d *Scenario) checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	need := d.Proxies*(d.Load.Connections+d.Fleet.Nodes+d.severedNodes()*severedDescriptors) + spareDescriptors
	if uint64(need) > limit.Cur {
		return fmt.Errorf("load.connections, fleet.nodes or proxies: %d file descriptors are needed, the limit is %d", need, limit.Cur)
	}
	return nil
}

// severedNodes returns the maximum number of caches that may be cut off at the same time.
func (d *Scenario) severedNodes() int {
	nodes := 0
	for _, fault := range d.Faults {
		switch {
		case fault.Zone != "" && len(d.Fleet.Zones) > 0:
			nodes = max(nodes, d.Fleet.Nodes/len(d.Fleet.Zones)+1)
		case linkFaultKinds[fault.Kind]:
			nodes = d.Fleet.Nodes
		}
	}
	return nodes
}

// sleep waits for the duration or until the context ends. It reports whether the complete duration has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// stop ends the proxies gracefully and then stops the backends. It may be called repeatedly.
func (r *runner) stop() {
	var proxies sync.WaitGroup
	for i := range r.proxies {
		proxies.Go(func() { r.endProxy(i, syscall.SIGTERM, endStopped) })
	}
	proxies.Wait()
	for _, d := range r.discoveries {
		d.Close()
	}
	for _, peerRelay := range r.relays {
		peerRelay.shutdown()
	}
	for _, n := range r.nodes {
		n.Stop()
	}
	if r.origin != nil {
		r.origin.Stop()
	}
}
