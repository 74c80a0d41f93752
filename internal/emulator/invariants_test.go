package emulator_test

import (
	"slices"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// event returns an event of the first proxy at a number of milliseconds.
func event(atMS int, kind emulator.EventKind, id, node, note string) emulator.Event {
	return emulator.Event{At: time.Duration(atMS) * time.Millisecond, Kind: kind, RequestID: id, Node: node, Note: note, MadeFor: id, Proxy: 0}
}

// Shorter forms of event, for the read "a", the write "w" and the caches c1 and c2.

func requestSent(atMS int) emulator.Event { return event(atMS, emulator.RequestSent, "a", "", "") }

func replyReceived(atMS int, note string) emulator.Event {
	return event(atMS, emulator.ReplyReceived, "a", "", note)
}

func absentReply(atMS int) emulator.Event {
	return event(atMS, emulator.ReplyReceived, "a", "none", "completed")
}

func processEnded(atMS int, note string) emulator.Event {
	return event(atMS, emulator.ProcessEnded, "", "", note)
}

func processPaused(atMS int, note string) emulator.Event {
	return event(atMS, emulator.ProcessPaused, "", "", note)
}

func commandReceived(atMS int, node string) emulator.Event {
	return event(atMS, emulator.AttemptReceived, "", node, "")
}

func writeExecuted(atMS int, key string) emulator.Event {
	return event(atMS, emulator.WriteExecuted, "w", "o", key)
}

func statusDelivered(atMS int, node, status string) emulator.Event {
	return event(atMS, emulator.StatusDelivered, "", node, status)
}

// connectionClosed is the end of the read's connection at 9 ms.
func connectionClosed(note string) emulator.Event { return event(9, emulator.ConnectionClosed, "a", "", note) }

// slowStart is a node's slow start at 0, and how many commands it receives one a millisecond.
func slowStart(commands, fromMS int, before ...emulator.Event) []emulator.Event {
	trace := append([]emulator.Event{{At: 0, Kind: emulator.SlowStartBegan, Node: "c9", Proxy: -1, Figure: 10}}, before...)
	for i := range commands {
		trace = append(trace, commandReceived(fromMS+i, "c9"))
	}
	return trace
}

type ruleCase struct {
	name  string
	trace []emulator.Event
	rule  emulator.Rule // "": none is broken
}

var replyCases = []ruleCase{
	{"answered", []emulator.Event{requestSent(0), replyReceived(9, "completed")}, ""},
	{"never answered", []emulator.Event{requestSent(0), commandReceived(1100, "c1")}, emulator.FinalAnswerRule},
	{"not yet answered", []emulator.Event{requestSent(0), commandReceived(1000, "c1")}, ""},
	{"client left", []emulator.Event{requestSent(0), event(9, emulator.ClientLeft, "a", "", ""), commandReceived(1100, "c1")}, ""},
	{"closed", []emulator.Event{requestSent(0), connectionClosed("")}, emulator.FinalAnswerRule},
	{"closed when reused", []emulator.Event{requestSent(0), connectionClosed("reused"), requestSent(10), replyReceived(19, "shed")}, ""},
	{"closed after a kill", []emulator.Event{requestSent(0), processEnded(9, "killed"), connectionClosed("")}, ""},
	{"closed after a graceful end", []emulator.Event{requestSent(0), processEnded(9, "stopped"), connectionClosed("")}, emulator.FinalAnswerRule},
	{"closed before a kill", []emulator.Event{requestSent(0), connectionClosed(""), processEnded(10, "killed")}, ""},
	{"closed before a graceful end", []emulator.Event{requestSent(0), connectionClosed(""), processEnded(10, "stopped")}, emulator.FinalAnswerRule},
	{"answered late", []emulator.Event{requestSent(0), replyReceived(1051, "shed")}, emulator.FinalAnswerRule},
	{"answered twice", []emulator.Event{requestSent(0), replyReceived(9, "shed"), replyReceived(10, "shed")}, emulator.FinalAnswerRule},
	{"never asked", []emulator.Event{replyReceived(9, "shed")}, emulator.FinalAnswerRule},
	{"absent soon after the write", []emulator.Event{writeExecuted(1, "k1"), requestSent(100), absentReply(109)}, ""},
	{"absent long after the write", []emulator.Event{writeExecuted(1, "k1"), requestSent(9000), absentReply(9009)}, emulator.FreshAbsenceRule},
	{"absent, and always there", []emulator.Event{requestSent(0), absentReply(9)}, emulator.FreshAbsenceRule},
	{"crashed", []emulator.Event{processEnded(0, "crashed")}, emulator.CrashRule},
}

var nodeCases = []ruleCase{
	{"two writes", []emulator.Event{writeExecuted(1, "k1"), writeExecuted(2, "k2")}, ""},
	{"a write twice", []emulator.Event{writeExecuted(1, "k1"), writeExecuted(2, "k1")}, emulator.SingleEffectRule},
	{"a write without key twice", []emulator.Event{writeExecuted(1, ""), writeExecuted(2, "")}, emulator.SingleEffectRule},
	{"drained", []emulator.Event{statusDelivered(0, "c1", "leaving"), commandReceived(349, "c1"), commandReceived(360, "c2")}, ""},
	{
		"sent to a draining node",
		[]emulator.Event{statusDelivered(0, "c1", "leaving"), statusDelivered(200, "c1", "left"), commandReceived(360, "c1")},
		emulator.DrainRule,
	},
	{"drained and back", []emulator.Event{statusDelivered(0, "c1", "leaving"), statusDelivered(200, "c1", "active"), commandReceived(600, "c1")}, ""},
	{
		"drained during a pause",
		[]emulator.Event{processPaused(0, "stands"), statusDelivered(9, "c1", "leaving"), processPaused(900, "goes on"), commandReceived(1100, "c1")},
		"",
	},
	{
		"drained after a pause",
		[]emulator.Event{processPaused(0, "stands"), processPaused(9, "goes on"), statusDelivered(10, "c1", "leaving"), commandReceived(400, "c1")},
		emulator.DrainRule,
	},
	{"slow start", slowStart(12, 0), ""},
	{"overloaded in slow start", slowStart(40, 0, statusDelivered(0, "c9", "active")), emulator.SlowStartRule},
	{"overloaded by uninformed proxies", slowStart(40, 0), ""},
	{"loaded as chance has it", slowStart(25, 0, statusDelivered(0, "c9", "active")), ""},
	{"loaded more than by chance", slowStart(26, 0, statusDelivered(0, "c9", "active")), emulator.SlowStartRule},
	{"after the slow start", slowStart(200, 2001), ""},
}

// attemptWithTimeout returns the arrival of an attempt that was told how long to work.
func attemptWithTimeout(atMS int, waitMS float64) emulator.Event {
	e := attemptReceived(atMS, "c1")
	e.Figure = waitMS
	return e
}

// attemptReceived returns the arrival of an attemptReceived of the read.
func attemptReceived(atMS int, node string) emulator.Event {
	return event(atMS, emulator.AttemptReceived, "a", node, "")
}

// reportedByProxy returns what a proxy reports at the end.
func reportedByProxy(kind emulator.EventKind, note string, figure float64) emulator.Event {
	e := event(2000, kind, "", "", note)
	e.Figure = figure
	return e
}

// clientLeft is the leaving of the read's client at 100 ms.
func clientLeft() emulator.Event { return event(100, emulator.ClientLeft, "a", "", "") }

var attemptCases = []ruleCase{
	{"attempt after the client left", []emulator.Event{requestSent(0), clientLeft(), attemptReceived(260, "c1")}, emulator.LateAttemptRule},
	{"attempt as the client left", []emulator.Event{requestSent(0), clientLeft(), attemptReceived(240, "c1")}, ""},
	{"attempt after the answer", []emulator.Event{requestSent(0), replyReceived(100, "completed"), attemptReceived(260, "c1")}, emulator.LateAttemptRule},
	{"hedged attempt as the answer came", []emulator.Event{requestSent(0), attemptReceived(10, "c1"), replyReceived(100, "completed"), attemptReceived(240, "c2")}, ""},
	{"attempt of a request that is asked again", []emulator.Event{requestSent(0), clientLeft(), requestSent(250), attemptReceived(260, "c1"), replyReceived(300, "completed")}, ""},
	{"attempt of a paused proxy", []emulator.Event{
		requestSent(0), clientLeft(), processPaused(110, "stands"), processPaused(400, "goes on"), attemptReceived(410, "c1"),
	}, ""},
	{"told more than is left", []emulator.Event{requestSent(0), attemptWithTimeout(500, 701), replyReceived(600, "completed")}, emulator.ToldDeadlineRule},
	{"told what is left and the slack", []emulator.Event{requestSent(0), attemptWithTimeout(500, 700), replyReceived(600, "completed")}, ""},
}

// writeOfRead returns that the origin carried out the write "a", which has no idempotency key.
func writeOfRead(atMS int) emulator.Event { return event(atMS, emulator.WriteExecuted, "a", "origin", "") }

// reusedConnectionClosed returns that the connection ended on which the request was sent, and which had served others before.
func reusedConnectionClosed(atMS int) emulator.Event {
	return event(atMS, emulator.ConnectionClosed, "a", "", "reused")
}

var effectCases = []ruleCase{
	{"asked again where its proxy was killed", []emulator.Event{
		requestSent(0), reusedConnectionClosed(20), processEnded(21, "killed"), writeOfRead(25), requestSent(30), writeOfRead(40), replyReceived(50, "completed"),
	}, ""},
	{"asked again where its proxy lives", []emulator.Event{
		requestSent(0), writeOfRead(10), reusedConnectionClosed(20), requestSent(30), writeOfRead(40), replyReceived(50, "completed"),
	}, emulator.SingleEffectRule},
}

var processCases = []ruleCase{
	{"not ready", []emulator.Event{event(2000, emulator.ProcessLate, "", "", "")}, emulator.ReadyRule},
	{"violation logged", []emulator.Event{reportedByProxy(emulator.LogReported, "invariant violated", 1)}, emulator.InvariantRule},
	{"violation counted and logged, one of two by a pause", []emulator.Event{
		reportedByProxy(emulator.CounterReported, "woodproxy_invariant_violations_total", 2), reportedByProxy(emulator.LogReported, "excused by a pause", 1),
	}, emulator.ResidueRule},
	{"violation counted and logged by a pause", []emulator.Event{
		reportedByProxy(emulator.CounterReported, "woodproxy_invariant_violations_total", 1), reportedByProxy(emulator.LogReported, "excused by a pause", 1),
	}, ""},
	{"request held at the end", []emulator.Event{reportedByProxy(emulator.CounterReported, "woodproxy_held", 1)}, emulator.ResidueRule},
	{"nothing held at the end", []emulator.Event{reportedByProxy(emulator.CounterReported, "woodproxy_held", 0)}, ""},
	{"many goroutines", []emulator.Event{reportedByProxy(emulator.CounterReported, "woodproxy_goroutines", 125)}, emulator.ResidueRule},
	{"few goroutines", []emulator.Event{reportedByProxy(emulator.CounterReported, "woodproxy_goroutines", 124)}, ""},
	{"bad client ignored", []emulator.Event{event(2000, emulator.BadClientIgnored, "", "", "")}, emulator.BadClientRule},
	{"bad client of a paused proxy", []emulator.Event{
		processPaused(500, "stands"), processPaused(1500, "goes on"), event(2000, emulator.BadClientIgnored, "", "", ""),
	}, ""},
	{"over the memory", []emulator.Event{reportedByProxy(emulator.LimitExceeded, "MB of memory", 65), processEnded(2001, "killed")}, emulator.MemoryRule},
	{"over the descriptors", []emulator.Event{reportedByProxy(emulator.LimitExceeded, "descriptors", 513), processEnded(2001, "killed")}, emulator.DescriptorRule},
	{"hung", []emulator.Event{reportedByProxy(emulator.ProcessHung, "", 5.1)}, emulator.HungRule},
	{"hung while paused", []emulator.Event{
		processPaused(500, "stands"), processPaused(1500, "goes on"), reportedByProxy(emulator.ProcessHung, "", 5.1),
	}, ""},
	{"closed unread in a crowd", []emulator.Event{event(1, emulator.CrowdCame, "", "", "come"), requestSent(5), connectionClosed("")}, ""},
	{"closed unread as a crowd has left", []emulator.Event{
		event(1, emulator.CrowdCame, "", "", "come"), event(2, emulator.CrowdCame, "", "", "come"), event(3, emulator.CrowdCame, "", "", "go"),
		event(4, emulator.CrowdCame, "", "", "go"), requestSent(5), connectionClosed(""),
	}, emulator.FinalAnswerRule},
	{"closed in a crowd under a request that was forwarded", []emulator.Event{
		event(1, emulator.CrowdCame, "", "", "come"), requestSent(5), event(6, emulator.AttemptReceived, "a", "c1", ""), connectionClosed(""),
	}, emulator.FinalAnswerRule},
	{"invented", []emulator.Event{event(2000, emulator.CommandInvented, "b", "c1", "")}, emulator.InventedRule},
}

// Each rule is broken by a trace that breaks it, and by none of those without the fault.
func TestRulesFire(t *testing.T) {
	scenario := parseScenario(t, calmScenario)
	requests := []emulator.Request{{ID: "a"}, {ID: "w", Route: 1}}
	for _, c := range slices.Concat(replyCases, nodeCases, attemptCases, effectCases, processCases) {
		t.Run(c.name, func(t *testing.T) {
			found := emulator.CheckInvariants(scenario, requests, c.trace)
			if c.rule == "" && len(found) > 0 || c.rule != "" && (len(found) != 1 || found[0].Rule != c.rule) {
				t.Errorf("%v, not %q", found, c.rule)
			}
		})
	}
}
