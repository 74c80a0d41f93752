package emulator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// nodeRestartDelay is the time for which a node refuses connections during a restart.
const nodeRestartDelay = 200 * time.Millisecond

// minProxyDowntime is the minimum time between the kill of a proxy and its restart, and between the announcement that a node
// is leaving and its stop.
const minProxyDowntime = 500 * time.Millisecond

// activeFault is a fault event that is due.
type activeFault struct {
	FaultEvent
	duration time.Duration
	endsAt   time.Time
}

// injector injects one kind of fault. It returns when the fault has ended or the context is done.
type injector func(r *runner, ctx context.Context, fault activeFault)

// injectors maps each kind in faultKinds to its injector.
var injectors = map[string]injector{
	"silent":        (*runner).injectNodeMode,
	"failing":       (*runner).injectNodeMode,
	"reset":         (*runner).injectNodeMode,
	"garbled":       (*runner).injectNodeMode,
	"halves":        (*runner).injectNodeMode,
	"slow":          (*runner).injectSlowNodes,
	"origin-slow":   (*runner).injectSlowOrigin,
	"cold":          (*runner).injectNodeRestarts,
	"replace":       (*runner).injectNodeReplacements,
	"stale":         (*runner).injectStaleDiscovery,
	"hush":          (*runner).injectSilencedWatches,
	"late-answers":  (*runner).injectLateAnswers,
	"agent-ahead":   (*runner).injectAgentAhead,
	"deaf":          (*runner).injectDiscoveryMode,
	"refusing":      (*runner).injectDiscoveryMode,
	"part":          (*runner).injectLinkFault,
	"one-way":       (*runner).injectLinkFault,
	"lossy":         (*runner).injectLinkFault,
	"zone-cut":      (*runner).injectLinkFault,
	"link":          (*runner).injectLinkFault,
	"zone-grey":     (*runner).injectDegradedZone,
	"zone-lost":     (*runner).injectZoneLoss,
	"whisper":       (*runner).injectSingleAnnouncements,
	"pause":         (*runner).injectProxyPause,
	"mass-kill":     (*runner).injectProxyKills,
	"kill":          (*runner).injectProxyRestarts,
	"restart":       (*runner).injectProxyRestarts,
	"bad-clients":   (*runner).injectMalformedRequests,
	"slow-clients":  (*runner).injectSlowReaders,
	"bursts":        (*runner).injectBursts,
	"flood":         (*runner).injectFlood,
	"late-values":   (*runner).injectLateValues,
	"crowd":         (*runner).injectCrowd,
	"closes":        (*runner).injectNodeMode,
	"conn-resets":   (*runner).injectConnResets,
	"origin-resets": (*runner).injectOriginResets,
	"origin-busy":   (*runner).injectBusyOrigin,
	"surplus":       (*runner).injectSurplusResponses,
	"garbled-list":  (*runner).injectDiscoveryMode,
	"cut-watch":     (*runner).injectDiscoveryMode,
	"reload":        (*runner).injectReloads,
	"hot-restart":   (*runner).injectHotRestarts,
	"fail-socket":   (*runner).injectMachineFault,
	"fail-connect":  (*runner).injectMachineFault,
	"fail-accept":   (*runner).injectMachineFault,
	"break-conns":   (*runner).injectMachineFault,
	"interrupt":     (*runner).injectMachineFault,
	"short-read":    (*runner).injectMachineFault,
	"short-write":   (*runner).injectMachineFault,
	"fail-disk":     (*runner).injectMachineFault,
	"fail-sync":     (*runner).injectMachineFault,
	"clock-step":    (*runner).injectClockStep,
}

// nodeModes maps a kind of fault to the mode of its target nodes during the fault.
var nodeModes = map[string]NodeMode{
	"silent": modeSilent, "failing": modeFails, "reset": modeDisconnects, "garbled": modeGarbled, "halves": modeTruncates,
	"closes": modeServeThenClose,
}

