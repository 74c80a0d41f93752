package balancer_test

import (
	"strings"

	"woodproxy/balancer"
	"woodproxy/internal/testscript"
)

// events are the lines of a scenario that report an event to the balancer, by their second word.
var events = map[string]func(p *player, now balancer.Time, args []string){
	"list":   (*player).list,
	"rounds": (*player).rounds,
	"end":    (*player).end,
	"arrive": func(p *player, now balancer.Time, args []string) {
		p.arrive(now, integer(args[0]), args[1], testscript.ParseArguments(args[2:]))
	},
	"arrive-each": func(p *player, now balancer.Time, args []string) {
		p.arriveEach(now, parseRange(args[0]), args[1], testscript.ParseArguments(args[2:]))
	},
	"peer-report": func(p *player, now balancer.Time, args []string) {
		index, ok := p.endpoints[p.resolve(args[0])]
		if !ok {
			index = len(p.endpointNames) // no such endpoint
		}
		p.record(p.balancer.PeerReport(now, index, args[1] == "responds"))
	},
	"exclude": func(p *player, now balancer.Time, args []string) {
		cancel := len(args) > 2
		p.record(p.balancer.SetExclusion(now, p.endpoints[p.resolve(args[0])], testscript.ParseNumber(args[1]), cancel))
	},
	"delay-probe": func(p *player, now balancer.Time, args []string) {
		p.record(p.balancer.DelayProbe(now, p.endpoints[p.resolve(args[0])], milliseconds(args[1])))
	},
	"quota-share": func(p *player, now balancer.Time, args []string) {
		p.record(p.balancer.SetQuotaShare(now, testscript.ParseNumber(args[0])))
	},
	"client-gone": func(p *player, now balancer.Time, args []string) {
		p.record(p.balancer.ClientGone(now, integer(args[0])))
	},
	"streaming": func(p *player, now balancer.Time, args []string) {
		p.record(p.balancer.AnswerStarted(now, integer(args[0])))
	},
	"wake":        func(p *player, now balancer.Time, _ []string) { p.record(p.balancer.TimerFired(now)) },
	"list-failed": func(p *player, now balancer.Time, _ []string) { p.record(p.balancer.EndpointListFailed(now)) },
}

// list sends the endpoint list. The first one is complete.
func (p *player) list(now balancer.Time, args []string) {
	first := len(p.endpointNames) == 0
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
			Index: p.endpointIndex(name, options["at"]), Name: name, Origin: name[0] == 'o',
			StartedAt: milliseconds(options["since"]), Weight: 1, Zone: integer(options["zone"]),
			Ready: options["draining"] == "" && options["gone"] == "",
		}
		if options["weight"] != "" {
			endpoint.Weight = testscript.ParseNumber(options["weight"])
		}
		endpoints = append(endpoints, endpoint)
	}
	p.record(p.balancer.UpdateEndpoints(now, balancer.EndpointUpdate{Complete: complete, First: first, Endpoints: endpoints}))
}

// endpointIndex returns the index of an endpoint. A new one has the index of its predecessor, or the next
// that is free.
func (p *player) endpointIndex(name, predecessor string) int {
	if index, ok := p.endpoints[name]; ok {
		return index
	}
	index, ok := p.endpoints[predecessor]
	if ok {
		p.endpointNames[index] = name
	} else {
		index = len(p.endpointNames)
		p.endpointNames = append(p.endpointNames, name)
	}
	p.endpoints[name] = index
	return index
}

func (p *player) arriveEach(now balancer.Time, requests indexRange, route string, options map[string]string) {
	for request := requests.from; request <= requests.to; request++ {
		p.arrive(now, request, route, options)
	}
}

func (p *player) arrive(now balancer.Time, request int, routeName string, options map[string]string) {
	route, ok := p.routes[routeName]
	if !ok {
		p.fail("no route %q", routeName)
		return
	}
	e := balancer.Request{
		Route: route, Tenant: -1, Key: uint64(request), HasKey: true, Write: options["write"] != "",
		ClientRetry: options["client-retry"] != "", RemainingTimeout: p.settings.Routes[route].Timeout,
	}
	if options["key"] != "" {
		e.Key = uint64(testscript.ParseNumber(options["key"]))
	}
	if options["remaining"] != "" {
		e.RemainingTimeout = milliseconds(options["remaining"])
	}
	if options["tenant"] != "" {
		e.Tenant = integer(options["tenant"])
	}
	p.record(p.balancer.Arrive(now, request, e))
}

// rounds has a range of requests arrive, be sent and completed, several times.
func (p *player) rounds(now balancer.Time, args []string) {
	requests, options := parseRange(args[1]), testscript.ParseArguments(args[3:])
	latency := milliseconds(options["latency"])
	for range integer(args[0]) {
		p.arriveEach(now, requests, args[2], options)
		sent := len(p.decisions)
		if sent != requests.to-requests.from+1 || strings.Contains(strings.Join(p.decisions, " "), "reject") {
			p.fail("not all were sent: %q", p.decisions)
		}
		for request := requests.from; request <= requests.to; request++ {
			p.record(p.balancer.AttemptFinished(now+latency, balancer.AttemptResult{
				Request: request, Endpoint: p.lastSent[request].Endpoint, Latency: latency, Answered: true,
			}))
		}
		now, p.decisions = now+milliseconds(options["every"]), nil
	}
}

func (p *player) end(now balancer.Time, args []string) {
	requests, options := parseRange(args[0]), testscript.ParseArguments(args[2:])
	outcome, ok := outcomes[args[1]]
	if !ok {
		p.fail("unknown outcome %q", args[1])
	}
	for request := requests.from; request <= requests.to; request++ {
		endpoint := p.lastSent[request].Endpoint
		if options["at"] != "" {
			endpoint = p.endpoints[p.resolve(options["at"])]
		}
		p.record(p.balancer.AttemptFinished(now, balancer.AttemptResult{
			Request: request, Endpoint: endpoint, Outcome: outcome,
			Latency: milliseconds(options["latency"]), Answered: options["answered"] != "",
		}))
	}
}
