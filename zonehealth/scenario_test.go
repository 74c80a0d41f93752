package zonehealth_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"woodproxy/internal/testscript"
	"woodproxy/zonehealth"
)

const (
	scenarioStart = 10000 * zonehealth.Second
	tickInterval  = zonehealth.Second / 10
	reportTTL     = 5 * zonehealth.Second
)

// TestScenarios runs the files in scenarios, each with the controller of proxy a1 in zone a. MS is the time of an event
// in milliseconds since the start; the controller ticks ten times a second until then. Each line is one of:
//
//	terms WORD=VALUE ...                 settings: apart (without peers), alone=no (standalone decisions disabled),
//	                                     region=NAME:ZONE,ZONE, zone=NAME (zone of this proxy)
//	MS nodes ZONE:N ... [cold=MS]        adds N nodes in each zone, which were started cold milliseconds ago;
//	                                     without ZONE:N, restarts all nodes
//	MS fleet ZONE:N ... [away=NAME,...] [gone=NAME,...] [behind]
//	                                     sets the proxies a1, a2 ... of the fleet; away: unreachable proxies or zones,
//	                                     gone: departed proxies or zones, behind: this proxy is catching up
//	MS try ZONE N answered|late|nothing|undone|shut|reached [took=MS] [nodes=K]
//	                                     N attempts with this outcome, in turn at the first K nodes of the zone;
//	                                     nothing: unanswered, undone: canceled, shut: the connection failed,
//	                                     reached: no attempt, but a connection was opened
//	MS sent ZONE N                       N attempts without an outcome
//	MS say ZONE NAME,... for|against|none [ill=K] [well=K] [fine=N] [late=N] [lost=N] [load=INFLIGHT/CAPACITY]
//	      [origin=FRACTION] [stand=EPOCH:STATE[:STEP[:FLAPS]]] [plan=EPOCH:STATE[:STEP[:FLAPS]]] [kept]
//	                                     reports of the named proxies on a zone: vote, number of unhealthy (ill) and
//	                                     healthy (well) nodes, attempts in time (fine), late and unanswered (lost),
//	                                     fraction of late origin fetches, verdict (stand) and proposal (plan);
//	                                     kept: the proposal retains the healthy nodes
//	MS order ZONE in|out|hold|auto EPOCH [force]
//	                                     sets an override
//	MS load INFLIGHT CAPACITY            sets the load of this proxy
//	MS ticks                             no event
//	> ZONE STATE [open=FRACTION] [epoch=N] [flaps=N] [step=N] [kept=K] [alone] [barred=N]
//	                                     expects the status of a zone; open: served fraction, kept: retained nodes,
//	                                     alone: standalone verdict, barred: excluded nodes
//	> knocked N                          expects N connect probes since the last such line
//	> spoke ZONE for|against|none [plan=STATE]
//	                                     expects a report published since the last such line
//	> log WORDS                          expects a log text that contains the words
//	> wrong ZONE|REGION MODE [epoch=N] [force] : WORDS
//	                                     expects CheckOverride to return a text that contains the words, or "" if
//	                                     WORDS is nothing
func TestScenarios(t *testing.T) {
	testscript.RunFiles(t, "scenarios/*.txt", func(t *testing.T) testscript.Runner {
		return &scenario{
			t: t, settings: scenarioSettings(), exclusions: map[int]zonehealth.Decision{}, reports: map[string]zonehealth.Report{},
		}
	})
}

func scenarioSettings() zonehealth.Settings {
	return zonehealth.Settings{
		ProxyName: "a1", Zone: "a", ShortestObjective: 5000, SilenceTimeout: 3000, VoteFraction: 0.2, ConfirmationTime: 2000,
		HoldDownTime: 20000, MaxHoldDownTime: 160000, RampStepTime: 10000, SlowStartTime: 50000,
		SlowStartInitialFraction: 0.2, StandaloneEnabled: true,
	}
}

// scenario runs one scenario file. It implements testscript.Runner.
type scenario struct {
	t          *testing.T
	line       int
	settings   zonehealth.Settings
	controller *zonehealth.Controller
	now        zonehealth.Time
	nodes      []zonehealth.Node
	exclusions map[int]zonehealth.Decision
	reports    map[string]zonehealth.Report
	logs       []string
	probes     int
}

func (s *scenario) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Errorf("line %d: %s", s.line, fmt.Sprintf(format, args...))
}

