package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/emulator"
	"woodproxy/internal/testscript"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
)

const (
	pollInterval = 10 * time.Millisecond
	maxPolls     = 200 // of an expected value: two seconds
	startPolls   = 100 // until a proxy listens: a second
	stopTimeout  = 3 * time.Second
	adminTimeout = time.Second
)

// settingsJSON is the default settings object of a proxy under test.
const settingsJSON = `{"replicas-of-me":1,"limits":{"max-upstream-tries":3,"may-cancel":true,"conn-idle":15000,
"connect-timeout":250,"retry-after":true,"max-retry-after":1000},"tick":5,"shapes":["std","origin"],
"rules":{"cold":8000,"fall":3000,"cold-from":0.3,"fall-multiple":3},"family-info":{"mode":"aside","origin-kind":1},
"routes":[{"name":"read","latency-objective":600,"overall-timeout":1200,"value":5,"effect":"pure"},
{"name":"put","latency-objective":600,"overall-timeout":1200,"value":5,"effect":"token","group":"all","dedup-window":6000}]}`

// proxyHarness runs a proxy in the process of the test, with emulated nodes and an emulated discovery service. It must only
// be used by the goroutine of the test.
type proxyHarness struct {
	t       *testing.T
	line    int    // current line of the scenario, for messages
	ip      string // loopback address of all its listeners
	nodes   map[string]*emulator.Node
	clients map[string]*scriptClient

	discovery        *emulator.Discovery
	discoveryAddress string
	discoveryServer  *http.Server
	movedDiscovery   *http.Server // server of the address before the last move

	limits     map[string]string
	settings   string
	shadow     string // settings of the shadow balancer in JSON
	configFile string
	configText string

	clientAddress string
	adminAddress  string
	hotRestartDir string
	idleCallers   []net.Conn // connections to the admin address that never complete a call

	signals chan os.Signal // signals to stop; nil: the proxy was stopped
	reloads chan os.Signal
	ended   chan error
}

// harnesses is the number of harnesses created. Each uses a loopback address of its own: on a shared address, a port
// released by one harness could be assigned to another.
var harnesses atomic.Int64

func newHarness(t *testing.T) *proxyHarness {
	t.Helper()
	n := harnesses.Add(1)
	return &proxyHarness{
		t:         t,
		ip:        fmt.Sprintf("127.9.%d.%d", n/250, n%250+1),
		nodes:     map[string]*emulator.Node{},
		clients:   map[string]*scriptClient{},
		discovery: emulator.NewDiscovery(0, nil),
		limits:    map[string]string{},
		settings:  settingsJSON,
		shadow:    "null",
		signals:   make(chan os.Signal, 1),
		reloads:   make(chan os.Signal, 1),
		ended:     make(chan error, 1),
	}
}

// startedHarness returns a harness that runs a proxy with the cache c1 and the origin o1 and has run the given lines.
func startedHarness(t *testing.T, lines ...string) *proxyHarness {
	t.Helper()
	h := newHarness(t)
	h.runLines(0, append([]string{"node c1 hit", "node o1 hit", "list c1 o1", "start"}, lines...)...)
	return h
}

// runLines runs lines of a scenario. Their numbers start after the given one.
func (h *proxyHarness) runLines(line int, lines ...string) {
	h.t.Helper()
	for i, words := range lines {
		h.RunStep(line+i+1, strings.Fields(words))
	}
}

func (h *proxyHarness) fail(format string, args ...any) {
	h.t.Helper()
	h.t.Errorf("line %d: %s", h.line, fmt.Sprintf(format, args...))
}

// Finish stops the proxy after the last line of a scenario.
func (h *proxyHarness) Finish() {
	h.t.Helper()
	for _, conn := range h.idleCallers {
		_ = conn.Close() // the proxy may have closed it
	}
	for _, client := range h.clients {
		_ = client.conn.Close() // the scenario or the proxy may have closed it
	}
	if h.signals == nil || h.clientAddress == "" {
		return
	}
	h.signals <- syscall.SIGTERM
	if err := <-h.ended; err != nil {
		h.fail("%v", err)
	}
}

