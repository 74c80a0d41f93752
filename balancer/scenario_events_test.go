package balancer_test

import (
	"strings"

	"woodproxy/balancer"
	"woodproxy/internal/testscript"
)

// events maps the second word of a scenario line to the function that reports the event to the balancer.
var events = map[string]func(r *scenarioRunner, now balancer.Time, args []string){
	"list":   (*scenarioRunner).list,
	"rounds": (*scenarioRunner).rounds,
	"end":    (*scenarioRunner).end,
	"arrive": func(r *scenarioRunner, now balancer.Time, args []string) {
		r.arrive(now, integer(args[0]), args[1], testscript.ParseArguments(args[2:]))
	},
	"arrive-each": func(r *scenarioRunner, now balancer.Time, args []string) {
		r.arriveEach(now, parseRange(args[0]), args[1], testscript.ParseArguments(args[2:]))
	},
	"peer-report": func(r *scenarioRunner, now balancer.Time, args []string) {
		index, ok := r.endpoints[r.resolve(args[0])]
		if !ok {
			index = len(r.endpointNames) // an unknown endpoint
		}
		r.record(r.balancer.PeerReport(now, index, args[1] == "responds"))
	},
	"exclude": func(r *scenarioRunner, now balancer.Time, args []string) {
		cancel := len(args) > 2
		r.record(r.balancer.SetExclusion(now, r.endpoints[r.resolve(args[0])], testscript.ParseNumber(args[1]), cancel))
	},
	"delay-probe": func(r *scenarioRunner, now balancer.Time, args []string) {
		r.record(r.balancer.DelayProbe(now, r.endpoints[r.resolve(args[0])], milliseconds(args[1])))
	},
	"quota-share": func(r *scenarioRunner, now balancer.Time, args []string) {
		r.record(r.balancer.SetQuotaShare(now, testscript.ParseNumber(args[0])))
	},
	"client-gone": func(r *scenarioRunner, now balancer.Time, args []string) {
		r.record(r.balancer.ClientGone(now, integer(args[0])))
	},
	"streaming": func(r *scenarioRunner, now balancer.Time, args []string) {
		r.record(r.balancer.ReplyStarted(now, integer(args[0])))
	},
	"responding": func(r *scenarioRunner, now balancer.Time, args []string) {
		deliverable := len(args) < 3 || args[2] != "undeliverable"
		r.record(r.balancer.ResponseStarted(now, integer(args[0]), r.endpoints[r.resolve(args[1])], deliverable))
	},
	"stop": func(r *scenarioRunner, now balancer.Time, args []string) {
		r.record(r.balancer.Stop(now, milliseconds(args[0])))
	},
	"wake":        func(r *scenarioRunner, now balancer.Time, _ []string) { r.record(r.balancer.TimerFired(now)) },
	"list-failed": func(r *scenarioRunner, now balancer.Time, _ []string) { r.record(r.balancer.EndpointListFailed(now)) },
}

// list reports the endpoint list, or changes to it. The first list is complete.
func (r *scenarioRunner) list(now balancer.Time, args []string) {
	first := len(r.endpointNames) == 0
	complete := first
	var endpoints []balancer.Endpoint
	for _, arg := range args {
		if arg == "complete" {
			complete = true
			continue
		}
		parts := strings.Split(arg, ":")
		name, options := parts[0], testscript.ParseArguments(parts[1:])
		endpoint := balancer.Endpoint{
			Index: r.endpointIndex(name, options["at"]), Name: name, Origin: name[0] == 'o',
			StartedAt: milliseconds(options["since"]), Weight: 1, Zone: integer(options["zone"]),
			Ready: options["draining"] == "" && options["gone"] == "",
		}
		if options["weight"] != "" {
			endpoint.Weight = testscript.ParseNumber(options["weight"])
		}
		endpoints = append(endpoints, endpoint)
	}
	r.record(r.balancer.UpdateEndpoints(now, balancer.EndpointUpdate{Complete: complete, First: first, Endpoints: endpoints}))
}

// endpointIndex returns the index of an endpoint. A new endpoint gets the index of predecessor, or the next unused one if
// there is no predecessor.
func (r *scenarioRunner) endpointIndex(name, predecessor string) int {
	if index, ok := r.endpoints[name]; ok {
		return index
	}
	index, ok := r.endpoints[predecessor]
	if ok {
		r.endpointNames[index] = name
	} else {
		index = len(r.endpointNames)
		r.endpointNames = append(r.endpointNames, name)
	}
	r.endpoints[name] = index
	return index
}

func (r *scenarioRunner) arriveEach(now balancer.Time, requests indexRange, route string, options map[string]string) {
	for request := requests.from; request <= requests.to; request++ {
		r.arrive(now, request, route, options)
	}
}

func (r *scenarioRunner) arrive(now balancer.Time, request int, routeName string, options map[string]string) {
	route, ok := r.routes[routeName]
	if !ok {
		r.fail("no route %q", routeName)
		return
	}
	e := balancer.Request{
		Route: route, Tenant: -1, Key: uint64(request), HasKey: true, Write: options["write"] != "",
		ClientRetry: options["client-retry"] != "", RemainingTimeout: r.settings.Routes[route].Timeout,
	}
	if options["key"] != "" {
		e.Key = uint64(testscript.ParseNumber(options["key"]))
	}
	if options["remaining"] != "" {
		e.RemainingTimeout = milliseconds(options["remaining"])
	}
	if options["waited"] != "" {
		e.Waited = milliseconds(options["waited"])
	}
	if options["tenant"] != "" {
		e.Tenant = integer(options["tenant"])
	}
	delete(r.attempts, request)
	r.record(r.balancer.Arrive(now, request, e))
}

// rounds reports the arrival of a range of requests and the completion of their attempts, several times.
func (r *scenarioRunner) rounds(now balancer.Time, args []string) {
	requests, options := parseRange(args[1]), testscript.ParseArguments(args[3:])
	latency := milliseconds(options["latency"])
	for range integer(args[0]) {
		r.arriveEach(now, requests, args[2], options)
		sent := len(r.decisions)
		if sent != requests.to-requests.from+1 || strings.Contains(strings.Join(r.decisions, " "), "reject") {
			r.fail("decisions %q, want one attempt for each request", r.decisions)
		}
		for request := requests.from; request <= requests.to; request++ {
			r.attemptFinished(now+latency, balancer.AttemptResult{
				Request: request, Endpoint: r.lastSent[request].Endpoint, Latency: latency, Replied: true,
			})
		}
		now, r.decisions = now+milliseconds(options["every"]), nil
	}
}

func (r *scenarioRunner) end(now balancer.Time, args []string) {
	requests, options := parseRange(args[0]), testscript.ParseArguments(args[2:])
	outcome, ok := outcomes[args[1]]
	if !ok {
		r.fail("unknown outcome %q", args[1])
	}
	for request := requests.from; request <= requests.to; request++ {
		endpoint := r.lastSent[request].Endpoint
		if options["at"] != "" {
			endpoint = r.endpoints[r.resolve(options["at"])]
		}
		r.attemptFinished(now, balancer.AttemptResult{
			Request: request, Endpoint: endpoint, Outcome: outcome,
			Latency: milliseconds(options["latency"]), Replied: options["answered"] != "",
			Unconfirmed: options["unconfirmed"] != "",
		})
	}
}
