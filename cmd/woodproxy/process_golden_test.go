package main_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/goldentest"

	"woodproxy/duties"
	"woodproxy/internal/emulator"
	"woodproxy/internal/gossip"
	"woodproxy/internal/wire"
	"woodproxy/negativecache"
	"woodproxy/replica"
	"woodproxy/zonehealth"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// waitTimeout is the maximum time to wait for a condition.
const waitTimeout = 15 * time.Second

// proxyProcess is a running proxy.
type proxyProcess struct {
	program    string
	command    *exec.Cmd
	log        *bytes.Buffer // read only after the process has exited
	clients    string        // address for clients
	management string        // address of the admin server
	peers      string        // address for gossip
}

// unreachable is an address at which nothing listens.
const unreachable = "127.0.0.1:1"

// listedNode is an entry of the endpoint list.
type listedNode struct{ name, zone, kind, addr string }

// fleetNodes returns a fleet of a cache and the origin in zone a, and three caches in each of zones b and c. Nothing
// listens at their addresses.
func fleetNodes() []listedNode {
	nodes := []listedNode{{"cache-a", "a", "std", unreachable}, {"origin", "a", "origin", unreachable}}
	for _, zone := range []string{"b", "c"} {
		for i := range 3 {
			nodes = append(nodes, listedNode{fmt.Sprint("cache-", zone, i), zone, "std", unreachable})
		}
	}
	return nodes
}

// knownList returns the configuration's endpoint list, from which a proxy serves while discovery does not respond.
func knownList(nodes []listedNode) string {
	var rows []string
	for _, n := range nodes {
		rows = append(rows, fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":"active","weight":1,"since_ms":0}`,
			n.name, n.addr, n.zone, n.kind))
	}
	return `{"index":41,"snapshot":true,"endpoints":[` + strings.Join(rows, ",") + `]}`
}

// allFeatures returns a function that writes the files of all optional features and returns their flags.
func allFeatures(t *testing.T) func(dir string) []string {
	return func(dir string) []string {
		t.Helper()
		return append(featureFlags(t, dir), "--peers-listen=PEERS")
	}
}

// onlyZones is like allFeatures, but returns only the flag of the zone health file.
func onlyZones(t *testing.T) func(dir string) []string {
	return func(dir string) []string {
		t.Helper()
		featureFlags(t, dir)
		return []string{"--zones=zones.toml"}
	}
}

// noFeatures returns no flags of optional features.
func noFeatures(string) []string { return nil }

// startProxy starts the proxy alpha with the flags that features returns, in which PEERS is replaced by the proxy's
// address for gossip. Nothing listens at the address of discovery.
func startProxy(t *testing.T, program, known string, features func(dir string) []string) *proxyProcess {
	t.Helper()
	return startConfiguredProxy(t, program, strings.Replace(cliConfig, `"seed"`, `"known":`+known+`,"seed"`, 1), features)
}

// startConfiguredProxy is startProxy with the text of the configuration.
func startConfiguredProxy(t *testing.T, program, config string, features func(dir string) []string) *proxyProcess {
	t.Helper()
	dir := t.TempDir()
	p := &proxyProcess{program: program, log: &bytes.Buffer{}, clients: freeAddress(t), management: freeAddress(t), peers: freeAddress(t)}
	writeFile(t, dir, "config.json", config)
	p.start(t, dir, features)
	return p
}

// startSuccessor starts a second process of the proxy, which takes over the listener of the first one.
func (p *proxyProcess) startSuccessor(t *testing.T) *proxyProcess {
	t.Helper()
	successor := &proxyProcess{program: p.program, log: &bytes.Buffer{}, clients: p.clients, management: freeAddress(t), peers: p.peers}
	successor.start(t, p.command.Dir, noFeatures)
	successor.awaitReady(t)
	return successor
}

