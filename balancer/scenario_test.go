package balancer_test

import (
	"fmt"
	"strings"
	"testing"

	"woodproxy/balancer"
	"woodproxy/internal/testscript"
)

// TestScenarios runs each file in scenarios on a balancer of its own. A line has one of these forms, in which MS is the
// time in milliseconds.
//
//	settings WORD=VALUE ...              settings of the balancer; a word without a value enables a setting
//	route NAME WORD=VALUE ...            must precede the first line with a time
//	MS list [complete] NAME[:draining|:gone|:since=MS|:weight=W|:zone=N|:at=NAME] ...
//	                                     the endpoint list; origins are named o1, o2 ...
//	                                     at: reuses the index of an endpoint that is long gone
//	MS arrive REQUEST ROUTE [key=N] [remaining=MS] [write] [client-retry] [tenant=N]
//	MS arrive-each FROM-TO ROUTE [remaining=MS] [write] [client-retry]
//	                                     one request per index, with the index as key
//	MS rounds N FROM-TO ROUTE every=MS latency=MS
//	                                     all requests arrive, are sent and completed, N times
//	MS end REQUEST|FROM-TO OUTCOME [latency=MS] [answered] [at=ENDPOINT]
//	                                     the latest attempt of the request ends, or its attempt at the given endpoint;
//	                                     answered: the client has the final reply to the request
//	MS client-gone REQUEST | wake | list-failed | streaming REQUEST
//	MS peer-report ENDPOINT silent|responds
//	MS exclude ENDPOINT FRACTION [cancel]
//	                                     the zone is evacuated; cancel: attempts in flight are canceled
//	MS delay-probe ENDPOINT MS           the next probe is not sent before the given time
//	MS stop MS                           the process stops at the given time
//	MS quota-share FRACTION              fraction of all proxies' traffic that this proxy may send
//	> send REQUEST ENDPOINT | notify PEER ENDPOINT silent|responds | cancel REQUEST
//	> reject REQUEST | error REQUEST | poll
//	                                     exactly these decisions, in this order
//	> log TEXT | no-log TEXT
//	> count ACTION [ENDPOINT] OP N       number of decisions of one kind from one line
//
// ENDPOINT is a name, any, or a variable $X, which is bound at its first use; no two variables are bound to the same
// cache. SetTimer decisions are omitted. Log lines are compared only by log and no-log. In all scenarios a decision to cancel an
// attempt or to deliver its response must be about an attempt in flight.
func TestScenarios(t *testing.T) {
	testscript.RunFiles(t, "scenarios/*.txt", func(t *testing.T) testscript.Runner {
		return &scenarioRunner{
			t: t, routes: map[string]int{}, endpoints: map[string]int{}, bound: map[string]string{},
			lastSent: map[int]balancer.Decision{}, attempts: map[int][]scenarioAttempt{}, settings: balancer.Settings{
				Proxies: 1, MaxAttempts: 5, Tick: 50, SlowStart: 100000,
				SlowStartOverloadWindow: 30000, SlowStartInitialFraction: 0.25, SlowStartOverloadMultiple: 3, CacheAside: true,
			},
		}
	})
}

// scenarioRunner runs one scenario on a balancer.
type scenarioRunner struct {
	t             *testing.T
	line          int
	settings      balancer.Settings
	routes        map[string]int // index by name
	balancer      *balancer.Balancer
	endpoints     map[string]int            // index by name
	endpointNames []string                  // by index
	bound         map[string]string         // endpoint names by variable
	lastSent      map[int]balancer.Decision // by request
	attempts      map[int][]scenarioAttempt // by request
	decisions     []string                  // of the last line, as text in the form of scenario lines
	logs          []string                  // of the last line
	counted       bool                      // the decisions of the last line were counted
}

// scenarioAttempt is an attempt of a request that has arrived.
type scenarioAttempt struct {
	endpoint int
	ended    bool
}

// RunStep runs one line of the scenario.
func (r *scenarioRunner) RunStep(line int, words []string) {
	r.line = line
	switch words[0] {
	case "settings":
		r.addSettings(testscript.ParseArguments(words[1:]))
		return
	case "route":
		r.addRoute(words[1], testscript.ParseArguments(words[2:]))
		return
	case ">":
		r.expect(words[1:])
		return
	}
	r.expectNoDecisionsLeft()
	now := milliseconds(words[0])
	if r.balancer == nil {
		r.balancer = balancer.New(now, r.settings, 1)
	}
	handle, ok := events[words[1]]
	if !ok {
		r.fail("unknown event %q", words[1])
		return
	}
	handle(r, now, words[2:])
}

// Finish fails if the last line caused decisions that the scenario does not expect.
func (r *scenarioRunner) Finish() { r.expectNoDecisionsLeft() }

func (r *scenarioRunner) fail(format string, args ...any) {
	r.t.Helper()
	r.t.Errorf("line %d: %s", r.line, fmt.Sprintf(format, args...))
}

func milliseconds(s string) balancer.Time { return balancer.Time(testscript.ParseNumber(s) * 10) }

func integer(s string) int { return int(testscript.ParseNumber(s)) }

// indexRange is a range FROM-TO of request indices, or one index.
type indexRange struct{ from, to int }

func parseRange(s string) indexRange {
	from, to, ok := strings.Cut(s, "-")
	if !ok {
		to = from
	}
	return indexRange{integer(from), integer(to)}
}

var effects = map[string]balancer.Effect{
	"": balancer.Retriable, "deduped": balancer.Deduped, "non-retriable": balancer.NonRetriable,
}

var groups = map[string]balancer.Group{"": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell}

var outcomes = map[string]balancer.Outcome{
	"completed": balancer.Completed, "server-error": balancer.ServerError, "overloaded": balancer.Overloaded,
	"timed-out": balancer.TimedOut, "connect-failed": balancer.ConnectFailed, "reset": balancer.Reset,
	"cancelled": balancer.Canceled, "not-sent": balancer.NotSent, "cache-miss": balancer.CacheMiss,
}

func (r *scenarioRunner) addSettings(options map[string]string) {
	s := &r.settings
	for name, value := range options {
		switch name {
		case "proxies":
			s.Proxies = integer(value)
		case "peers":
			s.PeerCount = integer(value)
		case "attempts":
			s.MaxAttempts = integer(value)
		case "may-cancel":
			s.MayCancel = true
		case "hedging":
			s.ParallelAttempts = true
		case "poll-interval":
			s.PollsList, s.PollInterval = true, milliseconds(value)
		case "approximate-weights":
			s.ApproximateWeights = true
		case "retry-after":
			s.RetryAfter, s.MaxRetryAfter = true, milliseconds(value)
		case "slow-start":
			s.SlowStart = milliseconds(value)
		case "quota":
			s.TenantQuotas = []float64{testscript.ParseNumber(value), testscript.ParseNumber(value)}
		case "fetch-cost":
			s.FetchCost = testscript.ParseNumber(value)
		case "over-quota-weight":
			s.OverQuotaWeight = testscript.ParseNumber(value)
		default:
			r.fail("unknown setting %q", name)
		}
	}
}

func (r *scenarioRunner) addRoute(name string, options map[string]string) {
	r.routes[name] = len(r.settings.Routes)
	r.settings.Routes = append(r.settings.Routes, balancer.Route{
		Objective: milliseconds(options["objective"]), Timeout: milliseconds(options["overall"]),
		Value: testscript.ParseNumber(options["value"]), LateValue: testscript.ParseNumber(options["late-value"]),
		DedupWindow: milliseconds(options["window"]), Effect: effects[options["effect"]], Group: groups[options["group"]],
	})
}