// setNode starts a node, or changes its mode.
func (h *proxyHarness) setNode(name, mode string, options map[string]string) {
	h.t.Helper()
	node := h.nodes[name]
	if node == nil {
		var err error
		if node, err = emulator.NewNode(h.ip, name, name[0] == 'o', 1, nil); err != nil {
			h.t.Fatal(err)
		}
		h.t.Cleanup(node.Stop)
		h.nodes[name] = node
	}
	delay := time.Duration(testscript.ParseNumber(options["slow"])) * time.Millisecond
	node.SetMode(emulator.NodeMode(mode), 1, delay, int(testscript.ParseNumber(options["size"])))
}

// endpoint returns the entry of the endpoint list for NAME or NAME:STATUS.
func (h *proxyHarness) endpoint(word string) emulator.Endpoint {
	name, status, _ := strings.Cut(word, ":")
	if status == "" {
		status = "active"
	}
	row := emulator.Endpoint{Name: name, Address: h.ip + ":1", Zone: "a", Kind: "std", Status: status}
	if name[0] == 'o' {
		row.Kind = "origin"
	}
	if node := h.nodes[name]; node != nil {
		row.Address = node.Addr(0)
	}
	return row
}

// publishEndpoints makes discovery send endpoints.
func (h *proxyHarness) publishEndpoints(words []string) {
	var rows []emulator.Endpoint
	for _, word := range words {
		rows = append(rows, h.endpoint(word))
	}
	h.discovery.Publish(rows...)
}

// startDiscovery makes discovery listen on a new address.
func (h *proxyHarness) startDiscovery() {
	h.t.Helper()
	server, address, err := h.discovery.Listen(h.ip)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = server.Close() }) // the scenario may have closed it
	h.discoveryServer, h.discoveryAddress = server, address
}

// moveDiscovery makes discovery listen on a second address and replaces the address in the configuration text.
func (h *proxyHarness) moveDiscovery() {
	h.t.Helper()
	previous := h.discoveryAddress
	h.movedDiscovery = h.discoveryServer
	h.startDiscovery()
	h.configText = strings.Replace(h.configText, previous, h.discoveryAddress, 1)
}

// configure chooses the addresses of a proxy and writes its configuration file. known contains the names of the endpoints in
// the known list, separated by commas.
func (h *proxyHarness) configure(known string) {
	h.t.Helper()
	h.startDiscovery()
	h.clientAddress, h.adminAddress = unusedAddress(h.t, h.ip), unusedAddress(h.t, h.ip)
	h.hotRestartDir = h.t.TempDir()
	list := "null"
	if known != "" {
		var rows []string
		for _, name := range strings.Split(known, ",") {
			rows = append(rows, h.endpoint(name).String())
		}
		list = `{"index":1,"snapshot":true,"endpoints":[` + strings.Join(rows, ",") + `]}`
	}
	var limits []string
	for key, value := range h.limits {
		limits = append(limits, fmt.Sprintf("%q:%s", key, value))
	}
	h.configFile = filepath.Join(h.t.TempDir(), "config.json")
	h.configText = fmt.Sprintf(`{"name":"n1","listen":%q,"management":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{%s},"known":%s,"settings":%s,"watch":%s}`,
		h.clientAddress, h.adminAddress, h.discoveryAddress, strings.Join(limits, ","), list, h.settings, h.shadow)
	writeFile(h.t, h.configFile, h.configText)
}

// start configures and runs a proxy and waits until it serves clients.
func (h *proxyHarness) start(known string) {
	h.t.Helper()
	h.configure(known)
	h.run()
	if !waitForListener(h.clientAddress) {
		h.t.Fatal("the proxy does not listen")
	}
	if h.discovery.Mode() == "" { // wait for the endpoint list: without it the first request would find no node
		h.call("GET", "/control/ready", "200", "")
	}
}

// run starts a proxy with the current configuration file.
func (h *proxyHarness) run() {
	h.t.Helper()
	read := func() (*Config, error) {
		return Read(h.configFile, Config{Management: h.adminAddress, HotRestartDir: h.hotRestartDir})
	}
	config, err := read()
	if err != nil {
		h.t.Fatal(err)
	}
	log := zaptest.NewLogger(h.t, zaptest.Level(zap.ErrorLevel))
	go func(ended chan<- error, signals Signals) {
		ended <- Serve(config, read, log, signals)
	}(h.ended, Signals{Stop: h.signals, Reload: h.reloads})
}

// reload writes the configuration file, or half of it, and makes the proxy read it.
func (h *proxyHarness) reload(how string) {
	h.t.Helper()
	if how == "moved" {
		h.moveDiscovery()
	}
	text := h.configText
	if how == "bad" {
		text = text[:len(text)/2]
	}
	writeFile(h.t, h.configFile, text)
	h.reloads <- syscall.SIGHUP
}