var (
	states = map[string]zonehealth.State{
		"in": zonehealth.InService, "returning": zonehealth.Returning, "leaving": zonehealth.PartlyEvacuated, "out": zonehealth.Evacuated,
	}
	votes    = map[string]zonehealth.Vote{"for": zonehealth.VoteHealthy, "against": zonehealth.VoteUnhealthy, "none": zonehealth.NoVote}
	outcomes = map[string]zonehealth.Outcome{
		"answered": zonehealth.AnsweredInTime, "late": zonehealth.AnsweredLate, "nothing": zonehealth.Unanswered, "undone": zonehealth.Canceled,
		"shut": zonehealth.ConnectFailed,
	}
)

// events holds the functions for lines that begin with a time, by their second word. The parameters of each are the
// remaining words and the options among them.
var events = map[string]func(s *scenario, words []string, options map[string]string){
	"ticks": func(*scenario, []string, map[string]string) {},
	"nodes": (*scenario).listNodes,
	"fleet": (*scenario).setFleet,
	"try":   (*scenario).finishAttempts,
	"sent":  (*scenario).sendAttempts,
	"say":   (*scenario).receiveReports,
	"load":  (*scenario).setLoad,
	"order": (*scenario).setOverride,
}

// RunStep runs one line.
func (s *scenario) RunStep(line int, words []string) {
	s.line = line
	options := testscript.ParseArguments(words[1:])
	switch words[0] {
	case "terms":
		s.changeSettings(options)
		return
	case ">":
		s.expect(words[1:], options)
		return
	}
	s.advance(scenarioStart + milliseconds(words[0]))
	if event, known := events[words[1]]; known {
		event(s, words[2:], options)
	} else {
		s.fail("unknown event %q", words[1])
	}
}

// Finish does nothing. It is called after the last line.
func (s *scenario) Finish() {}

func (s *scenario) changeSettings(options map[string]string) {
	for key, value := range options {
		switch key {
		case "apart":
			s.settings.WithoutPeers = true
		case "alone":
			s.settings.StandaloneEnabled = false
		case "zone":
			s.settings.Zone = value
		case "region":
			name, zones, _ := strings.Cut(value, ":")
			s.settings.Regions = append(s.settings.Regions, zonehealth.Region{Name: name, Zones: strings.Split(zones, ",")})
		}
	}
}

// advance calls Tick ten times a second until the given time. The first call of advance creates the controller.
func (s *scenario) advance(until zonehealth.Time) {
	if s.controller == nil {
		s.now = scenarioStart
		s.controller = zonehealth.New(s.now, s.settings)
	}
	for s.now < until {
		s.now = min(s.now+tickInterval, until)
		s.applyDecisions(s.controller.Tick(s.now))
	}
}

func (s *scenario) applyDecisions(decisions []zonehealth.Decision) {
	for _, d := range decisions {
		switch d.Action {
		case zonehealth.ExcludeNode:
			s.exclusions[d.Node] = d
		case zonehealth.PublishReport:
			s.reports[d.Zone] = d.Report
		case zonehealth.ProbeNode:
			s.probes++
		case zonehealth.Log:
			s.logs = append(s.logs, d.Text)
		}
	}
}

func (s *scenario) listNodes(words []string, options map[string]string) {
	started := zonehealth.Time(0)
	if options["cold"] != "" {
		started = s.now - milliseconds(options["cold"])
	}
	before := len(s.nodes)
	for _, c := range zoneCounts(words) {
		for range c.count {
			index := len(s.nodes)
			s.nodes = append(s.nodes, zonehealth.Node{Index: index, Name: fmt.Sprint("c", index), Zone: c.zone, StartedAt: started})
		}
	}
	if len(s.nodes) == before {
		for i := range s.nodes {
			s.nodes[i].StartedAt = started
		}
	}
	s.applyDecisions(s.controller.SetNodes(s.now, s.nodes))
}

func (s *scenario) setFleet(words []string, options map[string]string) {
	away, gone := list(options["away"]), list(options["gone"])
	var proxies []zonehealth.Proxy
	for _, c := range zoneCounts(words) {
		for i := range c.count {
			name := fmt.Sprint(c.zone, i+1)
			departed := slices.Contains(gone, name) || slices.Contains(gone, c.zone)
			unreachable := departed || slices.Contains(away, name) || slices.Contains(away, c.zone)
			proxies = append(proxies, zonehealth.Proxy{Name: name, Zone: c.zone, Reachable: !unreachable, Departed: departed})
		}
	}
	s.controller.SetFleet(s.now, proxies, options["behind"] != "")
}

