package emulator_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// program builds the proxy, whose processes are played.
func program(t *testing.T) emulator.Start {
	t.Helper()
	file := filepath.Join(t.TempDir(), "woodproxy")
	if text, err := exec.Command("go", "build", "-o", file, "woodproxy/cmd/woodproxy").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return emulator.Program(file, "serve")
}

// kept plays a day, on which no rule may be broken.
func kept(t *testing.T, text string, with emulator.Start) *emulator.Report {
	t.Helper()
	r := play(t, text, with)
	for _, b := range r.Breaches {
		t.Error(b)
	}
	return r
}

// both plays a day at the same time as it is, and with one word of it for another.
func both(t *testing.T, text, is, other string) (*emulator.Report, *emulator.Report) {
	t.Helper()
	start, reports := program(t), make([]*emulator.Report, 2)
	t.Run("days", func(t *testing.T) {
		for i, w := range []string{is, other} {
			t.Run(w, func(t *testing.T) {
				t.Parallel()
				reports[i] = kept(t, strings.Replace(text, is, w, 1), start)
			})
		}
	})
	if reports[0] == nil || reports[1] == nil {
		t.Fatal("not played")
	}
	return reports[0], reports[1]
}

// A zone whose proxies and nodes can't reach the others, one that is lost and comes back cold, links that are cut one way and
// slow: with processes that talk and with such that do not no rule is broken, and most is served.
func TestZonesAndLinks(t *testing.T) {
	t.Parallel()
	text := strings.NewReplacer(`"plain"`, `"zones"`, "length_s = 2.0", "length_s = 10.0", "nodes = 3", "nodes = 6", "rate = 150.0", "rate = 90.0").Replace(plain)
	for _, b := range []string{
		`kind = "zone-cut"; at_s = 0.5; for_s = 2.0; zone = "b"; reset = true`, `kind = "zone-lost"; at_s = 3.5; for_s = 1.5; zone = "a"; cold = true; spread_s = 0.5`,
		`kind = "link"; at_s = 6.5; for_s = 1.0; part = 1.0; from = ["n0"]; to = ["c1", "d0"]; one_way = true`,
		`kind = "link"; at_s = 6.0; for_s = 3.0; part = 0.0; slow_ms = 30.0; from = ["n*"]; to = ["c*"]`,
	} {
		text += "[[trouble]]\n" + strings.ReplaceAll(b, "; ", "\n") + "\n"
	}
	start := program(t)
	for _, talk := range []string{"proxies = 4\npeers = { talk = true, hold_s = 1.0 }", "proxies = 4"} {
		r := kept(t, strings.Replace(text, "proxies = 2", talk, 1), start)
		slow := 0
		for _, q := range r.Results {
			if q.Outcome == emulator.Completed && q.Request.At > 7500*time.Millisecond && q.Request.At < 8900*time.Millisecond && q.Latency > 30*time.Millisecond {
				slow++
			}
		}
		if o := outcomes(r); float64(o[emulator.Completed]) < 0.7*float64(len(r.Plan.Requests)) || float64(o[emulator.Completed]) > 0.999*float64(len(r.Plan.Requests)) || slow < 50 {
			t.Errorf("%d asked, %v, %d slow", len(r.Plan.Requests), o, slow)
		}
	}
}