// discoveryModes maps a kind of fault to the mode of its target discovery agents during the fault.
var discoveryModes = map[string]DiscoveryMode{"deaf": discoverySilent, "refusing": discoveryRefuses, "garbled-list": discoveryGarbled, "cut-watch": discoveryCut}

// injectFault waits until a fault event is due, relative to the start of the scenario, and injects it.
func (r *runner) injectFault(ctx context.Context, event FaultEvent, start time.Time) {
	beginsAt := start.Add(seconds(event.AtS))
	if !sleep(ctx, time.Until(beginsAt)) {
		return
	}
	duration := seconds(event.DurationS)
	injectors[event.Kind](r, ctx, activeFault{FaultEvent: event, duration: duration, endsAt: beginsAt.Add(duration)})
}

// targetNodes returns the nodes that are currently at the positions that a fault event targets. Other nodes may replace them
// during the fault.
func (r *runner) targetNodes(event FaultEvent) []*Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var targets []*Node
	for _, i := range event.Targets {
		targets = append(targets, r.nodes[i])
	}
	return targets
}

// injectNodeMode sets the mode of nodes for the duration of the fault.
func (r *runner) injectNodeMode(ctx context.Context, fault activeFault) {
	fraction := fault.Fraction
	if fraction == 0 { // kinds without a fraction affect all commands
		fraction = 1
	}
	targets, began := r.targetNodes(fault.FaultEvent), time.Now()
	for _, n := range targets {
		n.SetMode(nodeModes[fault.Kind], fraction, 0, 0)
	}
	sleep(ctx, fault.duration)
	for _, n := range targets {
		n.SetMode(modeServe, 1, 0, 0)
		if fault.Kind == "silent" {
			r.recordSilence(n, began, time.Now())
		}
	}
}

// injectLateValues makes nodes send long values whose first byte comes fault.MaxDelayMS after the head.
func (r *runner) injectLateValues(ctx context.Context, fault activeFault) {
	targets := r.targetNodes(fault.FaultEvent)
	for _, n := range targets {
		n.SetMode(modeLateValue, fault.Fraction, millis(fault.MaxDelayMS), lateValueBytes)
	}
	sleep(ctx, fault.duration)
	for _, n := range targets {
		n.SetMode(modeServe, 1, 0, 0)
	}
}

func (r *runner) injectSlowNodes(ctx context.Context, fault activeFault) {
	slowDown(ctx, r.targetNodes(fault.FaultEvent), fault)
}

func (r *runner) injectSlowOrigin(ctx context.Context, fault activeFault) {
	slowDown(ctx, []*Node{r.origin}, fault)
}

// slowDown multiplies the service time of nodes by fault.Slowdown for the duration of the fault.
func slowDown(ctx context.Context, nodes []*Node, fault activeFault) {
	for _, n := range nodes {
		n.work.setSlowdown(fault.Slowdown)
	}
	sleep(ctx, fault.duration)
	for _, n := range nodes {
		n.work.setSlowdown(1)
	}
}

// injectNodeRestarts restarts nodes one after the other. Each returns with an empty cache and in slow start.
func (r *runner) injectNodeRestarts(ctx context.Context, fault activeFault) {
	for _, n := range r.targetNodes(fault.FaultEvent) {
		n.Stop()
		if !sleep(ctx, nodeRestartDelay) || n.Restart() != nil {
			return
		}
		r.recordNodeStart(n, time.Now())
		r.publish(n, statusActive)
	}
}

// injectNodeReplacements drains nodes one after the other and replaces each by a new node.
func (r *runner) injectNodeReplacements(ctx context.Context, fault activeFault) {
	for k, old := range r.targetNodes(fault.FaultEvent) {
		r.publish(old, statusLeaving)
		if !sleep(ctx, max(millis(fault.LeaveMS), minProxyDowntime)) {
			return
		}
		r.publish(old, statusLeft)
		old.Stop()
		successor, err := r.startNextNode()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.nodes[fault.Targets[k]] = successor
		r.mu.Unlock()
		r.publish(successor, statusActive)
		if !sleep(ctx, fault.duration/time.Duration(len(fault.Targets))) {
			return
		}
	}
}