// attemptedNodes returns the indices of the nodes to which the attempts of a line are sent in turn.
func (s *scenario) attemptedNodes(zone string, options map[string]string) []int {
	var indices []int
	for _, n := range s.nodes {
		if n.Zone == zone && (options["nodes"] == "" || len(indices) < integer(options["nodes"])) {
			indices = append(indices, n.Index)
		}
	}
	return indices
}

func (s *scenario) sendAttempts(words []string, options map[string]string) {
	indices := s.attemptedNodes(words[0], options)
	for i := range integer(words[1]) {
		s.controller.AttemptSent(s.now, indices[i%len(indices)])
	}
}

func (s *scenario) finishAttempts(words []string, options map[string]string) {
	elapsed := zonehealth.Time(50)
	if options["took"] != "" {
		elapsed = milliseconds(options["took"])
	}
	indices := s.attemptedNodes(words[0], options)
	for i := range integer(words[1]) {
		index := indices[i%len(indices)]
		if words[2] == "reached" {
			s.controller.ConnectionOpened(index)
			continue
		}
		s.controller.AttemptSent(s.now, index)
		s.controller.AttemptFinished(s.now, index, outcomes[words[2]], elapsed)
	}
}

func (s *scenario) receiveReports(words []string, options map[string]string) {
	zone, report := words[0], newReport(votes[words[2]], options)
	unhealthy, healthy := integer(options["ill"]), integer(options["well"])
	position := 0
	for _, n := range s.nodes {
		if n.Zone != zone {
			continue
		}
		if position++; position <= unhealthy {
			report.UnhealthyNodes = append(report.UnhealthyNodes, zonehealth.NodeHash(n.Name))
		} else if position <= unhealthy+healthy {
			report.HealthyNodes = append(report.HealthyNodes, zonehealth.NodeHash(n.Name))
		}
	}
	if options["kept"] != "" {
		slices.Sort(report.HealthyNodes)
		report.Proposal.RetainedNodes, report.HealthyNodes = report.HealthyNodes, nil
	}
	for _, proxy := range strings.Split(words[1], ",") {
		s.applyDecisions(s.controller.PeerReport(s.now, proxy, zone, report, 0, reportTTL))
	}
}

// newReport returns the report that a line describes, without its node lists.
func newReport(vote zonehealth.Vote, options map[string]string) zonehealth.Report {
	number := func(key string) float32 { return float32(testscript.ParseNumber(options[key])) }
	report := zonehealth.Report{
		Vote: vote, InTime: number("fine"), AnsweredLate: number("late"), Unanswered: number("lost"), OriginLateFraction: number("origin"),
		Proposal: parseVerdict(options["plan"]),
	}
	if vote != zonehealth.VoteHealthy {
		report.LastResponseAge = zonehealth.Second
	}
	if verdict := parseVerdict(options["stand"]); verdict != nil {
		report.Verdict = *verdict
	}
	if inFlight, capacity, found := strings.Cut(options["load"], "/"); found {
		report.InFlight, report.Capacity = float32(testscript.ParseNumber(inFlight)), float32(testscript.ParseNumber(capacity))
	}
	return report
}

func (s *scenario) setLoad(words []string, _ map[string]string) {
	s.controller.SetLoad(testscript.ParseNumber(words[0]), testscript.ParseNumber(words[1]))
}

func (s *scenario) setOverride(words []string, options map[string]string) {
	s.applyDecisions(s.controller.SetOverride(s.now, zonehealth.Override{
		Zone: words[0], Mode: zonehealth.OverrideModes[words[1]], Epoch: int64(integer(words[2])), Proxy: "b1", Force: options["force"] != "",
	}))
}

// expect checks a line that begins with ">".
func (s *scenario) expect(words []string, options map[string]string) {
	s.t.Helper()
	switch words[0] {
	case "log":
		s.expectLog(words[1:])
	case "knocked":
		s.expectProbes(words[1])
	case "spoke":
		s.expectReport(words[1], votes[words[2]], options["plan"])
	case "wrong":
		s.expectOverrideCheck(words, options)
	default:
		s.expectStatus(words, options)
	}
}