// Six processes that talk, with a part cut off, datagrams lost, two deaf to discovery, one that stands still and two that are
// killed at once: no rule is broken, shares are kept, and in the end all hold the same nodes.
func TestPeersUnderFaults(t *testing.T) {
	t.Parallel()
	text := strings.NewReplacer(`"plain"`, `"peers"`, "length_s = 2.0", "length_s = 15.0", "proxies = 2", "proxies = 6\npeers = { talk = true, hold_s = 1.0 }",
		"rate = 150.0", "rate = 90.0").Replace(plain)
	for _, b := range []string{
		`kind = "lossy", at_s = 0.0, for_s = 11.0, part = 0.2`, `kind = "deaf", at_s = 0.5, for_s = 10.0, nodes = 2`,
		`kind = "part", at_s = 1.0, for_s = 3.0, nodes = 2`, `kind = "replace", at_s = 2.0, for_s = 0.5, nodes = 1, leave_ms = 600.0`,
		`kind = "pause", at_s = 8.0, for_s = 2.5, nodes = 1`, `kind = "mass-kill", at_s = 5.0, for_s = 0.5, nodes = 2, spread_s = 0.5`,
	} {
		text += "[[trouble]]\n" + strings.ReplaceAll(b, ", ", "\n") + "\n"
	}
	r := kept(t, text, program(t))
	if o := outcomes(r); float64(o[emulator.Completed]) < 0.8*float64(len(r.Plan.Requests)) {
		t.Errorf("%d asked, %v", len(r.Plan.Requests), o)
	}
	last, paused, least := map[int]emulator.Seen{}, 0, 1.0
	for _, s := range r.Seen {
		switch s.What {
		case emulator.Shared:
			last[s.Proxy] = s
			least = min(least, s.Figure)
		case emulator.Paused:
			paused++
		}
	}
	sum := 0.0
	for i, s := range last {
		if s.Note != last[0].Note || s.Note == "" || s.Made != "false" {
			t.Errorf("n%d holds %q, behind %s at %v; n0 %q at %v", i, s.Note, s.Made, s.At, last[0].Note, last[0].At)
		}
		sum += s.Figure
	}
	if paused != 2 || least > 0.05 { // those that were killed begin at a quarter of a sixth
		t.Errorf("stopped and gone on %d times, least share %.3f: the troubles did not come", paused, least)
	}
	if len(last) != 6 || sum < 0.8 { // what is lent and not yet borrowed is missing
		t.Errorf("%d say that they have %.3f of the limits together", len(last), sum)
	}
}

// peers are processes started by hand that meet each other, on addresses of their own.
type peers struct {
	t     *testing.T
	start emulator.Start
	dir   string
	ip    string
	found string
}