// start starts the process in a directory that contains its configuration.
func (p *proxyProcess) start(t *testing.T, dir string, features func(dir string) []string) {
	t.Helper()
	args := []string{"serve", "--config=config.json", "--listen=" + p.clients, "--management=" + p.management}
	for _, flag := range features(dir) {
		args = append(args, strings.ReplaceAll(flag, "PEERS", p.peers))
	}
	p.command = exec.Command(p.program, args...)
	p.command.Dir, p.command.Env, p.command.Stderr = dir, []string{"TMPDIR=" + dir}, p.log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // the process may have exited already
		_ = p.command.Wait()         // a killed process always returns an error
		if t.Failed() {
			t.Logf("the proxy's log:\n%s", p.log)
		}
	})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.10.9.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// response is a response of the admin server.
type response struct {
	status      int
	contentType string
	body        string
}

func (r response) String() string {
	return fmt.Sprintf("%d %s\n%s", r.status, r.contentType, r.body)
}

// masked returns the text of a response with its body masked.
func (r response) masked(mask func(string) string) string {
	return response{r.status, r.contentType, mask(r.body)}.String()
}

// send sends a request to the admin server.
func (p *proxyProcess) send(method, target, body string) (response, error) {
	request, err := http.NewRequest(method, "http://"+p.management+target, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	reply, err := client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	return response{reply.StatusCode, reply.Header.Get("Content-Type"), string(text)}, err
}

// call sends a request to the admin server and fails the test if it gets no response.
func (p *proxyProcess) call(t *testing.T, method, target, body string) response {
	t.Helper()
	r, err := p.send(method, target, body)
	if err != nil {
		t.Fatalf("%s %s: %v", method, target, err)
	}
	return r
}

// awaitResponse repeats a request until its response satisfies the condition.
func (p *proxyProcess) awaitResponse(t *testing.T, method, target string, condition func(response) bool) response {
	t.Helper()
	var last response
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if last, err = p.send(method, target, ""); err == nil && condition(last) {
			return last
		}
	}
	t.Fatalf("%s %s: condition not met in time: last response %v (%v)", method, target, last, err)
	return last
}

// awaitReady waits until the readiness endpoint of the admin server reports ready.
func (p *proxyProcess) awaitReady(t *testing.T) {
	t.Helper()
	p.awaitResponse(t, "GET", "/control/ready", func(r response) bool { return r.status == http.StatusOK })
}

// awaitPeer waits until both gossip and duties list the peer beta as present.
func (p *proxyProcess) awaitPeer(t *testing.T) {
	t.Helper()
	p.awaitResponse(t, "GET", "/control/peers", func(r response) bool { return strings.Contains(r.body, "proxy beta here") })
	p.awaitResponse(t, "GET", "/control/turns", func(r response) bool { return strings.Contains(r.body, `"here":2,`) })
}

// stop sends SIGTERM to the process and waits until it exits.
func (p *proxyProcess) stop(t *testing.T) {
	t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.awaitExit(t)
}

// awaitExit waits until the process exits, and reports an error unless it exits with code 0.
func (p *proxyProcess) awaitExit(t *testing.T) {
	t.Helper()
	if err := p.command.Wait(); err != nil {
		t.Errorf("proxy exited: got %v, want exit code 0", err)
	}
}

// run runs a subcommand of the program and returns its output.
func (p *proxyProcess) run(t *testing.T, args ...string) string {
	t.Helper()
	text, err := exec.Command(p.program, args...).CombinedOutput()
	if err != nil {
		t.Errorf("%v: %v: %s", args, err, text)
	}
	return string(text)
}

var (
	digestText = regexp.MustCompile(`digest [0-9a-f]{16}`)
	numberText = regexp.MustCompile(`\d+(\.\d+)?`)
	jsonString = regexp.MustCompile(`:"[^"]*"`)
	jsonBool   = regexp.MustCompile(`:(true|false)`)
)

// maskNumbers replaces the digits of numbers, and keeps the number of decimals. It also masks digests and the sign of
// lags.
func maskNumbers(text string) string {
	text = digestText.ReplaceAllString(strings.ReplaceAll(text, "lag -", "lag "), "digest H")
	return numberText.ReplaceAllStringFunc(text, func(number string) string {
		_, decimals, fraction := strings.Cut(number, ".")
		if !fraction {
			return "N"
		}
		return "N." + strings.Repeat("N", len(decimals))
	})
}

