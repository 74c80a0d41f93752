package wire_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"woodproxy/balancer"
	"woodproxy/internal/goldentest"
	"woodproxy/internal/wire"
)

// golden collects lines of the form "name = result".
type golden struct{ strings.Builder }

func (g *golden) section(name string) { g.WriteString("# " + name + "\n") }

func (g *golden) bytes(name string, b []byte) { g.value(name, "%q", b) }

func (g *golden) value(name, format string, args ...any) {
	g.WriteString(name + " = " + fmt.Sprintf(format, args...) + "\n")
}

// shorten quotes a text, and truncates a long one to keep it out of the golden file.
func shorten(text string) string {
	if len(text) <= 400 {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprintf("%q..., %d bytes", text[:40], len(text))
}

// outcomeNames are the names of outcomes in the golden files, independent of the values and names of the constants.
var outcomeNames = map[balancer.Outcome]string{
	balancer.Completed:     "completed",
	balancer.ServerError:   "server error",
	balancer.Overloaded:    "overloaded",
	balancer.TimedOut:      "timed out",
	balancer.ConnectFailed: "connect failed",
	balancer.Reset:         "reset",
	balancer.Canceled:      "cancelled",
	balancer.NotSent:       "not sent",
	balancer.CacheMiss:     "cache miss",
}

// errorText describes an error: its text, its class, and for an attempt the stage in which it ended and whether it may
// have run.
func errorText(err error) string {
	var attemptError *wire.AttemptError
	text := fmt.Sprintf("error %q", err.Error())
	if errors.Is(err, wire.ErrProtocol) {
		text += ", protocol error"
	}
	if errors.Is(err, wire.ErrIncomplete) {
		text += ", incomplete"
	}
	if errors.As(err, &attemptError) {
		text += fmt.Sprintf(", while %s, may have run %v", attemptError.Progress, attemptError.MayHaveRun())
	}
	return text
}

// commandParts holds the arguments of a command, of which some may be unset.
type commandParts struct {
	name           string
	key, id, facts string
	value          int // length of the value in bytes; -1: no value
}

// optionalParts has cases with each optional part set and unset.
var optionalParts = []commandParts{
	{name: "all set", key: "k1", id: "id-7", facts: "c=put,t=acme,d=480,r=1", value: 3},
	{name: "no value", key: "k1", id: "id-7", facts: "c=read,t=acme,d=480", value: -1},
	{name: "empty value", key: "k1", id: "id-7", facts: "c=put,d=480", value: 0},
	{name: "longest value", key: "k1", id: "id-7", facts: "c=put,d=480", value: wire.MaxRequestValue},
	{name: "no key", id: "id-7", facts: "c=read,d=480", value: -1},
	{name: "no id", key: "k1", facts: "c=read,d=480", value: -1},
	{name: "no facts", key: "k1", id: "id-7", value: -1},
	{name: "nothing set", value: -1},
	{name: "special characters", key: "aZ09-_.~ /?%&+\x00\x7f\r\né", id: "ü 1", facts: "c=x y,d=1", value: -1},
}

// TestRequestBytesGolden checks the requests to caches, the origin and discovery, byte for byte.
func TestRequestBytesGolden(t *testing.T) {
	var g golden
	g.section("cache command")
	for _, p := range optionalParts {
		name := "KV.GET"
		if p.value >= 0 {
			name = "KV.SET"
		}
		g.bytes(p.name, wire.AppendCommand([]byte(">"), []byte(name), []byte(p.key), []byte(p.id), []byte(p.facts), p.value))
	}
	g.section("other command")
	for _, words := range [][]string{nil, {"PING"}, {"HELLO", "2"}, {"", "a b", "é\r\n"}} {
		g.bytes(fmt.Sprintf("%q", words), wire.AppendPlainCommand([]byte(">"), words...))
	}
	g.section("length line")
	for _, n := range []int{-1, 0, 1, 1234567} {
		g.bytes(fmt.Sprintf("$ %d", n), wire.AppendLength([]byte(">"), '$', n))
		g.bytes(fmt.Sprintf("* %d", n), wire.AppendLength(nil, '*', n))
		g.bytes(fmt.Sprintf(": %d", n), wire.AppendLength(nil, ':', n))
	}
	g.section("origin request")
	for _, p := range optionalParts {
		g.bytes(p.name, wire.AppendOriginRequest([]byte(">"), "origin:8080", []byte(p.key), []byte(p.id), []byte(p.facts), p.value))
	}
	g.bytes("no host", wire.AppendOriginRequest(nil, "", []byte("k"), []byte("i"), []byte("f"), -1))
	var allBytes []byte
	for c := range 256 {
		allBytes = append(allBytes, byte(c))
	}
	g.bytes("key of all byte values", wire.AppendOriginRequest(nil, "h", allBytes, nil, nil, -1))
	g.section("discovery request")
	for _, since := range []int64{0, 41, -1, 1 << 62} {
		g.bytes(fmt.Sprint("since ", since), wire.AppendWatchRequest([]byte(">"), "discovery:9090", since))
	}
	g.bytes("no host", wire.AppendWatchRequest(nil, "", 0))
	g.section("facts with the wait replaced")
	for _, list := range []string{
		"", "d=480", "c=read,d=480", "c=put,t=acme,d=480,size=9,k=5c0f,r=1", "c=read", "d=1,d=2",
		"dd=1,c=x", "c=d=1,d=12.75", ",,", "odd,d=5,",
	} {
		g.bytes(fmt.Sprintf("%q", list), wire.AppendFacts([]byte(">"), []byte(list), 77))
	}
	g.bytes("wait of 0", wire.AppendFacts(nil, []byte("c=x,d=480"), 0))
	g.section("limits")
	g.value("maximum buffered value", "%d", wire.MaxBufferedValue)
	g.value("maximum response value", "%d", wire.MaxResponseValue)
	g.value("maximum request value", "%d", wire.MaxRequestValue)
	goldentest.Text(t, "requests.golden", g.String())
}

// TestCommandParseGolden checks how client commands are parsed, and the error text for each malformed one.
func TestCommandParseGolden(t *testing.T) {
	var g golden
	for _, text := range []string{
		"*1\r\n$4\r\nPING\r\n", "*1\r\n$0\r\n\r\n", "*2\r\n$5\r\nHELLO\r\n$1\r\n2\r\n",
		"*4\r\n$6\r\nkv.get\r\n$2\r\nk1\r\n$3\r\nid1\r\n$12\r\nc=read,d=480\r\n*1\r\n",
		"*4\r\n$6\r\nKV.GET\r\n$0\r\n\r\n$0\r\n\r\n$0\r\n\r\n",
		"*5\r\n$6\r\nKV.SET\r\n$2\r\nk1\r\n$3\r\nid1\r\n$11\r\nc=put,d=480\r\n$3\r\nabc\r\n",
		"*5\r\n$6\r\nKV.SET\r\n$2\r\nk1\r\n$3\r\nid1\r\n$11\r\nc=put,d=480\r\n$4194304\r\n",
		"*5\r\n$6\r\nKv.SeT\r\n$2\r\nk1\r\n$3\r\nid1\r\n$11\r\nc=put,d=480\r\n$0\r\n",
		"*5\r\n$6\r\nKV.DEL\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n$1\r\nd\r\n",
		"*16\r\n" + strings.Repeat("$1\r\nw\r\n", 16),
		"*2\r\n$4\r\nECHO\r\n$1024\r\n" + strings.Repeat("w", 1024) + "\r\n",

		"", "*", "*1", "*1\r", "*1\r\n", "*1\r\n$4\r\nPIN", "*1\r\n$4\r\nPING\r", "*99999999999999",
		"PING\r\n", "$1\r\n", "*0\r\n", "*17\r\n", "*-1\r\n", "*1\n$4\r\n", "*1x\r\n", "*\r\n", "*-\r\n", "*1234567890\r\n",
		"*99999999999999999999", "*1\r\n:4\r\n", "*1\r\n$-1\r\n", "*1\r\n$1025\r\n", "*1\r\n$4\r\nPINGxx",
		"*2\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n", "*1\r\n$6\r\nKV.SET\r\n",
		"*4\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n",
		"*6\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n$1\r\nv\r\n$1\r\nw\r\n",
		"*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n$4194305\r\n",
		"*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n$-1\r\n",
	} {
		c, n, err := wire.ParseCommand([]byte(text))
		if err != nil {
			g.value(shorten(text), "%s", errorText(err))
			continue
		}
		g.value(shorten(text), "consumed %d: name %q, key %q, id %q, facts %q, value of %d; is KV.GET %v, is KV.SET %v", n,
			c.Name, c.Key, c.ID, c.Facts, c.ValueLength, c.Is("KV.GET"), c.Is("KV.SET"))
	}
	goldentest.Text(t, "commands.golden", g.String())
}

// TestFactsParseGolden checks how the facts of a command are parsed, and the error text for each malformed list.
func TestFactsParseGolden(t *testing.T) {
	var g golden
	for _, list := range []string{
		"c=read,d=480", "c=put,t=acme,d=480,size=9,k=5c0f,r=1", "d=12.75,c=x", "d=0,c=", "c=x,d=5,r=0", "c=x,d=5,r=true",
		"c=x,d=5,t=", "c=a,c=b,d=1,d=2", "c=x=y,d=5", "C=x,D=5,c=y,d=6", "c=x,d=999999999", "c=x,d=5.", "c=x,d=5.y", "=,c=x,d=1",
		"", "c=x", "d=5", "c=x,d=", "c=x,d=-5", "c=x,d=5x", "c=x,d=5,odd", "c=x,d=5,", "c=x,d=1234567890", "c=x,d= 5",
	} {
		f, err := wire.ParseFacts([]byte(list))
		if err != nil {
			g.value(fmt.Sprintf("%q", list), "%s", errorText(err))
			continue
		}
		g.value(fmt.Sprintf("%q", list), "route %q, tenant %q (given %v), wait %d, retry %v", f.Route, f.Tenant, f.Tenant != nil,
			f.WaitMilliseconds, f.Retry)
	}
	g.section("printable texts")
	for _, word := range []string{"", "plain ~", "é", "\x1f", "\x7f", "a\r", "\x00", "\t"} {
		text := "accepted"
		if err := wire.CheckPrintable([]byte("first"), []byte(word)); err != nil {
			text = errorText(err)
		}
		g.value(fmt.Sprintf("%q", word), "%s", text)
	}
	goldentest.Text(t, "facts.golden", g.String())
}

// describeResponse reads one response completely and describes the result and the bytes left unread.
func describeResponse(read func(*bufio.Reader) (wire.Response, error), text string) string {
	r := bufio.NewReader(strings.NewReader(text))
	a, err := read(r)
	if err != nil {
		return errorText(err)
	}
	var value []byte
	lengthUnknown := a.LengthUnknown()
	if lengthUnknown {
		if value, err = a.ReadValue(r); err != nil {
			return errorText(err)
		}
	}
	described := fmt.Sprintf("%s, value of %d, not found %v, reusable %v, length unknown %v", outcomeNames[a.Outcome], a.ValueLength, a.NotFound,
		a.Reusable, lengthUnknown)
	if a.Outcome == balancer.Completed {
		if !lengthUnknown {
			value, err = a.ReadValue(r)
		}
		if err == nil {
			described += ", value " + shorten(string(value))
			err = a.SkipTrailing(r)
		}
		if err != nil {
			return described + "; then " + errorText(err)
		}
	}
	rest, _ := io.ReadAll(r)
	return described + fmt.Sprintf(", %q unread", rest)
}

// TestCacheResponseGolden checks how responses of caches are parsed.
func TestCacheResponseGolden(t *testing.T) {
	var g golden
	for _, text := range []string{
		"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$7\r\nqueue=3\r\n+next", "*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", "*1\r\n$1\r\nv\r\n",
		"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", "*1\r\n$-1\r\n", "*3\r\n+OK\r\n", "*3\r\n:7\r\n+fine\r\n",
		"*8\r\n$1\r\nv\r\n" + strings.Repeat("$1\r\nx\r\n", 7), "*3\r\n$1\r\nv\r\n:3\r\n$-1\r\n", "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n:3\r\n", "*3\r\n$1\r\nv\r\n$-1\r\n+queue=3\r\n",
		"*3\r\n$70000\r\n" + strings.Repeat("v", 70000) + "\r\n$-1\r\n$-1\r\n",
		"-BUSY\r\n", "-BUSY too many\r\n", "-BUSYBODY\r\n", "-ERR failed\r\n", "-busy\r\n", "-MOVED 1\r\n",
		"", "*", "*3\r\n", "*3\r\n$1\r\n", "*3\r\n$1\r\nv", "*3\r\n$1\r\nv\r\n", "*3\r\n$1\r\nv\r\n$-1\r\n", "*3\r\n$-1\r\n", "-ERR", "-SYNTAX what\r\n",
		"+OK\r\n", "\r\n\r\n", ":1\r\n", "$1\r\nv\r\n", "*0\r\n", "*9\r\n", "*x\r\n", "*-1\r\n", "*3\r\n$4194305\r\n", "*3\r\n$-2\r\n",
		"*3\r\n$1\r\nvxx", "*3\r\n*1\r\n", "*3\r\n$1\r\nv\r\n$65537\r\n", "*3\r\n$1\r\nv\r\n-ERR\r\n", "*3\n$1\r\n",
		"*" + strings.Repeat("1", 5000),
	} {
		g.value(shorten(text), "%s", describeResponse(wire.ReadCacheResponse, text))
	}
	g.section("end after a value read in parts")
	for _, end := range []string{"\r\n", "\n\n", "\r", ""} {
		r := bufio.NewReader(strings.NewReader("*3\r\n$1\r\nv" + end))
		a, err := wire.ReadCacheResponse(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := r.Discard(1); err != nil {
			t.Fatal(err)
		}
		text := "accepted"
		if err := a.ReadValueEnd(r); err != nil {
			text = errorText(err)
		}
		g.value(fmt.Sprintf("%q", end), "%s", text)
	}
	g.section("single element")
	for _, text := range []string{"$5\r\nvalue\r\n", "$0\r\n\r\n", "$-1\r\n", "+OK\r\n", ":3\r\n", "-ERR\r\n", "*1\r\n", "$1\r\nvxx", ""} {
		b, err := wire.ReadBulkString(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			g.value(fmt.Sprintf("%q", text), "%s", errorText(err))
			continue
		}
		g.value(fmt.Sprintf("%q", text), "%q, null %v", b, b == nil)
	}
	goldentest.Text(t, "cache_responses.golden", g.String())
}

// TestOriginResponseGolden checks how responses of the origin are parsed, by status and headers.
func TestOriginResponseGolden(t *testing.T) {
	var g golden
	record := func(text string) {
		g.value(shorten(text), "%s", describeResponse(wire.ReadOriginResponse, text))
	}
	for _, status := range []string{
		"200 OK", "201 Created", "204 No Content", "206 Part", "301 Moved", "304 Not Modified",
		"400 Bad", "404 Not Found", "410 Gone", "429 Slow Down", "500 Error", "502 Bad", "503 Busy", "504 Late",
	} {
		record("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok")
		record("HTTP/1.1 " + status + "\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2", "HTTP/1.1 200 OK\r\ncontent-length:2 ", "HTTP/1.0 200 OK\r\nContent-Length: 2",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nconnection: Close",
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: upgrade",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2", "HTTP/1.1 200 OK", "HTTP/1.0 200 OK",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: q=1\r\nX-Correlation-Id: id", "HTTP/1.1 200\r\nContent-Length: 2",
		"HTTP/1.1 503 No\r\nx-unprocessed: 1\r\nContent-Length: 2", "HTTP/1.1 503 No\r\nX-Unprocessed: 0\r\nContent-Length: 2",
		"HTTP/1.1 503 No\r\nX-Unprocessed: true\r\nContent-Length: 2",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2",
		"HTTP/1.1 100 Continue\r\nX-Unprocessed: 1\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 2",
		"HTTP/2 200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 099 OK", "HTTP/1.1 200 OK\r\nno colon", "NOHTTP 200 OK and more",
		"HTTP/1.1 200 OK\r\nContent-Length: 5x", "HTTP/1.1 200 OK\r\nContent-Length: -5", "HTTP/1.1 200 OK\r\nContent-Length: ",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6", "HTTP/1.1 200 OK\r\nContent-Length: 4194305",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip", "HTTP/1.1 200 OK\r\nContent-Length: 3",
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 5000),
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 4000) + "C: d",
	} {
		record(head + "\r\n\r\nok")
	}
	for _, chunks := range []string{
		"2\r\nok\r\n0\r\n\r\n", "1;x=1\r\no\r\n1\r\nk\r\n0\r\nTrailer: 1\r\n\r\nnext", "0\r\n\r\n",
		"A\r\n0123456789\r\n0\r\n\r\n", "2\r\nok", "2\r\nokxx", "x\r\n", "-1\r\n", "80000000\r\n", "2\r\nok\r\n0\r\n", "",
	} {
		record("HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n" + chunks)
	}
	for _, text := range []string{
		"", "H", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("v", 1<<20+1), "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("v", 1<<20),
	} {
		record(text)
	}
	goldentest.Text(t, "origin_responses.golden", g.String())
}

// TestEndpointListWriteGolden checks the encoding of endpoint lists and the result of parsing it again.
func TestEndpointListWriteGolden(t *testing.T) {
	var g golden
	full := wire.Endpoint{
		Name: "c1", Address: "10.0.0.1:6379", Zone: "a", Kind: "m2", Cell: 3, Ready: true, Weight: 1.5,
		StartedAtUnixMilli: 1700000000123,
	}
	draining, departed, minimal, escaped := full, full, wire.Endpoint{Name: "c2", Address: "h:1", Ready: true}, full
	draining.Ready = false
	departed.Ready, departed.Departed = false, true
	escaped.Name, escaped.Zone, escaped.Kind = "c \"1\"\\\n", "é", "<m&2>"
	fromPeer := full
	fromPeer.FromPeer = true
	for _, c := range []struct {
		name string
		list []wire.Endpoint
	}{
		{"empty", nil},
		{"all set", []wire.Endpoint{full}},
		{"leaving", []wire.Endpoint{draining}},
		{"left", []wire.Endpoint{departed}},
		{"left and ready", []wire.Endpoint{{Name: "c", Ready: true, Departed: true}}},
		{"required fields only", []wire.Endpoint{minimal}},
		{"characters that need escapes", []wire.Endpoint{escaped}},
		{"reported by another proxy", []wire.Endpoint{fromPeer}},
		{"fractional, negative and large numbers", []wire.Endpoint{
			{Name: "c", Weight: 0.1, Cell: -4, StartedAtUnixMilli: 1 << 62},
			{Name: "d", Weight: 1e21},
		}},
		{"several", []wire.Endpoint{full, draining, departed, minimal}},
	} {
		text := wire.AppendEndpointList([]byte(">"), c.list)
		g.bytes(c.name, text)
		g.value(c.name+", read back", "%s", describeEndpointList(string(text[1:])))
	}
	goldentest.Text(t, "targets_written.golden", g.String())
}

// describeEndpointList parses a list and describes its endpoints or the error.
func describeEndpointList(text string) string {
	list, err := wire.ReadEndpointList(strings.NewReader(text))
	if err != nil {
		return errorText(err)
	}
	described := fmt.Sprintf("index %d, complete %v", list.Index, list.Complete)
	for _, e := range list.Endpoints {
		described += fmt.Sprintf("; name %q, address %q, zone %q, kind %q, cell %d, ready %v, departed %v, weight %v, "+
			"since %d, from peer %v",
			e.Name, e.Address, e.Zone, e.Kind, e.Cell, e.Ready, e.Departed, e.Weight, e.StartedAtUnixMilli, e.FromPeer)
	}
	return described
}

// TestEndpointListParseGolden checks how discovery's lists are parsed, with each field set, unset and of a wrong type.
func TestEndpointListParseGolden(t *testing.T) {
	const complete = `{"index":41,"snapshot":true,"endpoints":[{"name":"c1","address":"h:1","zone":"a","type":"m2","group":3,` +
		`"status":"active","weight":1.5,"since_ms":7}]}`
	var g golden
	for _, text := range []string{
		complete, `{"index":0,"endpoints":[]}`, `{"index":1,"snapshot":false,"new":[1],"endpoints":[{"name":"c","status":"left","new":1}]}`,
		`{"index":1,"snapshot":"yes","endpoints":[]}`, `{"index":1.5,"endpoints":[]}`,
		`[]`, `7`, `{}`, `{"index":"1","endpoints":[]}`, `{"index":null,"endpoints":[]}`, `{"index":1}`, `{"index":1,"endpoints":{}}`,
		`{"index":1,"endpoints":[{}]}`, `{"index":1,"endpoints":[7]}`,
	} {
		g.value(text, "%s", describeEndpointList(text))
	}
	for _, change := range [][2]string{
		{`"name":"c1",`, ``},
		{`"name":"c1"`, `"name":""`},
		{`"name":"c1"`, `"name":7`},
		{`"address":"h:1",`, ``},
		{`"address":"h:1"`, `"address":7`},
		{`"zone":"a",`, ``},
		{`"zone":"a"`, `"zone":7`},
		{`"type":"m2",`, ``},
		{`"type":"m2"`, `"type":null`},
		{`"group":3,`, ``},
		{`"group":3`, `"group":null`},
		{`"group":3`, `"group":"3"`},
		{`"group":3`, `"group":2.5`},
		{`"status":"active",`, ``},
		{`"active"`, `"leaving"`},
		{`"active"`, `"left"`},
		{`"active"`, `"odd"`},
		{`"active"`, `7`},
		{`"weight":1.5,`, ``},
		{`"weight":1.5`, `"weight":"x"`},
		{`"weight":1.5`, `"weight":-2`},
		{`,"since_ms":7`, ``},
		{`"since_ms":7`, `"since_ms":7.25`},
		{`"since_ms":7`, `"since_ms":1.7e12`},
		{`"since_ms":7`, `"since_ms":-7`},
		{`"since_ms":7`, `"since_ms":"7"`},
		{`"snapshot":true,`, ``},
		{`"index":41,`, ``},
	} {
		changed := strings.Replace(complete, change[0], change[1], 1)
		if changed == complete {
			t.Fatalf("%s is not in the complete list", change[0])
		}
		g.value(change[0]+" -> "+change[1], "%s", describeEndpointList(changed))
	}
	goldentest.Text(t, "targets_parsed.golden", g.String())
}

// TestDiscoveryWatchGolden checks how the response to a watch request is parsed.
func TestDiscoveryWatchGolden(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }
	var g golden
	for _, text := range []string{
		chunked + chunk("{\"index\":1}\n") + chunk("\n") + chunk("{\"index\":2}\r\n") + chunk("0\r\n\r\n"),
		chunked + chunk("{\n \"a\": [\n  \"} \\\" {\"\n ]\n}\n"), chunked + chunk("{\"index\"") + chunk(":1}\n"),
		chunked + chunk("{\"index\":1}\n") + "0\r\n\r\n", chunked + chunk("{\n\n"), chunked + chunk("{\"index\":1}"),
		chunked + chunk("{\n \"index\":1\n") + "0\r\n\r\n", chunked,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "",
	} {
		g.value(shorten(text), "%s", describeWatch(text))
	}
	goldentest.Text(t, "watch.golden", g.String())
}

