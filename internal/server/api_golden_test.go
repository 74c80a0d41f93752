package server_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/goldentest"

	"woodproxy/internal/admin"
	"woodproxy/internal/server"
	"woodproxy/rebalance"
)

// fixedService is an admin.Service that returns fixed values.
type fixedService struct {
	ready         bool
	reason        string
	changed       bool
	peers         string
	zones         string
	duties        any
	recovery      any
	negativeCache any
	clearErr      error
	plan          any
	planErr       error
	overrideErr   error
}

func (s *fixedService) Ready() (bool, string)     { return s.ready, s.reason }
func (s *fixedService) OutOfService() bool        { return s.changed }
func (s *fixedService) InService() bool           { return s.changed }
func (s *fixedService) PeerStatus() string        { return s.peers }
func (s *fixedService) ZoneStatus() string        { return s.zones }
func (s *fixedService) DutyStatus() any           { return s.duties }
func (s *fixedService) RecoveryStatus() any       { return s.recovery }
func (s *fixedService) NegativeCacheStatus() any  { return s.negativeCache }
func (s *fixedService) ClearNegativeCache() error { return s.clearErr }

func (s *fixedService) Metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "metrics of the service\n") // the test reads the response
	})
}

func (s *fixedService) PlanMigrations(inventory io.Reader) (any, error) {
	if _, err := io.Copy(io.Discard, inventory); err != nil {
		return nil, err
	}
	return s.plan, s.planErr
}

// OverrideZone returns its arguments as text, which shows how the path and the query were parsed.
func (s *fixedService) OverrideZone(name, want string, epoch int64, force bool) (string, error) {
	if s.overrideErr != nil {
		return "", s.overrideErr
	}
	return fmt.Sprintf("name %q, want %q, epoch %d, force %v\n", name, want, epoch, force), nil
}

// startAdminServer starts an admin server for the service and returns its address. The server stops at the end of the test.
func startAdminServer(t *testing.T, service admin.Service) string {
	t.Helper()
	addr := unusedAddress(t)
	server, err := admin.Listen(addr, service)
	if err != nil {
		t.Fatal(err)
	}
	go server.Run()
	t.Cleanup(server.Close)
	return addr
}

// unusedAddress returns an unused port of a loopback address that no other test uses.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.10.7.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

var dateLine = regexp.MustCompile(`(?m)^Date: .*$`)

// roundTrip sends a request unchanged and returns the complete response with its date masked. It accepts a reset after
// the response: the server resets the connection if it has not read the complete request.
func roundTrip(t *testing.T, addr, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the server has closed it
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(conn, request) }() // the server may reject the request before it has read all of it
	response, err := io.ReadAll(conn)
	if err != nil && (!errors.Is(err, syscall.ECONNRESET) || len(response) == 0) {
		t.Fatalf("%.60q: %v", request, err)
	}
	text := strings.ReplaceAll(string(response), "\r\n", "\n")
	return dateLine.ReplaceAllString(text, "Date: (masked)")
}

// apiRequest is an HTTP/1.1 request with a body.
func apiRequest(method, target, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: proxy\r\nContent-Length: %d\r\n\r\n%s", method, target, len(body), body)
}

// apiCase is one call, and the service that handles it.
type apiCase struct {
	name    string
	service fixedService
	method  string
	target  string
	body    string
}

var fixedValues = map[string]any{"a": 1, "b": "<&>"}

const maxInventoryBytes = 4 << 20