func (s *scenario) expectLog(words []string) {
	s.t.Helper()
	if !strings.Contains(strings.Join(s.logs, "\n"), strings.Join(words, " ")) {
		s.fail("got log texts %q, want one that contains %q", s.logs, words)
	}
}

func (s *scenario) expectProbes(want string) {
	s.t.Helper()
	if s.probes != integer(want) {
		s.fail("got %d connect probes, want %s", s.probes, want)
	}
	s.probes = 0
}

func (s *scenario) expectReport(zone string, vote zonehealth.Vote, proposed string) {
	s.t.Helper()
	report, published := s.reports[zone]
	if !published || report.Vote != vote || (proposed != "") != (report.Proposal != nil) ||
		report.Proposal != nil && report.Proposal.State != states[proposed] {
		s.fail("zone %s: unexpected report (published %v): %+v, proposal %+v", zone, published, report, report.Proposal)
	}
	delete(s.reports, zone)
}

func (s *scenario) expectOverrideCheck(words []string, options map[string]string) {
	s.t.Helper()
	command, want, _ := strings.Cut(strings.Join(words, " "), " : ")
	arguments := strings.Fields(command)
	epoch := int64(-1)
	if options["epoch"] != "" {
		epoch = int64(integer(options["epoch"]))
	}
	zones, override := s.settings.ZonesNamed(arguments[1]), zonehealth.OverrideModes[arguments[2]]
	got := zonehealth.CheckOverride(s.controller.Statuses(s.now), zones, override, epoch, options["force"] != "")
	if want == "nothing" && got != "" || want != "nothing" && !strings.Contains(got, want) {
		s.fail("CheckOverride for %q: got %q, want %q", arguments, got, want)
	}
}

func (s *scenario) expectStatus(words []string, options map[string]string) {
	s.t.Helper()
	statuses := s.controller.Statuses(s.now)
	i := slices.IndexFunc(statuses, func(status zonehealth.ZoneStatus) bool { return status.Name == words[0] })
	if i < 0 {
		s.fail("no zone %q", words[0])
		return
	}
	status := &statuses[i]
	got := map[string]float64{
		"open": status.ServedFraction, "epoch": float64(status.Verdict.Epoch), "flaps": float64(status.Verdict.Flaps), "step": float64(status.Verdict.Step),
		"kept": float64(len(status.Verdict.RetainedNodes)), "barred": float64(s.excludedNodes(status.Name)),
	}
	matches := status.Verdict.State.String() == words[1] && status.Standalone == (options["alone"] != "")
	want := testscript.ParseArguments(words[2:])
	delete(want, "alone")
	for key, value := range want {
		number, known := got[key]
		matches = matches && known && math.Abs(number-testscript.ParseNumber(value)) <= 0.001
	}
	if !matches {
		s.fail("zone %s: got %v %v, standalone %v, want %v; log texts %q",
			status.Name, status.Verdict.State, got, status.Standalone, words, s.logs)
	}
}

// excludedNodes returns the number of nodes in a zone that are excluded for any fraction of their keys.
func (s *scenario) excludedNodes(zone string) int {
	excluded := 0
	for _, n := range s.nodes {
		if n.Zone == zone && s.exclusions[n.Index].ExcludedFraction > 0 {
			excluded++
		}
	}
	return excluded
}

// zoneCount is a word of the form ZONE:N.
type zoneCount struct {
	zone  string
	count int
}

// zoneCounts returns the words of the form ZONE:N and ignores other words.
func zoneCounts(words []string) []zoneCount {
	var counts []zoneCount
	for _, word := range words {
		if zone, count, found := strings.Cut(word, ":"); found {
			counts = append(counts, zoneCount{zone, integer(count)})
		}
	}
	return counts
}

// parseVerdict parses a word of the form EPOCH:STATE[:STEP[:FLAPS]]. It returns nil for an empty word.
func parseVerdict(word string) *zonehealth.Verdict {
	if word == "" {
		return nil
	}
	fields := append(strings.Split(word, ":"), "0", "0")
	return &zonehealth.Verdict{
		Epoch: int64(integer(fields[0])), State: states[fields[1]], Step: integer(fields[2]), Flaps: integer(fields[3]),
	}
}

func list(word string) []string {
	if word == "" {
		return nil
	}
	return strings.Split(word, ",")
}

func integer(word string) int { return int(testscript.ParseNumber(word)) }

func milliseconds(word string) zonehealth.Time {
	return zonehealth.Time(testscript.ParseNumber(word) * 10)
}