// injectStaleDiscovery holds back the changes of discovery agents for the duration of the fault.
func (r *runner) injectStaleDiscovery(ctx context.Context, fault activeFault) {
	for _, i := range fault.Targets {
		r.discoveries[i].setWithholding(true)
	}
	sleep(ctx, fault.duration)
	for _, i := range fault.Targets {
		r.discoveries[i].setWithholding(false)
	}
}

// injectLateAnswers makes discovery agents answer the watches that are requested during the fault fault.MaxDelayMS later.
func (r *runner) injectLateAnswers(ctx context.Context, fault activeFault) {
	for _, i := range fault.Targets {
		r.discoveries[i].SetAnswerDelay(millis(fault.MaxDelayMS))
	}
	sleep(ctx, fault.duration)
	for _, i := range fault.Targets {
		r.discoveries[i].SetAnswerDelay(0)
	}
}

func (r *runner) injectSilencedWatches(_ context.Context, fault activeFault) {
	for _, i := range fault.Targets {
		r.discoveries[i].silenceOpenWatches()
	}
}

// injectAgentAhead kills proxies, drains a node while they are down, and starts them again, so that the discovery agents
// have the drain before the proxies start.
func (r *runner) injectAgentAhead(ctx context.Context, fault activeFault) {
	r.mu.Lock()
	n := r.nodes[fault.Targets[0]%len(r.nodes)]
	r.mu.Unlock()
	for _, i := range fault.Targets {
		r.endProxy(i, nil, endKilled)
	}
	r.publish(n, statusLeaving)
	for _, i := range fault.Targets {
		if ctx.Err() != nil || r.startProxy(ctx, i) != nil {
			return
		}
	}
	sleep(ctx, fault.duration)
	r.publish(n, statusActive)
}

func (r *runner) injectDiscoveryMode(ctx context.Context, fault activeFault) {
	for _, i := range fault.Targets {
		r.discoveries[i].SetMode(discoveryModes[fault.Kind])
	}
	sleep(ctx, fault.duration)
	for _, i := range fault.Targets {
		r.discoveries[i].SetMode(discoveryServes)
	}
}

// injectLinkFault adds a link fault to the network for the duration of the fault.
func (r *runner) injectLinkFault(ctx context.Context, fault activeFault) {
	heal := r.network.addFault(r.linkFaultOf(fault.FaultEvent))
	r.zoneFaultBegins(fault.FaultEvent)
	sleep(ctx, fault.duration)
	heal()
	r.zoneFaultEnds(fault.FaultEvent)
}

func (r *runner) injectDegradedZone(ctx context.Context, fault activeFault) {
	r.degradeZone(ctx, fault.FaultEvent, fault.duration)
}

func (r *runner) injectZoneLoss(ctx context.Context, fault activeFault) {
	r.loseZone(ctx, fault.FaultEvent, fault.duration)
}

func (r *runner) injectSingleAnnouncements(ctx context.Context, fault activeFault) {
	r.announceToOne(ctx, fault.Count, fault.duration)
}

func (r *runner) injectProxyPause(ctx context.Context, fault activeFault) {
	r.pauseProxies(ctx, fault.Targets, fault.duration)
}

func (r *runner) injectProxyKills(ctx context.Context, fault activeFault) {
	r.killProxies(ctx, fault.Targets, max(fault.duration, minProxyDowntime), seconds(fault.SpreadS), func() {})
}