var apiCases = []apiCase{
	{"ready", fixedService{ready: true, reason: "ready"}, "GET", "/control/ready", ""},
	{"not ready", fixedService{reason: "starting"}, "GET", "/control/ready", ""},
	{"ready by HEAD", fixedService{ready: true, reason: "ready"}, "HEAD", "/control/ready", ""},
	{"ready by the wrong method", fixedService{}, "POST", "/control/ready", ""},
	{"peers", fixedService{peers: "cluster c\n"}, "GET", "/control/peers", ""},
	{"no peers", fixedService{}, "GET", "/control/peers", ""},
	{"peers by the wrong method", fixedService{}, "POST", "/control/peers", ""},
	{"zones", fixedService{zones: "this proxy stands in \"a\"\n"}, "GET", "/control/zones", ""},
	{"no zones", fixedService{}, "GET", "/control/zones", ""},
	{"zones by the wrong method", fixedService{}, "DELETE", "/control/zones", ""},
	{"turns", fixedService{duties: fixedValues}, "GET", "/control/turns", ""},
	{"no turns", fixedService{}, "GET", "/control/turns", ""},
	{"turns by the wrong method", fixedService{}, "POST", "/control/turns", ""},
	{"recovery", fixedService{recovery: fixedValues}, "GET", "/control/recovery", ""},
	{"no recovery", fixedService{}, "GET", "/control/recovery", ""},
	{"recovery by the wrong method", fixedService{}, "POST", "/control/recovery", ""},
	{"missing", fixedService{negativeCache: fixedValues}, "GET", "/control/missing", ""},
	{"no missing", fixedService{}, "GET", "/control/missing", ""},
	{"missing by the wrong method", fixedService{}, "POST", "/control/missing", ""},
	{"forget", fixedService{}, "POST", "/control/missing/forget", ""},
	{
		"forget refused",
		fixedService{clearErr: errors.New("too busy to clear the negative cache; try again")},
		"POST", "/control/missing/forget", "",
	},
	{"forget by the wrong method", fixedService{}, "GET", "/control/missing/forget", ""},
	{"plan", fixedService{plan: fixedValues}, "POST", "/control/moves/plan", "{}"},
	{"no plan", fixedService{}, "POST", "/control/moves/plan", "{}"},
	{
		"plan of the largest inventory",
		fixedService{plan: fixedValues},
		"POST", "/control/moves/plan", strings.Repeat(" ", maxInventoryBytes),
	},
	{
		"plan of an oversize inventory",
		fixedService{plan: fixedValues},
		"POST", "/control/moves/plan", strings.Repeat(" ", maxInventoryBytes+1),
	},
	{"plan by the wrong method", fixedService{}, "GET", "/control/moves/plan", ""},
	{"metrics", fixedService{}, "GET", "/metrics", ""},
	{"metrics by the wrong method", fixedService{}, "POST", "/metrics", ""},
	{"order", fixedService{}, "POST", "/control/zones/east/out", ""},
	{"order of a zone with odd characters", fixedService{}, "POST", "/control/zones/a%2Fb%20c/hold", ""},
	{"order with an epoch", fixedService{}, "POST", "/control/zones/a/in?epoch=7", ""},
	{"order with epoch zero", fixedService{}, "POST", "/control/zones/a/in?epoch=0", ""},
	{"order with a negative epoch", fixedService{}, "POST", "/control/zones/a/in?epoch=-1", ""},
	{"order with a bad epoch", fixedService{}, "POST", "/control/zones/a/in?epoch=x", ""},
	{"order with force", fixedService{}, "POST", "/control/zones/a/out?force=leave+no+zone", ""},
	{"order with bad force", fixedService{}, "POST", "/control/zones/a/out?force=yes", ""},
	{"order with epoch and force", fixedService{}, "POST", "/control/zones/a/out?epoch=3&force=leave%20no%20zone", ""},
	{"order refused", fixedService{overrideErr: errors.New("zone \"q\": no node has it")}, "POST", "/control/zones/q/out", ""},
	{"order by the wrong method", fixedService{}, "GET", "/control/zones/a/out", ""},
	{"order without what is wanted", fixedService{}, "POST", "/control/zones/a", ""},
	{"out of service", fixedService{changed: true}, "POST", "/control/out-of-service", ""},
	{"out of service already", fixedService{}, "POST", "/control/out-of-service", ""},
	{"out of service by the wrong method", fixedService{}, "GET", "/control/out-of-service", ""},
	{
		"out of service with the largest body",
		fixedService{changed: true},
		"POST", "/control/out-of-service", strings.Repeat("x", 4096),
	},
	{
		"out of service with an oversize body",
		fixedService{changed: true},
		"POST", "/control/out-of-service", strings.Repeat("x", 4097),
	},
	{"in service", fixedService{changed: true}, "POST", "/control/in-service", ""},
	{"in service already", fixedService{}, "POST", "/control/in-service", ""},
	{"in service by the wrong method", fixedService{}, "GET", "/control/in-service", ""},
	{
		"in service with an oversize body",
		fixedService{changed: true},
		"POST", "/control/in-service", strings.Repeat("x", 4097),
	},
	{"unknown path", fixedService{}, "GET", "/control/unknown", ""},
	{"root", fixedService{}, "GET", "/", ""},
	{"trailing slash", fixedService{ready: true, reason: "ready"}, "GET", "/control/ready/", ""},
}

// TestControlAPIGolden checks the status, headers and body of the response to each call of the admin API.
func TestControlAPIGolden(t *testing.T) {
	var all strings.Builder
	for i := range apiCases {
		c := &apiCases[i]
		addr := startAdminServer(t, &c.service)
		response := roundTrip(t, addr, apiRequest(c.method, c.target, c.body))
		fmt.Fprintf(&all, "=== %s\n%s %s (body of %d bytes)\n--- response\n%s\n",
			c.name, c.method, c.target, len(c.body), response)
	}
	addr := startAdminServer(t, &fixedService{})
	fmt.Fprintf(&all, "=== malformed head\n--- response\n%s\n", roundTrip(t, addr, "\x00\x01 what\r\n\r\n"))
	longHead := "GET /control/ready HTTP/1.1\r\nHost: proxy\r\nX-Long: " + strings.Repeat("x", 16<<10) + "\r\n\r\n"
	fmt.Fprintf(&all, "=== oversize head\n--- response\n%s\n", roundTrip(t, addr, longHead))
	goldentest.Text(t, "control_api.golden", all.String())
}