// replace starts a successor, and stops the proxy once the successor is ready.
func (h *proxyHarness) replace() {
	h.t.Helper()
	ended, signals := h.ended, h.signals
	h.ended, h.signals, h.reloads = make(chan error, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	h.adminAddress = unusedAddress(h.t, h.ip)
	h.run()
	waitForListener(h.adminAddress) // if it does not listen, the call reports an error
	h.call("GET", "/control/ready", "200", "")
	signals <- syscall.SIGTERM
	select {
	case err := <-ended:
		if err != nil {
			h.fail("%v", err)
		}
	case <-time.After(stopTimeout):
		h.fail("still running")
	}
}

// call makes an admin call with a timeout of a second and compares the status. It polls until the proxy is ready if that is
// the expected status.
func (h *proxyHarness) call(method, path, want, body string) {
	h.t.Helper()
	for range maxPolls { // a proxy is ready a second after its start at the latest
		if path != "/control/ready" || want != "200" || h.callStatus(method, path, body) == want {
			break
		}
		time.Sleep(pollInterval)
	}
	if got := h.callStatus(method, path, body); got != want {
		h.fail("%s %s: got %s, want %s", method, path, got, want)
	}
}

// callStatus makes an admin call and returns the status of the response, or a description of the failure. body is the
// length of the body in bytes, or "garbage" for a malformed head.
func (h *proxyHarness) callStatus(method, path, body string) string {
	conn, err := net.DialTimeout("tcp", h.adminAddress, adminTimeout)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }() // the proxy may have closed it
	if err := conn.SetDeadline(time.Now().Add(adminTimeout)); err != nil {
		return err.Error()
	}
	request := "\x00\x01 what\r\n\r\n"
	if body != "garbage" {
		n := int(testscript.ParseNumber(body))
		request = fmt.Sprintf("%s %s HTTP/1.1\r\nHost: here\r\nContent-Length: %d\r\n\r\n%s",
			method, path, n, strings.Repeat("x", n))
	}
	_, writeErr := io.WriteString(conn, request) // the proxy may respond and close before it has read everything
	head, err := bufio.NewReader(conn).ReadString('\n')
	if words := strings.Fields(head); len(words) > 1 {
		return words[1]
	}
	return fmt.Sprintf("%q (%v, %v)", head, err, writeErr)
}

// openIdleCalls opens connections to the admin address, each of which sends an incomplete call.
func (h *proxyHarness) openIdleCalls(count int) {
	h.t.Helper()
	for i := range count {
		conn, err := net.Dial("tcp", h.adminAddress)
		if err != nil {
			h.fail("%v", err)
			return
		}
		h.idleCallers = append(h.idleCallers, conn)
		// the proxy may have closed it already, because there are too many
		_, _ = io.WriteString(conn, "POST /control/out-of-service HTTP/1.1\r\nHost"[:i%40])
	}
}

// expect waits until the comparison of a quantity with a number is true. The quantity is the number of requests received by
// a node, the number of watches opened at discovery (calls), or a counter of the proxy.
func (h *proxyHarness) expect(quantity, operator string, want int) {
	h.t.Helper()
	var got int
	var info string
	for range maxPolls {
		if node := h.nodes[quantity]; node != nil {
			got = int(node.Received.Load())
		} else if quantity == "calls" {
			got = int(h.discovery.WatchesOpened.Load())
		} else if conn, err := net.Dial("tcp", h.clientAddress); err == nil {
			info, err = readInfo(conn)
			value, ok := counterValue(info, quantity)
			if err != nil || !ok {
				h.fail("no counter %s in %q (%v)", quantity, info, err)
				return
			}
			got = value
		}
		if testscript.Compare(got, operator, want) {
			return
		}
		time.Sleep(pollInterval)
	}
	h.fail("%s: got %d, want %s %d; %s", quantity, got, operator, want, strings.ReplaceAll(info, "\n", " "))
}

// counterValue returns the value of a counter from the reply to INFO, which has a line for each counter.
func counterValue(info, name string) (value int, ok bool) {
	_, after, ok := strings.Cut("\n"+info, "\n"+name+" ")
	line, _, _ := strings.Cut(after, "\n")
	return int(testscript.ParseNumber(line)), ok
}