// maskValues masks the values in a JSON text by their types.
func maskValues(text string) string {
	return maskNumbers(jsonBool.ReplaceAllString(jsonString.ReplaceAllString(text, `:"S"`), ":B"))
}

// maskSamples removes the values of samples from a metrics text, and keeps HELP and TYPE lines and sample names.
func maskSamples(text string) string {
	lines := strings.SplitAfter(text, "\n")
	for i, line := range lines {
		if name, _, sample := strings.Cut(line, " "); sample && !strings.HasPrefix(line, "#") {
			lines[i] = name + "\n"
		}
	}
	return strings.Join(lines, "")
}

// lineOf returns the first line that begins with the prefix, or an empty string.
func lineOf(text, prefix string) string {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, prefix) {
			return line
		}
	}
	return ""
}

// noopListener ignores all events that the fake peer receives by gossip.
type noopListener struct{}

func (noopListener) EndpointChanged(int64, wire.Endpoint)  {}
func (noopListener) HealthReported(string, bool)           {}
func (noopListener) QuotaShareChanged(float64)             {}
func (noopListener) RequestCount() int64                   { return 0 }
func (noopListener) WriteRowCount() int64                  { return 0 }
func (noopListener) MembersUpdated([]replica.Member, bool) {}
func (noopListener) RowChanged(*replica.Row)               {}

// fakePeer is a member of the cluster without a proxy. It publishes the gossip rows that a test passes to it.
type fakePeer struct {
	*gossip.Agent
	t     *testing.T
	leave func() // announces the departure and stops the agent, once
}

