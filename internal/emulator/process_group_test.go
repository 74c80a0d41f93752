package emulator_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// processGroup is a group of gossiping proxy processes that a test starts itself, each on an IP address of its own.
type processGroup struct {
	t         *testing.T
	start     emulator.StartFunc
	dir       string
	ipPrefix  string
	discovery string // address of the discovery agent
}

// newProcessGroup returns a group whose IP addresses begin with 127.NETWORK and whose discovery agent serves the given
// endpoints.
func newProcessGroup(t *testing.T, network int, rows ...emulator.Endpoint) *processGroup {
	t.Helper()
	d := emulator.NewDiscovery(0, nil)
	_, address, err := d.Listen("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Publish(rows...)
	return &processGroup{t, buildProgram(t), t.TempDir(), fmt.Sprintf("127.%d.%d.", network, os.Getpid()%250), address}
}

// startProcess starts a proxy at the IP address of the group that ends in host.
func (g *processGroup) startProcess(name, host, adminAddress string) emulator.Proxy {
	g.t.Helper()
	ip, dir := g.ipPrefix+host, filepath.Join(g.dir, name)
	config := emulator.ProxyConfig{
		Name: name, Listen: ip + ":6379", Discovery: g.discovery, Dir: dir,
		ConfigFile:        filepath.Join(dir, adminAddress+".json"),
		GossipFile:        filepath.Join(dir, "peers.toml"),
		ZoneHealthFile:    filepath.Join(dir, "zones.toml"),
		DutiesFile:        filepath.Join(dir, "turns.toml"),
		RebalanceFile:     filepath.Join(dir, "moves.toml"),
		NegativeCacheFile: filepath.Join(dir, "missing.toml"),
		StateDir:          filepath.Join(dir, "state"),
	}
	for _, d := range []string{filepath.Join(dir, "tmp"), config.StateDir} {
		if err := os.MkdirAll(d, 0o700); err != nil {
			g.t.Fatal(err)
		}
	}
	for file, text := range map[string]string{
		config.ZoneHealthFile:    "[[region]]\nname = \"east\"\nzones = [\"x\", \"y\"]\n",
		config.DutiesFile:        "watchers = 2\nkeepers = 2\n",
		config.NegativeCacheFile: "entries = 4096\nbelieve_s = 4.0\n",
		config.RebalanceFile:     "slack = 0.5\n",
		config.GossipFile: fmt.Sprintf("cluster = \"c\"\nlisten = \"%s:7946\"\nseeds = [\"%s:7946\", \"%s:7946\"]\nhold_s = 1.0\n",
			ip, g.ipPrefix+"1", g.ipPrefix+"2"),
		config.ConfigFile: fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"management":%q,"seed":"8c1f30d27a5be964",
		"settings":{"replicas-of-me":2,"tick":5,"shapes":["cache","origin"],
		"limits":{"max-upstream-tries":4,"may-cancel":true,"conn-idle":15000,"connect-timeout":250},
		"rules":{"cold":1000,"fall":1000,"cold-from":0.5,"fall-multiple":3},"family-info":{"mode":"aside","origin-kind":1},
		"routes":[{"name":"read","latency-objective":500,"overall-timeout":1000,"value":1,"effect":"pure"}]}}`,
			name, config.Listen, g.discovery, adminAddress),
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			g.t.Fatal(err)
		}
	}
	p, err := g.start(config)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() {
		p.Kill()
		awaitEnd(p)
	})
	return p
}

// call sends a request to an admin server and returns the status code and text of the response, or the text of the error.
func call(method, address, path string, body ...string) string {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(strings.Join(body, "")))
	if err != nil {
		return err.Error()
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // the body has been read, or reading failed
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(response.StatusCode, " ", string(text))
}

// await polls an admin server until its response contains all given texts. It fails the test after 300 polls.
func (g *processGroup) await(what, address, path string, want ...string) {
	g.t.Helper()
	text := ""
	for range 300 {
		text = call(http.MethodGet, address, path)
		if containsAll(text, want) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatalf("%s: timed out; last response: %s", what, text)
}

// containsAll reports whether a text contains all of the given texts.
func containsAll(text string, want []string) bool {
	for _, w := range want {
		if !strings.Contains(text, w) {
			return false
		}
	}
	return true
}

// cacheRow returns an active cache at an address where nothing listens.
func cacheRow(name, zone string) emulator.Endpoint {
	return emulator.Endpoint{Name: name, Address: "127.0.0.1:1", Kind: "cache", Status: "active", Zone: zone}
}