// describeWatch reads a watch to its end and lists its objects and the error that ends it.
func describeWatch(text string) string {
	w, err := wire.OpenWatch(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		return errorText(err)
	}
	var lines bytes.Buffer
	for {
		line, err := nextObject(w)
		if err != nil {
			return lines.String() + errorText(err)
		}
		fmt.Fprintf(&lines, "%q, ", line)
	}
}

// nextObject returns the next object of a watch. It is empty for a heartbeat.
func nextObject(w *wire.WatchReader) ([]byte, error) {
	object, err := w.Next()
	if err != nil || object == nil {
		return nil, err
	}
	return io.ReadAll(object)
}

// TestAttemptErrorGolden checks the texts of errors and which of them report that an attempt may have run.
func TestAttemptErrorGolden(t *testing.T) {
	var g golden
	for _, progress := range []wire.Progress{wire.Dialing, wire.Writing, wire.Waiting, wire.Reading} {
		g.value(progress.String(), "%d, %s", progress, errorText(&wire.AttemptError{Progress: progress, Err: io.ErrUnexpectedEOF}))
	}
	g.value("incomplete", "%v", wire.ErrIncomplete)
	g.value("protocol error", "%v", wire.ErrProtocol)
	goldentest.Text(t, "attempt_errors.golden", g.String())
}
