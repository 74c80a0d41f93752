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

// A process that replaces one that gossips takes over at the same gossip address once that one has ended, as the same member:
// no peer sees it depart, and its quota comes back.
func TestReplacedProcessStaysMember(t *testing.T) {
	t.Parallel()
	g := newProcessGroup(t, 60, cacheRow("c1", ""))
	a, b, successor := g.ipPrefix+"1:6380", g.ipPrefix+"2:6380", g.ipPrefix+"2:6381"
	g.startProcess("a", "1", a)
	old := g.startProcess("b", "2", b)
	g.await("both settle", a, "/control/peers", "share 0.500000", "proxy b here")
	g.await("both settle", b, "/control/peers", "share 0.500000")
	g.startProcess("b", "2", successor)
	g.await("the new one is ready", successor, "/control/ready", "200")
	old.Signal(syscall.SIGTERM)
	awaitEnd(old)
	g.await("it gossips, with its whole quota", successor, "/control/peers", "share 0.500000", "proxy a here", "proxy b here")
	text := call(http.MethodGet, a, "/control/peers")
	if !strings.Contains(text, "share 0.500000") || !strings.Contains(text, "proxy b here") || strings.Contains(text, "rows gone") {
		t.Errorf("the other one saw it go: %s", text)
	}
}

// An operator's order holds at all proxies, outlives the one that took it, and reaches one that starts later; a wrong one is
// refused with the reason, and changes nothing.
func TestZonesOrdered(t *testing.T) {
	t.Parallel()
	g := newProcessGroup(t, 61, cacheRow("c1", "x"), cacheRow("c2", "y"), cacheRow("c3", "z"))
	a, b := g.ipPrefix+"1:6380", g.ipPrefix+"2:6380"
	first := g.startProcess("a", "1", a)
	g.startProcess("b", "2", b)
	g.await("they meet", a, "/control/peers", "proxy b here")
	g.await("they meet", b, "/control/peers", "proxy a here")
	g.await("zones are known", a, "/control/zones", "zone x in", "zone y in", "zone z in")
	g.await("zones are known", b, "/control/zones", "zone z in")
	order := func(address, path, want string) {
		t.Helper()
		if got := call(http.MethodPost, address, "/control/zones/"+path); !strings.Contains(got, want) {
			t.Errorf("%s: %q, not %q", path, got, want)
		}
	}
	order(a, "q/out", `409 zone "q": no node has it`)
	order(a, "x/away", `409 "away": none of in, out, hold, auto`)
	order(a, "x/out?epoch=x", `400 epoch: "x"`)
	order(a, "x/out?epoch=3", `409 zone "x": order 3 does not stand, but 0`)
	order(a, "east/out?epoch=0", "200 zone x: out, order 1")
	g.await("the other has it", b, "/control/zones", "zone x in epoch 0 step 0 flaps 0 open 0.000",
		"ordered out by way of a, order 1", "zone z in epoch 0 step 0 flaps 0 open 1.000")
	order(b, "z/out", `409 zone "z": no other zone would be left in`)
	order(b, "z/out?force=yes", `400 force: "yes"`)
	first.Kill()
	awaitEnd(first)
	order(b, "y/in?epoch=1", "200 zone y: in, order 2")
	g.startProcess("a", "1", a)
	g.await("one that starts has them", a, "/control/zones", "open 0.000 nodes 1",
		"ordered out by way of a, order 1", "ordered in by way of b, order 2")
}

// Operators see the state of duties and the negative cache, take metrics, and have shard migrations planned; what can't be planned
// is answered with the error's type and figures.
func TestManaged(t *testing.T) {
	t.Parallel()
	g := newProcessGroup(t, 62, cacheRow("c1", ""))
	a, b := g.ipPrefix+"1:6380", g.ipPrefix+"2:6380"
	g.startProcess("a", "1", a)
	g.startProcess("b", "2", b)
	g.await("both share duties", a, "/control/turns", `"here":2,"watchers":2,"duty":true`, `"kept":1,"nodes":1`)
	g.await("missing keys", a, "/control/missing", `"believes":true`)
	if got := call(http.MethodPost, a, "/control/missing/forget"); !strings.Contains(got, "200 forgotten here") {
		t.Error(got)
	}
	g.await("all is forgotten", a, "/control/missing", `"cleared":`)
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
		{"no JSON", `{]`, []string{"409 ", "no JSON"}},
	} {
		got := call(http.MethodPost, a, "/control/moves/plan", c.inventory)
		for _, w := range c.want {
			if !strings.Contains(got, w) {
				t.Errorf("%s: %s: %q, not %q", c.name, c.inventory, got, w)
			}
		}
	}
}

// The state file is examined at the start, damaged or not, and operators see which stage of recovery the proxy is in.
func TestStored(t *testing.T) {
	t.Parallel()
	g := newProcessGroup(t, 63, cacheRow("c1", ""))
	a := g.ipPrefix + "1:6380"
	file := filepath.Join(g.dir, "a", "state", "woodproxy.state")
	p := g.startProcess("a", "1", a)
	g.await("it begins", a, "/control/recovery", `"stored":"nothing"`)
	for _, c := range []struct {
		change func(b []byte) []byte
		want   string
	}{
		{func(b []byte) []byte { return b }, "at index 2, after the configuration's 0"},
		{func(b []byte) []byte { return b[:len(b)/2] }, "unreadable, and put aside"},
		{func(b []byte) []byte { return b }, "stored"},
	} {
		for range 100 { // until it has stored something
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
		g.await("what was stored", a, "/control/recovery", c.want)
	}
	g.await("its stages go on", a, "/control/ready", "200 ready; warming, since")
}
