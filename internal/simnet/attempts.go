package simnet

import (
	"woodproxy/replica"
	"woodproxy/zonehealth"
)

// normalLatency is that of a node without a fault.
const normalLatency = replica.Second / 300

// Node is a simulated cache node.
type Node struct {
	Zone   int
	Answer AnswerFunc // nil: it answers normally
}

// AnswerFunc says how a node responds to an attempt of a proxy: after how long, and with which outcome.
type AnswerFunc func(proxy int) (latency replica.Time, outcome zonehealth.Outcome)

// NormalAnswer is the AnswerFunc of a node without a fault.
func NormalAnswer(int) (latency replica.Time, outcome zonehealth.Outcome) {
	return normalLatency, zonehealth.AnsweredInTime
}

// NoAnswer is the AnswerFunc of a node whose machine has vanished: attempts time out.
func NoAnswer(int) (latency replica.Time, outcome zonehealth.Outcome) {
	return replica.Second / 2, zonehealth.Unanswered
}

// attempt is a request to a node that is in flight.
type attempt struct {
	proxy, node int
	sent        replica.Time
	outcome     zonehealth.Outcome
	sender      *zonehealth.Controller // of the process that sent it, which may have been replaced meanwhile
}

// sendAttempt sends one request of a proxy to the node that owns its key, or to the next one that is not excluded.
func (z *ZonedFleet) sendAttempt(proxy int) {
	node, key := z.random.IntN(len(z.Nodes)), z.random.Float64()
	for n := 0; n < len(z.Nodes) && key < z.Excluded[proxy][node]; n++ {
		node = (node + 1) % len(z.Nodes)
	}
	answer := z.Nodes[node].Answer
	if answer == nil {
		answer = NormalAnswer
	}
	latency, outcome := answer(proxy)
	if outcome == zonehealth.Unanswered || outcome == zonehealth.ConnectFailed {
		z.Unanswered++
	}
	sender := z.ZoneHealth[proxy]
	sender.AttemptSent(z.clock(), node)
	end := z.step + max(1, int(latency/StepDuration))
	z.attempts[end] = append(z.attempts[end], attempt{proxy, node, z.Now, outcome, sender})
}

// finishAttempts reports the attempts that end in this step to the processes that sent them, where these still run.
func (z *ZonedFleet) finishAttempts() {
	finished := z.attempts[z.step]
	delete(z.attempts, z.step)
	for _, a := range finished {
		if z.Proxies[a.proxy].Running && z.ZoneHealth[a.proxy] == a.sender {
			a.sender.AttemptFinished(z.clock(), a.node, a.outcome, zonehealth.Time(z.Now-a.sent))
		}
	}
}