// injectProxyRestarts kills ("kill") or gracefully stops ("restart") proxies one after the other and starts each again.
func (r *runner) injectProxyRestarts(ctx context.Context, fault activeFault) {
	for _, i := range fault.Targets {
		if fault.Kind == "kill" {
			r.endProxy(i, nil, endKilled)
			sleep(ctx, minProxyDowntime)
		} else {
			r.sendExtraSignals(i)
			r.endProxy(i, syscall.SIGTERM, endStopped)
		}
		if ctx.Err() != nil || r.startProxy(ctx, i) != nil {
			return
		}
	}
}

// extraSignals is the number of SIGHUP and SIGUSR1 signals, each, that a proxy receives right before SIGTERM.
const extraSignals = 3

// sendExtraSignals makes a proxy reload its configuration and log its counters several times in a row.
func (r *runner) sendExtraSignals(i int) {
	process := r.proxies[i].reloadable()
	if process == nil {
		return
	}
	if _, isProcess := process.Proxy.(interface{ PID() int }); !isProcess {
		return // an in-process proxy does not distinguish signals
	}
	for range extraSignals {
		process.Signal(syscall.SIGHUP)
		process.Signal(syscall.SIGUSR1)
	}
}

// injectCrowd opens client connections to proxies that send nothing and keeps them open until the fault ends.
func (r *runner) injectCrowd(ctx context.Context, fault activeFault) {
	for _, i := range fault.Targets {
		r.proxies[i].crowds.Add(1)
		r.log.Record(Event{Kind: CrowdChanged, Proxy: i, Note: crowdBegins})
	}
	var conns []net.Conn
	for n := range fault.Count * crowdConns {
		if conn, err := net.DialTimeout("tcp", r.load.addresses[fault.Targets[n%len(fault.Targets)]], dialTimeout); err == nil {
			conns = append(conns, conn)
		}
	}
	sleep(ctx, time.Until(fault.endsAt))
	for _, conn := range conns {
		_ = conn.Close() // the proxy may have closed it
	}
	for _, i := range fault.Targets {
		r.log.Record(Event{Kind: CrowdChanged, Proxy: i, Note: crowdEnds})
		r.proxies[i].crowds.Add(-1)
	}
}

// crowdConns is the number of connections that a crowd opens to each target proxy.
const crowdConns = 400

// injectMalformedRequests sends malformed requests at fault.Rate per second. It counts those that the proxy neither replied
// to nor closed the connection on.
func (r *runner) injectMalformedRequests(ctx context.Context, fault activeFault) {
	var clients sync.WaitGroup
	for i := 0; time.Now().Before(fault.endsAt) && ctx.Err() == nil; i++ {
		clients.Go(func() {
			proxy := i % len(r.load.addresses)
			if !sendMalformed(r.load.addresses[proxy], i) {
				r.unansweredMalformed.Add(1)
				r.log.Record(Event{Kind: BadClientIgnored, Proxy: proxy, Note: malformedRequests[i%len(malformedRequests)]})
			}
		})
		sleep(ctx, seconds(1/fault.Rate))
	}
	clients.Wait()
}

// injectSlowReaders runs fault.Count clients that read replies slowly, for the duration of the fault.
func (r *runner) injectSlowReaders(ctx context.Context, fault activeFault) {
	during, cancel := context.WithTimeout(ctx, fault.duration)
	defer cancel()
	var clients sync.WaitGroup
	for i := range fault.Count {
		clients.Go(func() {
			readSlowly(during, r.load.addresses[i%len(r.load.addresses)], fmt.Sprint("slow", i), r.plan.Scenario.Routes[0], r.cluster.sent)
		})
	}
	clients.Wait()
}

// injectFlood runs fault.Count clients that send commands at full speed, for the duration of the fault.
func (r *runner) injectFlood(ctx context.Context, fault activeFault) {
	during, cancel := context.WithTimeout(ctx, fault.duration)
	defer cancel()
	var clients sync.WaitGroup
	for i := range fault.Count {
		clients.Go(func() { sendFlood(during, r.load.addresses[i%len(r.load.addresses)], i) })
	}
	clients.Wait()
}