// planError is an error of PlanMigrations, and the JSON object in the response to it.
type planError struct {
	err  error
	want string
}

// The type in the JSON object defaults to the error's Go type with its package, and the keys default to the names of its
// exported fields. Operators' programs match both, so both are written out here independently of the Go identifiers.
var planErrors = []planError{
	{
		&rebalance.InventoryError{Path: "nodes[1]", Reason: "name \"a\" is empty or a duplicate"},
		`{"type":"moves.InventoryError",` +
			`"error":"nodes[1]: name \"a\" is empty or a duplicate; correct the inventory, nothing was planned",` +
			`"found":{"Where":"nodes[1]","What":"name \"a\" is empty or a duplicate"}}`,
	},
	{
		&rebalance.CapacityError{Shortfalls: []rebalance.Shortfall{{Node: "a", Bytes: 2}, {Node: "b", Bytes: 3}}, NeededBytes: 12, CapacityBytes: 10},
		`{"type":"moves.RoomError",` +
			`"error":"capacity: shards need 12 bytes, nodes that are not draining have 10;` +
			` missing: a 2 bytes, b 3 bytes; add this capacity, or add a node",` +
			`"found":{"Lacks":[{"node":"a","bytes":2},{"node":"b","bytes":3}],"Needed":12,"Room":10}}`,
	},
	{
		&rebalance.ShardPlacementError{ShardID: 7, Bytes: 11, LargestCapacity: 10},
		`{"type":"moves.ShardError",` +
			`"error":"shard 7: has 11 bytes, but no node that it may be on has a capacity of more than 10;` +
			` increase the capacity of one, or allow another zone",` +
			`"found":{"Shard":7,"Bytes":11,"Largest":10,"Pinned":false}}`,
	},
	{
		&rebalance.ShardPlacementError{ShardID: 7, Bytes: 11, Pinned: true},
		`{"type":"moves.ShardError",` +
			`"error":"shard 7: pinned to a node where it may not stay; remove the pin, or let it stay",` +
			`"found":{"Shard":7,"Bytes":11,"Largest":0,"Pinned":true}}`,
	},
	{
		&rebalance.BalanceError{Slack: 0.1, FeasibleSlack: 0.25},
		`{"type":"moves.BalanceError",` +
			`"error":"slack: 0.1: loads can't be balanced within this slack; a slack of 0.250 is feasible",` +
			`"found":{"Stated":0.1,"Needed":0.25}}`,
	},
	{
		&rebalance.BalanceError{Slack: 0.1},
		`{"type":"moves.BalanceError",` +
			`"error":"slack: 0.1: loads can't be balanced, even with a slack of 1; remove pins or zones, or change node weights",` +
			`"found":{"Stated":0.1,"Needed":0}}`,
	},
	{
		&rebalance.ScheduleError{PendingShards: 2, Shortfalls: []rebalance.Shortfall{{Node: "a", Bytes: 6}}},
		`{"type":"moves.StuckError",` +
			`"error":"order: 2 shards can't be migrated, since no node has capacity to receive one first; missing: a 6 bytes;` +
			` add this capacity to one of these nodes, or to any other node until the migrations are done",` +
			`"found":{"Shards":2,"Lacks":[{"node":"a","bytes":6}]}}`,
	},
	{
		&server.PlannerBusyError{Limit: 1},
		`{"type":"run.BusyError",` +
			`"error":"1 plan is being computed already; try again when it is done",` +
			`"found":{"Most":1}}`,
	},
	{
		errors.New("of another type"),
		`{"type":"errors.errorString","error":"of another type","found":{}}`,
	},
}

// TestPlanErrorsOnTheWire checks the response to each type of error of PlanMigrations.
func TestPlanErrorsOnTheWire(t *testing.T) {
	for _, c := range planErrors {
		addr := startAdminServer(t, &fixedService{planErr: c.err})
		response := roundTrip(t, addr, apiRequest("POST", "/control/moves/plan", "{}"))
		head, body, _ := strings.Cut(response, "\n\n")
		isConflict := strings.HasPrefix(head, "HTTP/1.1 409 Conflict\n")
		if !isConflict || !strings.Contains(head, "\nContent-Type: application/json\n") {
			t.Errorf("%T: got head %q, want 409 Conflict with JSON", c.err, head)
		}
		if body != c.want+"\n" {
			t.Errorf("%T:\ngot:  %swant: %s", c.err, body, c.want)
		}
	}
}
