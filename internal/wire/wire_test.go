package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"woodproxy/balancer"

	"github.com/valyala/fastjson"
)

// However a command is cut, it is asked for more until it is whole, and then read as if it had come in one.
func TestCommandInParts(t *testing.T) {
	for _, text := range []string{
		"*1\r\n$4\r\nPING\r\n",
		"*4\r\n$6\r\nkv.get\r\n$2\r\nk1\r\n$3\r\nid1\r\n$12\r\nc=read,d=480\r\n",
		"*5\r\n$6\r\nKV.SET\r\n$2\r\nk1\r\n$3\r\nid1\r\n$11\r\nc=put,d=480\r\n$65536\r\n",
	} {
		for n := range len(text) {
			if _, _, err := ParseCommand([]byte(text[:n])); !errors.Is(err, ErrShort) {
				t.Errorf("%q: %v", text[:n], err)
			}
		}
		c, n, err := ParseCommand([]byte(text + "*1\r\n"))
		if err != nil || n != len(text) {
			t.Errorf("%q: took %d: %v", text, n, err)
		}
		if c.Is("KV.GET") && (string(c.Key) != "k1" || string(c.ID) != "id1" || c.Value != -1) {
			t.Errorf("%q: %+v", text, c)
		}
		if c.Is("KV.SET") && (string(c.Facts) != "c=put,d=480" || c.Value != 65536) {
			t.Errorf("%q: %+v", text, c)
		}
	}
}