// startPeer starts the fake peer beta, which joins the proxy's cluster.
func startPeer(t *testing.T, p *proxyProcess) fakePeer {
	t.Helper()
	addr := freeAddress(t)
	config := &gossip.Config{Cluster: "c", Listen: addr, Advertise: addr, Seeds: []string{p.peers}, TakeoverDelaySeconds: 3, QuotaFloor: 0.25}
	agent, err := gossip.Start(config, "beta", "b", 2, 60*replica.Second, 1, noopListener{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	leave := sync.OnceFunc(agent.Close)
	t.Cleanup(leave)
	return fakePeer{agent, t, leave}
}

const rowTTL = 60 * replica.Second

// publishRow publishes a row that the fake peer owns.
func (s fakePeer) publishRow(kind replica.Kind, key string, value any) {
	s.t.Helper()
	body, err := msgpack.Marshal(value)
	if err != nil {
		s.t.Fatal(err)
	}
	s.PublishOwnRow(kind, key, rowTTL, body)
}

// unknownKind is a kind of row that this version does not define, as a later version may publish.
const unknownKind replica.Kind = 42

// publishAllKinds publishes a row of each kind except overrides, which are set by the proxy's operators.
func (s fakePeer) publishAllKinds() {
	s.t.Helper()
	s.PublishHealth("cache-a", false)
	s.PublishEndpoints(42, false, []wire.Endpoint{{Name: "cache-a", Address: "127.0.0.1:1", Zone: "a", Ready: true}})
	// The departure is of an incarnation long before that of this process of beta.
	s.PublishSharedRow(replica.Row{Kind: replica.KindDeparture, Key: "beta", Epoch: 1})
	s.publishRow(replica.KindZoneReport, "b", &zonehealth.Report{Zone: "b"})
	s.publishRow(replica.KindEndpointProbe, "cache-a", &duties.Report{Round: 1})
	s.publishRow(replica.KindWatchHeartbeat, "beta", &duties.Report{ValidFor: 5 * duties.Second})
	s.publishRow(replica.KindWrittenKeys, "s0", &negativecache.KeyReport{})
	s.publishRow(replica.KindAbsentKeys, "s0", &negativecache.KeyReport{})
	s.publishRow(unknownKind, "thing", &struct{}{})
}

// TestProcessGolden compares the texts, keys and names that operators see at a proxy with all optional features and a
// peer with golden files.
func TestProcessGolden(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	p := startProxy(t, program, knownList(fleetNodes()), allFeatures(t))
	starting := p.awaitResponse(t, "GET", "/control/ready", func(response) bool { return true })
	if want := (response{503, plainText, "starting\n"}); starting != want {
		t.Errorf("readiness at the start: got %v, want status starting", starting)
	}
	p.awaitReady(t)
	peer := startPeer(t, p)
	p.awaitPeer(t)

	t.Run("zones", func(t *testing.T) { testZonesText(t, p, peer) })
	t.Run("peers", func(t *testing.T) { testPeersText(t, p, peer) })
	t.Run("figures", func(t *testing.T) { testFigures(t, p) })
	t.Run("plans", func(t *testing.T) { testPlans(t, p) })
	t.Run("service", func(t *testing.T) { testServiceCalls(t, p) })

	peer.leave()
	p.awaitResponse(t, "GET", "/control/peers", func(r response) bool { return strings.Contains(r.body, "proxy beta gone incarnation ") })
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.awaitResponse(t, "GET", "/control/ready", func(r response) bool { return r == response{503, plainText, "stopping\n"} })
	p.awaitExit(t)
}

const plainText = "text/plain; charset=utf-8"

func testPeersText(t *testing.T, p *proxyProcess, peer fakePeer) {
	peer.publishAllKinds()
	want := []string{
		"behind false, share", "rows pulse ", "rows sight ", "rows node ", "rows gone ", "rows voice ", "rows order ", "rows trial ", "rows beat ",
		"rows wrote ", "rows absent ", "rows kind-42 ", "proxy alpha here", "proxy beta here",
	}
	shown := p.awaitResponse(t, "GET", "/control/peers", func(r response) bool {
		for _, text := range want {
			if !strings.Contains(r.body, text) {
				return false
			}
		}
		return !strings.Contains(r.body, "behind true")
	})
	goldentest.Text(t, "process_peers.golden", shown.masked(maskNumbers))
	if got := maskNumbers(p.run(t, "peers", p.management)); got != maskNumbers(shown.body) {
		t.Errorf("peers subcommand: got %q, want the text of /control/peers", got)
	}
}

// testZonesText sets overrides for zones and publishes a peer's vote, and compares the zones' status after each step.
func testZonesText(t *testing.T, p *proxyProcess, peer fakePeer) {
	var all strings.Builder
	zone := func(name, prefix, part string) {
		shown := p.awaitResponse(t, "GET", "/control/zones", func(r response) bool { return strings.Contains(lineOf(r.body, prefix), part) })
		fmt.Fprintf(&all, "=== %s\n%s", name, maskNumbers(lineOf(shown.body, prefix)))
	}
	setOverride := func(target string) {
		fmt.Fprintf(&all, "=== POST %s\n%s", target, p.call(t, "POST", target, ""))
	}
	first := p.awaitResponse(t, "GET", "/control/zones", func(r response) bool { return strings.Contains(r.body, "zone c ") })
	fmt.Fprintf(&all, "=== at the start\n%s", first.masked(maskNumbers))
	if got := maskNumbers(p.run(t, "zones", p.management)); got != maskNumbers(first.body) {
		t.Errorf("zones subcommand: got %q, want the text of /control/zones", got)
	}
	setOverride("/control/zones/b/out?epoch=0")
	zone("ordered out", "zone b ", "ordered out")
	setOverride("/control/zones/b/out?epoch=7")
	setOverride("/control/zones/q/out")
	setOverride("/control/zones/b/sideways")
	setOverride("/control/zones/b/auto?epoch=1")
	zone("ordered auto", "zone b ", "ordered auto")
	setOverride("/control/zones/east/out")
	zone("a region ordered out", "zone c ", "ordered out")
	setOverride("/control/zones/a/out")
	setOverride("/control/zones/a/out?force=leave+no+zone")
	zone("evacuated by force", "zone a ", "ordered out")
	setOverride("/control/zones/a/in")
	zone("ordered in", "zone a ", "ordered in")
	setOverride("/control/zones/east/auto")
	zone("a region ordered auto", "zone b ", "order 4")
	zone("a region ordered auto", "zone c ", "order 2")
	fmt.Fprintf(&all, "=== woodproxy zones ADDRESS c hold --epoch=2\n%s", p.run(t, "zones", p.management, "c", "hold", "--epoch=2"))
	zone("held", "zone c ", "ordered hold")
	peer.publishRow(replica.KindZoneReport, "c", &zonehealth.Report{Zone: "b", Vote: zonehealth.VoteUnhealthy, UnansweredRun: 3, Unanswered: 3})
	zone("unhealthy vote of a peer", "zone c ", "against: beta")
	goldentest.Text(t, "process_zones.golden", all.String())
}

// sendRequestsSteadily makes a client request keys, one after the other, until the test ends.
func sendRequestsSteadily(t *testing.T, p *proxyProcess) {
	t.Helper()
	conn, err := net.Dial("tcp", p.clients)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	go func() {
		for i := 0; ; i++ {
			key := fmt.Sprint("key-", i)
			request := fmt.Sprintf("*4\r\n$6\r\nKV.GET\r\n$%[1]d\r\n%[2]s\r\n$%[1]d\r\n%[2]s\r\n$17\r\nc=read,t=x,d=1200\r\n", len(key), key)
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

// startZoneServers starts fake servers for the nodes of zones a and b, sets the nodes' addresses, and returns the servers
// of zone b.
func startZoneServers(t *testing.T, nodes []listedNode) (zoneB []*emulator.Node) {
	t.Helper()
	for i := range nodes {
		n := &nodes[i]
		if n.zone == "c" {
			continue
		}
		node, err := emulator.NewNode("127.10.9.3", n.name, n.kind == "origin", 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Stop)
		node.SetMode("hit", 1, 0, 0)
		if n.addr = node.Addr(0); n.zone == "b" {
			zoneB = append(zoneB, node)
		}
	}
	return zoneB
}

// A proxy without peers evacuates a zone on its own if none of the zone's nodes responds to its requests any longer.
func TestProcessEvacuatesZoneStandalone(t *testing.T) {
	nodes := fleetNodes()
	zoneB := startZoneServers(t, nodes)
	p := startProxy(t, filepath.Join(buildPrograms(t), "woodproxy"), knownList(nodes), onlyZones(t))
	p.awaitReady(t)
	sendRequestsSteadily(t, p)
	time.Sleep(time.Second) // during which the zone responds
	for _, node := range zoneB {
		node.Stop()
	}
	p.awaitResponse(t, "GET", "/control/zones", func(r response) bool {
		return strings.HasSuffix(lineOf(r.body, "zone b "), " unanswered; passed by alone\n")
	})
	p.stop(t)
}

// A proxy under load keeps using its own zone while the verdict of its peers is to evacuate that zone.
func TestProcessKeepsOwnZoneEvacuatedByPeers(t *testing.T) {
	nodes := fleetNodes()
	startZoneServers(t, nodes)
	p := startProxy(t, filepath.Join(buildPrograms(t), "woodproxy"), knownList(nodes), allFeatures(t))
	p.awaitReady(t)
	sendRequestsSteadily(t, p)
	peer := startPeer(t, p)
	p.awaitPeer(t)
	left := &zonehealth.Report{Zone: "b", Verdict: zonehealth.Verdict{Epoch: 5, State: zonehealth.Evacuated}}
	for zone, words := range map[string]string{"a": "out for others", "c": "out"} {
		p.awaitResponse(t, "GET", "/control/zones", func(r response) bool {
			peer.publishRow(replica.KindZoneReport, zone, left)
			return strings.HasPrefix(lineOf(r.body, "zone "+zone+" "), "zone "+zone+" "+words+" epoch 5 step 0 flaps 0 open ")
		})
	}
	p.stop(t)
}

func testFigures(t *testing.T, p *proxyProcess) {
	var all strings.Builder
	for _, target := range []string{"/control/turns", "/control/recovery", "/control/missing"} {
		fmt.Fprintf(&all, "=== GET %s\n%s", target, p.call(t, "GET", target, "").masked(maskValues))
	}
	goldentest.Text(t, "process_figures.golden", all.String())
	goldentest.Text(t, "process_metrics.golden", p.call(t, "GET", "/metrics", "").masked(maskSamples))
	goldentest.Text(t, "process_counters.golden", maskNumbers(p.run(t, "counters", p.clients)))
}

// manyNodes returns an inventory with more nodes than the limit.
func manyNodes() string {
	var nodes []string
	for i := range 501 {
		nodes = append(nodes, fmt.Sprintf(`{"name":"n%d","room_bytes":1}`, i))
	}
	return `{"nodes":[` + strings.Join(nodes, ",") + `]}`
}

// testPlans requests plans for inventories: some that can be planned, and others that fail for different reasons.
func testPlans(t *testing.T, p *proxyProcess) {
	var all strings.Builder
	const twoNodes = `"nodes":[{"name":"a","room_bytes":10,"zone":"x"},{"name":"b","room_bytes":10,"zone":"y"}]`
	for _, c := range []struct{ name, inventory string }{
		{"planned", `{` + twoNodes + `,"shards":[{"id":1,"bytes":6,"on":"a","want":"b"},{"id":2,"bytes":3}]}`},
		{"through a third node", `{"nodes":[{"name":"a","room_bytes":10},{"name":"b","room_bytes":10},{"name":"c","room_bytes":8}],` +
			`"shards":[{"id":1,"bytes":8,"on":"a","want":"b"},{"id":2,"bytes":8,"on":"b","want":"a"}]}`},
		{"empty inventory", `{}`},
		{"empty body", ``},
		{"truncated JSON", `{"nodes":[`},
		{"not JSON", `what`},
		{"unknown key", `{"nodes":[{"name":"a","colour":"red"}]}`},
		{"mistyped", `{"nodes":[{"name":7}]}`},
		{"mistyped shard", `{"shards":[{"id":"x"}]}`},
		{"duplicate node", `{"nodes":[{"name":"a"},{"name":"a"}]}`},
		{"unknown node", `{` + twoNodes + `,"shards":[{"id":1,"bytes":1,"on":"q"}]}`},
		{"too many nodes", manyNodes()},
		{"oversize", strings.Repeat(" ", 4<<20+1)},
		{"insufficient capacity", `{` + twoNodes + `,"shards":[{"id":1,"bytes":6,"on":"a","want":"b"},{"id":2,"bytes":6,"on":"b","want":"b"}]}`},
		{"insufficient capacity for a shard", `{` + twoNodes + `,"shards":[{"id":1,"bytes":11}]}`},
		{"pinned to a node that leaves", `{"nodes":[{"name":"a","room_bytes":10,"leaves":true},{"name":"b","room_bytes":10}],` +
			`"shards":[{"id":1,"bytes":1,"on":"a","pin":true}]}`},
		{"no balanced plan", `{` + twoNodes + `,"shards":[{"id":1,"bytes":9,"on":"a"},{"id":2,"bytes":3,"on":"b"}]}`},
		{"stuck", `{` + twoNodes + `,"shards":[{"id":1,"bytes":8,"on":"a","want":"b"},{"id":2,"bytes":8,"on":"b","want":"a"}]}`},
	} {
		fmt.Fprintf(&all, "=== %s\n%s", c.name, p.call(t, "POST", "/control/moves/plan", c.inventory))
	}
	fmt.Fprintf(&all, "=== busy\n%s", busyPlan(t, p))
	goldentest.Text(t, "process_plans.golden", all.String())
}

// busyPlan sends a part of an inventory, so that the planner is busy, and repeats another request until it is rejected
// for that.
func busyPlan(t *testing.T, p *proxyProcess) response {
	t.Helper()
	conn, err := net.Dial("tcp", p.management)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "POST /control/moves/plan HTTP/1.1\r\nHost: proxy\r\nContent-Length: 100\r\n\r\n{"); err != nil {
		t.Fatal(err)
	}
	return p.awaitResponse(t, "POST", "/control/moves/plan", func(r response) bool { return strings.Contains(r.body, "BusyError") })
}

func testServiceCalls(t *testing.T, p *proxyProcess) {
	for _, c := range []struct{ target, want string }{
		{"/control/out-of-service", "out of service from now on\n"},
		{"/control/out-of-service", "was out of service already\n"},
		{"/control/in-service", "in service again\n"},
		{"/control/in-service", "was in service already\n"},
		{"/control/missing/forget", "forgotten here\n"},
	} {
		if got := p.call(t, "POST", c.target, ""); got != (response{200, plainText, c.want}) {
			t.Errorf("POST %s: got unexpected response %v", c.target, got)
		}
	}
	ready := p.call(t, "GET", "/control/ready", "")
	if !readyText.MatchString(ready.body) || ready.status != 200 || ready.contentType != plainText {
		t.Errorf("readiness: got unexpected response %v", ready)
	}
}

var readyText = regexp.MustCompile(`^ready(; catching up with peers|; (alone|catching up|warming), since [^\n]+)?\n$`)

// TestProcessWithoutFeaturesGolden compares the responses of a proxy without any optional features with a golden file.
func TestProcessWithoutFeaturesGolden(t *testing.T) {
	p := startProxy(t, filepath.Join(buildPrograms(t), "woodproxy"), knownList(fleetNodes()), noFeatures)
	p.awaitReady(t)
	var all strings.Builder
	for _, c := range []struct{ method, target string }{
		{"GET", "/control/ready"},
		{"GET", "/control/peers"},
		{"GET", "/control/zones"},
		{"GET", "/control/turns"},
		{"GET", "/control/recovery"},
		{"GET", "/control/missing"},
		{"POST", "/control/missing/forget"},
		{"POST", "/control/moves/plan"},
		{"POST", "/control/zones/a/out"},
		{"GET", "/control/unknown"},
		{"PUT", "/control/ready"},
	} {
		fmt.Fprintf(&all, "=== %s %s\n%s", c.method, c.target, p.call(t, c.method, c.target, ""))
	}
	fmt.Fprintf(&all, "=== GET /metrics\n%s", p.call(t, "GET", "/metrics", "").masked(maskSamples))
	goldentest.Text(t, "process_without_parts.golden", all.String())
	for _, subcommand := range []string{"peers", "zones"} {
		text, err := exec.Command(p.program, subcommand, p.management).CombinedOutput()
		if want := "woodproxy: no --" + subcommand + " file is configured\n"; err == nil || string(text) != want {
			t.Errorf("%s subcommand: got %q (%v), want the error that no file is configured", subcommand, text, err)
		}
	}
	p.stop(t)
}

// A proxy that fails to start exits with code 1 and writes the error to standard error.
func TestProcessBadStart(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	listener, err := net.Listen("tcp", "127.10.9.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dir := t.TempDir()
	writeFile(t, dir, "config.json", strings.Replace(cliConfig, "127.0.0.1:1", "127.10.9.2:1", 1))
	command := exec.Command(program, "serve", "--config="+filepath.Join(dir, "config.json"), "--listen="+freeAddress(t), "--management="+listener.Addr().String())
	command.Env = []string{"TMPDIR=" + dir}
	var stderr bytes.Buffer
	command.Stderr = &stderr
	if err := command.Run(); err == nil || command.ProcessState.ExitCode() != 1 {
		t.Errorf("got %v, want exit code 1", err)
	}
	want := fmt.Sprintf("woodproxy: configuration: management: a process that replaces another needs an address of its own: "+
		"listen tcp %s: bind: address already in use\n", listener.Addr())
	if !strings.HasSuffix(stderr.String(), want) {
		t.Errorf("got standard error %q, want suffix %q", stderr.String(), want)
	}
}
