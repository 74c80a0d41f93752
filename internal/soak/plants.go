package soak

import (
	"woodproxy/internal/emulator"
	"woodproxy/internal/faultbuild"
)

// Plant is a bug that is deliberately built into the proxy to test that a rule finds it.
type Plant struct {
	Name    string
	Rule    emulator.Rule // rule that the bug violates
	Patches []faultbuild.Patch
	Kinds   []string // kinds of faults that expose the bug; any kind if empty
	// Scenario changes a drawn scenario so that it exposes the bug. It is nil if any scenario does.
	Scenario func(*emulator.Scenario)
}

// slowStartUnderLoad gives the scenario few nodes, a long slow start and a high load.
func slowStartUnderLoad(s *emulator.Scenario) {
	s.Fleet.Nodes, s.Fleet.Cores, s.Fleet.ServiceMS = 5, 1, 8
	s.Fleet.SlowStartS, s.Fleet.InitialSpeed = 30, 0.05
	s.Load.Rate = 375
}

// longScenario makes the scenario longer than the silence after which a proxy is reported as hung.
func longScenario(s *emulator.Scenario) { s.LengthS = max(s.LengthS, 9) }

const (
	roundTripFile = "internal/proxy/upstream_roundtrip.go"
	requestFile   = "internal/proxy/request.go"
	slotFile      = "internal/proxy/request_slot.go"
	startFile     = "internal/server/start.go"

	openForClients = "	s.awaitEndpoints()\n	s.clientListener.Open()\n"
)

// garbledCaches has all caches send malformed responses to half of the requests.
func garbledCaches(s *emulator.Scenario) {
	s.Faults = []emulator.Fault{{Kind: "garbled", DurationS: s.LengthS, Count: s.Fleet.Nodes, Fraction: 0.5}}
}

const lifecycleFile = "internal/lifecycle/upstream.go"

// surplusScenario returns a change of a scenario after which its servers follow a fraction of their responses by surplus ones of
// one kind, and the origin takes long, so that many requests wait for their responses when these come.
func surplusScenario(kind string, fraction, minDelayMS, maxDelayMS float64) func(*emulator.Scenario) {
	return func(s *emulator.Scenario) {
		s.Fleet.Nodes, s.Fleet.Cores, s.Load.Rate, s.Load.Steps = 4, 4, 400, nil
		s.Origin = emulator.NodeCapacity{Cores: 32, ServiceMS: 30, Queue: 200}
		s.Faults = []emulator.Fault{{
			Kind: "surplus", DurationS: s.LengthS, Surplus: kind, Fraction: fraction, MinDelayMS: minDelayMS, MaxDelayMS: maxDelayMS,
		}}
		for i, share := range []float64{0.5, 0.1, 0.4} { // reads, writes whose duplicates are dropped, writes that must not run twice
			s.Routes[i].Share = share
		}
	}
}

// lateValuesScenario has all caches send a fifth of their responses as long values that come after the latency objective.
func lateValuesScenario(s *emulator.Scenario) {
	s.Faults = []emulator.Fault{{Kind: "late-values", DurationS: s.LengthS, Count: s.Fleet.Nodes, Fraction: 0.2, MaxDelayMS: 1200}}
}