func meet(t *testing.T, net int, rows ...emulator.Row) *peers {
	t.Helper()
	lists := emulator.NewDiscovery(0, nil)
	_, found, err := lists.Listen("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lists.Close() })
	lists.Say(rows...)
	return &peers{t, program(t), t.TempDir(), fmt.Sprintf("127.%d.%d.", net, os.Getpid()%250), found}
}

func (p *peers) process(name, ip, management string) emulator.Proxy {
	p.t.Helper()
	s := emulator.ProxyConfig{
		Name: name, Listen: ip + ":6379", Discovery: p.found, Dir: filepath.Join(p.dir, name), ConfigFile: filepath.Join(p.dir, name, management+".json"),
		GossipFile: filepath.Join(p.dir, name, "peers.toml"), ZoneHealthFile: filepath.Join(p.dir, name, "zones.toml"),
		DutiesFile: filepath.Join(p.dir, name, "turns.toml"), RebalanceFile: filepath.Join(p.dir, name, "moves.toml"), NegativeCacheFile: filepath.Join(p.dir, name, "missing.toml"), StateDir: filepath.Join(p.dir, name, "state"),
	}
	os.MkdirAll(filepath.Join(s.Dir, "tmp"), 0o700)
	os.WriteFile(s.ZoneHealthFile, []byte("[[region]]\nname = \"east\"\nzones = [\"x\", \"y\"]\n"), 0o600)
	os.WriteFile(s.DutiesFile, []byte("watchers = 2\nkeepers = 2\n"), 0o600)
	os.MkdirAll(s.StateDir, 0o700)
	os.WriteFile(s.NegativeCacheFile, []byte("entries = 4096\nbelieve_s = 4.0\n"), 0o600)
	os.WriteFile(s.RebalanceFile, []byte("slack = 0.5\n"), 0o600)
	os.WriteFile(s.GossipFile, []byte(fmt.Sprintf("cluster = \"c\"\nlisten = \"%s:7946\"\nseeds = [\"%s:7946\", \"%s:7946\"]\nhold_s = 1.0\n", ip, ip[:len(ip)-1]+"1", ip[:len(ip)-1]+"2")), 0o600)
	os.WriteFile(s.ConfigFile, []byte(fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"management":%q,"seed":"8c1f30d27a5be964","settings":{"replicas-of-me":2,
		"tick":5,"shapes":["cache","origin"],"limits":{"max-upstream-tries":4,"may-cancel":true,"conn-idle":15000,"connect-timeout":250},
		"rules":{"cold":1000,"fall":1000,"cold-from":0.5,"fall-multiple":3},"family-info":{"mode":"aside","origin-kind":1},
		"routes":[{"name":"read","latency-objective":500,"overall-timeout":1000,"value":1,"effect":"pure"}]}}`, name, s.Listen, p.found, management)), 0o600)
	x, err := p.start(s)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		x.Kill()
		<-x.Done()
	})
	return x
}

func say(method, address, path string, body ...string) string {
	q, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(strings.Join(body, "")))
	if err != nil {
		return err.Error()
	}
	c := http.Client{Timeout: time.Second}
	r, err := c.Do(q)
	if err != nil {
		return err.Error()
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return fmt.Sprint(r.StatusCode, " ", string(text))
}

func (p *peers) await(what, address, path string, has ...string) {
	p.t.Helper()
	text := ""
	for range 300 {
		text = say(http.MethodGet, address, path)
		all := true
		for _, h := range has {
			all = all && strings.Contains(text, h)
		}
		if all {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.t.Fatalf("%s: never: %s", what, text)
}

// A process that replaces one that talks takes the talk up at the same address once that one has gone, as the same member:
// nobody takes it for gone, and its share comes back.
func TestReplacedAmongPeers(t *testing.T) {
	t.Parallel()
	p := meet(t, 60, emulator.Row{Name: "c1", Address: "127.0.0.1:1", Kind: "cache", Status: "active"})
	ip := p.ip
	p.process("a", ip+"1", ip+"1:6380")
	old := p.process("b", ip+"2", ip+"2:6380")
	p.await("both settle", ip+"1:6380", "/control/peers", "share 0.500000", "proxy b here")
	p.await("both settle", ip+"2:6380", "/control/peers", "share 0.500000")
	p.process("b", ip+"2", ip+"2:6381")
	p.await("the new one is ready", ip+"2:6381", "/control/ready", "200")
	old.Signal(syscall.SIGTERM)
	<-old.Done()
	p.await("it talks, with its whole share", ip+"2:6381", "/control/peers", "share 0.500000", "proxy a here", "proxy b here")
	if text := say(http.MethodGet, ip+"1:6380", "/control/peers"); !strings.Contains(text, "share 0.500000") || !strings.Contains(text, "proxy b here") || strings.Contains(text, "rows gone") {
		t.Errorf("the other one saw it go: %s", text)
	}
}

// An operator's order holds at all proxies, outlives the one that took it, and reaches one that starts later; what is wrong
// with one is said, and changes nothing.
func TestZonesOrdered(t *testing.T) {
	t.Parallel()
	row := func(name, zone string) emulator.Row {
		return emulator.Row{Name: name, Address: "127.0.0.1:1", Kind: "cache", Status: "active", Zone: zone}
	}
	p := meet(t, 61, row("c1", "x"), row("c2", "y"), row("c3", "z"))
	a, b := p.ip+"1:6380", p.ip+"2:6380"
	first := p.process("a", p.ip+"1", a)
	p.process("b", p.ip+"2", b)
	p.await("they meet", a, "/control/peers", "proxy b here")
	p.await("they meet", b, "/control/peers", "proxy a here")
	p.await("zones are known", a, "/control/zones", "zone x in", "zone y in", "zone z in")
	p.await("zones are known", b, "/control/zones", "zone z in")
	order := func(at, path, want string) {
		t.Helper()
		if got := say(http.MethodPost, at, "/control/zones/"+path); !strings.Contains(got, want) {
			t.Errorf("%s: %q, not %q", path, got, want)
		}
	}
	order(a, "q/out", `409 zone "q": no node has it`)
	order(a, "x/away", `409 "away": none of in, out, hold, auto`)
	order(a, "x/out?epoch=x", `400 epoch: "x"`)
	order(a, "x/out?epoch=3", `409 zone "x": order 3 does not stand, but 0`)
	order(a, "east/out?epoch=0", "200 zone x: out, order 1")
	p.await("the other has it", b, "/control/zones", "zone x in epoch 0 step 0 flaps 0 open 0.000", "ordered out by way of a, order 1", "zone z in epoch 0 step 0 flaps 0 open 1.000")
	order(b, "z/out", `409 zone "z": no other zone would be left in`)
	order(b, "z/out?force=yes", `400 force: "yes"`)
	first.Kill()
	<-first.Done()
	order(b, "y/in?epoch=1", "200 zone y: in, order 2")
	p.process("a", p.ip+"1", a)
	p.await("one that starts has them", a, "/control/zones", "open 0.000 nodes 1", "ordered out by way of a, order 1", "ordered in by way of b, order 2")
}

// Six processes over three zones. One vanishes with its proxies and returns cold, one is cut off from the others, and one is
// slow in part and fails in part: the first two are left by all who do not stand there, the third by none, all return, and
// no rule is broken.
func TestZonesLeft(t *testing.T) {
	t.Parallel()
	text := strings.NewReplacer(`"plain"`, `"quarters"`, "length_s = 2.0", "length_s = 25.0", "nodes = 3", "nodes = 6", `zones = ["a", "b"]`, `zones = ["a", "b", "c"]`,
		"proxies = 2", "proxies = 6\npeers = { talk = true, hold_s = 1.0 }\nzones = { judged = \"fleet\" }", "rate = 150.0", "rate = 120.0").Replace(plain)
	for _, b := range []string{
		`kind = "zone-lost", at_s = 1.0, for_s = 3.0, zone = "b", cold = true, spread_s = 0.3`,
		`kind = "zone-cut", at_s = 12.5, for_s = 3.0, zone = "c"`, `kind = "zone-grey", at_s = 13.0, for_s = 5.0, zone = "a", times = 10.0, part = 0.2`,
	} {
		text += "[[trouble]]\n" + strings.ReplaceAll(b, ", ", "\n") + "\n"
	}
	r := kept(t, text, program(t))
	if len(r.Zones) != 3 || r.Convicted > 0 {
		t.Fatalf("%+v; %d convicted that nothing had hit", r.Zones, r.Convicted)
	}
	for i, z := range r.Zones {
		left := z.Kept == 0 && z.Last < 3*time.Second && z.Back > 0
		if left != (i < 2) {
			t.Errorf("%+v", z)
		}
	}
	if o := outcomes(r); float64(o[emulator.Completed]) < 0.9*float64(len(r.Plan.Requests)) {
		t.Errorf("%d asked, %v", len(r.Plan.Requests), o)
	}
}

// A zone whose only node answers later than anybody waits, as in a burst: somebody is there, and no proxy passes the zone by. Then
// it is cut off from most, so that no connection comes up: those who are cut off do.
func TestZoneBusy(t *testing.T) {
	t.Parallel()
	text := strings.NewReplacer(`"plain"`, `"busy"`, "length_s = 2.0", "length_s = 10.0", `zones = ["a", "b"]`, `zones = ["a", "b", "c"]`, "rate = 150.0", "rate = 90.0",
		"proxies = 2", "proxies = 3\nzones = { judged = \"alone\" }").Replace(plain)
	for _, b := range []string{`kind = "zone-grey", at_s = 0.5, for_s = 3.0, zone = "a", times = 500.0`, `kind = "zone-cut", at_s = 4.5, for_s = 4.0, zone = "b"`} {
		text += "[[trouble]]\n" + strings.ReplaceAll(b, ", ", "\n") + "\n"
	}
	r := kept(t, text, program(t))
	if r.Hasty > 0 || len(r.Zones) != 2 {
		t.Fatalf("%+v; %d passed by that nothing had hit", r.Zones, r.Hasty)
	}
	if busy, cut := r.Zones[0], r.Zones[1]; busy.First > 0 || cut.First == 0 {
		t.Errorf("busy: %+v; cut off: %+v", busy, cut)
	}
}

// The list's clock: a watch that falls silent is broken, and what it misses counts as told six seconds later; an agent may have a
// change before its proxy starts. Whom discovery tells nothing at all breaks the rule, which shows that it is looked at.
func TestListClock(t *testing.T) {
	t.Parallel()
	text := strings.Replace(plain, "length_s = 2.0", "length_s = 10.0", 1)
	play := func(name string, blows ...string) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day := text
			for _, b := range blows {
				day += "[[trouble]]\n" + strings.ReplaceAll(b, ", ", "\n") + "\n"
			}
			got := rules(play(t, day, program(t)))
			if fires := got[emulator.DrainRule] > 0; fires != (name == "deaf") || len(got) > 1 {
				t.Errorf("%v", got)
			}
		})
	}
	leaves := `kind = "replace", at_s = 0.8, for_s = 0.1, nodes = 1, leave_ms = 9500.0`
	play("hush", `kind = "hush", at_s = 0.5, for_s = 0.0`, leaves)
	play("deaf", `kind = "deaf", at_s = 0.5, for_s = 9.0`, leaves)
	play("agent-ahead", `kind = "agent-ahead", at_s = 1.0, for_s = 3.0, nodes = 1`)
}

// Processes that take turns, with watchers killed, cut off and hushed while nodes are replaced, and a node that is silent: all keep
// the rules, few ask discovery, and fewer try the silent node than where each does all for itself.
func TestTurns(t *testing.T) {
	t.Parallel()
	text := strings.NewReplacer(`"plain"`, `"turns"`, "length_s = 2.0", "length_s = 18.0", "nodes = 3", "nodes = 4", "proxies = 2",
		"proxies = 8\npeers = { talk = true, hold_s = 1.0 }\nturns = { on = true, watchers = 2, keepers = 2 }", "rate = 150.0", "rate = 160.0").Replace(plain)
	for _, b := range []string{
		`kind = "silent", at_s = 0.5, for_s = 6.0, nodes = 1`, `kind = "mass-kill", at_s = 7.0, for_s = 1.0, nodes = 4`,
		`kind = "replace", at_s = 7.3, for_s = 0.5, nodes = 1, leave_ms = 4000.0`, `kind = "part", at_s = 12.0, for_s = 3.0, nodes = 3`,
		`kind = "replace", at_s = 12.3, for_s = 0.5, nodes = 1, leave_ms = 4500.0`, `kind = "hush", at_s = 12.1, for_s = 0.0`,
	} {
		text += "[[trouble]]\n" + strings.ReplaceAll(b, ", ", "\n") + "\n"
	}
	r, alone := both(t, text, "on = true", "on = false")
	if o := outcomes(r); float64(o[emulator.Completed]) < 0.85*float64(len(r.Plan.Requests)) {
		t.Errorf("%d asked, %v", len(r.Plan.Requests), o)
	}
	if r.Together.Watches > 0.75*alone.Together.Watches || alone.Together.Watches < 6 || r.Together.Watches < 1 {
		t.Errorf("watches open at a time: %.1f, and %.1f where each watches", r.Together.Watches, alone.Together.Watches)
	}
	t.Logf("by turns %+v, each for itself %+v", r.Together, alone.Together)
}

// Operators see how what goes by turns stands, take metrics, and have moves planned; what can't be is told by its type, with figures.
func TestManaged(t *testing.T) {
	t.Parallel()
	p := meet(t, 62, emulator.Row{Name: "c1", Address: "127.0.0.1:1", Kind: "cache", Status: "active"})
	a, b := p.ip+"1:6380", p.ip+"2:6380"
	p.process("a", p.ip+"1", a)
	p.process("b", p.ip+"2", b)
	p.await("both share duties", a, "/control/turns", `"here":2,"watchers":2,"duty":true`, `"kept":1,"nodes":1`)
	p.await("missing keys", a, "/control/missing", `"believes":true`)
	if got := say(http.MethodPost, a, "/control/missing/forget"); !strings.Contains(got, "200 forgotten here") {
		t.Error(got)
	}
	p.await("all is forgotten", a, "/control/missing", `"cleared":`)
	p.await("metrics", b, "/metrics", "woodproxy_exchanges_total 0", "woodproxy_turns_here 2", "woodproxy_missing_believed 1", "woodproxy_peers_share 0.5", "woodproxy_clients_open ")
	plan := func(inventory string, want ...string) {
		t.Helper()
		got := say(http.MethodPost, a, "/control/moves/plan", inventory)
		for _, w := range want {
			if !strings.Contains(got, w) {
				t.Errorf("%s: %q, not %q", inventory, got, w)
			}
		}
	}
	nodes := `"nodes":[{"name":"x","room_bytes":10},{"name":"y","room_bytes":10},{"name":"z","room_bytes":8}]`
	plan(`{`+nodes+`,"shards":[{"id":1,"bytes":8,"on":"x","want":"y"},{"id":2,"bytes":8,"on":"y","want":"x"}]}`, "200 ", `"bytes":24,"least":16,"through":1,"exact":true`)
	plan(`{`+nodes+`,"shards":[{"id":1,"bytes":11,"on":"x"}]}`, "409 ", `"type":"moves.ShardError"`, `"Largest":10`)
	plan(`{"nodes":[],"shard":[]}`, "409 ", `"type":"moves.InventoryError"`, `unknown field`)
	plan(`{]`, "409 ", "no JSON")
}

// Processes that remember what the origin lacks, with a part cut off, datagrams lost, one that stands still, one killed and one restarted
// while keys are written: none is called missing for longer after that than it may, and the origin is spared. The rule fires where it is to.
func TestMissing(t *testing.T) {
	t.Parallel()
	text := strings.NewReplacer(`"plain"`, `"missing"`, "length_s = 2.0", "length_s = 20.0", "proxies = 2",
		"proxies = 6\npeers = { talk = true, hold_s = 1.0 }\nmissing = { on = true, part = 0.5 }", "rate = 150.0", "rate = 250.0", "count = 200", "count = 2000").Replace(plain)
	for _, b := range []string{
		`kind = "lossy", at_s = 7.0, for_s = 12.0, part = 0.2`, `kind = "part", at_s = 7.5, for_s = 4.0, nodes = 2`,
		`kind = "pause", at_s = 13.0, for_s = 3.0, nodes = 1`, `kind = "kill", at_s = 9.0, for_s = 0.1, nodes = 1`, `kind = "restart", at_s = 16.5, for_s = 0.1, nodes = 1`,
	} {
		text += "[[trouble]]\n" + strings.ReplaceAll(b, ", ", "\n") + "\n"
	}
	r := kept(t, text, program(t))
	if o := outcomes(r); float64(o[emulator.Completed]) < 0.85*float64(len(r.Plan.Requests)) {
		t.Errorf("%d asked, %v", len(r.Plan.Requests), o)
	}
	if r.AbsentSaid < 20 || r.AbsentAsked > 0.95*r.AbsentSaid {
		t.Errorf("clients hear of %.1f missing keys a second, the origin is asked for %.1f", r.AbsentSaid, r.AbsentAsked)
	}
	t.Logf("%.1f said, %.1f asked, %v after the write at most", r.AbsentSaid, r.AbsentAsked, r.Stale)
}

// Four of six are killed while discovery turns most away. With what they kept on their disks they serve as before; with nothing they
// have no list. A disk that was damaged meanwhile is told, put aside, and does no harm.
func TestComesBack(t *testing.T) {
	t.Parallel()
	text := strings.NewReplacer(`"plain"`, `"back"`, "length_s = 2.0", "length_s = 12.0", "proxies = 2", "proxies = 6\nstate = true", "rate = 150.0", "rate = 90.0").Replace(plain)
	for _, b := range []string{`kind = "refusing", at_s = 3.5, for_s = 8.0`, `kind = "mass-kill", at_s = 4.0, for_s = 0.5, nodes = 4, spread_s = 0.5`} {
		text += "[[trouble]]\n" + strings.ReplaceAll(b, ", ", "\n") + "\n"
	}
	disk, none := both(t, text, "state = true", "state = false")
	with, without := disk.Returns[0], none.Returns[0]
	if with.Killed != 4 || with.Full+time.Second > without.Full || with.Full > 0 && without.Full > 0 && with.Between <= without.Between {
		t.Errorf("with what was kept %+v, without %+v", with, without)
	}
}

// What was stored is weighed at the start, damaged or not, and operators see which stage the proxy is in.
func TestStored(t *testing.T) {
	t.Parallel()
	p := meet(t, 63, emulator.Row{Name: "c1", Address: "127.0.0.1:1", Kind: "cache", Status: "active"})
	a := p.ip + "1:6380"
	dir := filepath.Join(p.dir, "a", "state")
	os.MkdirAll(dir, 0o700)
	file := filepath.Join(dir, "woodproxy.state")
	x := p.process("a", p.ip+"1", a)
	p.await("it begins", a, "/control/recovery", `"stored":"nothing"`)
	for _, c := range []struct {
		spoil func(b []byte) []byte
		want  string
	}{
		{func(b []byte) []byte { return b }, "at index 2, after the configuration's 0"},
		{func(b []byte) []byte { return b[:len(b)/2] }, "unreadable, and put aside"},
		{func(b []byte) []byte { return b }, "stored"},
	} {
		for range 100 { // until it has kept something
			if _, err := os.Stat(file); err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		x.Kill()
		<-x.Done()
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(file, c.spoil(b), 0o600)
		x = p.process("a", p.ip+"1", a)
		p.await("what was stored", a, "/control/recovery", c.want)
	}
	p.await("its stages go on", a, "/control/ready", "200 ready; warming, since")
}