func TestBadCommands(t *testing.T) {
	for _, text := range []string{
		"PING\r\n", "*0\r\n", "*17\r\n", "*-1\r\n", "*1\n$4\r\n", "*1x\r\n", "*99999999999999999999", "*1\r\n:4\r\n",
		"*1\r\n$-1\r\n", "*1\r\n$1025\r\n", "*1\r\n$4\r\nPINGxx", "*2\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n",
		"*4\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n",
		"*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n$4194305\r\n",
	} {
		if _, _, err := ParseCommand([]byte(text)); !errors.Is(err, ErrBytes) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// What a try says is what the client said, but for d.
func TestFacts(t *testing.T) {
	const list = "c=put,t=acme,d=480,size=9,k=5c0f,r=1"
	f, err := ParseFacts([]byte(list))
	if err != nil || string(f.Route) != "put" || string(f.Tenant) != "acme" || f.Wait != 480 || !f.Repeat {
		t.Errorf("%+v: %v", f, err)
	}
	if got := string(AppendFacts(nil, []byte(list), 77)); got != "c=put,t=acme,d=77,size=9,k=5c0f,r=1" {
		t.Error(got)
	}
	if f, err := ParseFacts([]byte("d=12.75,c=x")); err != nil || f.Wait != 12 {
		t.Errorf("%+v: %v", f, err)
	}
	for _, bad := range []string{"", "c=x", "d=5", "c=x,d=", "c=x,d=-5", "c=x,d=5x", "c=x,d=5,odd"} {
		if _, err := ParseFacts([]byte(bad)); !errors.Is(err, ErrBytes) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// Each answer of a cache or the origin, whole: how the try ended, and the value. HTTP answers begin with H.
func TestAnswers(t *testing.T) {
	for text, want := range map[string]struct {
		ending balancer.Ending
		value  string
		again  bool
	}{
		"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$7\r\nqueue=3\r\n": {balancer.Completed, "value", true},
		"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n":                      {balancer.Completed, "", true},
		"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n":                  {balancer.Lacking, "", true},
		"*1\r\n$1\r\nv\r\n":                                   {balancer.Completed, "v", true},
		"-BUSY\r\n":                                           {balancer.NoRoom, "", true},
		"-BUSY too many connections\r\n":                      {balancer.NoRoom, "", true},
		"-BUSYBODY\r\n":                                       {balancer.Fault, "", true},
		"-ERR failed\r\n":                                     {balancer.Fault, "", true},
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Backend-Load: q=1\r\n\r\nvalue":                          {balancer.Completed, "value", true},
		"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n3\r\nval\r\n2;x=1\r\nue\r\n0\r\nT: 1\r\n\r\n": {balancer.Completed, "value", true},
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n":    {balancer.Completed, "", false},
		"HTTP/1.0 200 OK\r\n\r\nvalue":                                       {balancer.Completed, "value", false},
		"HTTP/1.1 503 No\r\nx-unprocessed: 1\r\nContent-Length: 2\r\n\r\nno": {balancer.NoRoom, "", true},
		"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n":   {balancer.NoRoom, "", true},
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                       {balancer.Fault, "", true},
		"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n":   {balancer.Fault, "", true},
	} {
		ending, value, again, err := readEither(text)
		if err != nil || ending != want.ending || ending == balancer.Completed && string(value) != want.value ||
			again != want.again {
			t.Errorf("%q: ending %d, %q, again %v: %v", text, ending, value, again, err)
		}
		// cut anywhere, it is an end while waiting or while reading, never a shorter answer
		for n := range len(text) {
			if strings.HasPrefix(text, "HTTP/1.0") && n >= strings.Index(text, "value") {
				break // whose end is the connection's
			}
			_, _, _, err := readEither(text[:n])
			var halt *Halt
			if !errors.As(err, &halt) || !halt.Ran() || (n == 0) != (halt.Far == Waiting) || errors.Is(err, ErrBytes) {
				t.Errorf("%q: %v", text[:n], err)
			}
		}
	}
}

func readEither(text string) (balancer.Ending, []byte, bool, error) {
	r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))
	read := ReadAnswer
	if strings.HasPrefix(text, "H") {
		read = ReadFetched
	}
	a, err := read(r)
	if err != nil || a.Ending != balancer.Completed {
		return a.Ending, nil, a.Again, err
	}
	value, err := a.Value(r)
	if err == nil {
		err = a.Tail(r)
	}
	return a.Ending, value, a.Again, err
}

// Servers keep longer values than clients may write, and these are passed on.
func TestLongAnswers(t *testing.T) {
	long := strings.Repeat("v", 6*MaxValue)
	for _, text := range []string{
		fmt.Sprintf("*1\r\n$%d\r\n%s\r\n", len(long), long),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + long,
	} {
		if ending, value, _, err := readEither(text); ending != balancer.Completed || string(value) != long || err != nil {
			t.Errorf("%.40q: ending %d, %d bytes: %v", text, ending, len(value), err)
		}
	}
}

func TestBadAnswers(t *testing.T) {
	for _, text := range []string{
		"+OK\r\n", "\r\n\r\n", "*0\r\n", "*9\r\n", "*x\r\n", "*1\r\n$4194305\r\n", "*1\r\n$1\r\nvxx", "*1\r\n*1\r\n",
		"-SYNTAX what\r\n", "*" + strings.Repeat("1", 5000),
		"HTTP/2 200 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nvxx\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 4000),
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("v", maxUnknownLength+1),
	} {
		if _, _, _, err := readEither(text); !errors.Is(err, ErrBytes) {
			t.Errorf("%.40q: %v", text, err)
		}
	}
}

func TestTries(t *testing.T) {
	b := AppendCommand(nil, []byte("KV.SET"), []byte("k"), []byte("id"), []byte("c=put"), 3)
	if string(b) != "*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$5\r\nc=put\r\n$3\r\n" {
		t.Errorf("%q", b)
	}
	b = AppendFetch(nil, "h:1", []byte("a/\r\n"), []byte("id"), []byte("c=put,d=5"), 3)
	if string(b) != "PUT /a%2F%0D%0A HTTP/1.1\r\nHost: h:1\r\nX-Correlation-Id: id\r\nX-Facts: c=put,d=5\r\nContent-Length: 3\r\n\r\n" {
		t.Errorf("%q", b)
	}
}

func TestTargets(t *testing.T) {
	read := func(text string) (int64, bool, []Target, error) { return ParseTargets(fastjson.MustParse(text)) }
	index, whole, list, err := read(`{"index":41,"snapshot":true,"new":1,"endpoints":[{"name":"c1","address":"h:1",
"zone":"a","type":"m2","group":3,"status":"active","weight":1.5,"since_ms":7},{"name":"c2","status":"left","group":null}]}`)
	if err != nil || index != 41 || !whole || len(list) != 2 || list[1].Ready ||
		list[0] != (Target{Name: "c1", Address: "h:1", Zone: "a", Kind: "m2", Cell: 3, Ready: true, Weight: 1.5, Since: 7}) {
		t.Errorf("%d %v %v: %v", index, whole, list, err)
	}
	for _, bad := range []string{
		`[]`, `{}`, `{"index":"1","endpoints":[]}`, `{"index":1}`, `{"index":1,"endpoints":[{}]}`,
		`{"index":1,"endpoints":[{"name":"c","status":"odd"}]}`, `{"index":1,"endpoints":[{"name":"c","status":"active"}]}`,
	} {
		if _, _, _, err := read(bad); !errors.Is(err, ErrBytes) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

// Lines of a watch may be longer than any buffer, and a chunk may hold several or a part of one.
func TestWatch(t *testing.T) {
	long := strings.Repeat("x", 9000)
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n4\r\na\nb\n\r\n2328\r\n" + long + "\r\n2\r\nc\n\r\n"
	w, err := ReadWatch(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"", "a", "b", long + "c"} {
		if line, err := w.Next(); err != nil || string(line) != want {
			t.Errorf("%.20q: %v", line, err)
		}
	}
	if _, err := w.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Error(err)
	}
}

// A list may come indented, in a watch as well; one that breaks off is no list.
func TestWatchIndented(t *testing.T) {
	read := func(body string) *WatchReader {
		w, err := ReadWatch(bufio.NewReader(strings.NewReader(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body))))
		if err != nil {
			t.Fatal(err)
		}
		return w
	}
	list := "{\r\n  \"index\": 41,\n  \"endpoints\": [\n    {\"name\": \"a } \\\" {\"}\n  ]\n}"
	w := read(list + "\n\n" + `{"index":42}` + "\n")
	for _, want := range []string{list, "", `{"index":42}`} {
		if line, err := w.Next(); err != nil || string(line) != want {
			t.Errorf("%q: %v", line, err)
		}
	}
	if line, err := read("{\n\"index\":\n\n").Next(); !errors.Is(err, ErrBytes) {
		t.Errorf("%q: %v", line, err)
	}
}

// Whatever comes, nothing panics, no more is taken than came, and what is understood is understood again.
func FuzzBytes(f *testing.F) {
	f.Add("*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$7\r\nc=x,d=5\r\n")
	f.Add("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\n:\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, n, err := ParseCommand([]byte(text))
		if err == nil && (n < 1 || n > len(text)) {
			t.Errorf("%q: took %d", text, n)
		}
		if err == nil && c.Is("KV.GET") {
			again := AppendCommand(nil, c.Name, c.Key, c.ID, c.Facts, -1)
			if d, _, err := ParseCommand(again); err != nil || string(d.Facts) != string(c.Facts) || string(d.Key) != string(c.Key) {
				t.Errorf("%q: written as %q", text, again)
			}
		}
		if _, err := ParseFacts(c.Facts); err == nil {
			if _, err := ParseFacts(AppendFacts(nil, c.Facts, 7)); err != nil {
				t.Errorf("%q: facts not understood again: %v", c.Facts, err)
			}
		}
		readEither(text)
	})
}
