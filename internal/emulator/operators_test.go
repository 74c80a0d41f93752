package emulator_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A process that replaces a gossiping process takes over its gossip address once the old process has ended, and continues as the
// same member: no peer records a departure, and the proxy regains its quota.
func TestReplacedProcessStaysMember(t *testing.T) {
	t.Parallel()
	g := newProcessGroup(t, 60, cacheRow("c1", ""))
	a, b, successor := g.ipPrefix+"1:6380", g.ipPrefix+"2:6380", g.ipPrefix+"2:6381"
	g.startProcess("a", "1", a)
	old := g.startProcess("b", "2", b)
	g.await("quotas settle", a, "/control/peers", "share 0.500000", "proxy b here")
	g.await("quotas settle", b, "/control/peers", "share 0.500000")
	g.startProcess("b", "2", successor)
	g.await("the successor is ready", successor, "/control/ready", "200")
	old.Signal(syscall.SIGTERM)
	awaitEnd(old)
	g.await("the successor gossips with its complete quota", successor, "/control/peers", "share 0.500000", "proxy a here", "proxy b here")
	text := call(http.MethodGet, a, "/control/peers")
	if !strings.Contains(text, "share 0.500000") || !strings.Contains(text, "proxy b here") || strings.Contains(text, "rows gone") {
		t.Errorf("the peer recorded a departure: %s", text)
	}
}

// A zone override applies at all proxies, remains after the proxy that accepted it has ended, and reaches proxies that start
// later. An invalid override is rejected with the reason and changes nothing.
func TestZonesOrdered(t *testing.T) {
	t.Parallel()
	g := newProcessGroup(t, 61, cacheRow("c1", "x"), cacheRow("c2", "y"), cacheRow("c3", "z"))
	a, b := g.ipPrefix+"1:6380", g.ipPrefix+"2:6380"
	first := g.startProcess("a", "1", a)
	g.startProcess("b", "2", b)
	g.await("proxies see each other", a, "/control/peers", "proxy b here")
	g.await("proxies see each other", b, "/control/peers", "proxy a here")
	g.await("zones are listed", a, "/control/zones", "zone x in", "zone y in", "zone z in")
	g.await("zones are listed", b, "/control/zones", "zone z in")
	override := func(address, path, want string) {
		t.Helper()
		if got := call(http.MethodPost, address, "/control/zones/"+path); !strings.Contains(got, want) {
			t.Errorf("%s: got %q, want %q", path, got, want)
		}
	}
	override(a, "q/out", `409 zone "q": no node has it`)
	override(a, "x/away", `409 "away": none of in, out, hold, auto`)
	override(a, "x/out?epoch=x", `400 epoch: "x"`)
	override(a, "x/out?epoch=3", `409 zone "x": order 3 does not stand, but 0`)
	override(a, "east/out?epoch=0", "200 zone x: out, order 1")
	g.await("the override reaches the other proxy", b, "/control/zones", "zone x in epoch 0 step 0 flaps 0 open 0.000",
		"ordered out by way of a, order 1", "zone z in epoch 0 step 0 flaps 0 open 1.000")
	override(b, "z/out", `409 zone "z": no other zone would be left in`)
	override(b, "z/out?force=yes", `400 force: "yes"`)
	first.Kill()
	awaitEnd(first)
	override(b, "y/in?epoch=1", "200 zone y: in, order 2")
	g.startProcess("a", "1", a)
	g.await("the overrides reach a restarted proxy", a, "/control/zones", "open 0.000 nodes 1",
		"ordered out by way of a, order 1", "ordered in by way of b, order 2")
}

// The admin server reports the state of duties and the negative cache, serves metrics and plans shard migrations. If no plan is
// possible, the response contains the type of the error and its fields.
func TestManaged(t *testing.T) {
	t.Parallel()
	g := newProcessGroup(t, 62, cacheRow("c1", ""))
	a, b := g.ipPrefix+"1:6380", g.ipPrefix+"2:6380"
	g.startProcess("a", "1", a)
	g.startProcess("b", "2", b)
	g.await("proxies share duties", a, "/control/turns", `"here":2,"watchers":2,"duty":true`, `"kept":1,"nodes":1`)
	g.await("the negative cache is active", a, "/control/missing", `"believes":true`)
	if got := call(http.MethodPost, a, "/control/missing/forget"); !strings.Contains(got, "200 forgotten here") {
		t.Error(got)
	}
	g.await("the negative cache is cleared", a, "/control/missing", `"cleared":`)
	g.await("metrics", b, "/metrics", "woodproxy_exchanges_total 0", "woodproxy_turns_here 2", "woodproxy_missing_believed 1",
		"woodproxy_peers_share 0.5", "woodproxy_clients_open ")
	nodes := `"nodes":[{"name":"x","room_bytes":10},{"name":"y","room_bytes":10},{"name":"z","room_bytes":8}]`
	for _, c := range []struct {
		name, inventory string
		want            []string
	}{
		{
			"a plan", `{` + nodes + `,"shards":[{"id":1,"bytes":8,"on":"x","want":"y"},{"id":2,"bytes":8,"on":"y","want":"x"}]}`,
			[]string{"200 ", `"bytes":24,"least":16,"through":1,"exact":true`},
		},
		{
			"a shard that is too large", `{` + nodes + `,"shards":[{"id":1,"bytes":11,"on":"x"}]}`,
			[]string{"409 ", `"type":"moves.ShardError"`, `"Largest":10`},
		},
		{"an unknown field", `{"nodes":[],"shard":[]}`, []string{"409 ", `"type":"moves.InventoryError"`, `unknown field`}},
		{"invalid JSON", `{]`, []string{"409 ", "no JSON"}},
	} {
		got := call(http.MethodPost, a, "/control/moves/plan", c.inventory)
		for _, w := range c.want {
			if !strings.Contains(got, w) {
				t.Errorf("%s: %s: got %q, want it to contain %q", c.name, c.inventory, got, w)
			}
		}
	}
}

// At start, a proxy loads an intact state file and moves a damaged one aside. The admin server reports which of these happened
// and the stage of recovery.
func TestStateFileIsCheckedAtStart(t *testing.T) {
	t.Parallel()
	g := newProcessGroup(t, 63, cacheRow("c1", ""))
	a := g.ipPrefix + "1:6380"
	file := filepath.Join(g.dir, "a", "state", "woodproxy.state")
	p := g.startProcess("a", "1", a)
	g.await("start without a state file", a, "/control/recovery", `"stored":"nothing"`)
	for _, c := range []struct {
		change func(b []byte) []byte
		want   string
	}{
		{func(b []byte) []byte { return b }, "at index 2, after the configuration's 0"},
		{func(b []byte) []byte { return b[:len(b)/2] }, "unreadable, and put aside"},
		{func(b []byte) []byte { return b }, "stored"},
	} {
		for range 100 { // until the state file exists
			if _, err := os.Stat(file); err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		p.Kill()
		awaitEnd(p)
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, c.change(b), 0o600); err != nil {
			t.Fatal(err)
		}
		p = g.startProcess("a", "1", a)
		g.await("start with a state file", a, "/control/recovery", c.want)
	}
	g.await("recovery continues", a, "/control/ready", "200 ready; warming, since")
}