// Plants are the bugs that can be built into the proxy.
var Plants = []Plant{
	{"late-attempt", emulator.LateAttemptRule, []faultbuild.Patch{
		{File: roundTripFile, Old: "	if refusal, err := u.writeRequest(attempt, until); !refusal.Permitted() {", New: "	if time.Now().UnixNano()%20 == 0 {\n		time.Sleep(400 * time.Millisecond)\n	}\n	if refusal, err := u.writeRequest(attempt, until); !refusal.Permitted() {"},
		{File: "internal/proxy/upstream_write.go", Old: "	if attempt.request.life.Finished() {\n		limit = pastDeadline", New: "	if attempt.request == nil {\n		limit = pastDeadline"},
	}, nil, nil},
	{"told-deadline", emulator.SentDeadlineRule, []faultbuild.Patch{
		{File: roundTripFile, Old: "	facts := wire.AppendFacts(nil, req.facts, u.sentWaitMS)", New: "	facts := wire.AppendFacts(nil, req.facts, u.sentWaitMS+400)"},
	}, nil, nil},
	{"closed-unanswered", emulator.InvariantRule, []faultbuild.Patch{
		{File: "internal/lifecycle/connection.go", Old: "	case c.PendingReplies > 0:\n		return RepliesPending\n	case c.Phase == PhaseOpen", New: "	case c.Phase == PhaseOpen"},
	}, []string{"restart", "silent"}, nil},
	{"drain-ignored", emulator.DrainRule, []faultbuild.Patch{
		{File: "internal/proxy/host_index.go", Old: "	h.ready.Store(ready)", New: "	h.ready.Store(ready || h.departedAt == 0)"},
		{File: "internal/proxy/host_index.go", Old: "Ready: h.acceptsRequests(),", New: "Ready: true,"},
	}, []string{"replace"}, nil},
	{"second-effect", emulator.SingleEffectRule, []faultbuild.Patch{
		{File: "balancer/retry.go", Old: "route.Effect != Retriable && !isDropped)", New: "isDropped && false)"},
	}, []string{"origin-resets"}, nil},
	{"slow-start", emulator.SlowStartRule, []faultbuild.Patch{
		{File: "balancer/slowstart.go", Old: "	if endpoint.StartedAt == 0 || age >= b.slowStart.period {", New: "	if age >= 0 || age < 0 {"},
	}, []string{"cold"}, slowStartUnderLoad},
	{"other-value", emulator.OwnValueRule, []faultbuild.Patch{
		{File: slotFile, Old: "		r.reply(attempt.slot, replyCompleted, result.value, 0)", New: "		if len(result.value) > 12 {\n			result.value[len(result.value)-1-len(result.value)%7] ^= 1\n		}\n		r.reply(attempt.slot, replyCompleted, result.value, 0)"},
	}, nil, nil},
	{"malformed-value", emulator.OwnValueRule, []faultbuild.Patch{
		{File: "internal/wire/cacheresponse.go", Old: "	length, err := readBulkLength(r, MaxResponseValue)\n	if err != nil {\n		return Response{}, err", New: "	length, err := readBulkLength(r, MaxResponseValue)\n	if err != nil {\n		return Response{Reusable: true, trailing: true}, nil"},
	}, []string{"garbled"}, garbledCaches},
	{"not-ready", emulator.ReadyRule, []faultbuild.Patch{
		{File: "internal/server/start.go", Old: "	s.awaitEndpoints()\n	s.clientListener.Open()", New: "	s.awaitEndpoints()\n	if s.config.Discovery != \"\" {\n		time.Sleep(12 * time.Second)\n	}\n	s.clientListener.Open()"},
	}, nil, nil},
	{"bad-client", emulator.BadClientRule, []faultbuild.Patch{
		{File: "internal/proxy/client_conn.go", Old: "		c.closeWithError(reason)", New: "		time.Sleep(5 * time.Second)\n		c.closeWithError(reason)"},
	}, []string{"bad-clients"}, nil},
	{"held", emulator.ResidueRule, []faultbuild.Patch{
		{File: requestFile, Old: "		listener.counters.Held.Add(-1)", New: "		if len(r.id) == 0 || r.id[len(r.id)-1] != '7' {\n			listener.counters.Held.Add(-1)\n		}"},
	}, nil, nil},
	{"second-reply", emulator.InvariantRule, []faultbuild.Patch{
		{File: slotFile, Old: "	s.finished = true\n	r.endRequest(s.request, event)", New: "	s.finished = true\n	r.endRequest(s.request, event)\n	if len(s.request.id) > 0 && s.request.id[len(s.request.id)-1] == '7' {\n		r.endRequest(s.request, event)\n	}"},
	}, nil, nil},
	{"late-answer", emulator.FinalReplyRule, []faultbuild.Patch{
		{File: "balancer/deadline.go", Old: "return b.now >= b.current.giveUpAt }", New: "return b.now >= b.current.giveUpAt+6000 }"},
	}, []string{"silent"}, nil},
	{"memory", emulator.MemoryRule, []faultbuild.Patch{
		{File: startFile, Old: openForClients, New: openForClients + "	go func() {\n		leak := make([]byte, 256<<20)\n		for i := range leak {\n			leak[i] = 1\n		}\n		time.Sleep(time.Hour)\n		println(leak[0])\n	}()\n"},
	}, nil, nil},
	{"descriptors", emulator.DescriptorRule, []faultbuild.Patch{
		{File: startFile, Old: openForClients, New: openForClients + "	go func() {\n		var files []*os.File\n		for range 2000 {\n			file, _ := os.Open(os.DevNull)\n			files = append(files, file)\n		}\n		time.Sleep(time.Hour)\n		println(len(files))\n	}()\n"},
	}, nil, nil},
	{"hung", emulator.HungRule, []faultbuild.Patch{
		{File: "internal/server/listener.go", Old: "	offer := hotrestart.NewServer(", New: "	time.AfterFunc(2*time.Second, func() { _ = syscall.Kill(syscall.Getpid(), syscall.SIGSTOP) })\n	offer := hotrestart.NewServer("},
	}, nil, longScenario},
	{"invented", emulator.InventedRule, []faultbuild.Patch{
		{File: roundTripFile, Old: "		u.header = wire.AppendCommand(u.header[:0], req.name, req.key, req.id, facts, size)", New: "		key := req.key\n		if req.id[len(req.id)-1] == '7' {\n			key = []byte(string(req.key) + \"x\")\n		}\n		u.header = wire.AppendCommand(u.header[:0], req.name, key, req.id, facts, size)"},
	}, nil, nil},
	{"no-rest", emulator.OwnValueRule, []faultbuild.Patch{
		{File: lifecycleFile, Old: "	case c.Served > 0 && c.SinceResponse < ResponseRest:", New: "	case c.Served > 0 && c.SinceResponse < 0:"},
	}, []string{"surplus"}, surplusScenario("copy", 0.3, 2, 30)},
	{"no-distrust", emulator.OwnValueRule, []faultbuild.Patch{
		{File: "internal/proxy/host_distrust.go", Old: "	if int64(h.router.clock.Elapsed()) < until {\n		return true", New: "	if int64(h.router.clock.Elapsed()) < until {\n		return false"},
	}, []string{"surplus"}, surplusScenario("copy", 0.5, 60, 150)},
	{"refusal-believed", emulator.ResendRule, []faultbuild.Patch{
		{File: lifecycleFile, Old: "	if c.Served > 0 && !c.Repeatable {", New: "	if c.Served > 0 && !c.Repeatable && c.HostDistrusted {"},
		{File: "internal/proxy/host_distrust.go", Old: "	if int64(h.router.clock.Elapsed()) < until {\n		return true", New: "	if int64(h.router.clock.Elapsed()) < until {\n		return false"},
	}, []string{"surplus"}, surplusScenario("refusal", 0.8, 61, 100)},
	{"cut-off", emulator.CutOffRule, []faultbuild.Patch{
		{File: "balancer/deadline.go", Old: "	return b.current.respondingFrom != noEndpoint && b.isPastDeadline()", New: "	return false"},
	}, []string{"late-values"}, lateValuesScenario},
	{"crash", emulator.CrashRule, []faultbuild.Patch{
		{File: slotFile, Old: "	slot := r.acquireSlot(req)", New: "	if len(req.id) > 1 && string(req.id[len(req.id)-2:]) == \"77\" {\n		go func() { panic(\"planted\") }()\n	}\n	slot := r.acquireSlot(req)"},
	}, nil, nil},
}

// FindPlant returns the plant with the given name, or nil if there is none.
func FindPlant(name string) *Plant {
	for i := range Plants {
		if Plants[i].Name == name {
			return &Plants[i]
		}
	}
	return nil
}

// CheckPlant returns an error unless the patches of the plant match the sources of the module.
func CheckPlant(module string, plant *Plant) error {
	return faultbuild.CheckPatches(module, plant.Patches)
}
