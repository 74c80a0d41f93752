package simnet

import (
	"woodproxy/replica"
	"woodproxy/zonehealth"
)

// normalLatency is the response latency of a node without a fault.
const normalLatency = replica.Second / 300

// Node is a simulated cache node.
type Node struct {
	Zone    int
	Respond ResponseFunc // nil: NormalResponse
}

// ResponseFunc returns the latency and the outcome of an attempt that a proxy sends to a node.
type ResponseFunc func(proxy int) (latency replica.Time, outcome zonehealth.Outcome)

// NormalResponse is the ResponseFunc of a node without a fault.
func NormalResponse(int) (latency replica.Time, outcome zonehealth.Outcome) {
	return normalLatency, zonehealth.AnsweredInTime
}

// NoResponse is the ResponseFunc of a node whose machine has failed: attempts time out.
func NoResponse(int) (latency replica.Time, outcome zonehealth.Outcome) {
	return replica.Second / 2, zonehealth.Unanswered
}

// attempt is a request to a node that is in flight.
type attempt struct {
	proxy, node int
	sent        replica.Time
	outcome     zonehealth.Outcome
	sender      *zonehealth.Controller // of the sending process; a restarted proxy has another one
}

// sendAttempt sends one request with a random key from a proxy to the node that owns the key. If the key is in the
// excluded fraction of that node, the next node is tried, and so on.
func (z *ZonedFleet) sendAttempt(proxy int) {
	node, key := z.random.IntN(len(z.Nodes)), z.random.Float64()
	for n := 0; n < len(z.Nodes) && key < z.Excluded[proxy][node]; n++ {
		node = (node + 1) % len(z.Nodes)
	}
	respond := z.Nodes[node].Respond
	if respond == nil {
		respond = NormalResponse
	}
	latency, outcome := respond(proxy)
	if outcome == zonehealth.Unanswered || outcome == zonehealth.ConnectFailed {
		z.Unanswered++
	}
	sender := z.ZoneHealth[proxy]
	sender.AttemptSent(z.clock(), node)
	end := z.step + max(1, int(latency/StepDuration))
	z.attempts[end] = append(z.attempts[end], attempt{proxy, node, z.Now, outcome, sender})
}

// finishAttempts reports the attempts that end in this step to the processes that sent them. Attempts of processes that
// have been stopped or restarted since are dropped.
func (z *ZonedFleet) finishAttempts() {
	finished := z.attempts[z.step]
	delete(z.attempts, z.step)
	for _, a := range finished {
		if z.Proxies[a.proxy].Running && z.ZoneHealth[a.proxy] == a.sender {
			a.sender.AttemptFinished(z.clock(), a.node, a.outcome, zonehealth.Time(z.Now-a.sent))
		}
	}
}
