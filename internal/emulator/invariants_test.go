package emulator_test

import (
	"slices"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// event returns an event of the first proxy at a time in milliseconds.
func event(atMS int, kind emulator.EventKind, id, node, note string) emulator.Event {
	return emulator.Event{At: time.Duration(atMS) * time.Millisecond, Kind: kind, RequestID: id, Node: node, Note: note, MadeFor: id, Proxy: 0}
}

// Shorthands of event for the read "a" and the write "w".

func requestSent(atMS int) emulator.Event { return event(atMS, emulator.RequestSent, "a", "", "") }

func replyReceived(atMS int, note string) emulator.Event {
	return event(atMS, emulator.ReplyReceived, "a", "", note)
}

// sinceFirstByte returns an event at the end of a reply whose first byte came the given time before.
func sinceFirstByte(e emulator.Event, ms float64) emulator.Event {
	e.Figure = ms
	return e
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

// connectionClosed returns the end of the read's connection at 9 ms.
func connectionClosed(note string) emulator.Event {
	return event(9, emulator.ConnectionClosed, "a", "", note)
}

// slowStart returns the events of a node that begins its slow start at 0 and, from a time on, receives one command per
// millisecond.
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
	rule  emulator.Rule // that is violated; "": none
}

var replyCases = []ruleCase{
	{"reply", []emulator.Event{requestSent(0), replyReceived(9, "completed")}, ""},
	{"no reply", []emulator.Event{requestSent(0), commandReceived(1100, "c1")}, emulator.FinalReplyRule},
	{"no reply yet", []emulator.Event{requestSent(0), commandReceived(1000, "c1")}, ""},
	{"no reply during overlapping pauses", []emulator.Event{
		processPaused(0, "begins"), processPaused(10, "begins"), requestSent(20), processPaused(1500, "ends"), processPaused(1500, "ends"),
	}, ""},
	{"no reply after the first of two overlapping pauses", []emulator.Event{
		processPaused(0, "begins"), processPaused(10, "begins"), processPaused(20, "ends"), requestSent(30), processPaused(1500, "ends"),
	}, emulator.FinalReplyRule},
	{"client left", []emulator.Event{requestSent(0), event(9, emulator.ClientLeft, "a", "", ""), commandReceived(1100, "c1")}, ""},
	{"closed", []emulator.Event{requestSent(0), connectionClosed("")}, emulator.FinalReplyRule},
	{"closed when reused", []emulator.Event{requestSent(0), connectionClosed("reused"), requestSent(10), replyReceived(19, "shed")}, ""},
	{"closed after a kill", []emulator.Event{requestSent(0), processEnded(9, "killed"), connectionClosed("")}, ""},
	{"closed after a graceful shutdown", []emulator.Event{requestSent(0), processEnded(9, "stopped"), connectionClosed("")}, emulator.FinalReplyRule},
	{"closed before a kill", []emulator.Event{requestSent(0), connectionClosed(""), processEnded(10, "killed")}, ""},
	{"closed before a graceful shutdown", []emulator.Event{requestSent(0), connectionClosed(""), processEnded(10, "stopped")}, emulator.FinalReplyRule},
	{"long reply begun in time", []emulator.Event{requestSent(0), sinceFirstByte(replyReceived(2000, "completed"), 951)}, ""},
	{"long reply begun late", []emulator.Event{requestSent(0), sinceFirstByte(replyReceived(2000, "completed"), 949)}, emulator.FinalReplyRule},
	{"killed during a long reply", []emulator.Event{
		requestSent(0), processEnded(3000, "killed"), sinceFirstByte(event(3000, emulator.ConnectionClosed, "a", "", "during the reply"), 2500),
	}, ""},
	{"killed during a long reply begun late", []emulator.Event{
		requestSent(0), processEnded(3000, "killed"), sinceFirstByte(event(3000, emulator.ConnectionClosed, "a", "", "during the reply"), 500),
	}, emulator.FinalReplyRule},
	{"closed during a long reply", []emulator.Event{
		requestSent(0), sinceFirstByte(event(3000, emulator.ConnectionClosed, "a", "", "during the reply"), 2500),
	}, emulator.FinalReplyRule},
	{"response broken off during a long reply", []emulator.Event{
		requestSent(0), sinceFirstByte(event(3000, emulator.ConnectionClosed, "a", "", "during the reply"), 2500),
		event(3100, emulator.ResponseBroken, "a", "c1", ""),
	}, ""},
	{"response broken off during a long reply begun late", []emulator.Event{
		requestSent(0), sinceFirstByte(event(3000, emulator.ConnectionClosed, "a", "", "during the reply"), 500),
		event(3100, emulator.ResponseBroken, "a", "c1", ""),
	}, emulator.FinalReplyRule},
	{"response cut off, shed", []emulator.Event{requestSent(0), replyReceived(9, "shed"), event(10, emulator.ResponseCutOff, "a", "c1", "")}, emulator.CutOffRule},
	{"response cut off, errored", []emulator.Event{requestSent(0), event(8, emulator.ResponseCutOff, "a", "c1", ""), replyReceived(9, "errored")}, emulator.CutOffRule},
	{"response cut off by a kill, shed elsewhere", []emulator.Event{
		requestSent(0), event(1, emulator.AttemptReceived, "a", "c1", ""), processEnded(5, "killed"), connectionClosed("reused"),
		{At: 10 * time.Millisecond, Kind: emulator.RequestSent, RequestID: "a", Proxy: 1},
		{At: 11 * time.Millisecond, Kind: emulator.ReplyReceived, RequestID: "a", Proxy: 1, Note: "shed"},
		event(500, emulator.ResponseCutOff, "a", "c1", ""),
	}, ""},
	{"response cut off after a kill and a restart, shed", []emulator.Event{
		processEnded(0, "killed"), requestSent(2000), event(2001, emulator.AttemptReceived, "a", "c1", ""), replyReceived(2009, "shed"),
		event(2010, emulator.ResponseCutOff, "a", "c1", ""),
	}, emulator.CutOffRule},
	{"response cut off by a graceful shutdown, shed before", []emulator.Event{
		requestSent(0), event(1, emulator.AttemptReceived, "a", "c1", ""), replyReceived(9, "shed"), processEnded(20, "stopped"),
		event(30, emulator.ResponseCutOff, "a", "c1", ""),
	}, ""},
	{"response cut off before a graceful shutdown, shed", []emulator.Event{
		requestSent(0), event(1, emulator.AttemptReceived, "a", "c1", ""), replyReceived(9, "shed"),
		event(10, emulator.ResponseCutOff, "a", "c1", ""), processEnded(20, "stopped"),
	}, emulator.CutOffRule},
	{"response cut off, client left", []emulator.Event{
		requestSent(0), event(9, emulator.ClientLeft, "a", "", ""), event(10, emulator.ResponseCutOff, "a", "c1", ""),
	}, ""},
	{"late reply", []emulator.Event{requestSent(0), replyReceived(1051, "shed")}, emulator.FinalReplyRule},
	{"two replies", []emulator.Event{requestSent(0), replyReceived(9, "shed"), replyReceived(10, "shed")}, emulator.FinalReplyRule},
	{"reply without a request", []emulator.Event{replyReceived(9, "shed")}, emulator.FinalReplyRule},
	{"absent soon after the write", []emulator.Event{writeExecuted(1, "k1"), requestSent(100), absentReply(109)}, ""},
	{"absent long after the write", []emulator.Event{writeExecuted(1, "k1"), requestSent(9000), absentReply(9009)}, emulator.FreshAbsenceRule},
	{"absent but always existing", []emulator.Event{requestSent(0), absentReply(9)}, emulator.FreshAbsenceRule},
	{"crashed", []emulator.Event{processEnded(0, "crashed")}, emulator.CrashRule},
}

var nodeCases = []ruleCase{
	{"two writes", []emulator.Event{writeExecuted(1, "k1"), writeExecuted(2, "k2")}, ""},
	{"same write twice", []emulator.Event{writeExecuted(1, "k1"), writeExecuted(2, "k1")}, emulator.SingleEffectRule},
	{"write without a key twice", []emulator.Event{writeExecuted(1, ""), writeExecuted(2, "")}, emulator.SingleEffectRule},
	{"drained", []emulator.Event{statusDelivered(0, "c1", "leaving"), commandReceived(349, "c1"), commandReceived(360, "c2")}, ""},
	{
		"sent to a draining node",
		[]emulator.Event{statusDelivered(0, "c1", "leaving"), statusDelivered(200, "c1", "left"), commandReceived(360, "c1")},
		emulator.DrainRule,
	},
	{"active again after a drain", []emulator.Event{statusDelivered(0, "c1", "leaving"), statusDelivered(200, "c1", "active"), commandReceived(600, "c1")}, ""},
	{
		"drained during a pause",
		[]emulator.Event{processPaused(0, "begins"), statusDelivered(9, "c1", "leaving"), processPaused(900, "ends"), commandReceived(1100, "c1")},
		"",
	},
	{
		"drained after a pause",
		[]emulator.Event{processPaused(0, "begins"), processPaused(9, "ends"), statusDelivered(10, "c1", "leaving"), commandReceived(400, "c1")},
		emulator.DrainRule,
	},
	{"slow start", slowStart(12, 0), ""},
	{"overloaded in slow start", slowStart(40, 0, statusDelivered(0, "c9", "active")), emulator.SlowStartRule},
	{"overloaded by uninformed proxies", slowStart(40, 0), ""},
	{"load within random variation in slow start", slowStart(25, 0, statusDelivered(0, "c9", "active")), ""},
	{"load beyond random variation in slow start", slowStart(26, 0, statusDelivered(0, "c9", "active")), emulator.SlowStartRule},
	{"after the slow start", slowStart(200, 2001), ""},
}

// attemptWithTimeout returns the arrival of an attempt with a timeout in milliseconds.
func attemptWithTimeout(atMS int, timeoutMS float64) emulator.Event {
	e := attemptReceived(atMS, "c1")
	e.Figure = timeoutMS
	return e
}

// attemptReceived returns the arrival of an attempt of the read.
func attemptReceived(atMS int, node string) emulator.Event {
	return event(atMS, emulator.AttemptReceived, "a", node, "")
}

// reportedByProxy returns an event whose figure a proxy reports at the end of a run.
func reportedByProxy(kind emulator.EventKind, note string, figure float64) emulator.Event {
	e := event(2000, kind, "", "", note)
	e.Figure = figure
	return e
}

// clientLeft returns the departure of the read's client at 100 ms.
func clientLeft() emulator.Event { return event(100, emulator.ClientLeft, "a", "", "") }

var attemptCases = []ruleCase{
	{"attempt after the client left", []emulator.Event{requestSent(0), clientLeft(), attemptReceived(260, "c1")}, emulator.LateAttemptRule},
	{"attempt within the grace after the client left", []emulator.Event{requestSent(0), clientLeft(), attemptReceived(240, "c1")}, ""},
	{"attempt after the reply", []emulator.Event{requestSent(0), replyReceived(100, "completed"), attemptReceived(260, "c1")}, emulator.LateAttemptRule},
	{"hedged attempt within the grace after the reply", []emulator.Event{requestSent(0), attemptReceived(10, "c1"), replyReceived(100, "completed"), attemptReceived(240, "c2")}, ""},
	{"attempt of a request that is sent again", []emulator.Event{requestSent(0), clientLeft(), requestSent(250), attemptReceived(260, "c1"), replyReceived(300, "completed")}, ""},
	{"attempt of a paused proxy", []emulator.Event{
		requestSent(0), clientLeft(), processPaused(110, "begins"), processPaused(400, "ends"), attemptReceived(410, "c1"),
	}, ""},
	{"sent deadline over the slack", []emulator.Event{requestSent(0), attemptWithTimeout(500, 701), replyReceived(600, "completed")}, emulator.SentDeadlineRule},
	{"sent deadline within the slack", []emulator.Event{requestSent(0), attemptWithTimeout(500, 700), replyReceived(600, "completed")}, ""},
}

// writeOfRead returns the execution by the origin of a write with the ID "a" and no idempotency key.
func writeOfRead(atMS int) emulator.Event {
	return event(atMS, emulator.WriteExecuted, "a", "origin", "")
}

// reusedConnectionClosed returns the end of the connection of request "a", which had served other requests before.
func reusedConnectionClosed(atMS int) emulator.Event {
	return event(atMS, emulator.ConnectionClosed, "a", "", "reused")
}

var effectCases = []ruleCase{
	{"write sent again after its proxy was killed", []emulator.Event{
		requestSent(0), reusedConnectionClosed(20), processEnded(21, "killed"), writeOfRead(25), requestSent(30), writeOfRead(40), replyReceived(50, "completed"),
	}, ""},
	{"write sent again although its proxy runs", []emulator.Event{
		requestSent(0), writeOfRead(10), reusedConnectionClosed(20), requestSent(30), writeOfRead(40), replyReceived(50, "completed"),
	}, emulator.SingleEffectRule},
	{"unsafe write sent again behind a refusal", []emulator.Event{
		unsafeSent(0), unsafeReceived(5), unsafeRefused(10), unsafeReceived(15), unsafeExecuted(20), unsafeReply(25, "completed"),
	}, ""},
	{"unsafe write sent again before it was refused", []emulator.Event{
		unsafeSent(0), unsafeReceived(5), unsafeReceived(8), unsafeRefused(10), unsafeRefused(15), unsafeReply(25, "shed"),
	}, emulator.ResendRule},
	{"unsafe write sent again by its client", []emulator.Event{
		unsafeSent(0), unsafeReceived(5), unsafeRefused(6), event(7, emulator.ConnectionClosed, "u", "", "reused"), unsafeSent(8), unsafeReceived(9), unsafeReply(25, "errored"),
	}, ""},
	{"unsafe write executed and failed", []emulator.Event{unsafeSent(0), unsafeReceived(5), unsafeExecuted(10), unsafeReply(25, "errored")}, ""},
	{"unsafe write executed and refused", []emulator.Event{unsafeSent(0), unsafeReceived(5), unsafeExecuted(10), unsafeReply(25, "shed")}, emulator.RefusedEffectRule},
	{"unsafe write refused and executed", []emulator.Event{unsafeSent(0), unsafeReceived(5), unsafeReply(10, "shed"), unsafeExecuted(25)}, emulator.RefusedEffectRule},
}

// Shorthands of event for the write "u", whose repeats nodes do not drop.

func unsafeSent(atMS int) emulator.Event { return event(atMS, emulator.RequestSent, "u", "", "") }

func unsafeReceived(atMS int) emulator.Event {
	return event(atMS, emulator.AttemptReceived, "u", "origin", "")
}

func unsafeRefused(atMS int) emulator.Event {
	return event(atMS, emulator.AttemptRefused, "u", "origin", "busy")
}

func unsafeExecuted(atMS int) emulator.Event {
	return event(atMS, emulator.WriteExecuted, "u", "origin", "")
}

func unsafeReply(atMS int, note string) emulator.Event {
	return event(atMS, emulator.ReplyReceived, "u", "", note)
}

// foreignValue returns a reply to the read "a" with a value that the node made for another request.
func foreignValue(atMS int) emulator.Event {
	e := event(atMS, emulator.ReplyReceived, "a", "c1", "completed")
	e.MadeFor = "b"
	return e
}

// Each proxy process may be deceived once by each node that sends late surplus responses, and never by prompt ones.
func TestLateSurplusResponseDeceivesOnce(t *testing.T) {
	requests := []emulator.Request{{ID: "a"}, {ID: "w"}}
	second := foreignValue(30)
	second.RequestID = "w"
	trace := []emulator.Event{requestSent(0), foreignValue(9), event(20, emulator.RequestSent, "w", "", ""), second}
	for _, test := range []struct {
		delay string
		trace []emulator.Event
		want  int
	}{
		{"45.0", trace, 2},
		{"51.0", trace, 1},
		{"51.0", slices.Insert(slices.Clone(trace), 2, processEnded(15, "stopped")), 0},
	} {
		scenario := parseScenario(t, withFaults(calmScenario, `kind = "surplus"; at_s = 0.0; for_s = 1.0; surplus = "copy"; part = 0.1; slow_ms = `+test.delay))
		if found := emulator.CheckInvariants(scenario, requests, test.trace); len(found) != test.want || test.want > 0 && found[0].Rule != emulator.OwnValueRule {
			t.Errorf("%s ms: got %v, want %d violations", test.delay, found, test.want)
		}
	}
}

var processCases = []ruleCase{
	{"not ready", []emulator.Event{event(2000, emulator.ProcessNotReady, "", "", "")}, emulator.ReadyRule},
	{"invariant violation logged", []emulator.Event{reportedByProxy(emulator.LogReported, "invariant violated", 1)}, emulator.InvariantRule},
	{"two violations counted, one of them logged and excused by a pause", []emulator.Event{
		reportedByProxy(emulator.CounterReported, "woodproxy_invariant_violations_total", 2), reportedByProxy(emulator.LogReported, "excused by a pause", 1),
	}, emulator.ResidueRule},
	{"one violation counted, logged and excused by a pause", []emulator.Event{
		reportedByProxy(emulator.CounterReported, "woodproxy_invariant_violations_total", 1), reportedByProxy(emulator.LogReported, "excused by a pause", 1),
	}, ""},
	{"request held at the end", []emulator.Event{reportedByProxy(emulator.CounterReported, "woodproxy_held", 1)}, emulator.ResidueRule},
	{"nothing held at the end", []emulator.Event{reportedByProxy(emulator.CounterReported, "woodproxy_held", 0)}, ""},
	{"many goroutines", []emulator.Event{reportedByProxy(emulator.CounterReported, "woodproxy_goroutines", 125)}, emulator.ResidueRule},
	{"few goroutines", []emulator.Event{reportedByProxy(emulator.CounterReported, "woodproxy_goroutines", 124)}, ""},
	{"bad client ignored", []emulator.Event{event(2000, emulator.BadClientIgnored, "", "", "")}, emulator.BadClientRule},
	{"bad client of a paused proxy", []emulator.Event{
		processPaused(500, "begins"), processPaused(1500, "ends"), event(2000, emulator.BadClientIgnored, "", "", ""),
	}, ""},
	{"memory limit exceeded", []emulator.Event{reportedByProxy(emulator.LimitExceeded, "MB of memory", 65), processEnded(2001, "killed")}, emulator.MemoryRule},
	{"descriptor limit exceeded", []emulator.Event{reportedByProxy(emulator.LimitExceeded, "descriptors", 513), processEnded(2001, "killed")}, emulator.DescriptorRule},
	{"hung", []emulator.Event{reportedByProxy(emulator.ProcessHung, "", 5.1)}, emulator.HungRule},
	{"hung while paused", []emulator.Event{
		processPaused(500, "begins"), processPaused(1500, "ends"), reportedByProxy(emulator.ProcessHung, "", 5.1),
	}, ""},
	{"closed unread during a crowd", []emulator.Event{event(1, emulator.CrowdChanged, "", "", "connected"), requestSent(5), connectionClosed("")}, ""},
	{"closed unread after two crowds have left", []emulator.Event{
		event(1, emulator.CrowdChanged, "", "", "connected"), event(2, emulator.CrowdChanged, "", "", "connected"), event(3, emulator.CrowdChanged, "", "", "left"),
		event(4, emulator.CrowdChanged, "", "", "left"), requestSent(5), connectionClosed(""),
	}, emulator.FinalReplyRule},
	{"closed during a crowd after the request was forwarded", []emulator.Event{
		event(1, emulator.CrowdChanged, "", "", "connected"), requestSent(5), event(6, emulator.AttemptReceived, "a", "c1", ""), connectionClosed(""),
	}, emulator.FinalReplyRule},
	{"invented command", []emulator.Event{event(2000, emulator.CommandInvented, "b", "c1", "")}, emulator.InventedRule},
}

// Guards against rules that find nothing or find too much: each trace with a fault must violate exactly the rule named
// beside it, and the similar traces without the fault must violate none.
func TestRulesFire(t *testing.T) {
	scenario := parseScenario(t, calmScenario)
	scenario.Routes = append(scenario.Routes, emulator.Route{Name: "once", TimeoutMS: 1000, Write: true})
	requests := []emulator.Request{{ID: "a"}, {ID: "w", Route: 1}, {ID: "u", Route: 2}}
	for _, c := range slices.Concat(replyCases, nodeCases, attemptCases, effectCases, processCases) {
		t.Run(c.name, func(t *testing.T) {
			found := emulator.CheckInvariants(scenario, requests, c.trace)
			if c.rule == "" && len(found) > 0 || c.rule != "" && (len(found) != 1 || found[0].Rule != c.rule) {
				t.Errorf("got %v, want %q", found, c.rule)
			}
		})
	}
}
