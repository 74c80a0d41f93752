package emulator_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/emulator"
	"woodproxy/internal/server"

	"go.uber.org/zap"
)

// inside is a proxy in this process.
type inside struct {
	signals chan os.Signal
	done    chan error
}

func (i inside) Signal(s os.Signal) { i.signals <- s }
func (i inside) Kill()              { i.signals <- syscall.SIGTERM }
func (i inside) Done() <-chan error { return i.done }

func start(s emulator.ProxyConfig) (emulator.Proxy, error) {
	read := func() (*server.Place, error) {
		return server.Read(s.ConfigFile, server.Place{Shared: filepath.Join(s.Dir, "tmp")})
	}
	p, err := read()
	if err != nil {
		return nil, err
	}
	i := inside{make(chan os.Signal, 4), make(chan error, 1)}
	go func() {
		i.done <- server.Serve(p, read, zap.NewNop(), i.signals)
		close(i.done)
	}()
	return i, nil
}

func day(t *testing.T, text string) *emulator.Day {
	t.Helper()
	d, err := emulator.ParseDay([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

const plain = `name = "plain"
length_s = 2.0
proxies = 2
fleet = { nodes = 3, cores = 4, service_ms = 2.0, queue = 100, zones = ["a", "b"], cross_ms = 2.0, cold_s = 2.0, cold_from = 0.4 }
origin = { cores = 8, service_ms = 5.0, queue = 100 }
keys = { count = 500, zipf = 1.1, warm = 0.9 }
load = { rate = 150.0 }
route = [
  { name = "read", share = 0.9, objective_ms = 500.0, overall_ms = 1000.0, value = 1.0 },
  { name = "put", share = 0.1, objective_ms = 500.0, overall_ms = 1000.0, value = 2.0, write = true, dedup_ms = 5000.0 },
]
`

func play(t *testing.T, text string, with emulator.Start) *emulator.Report {
	t.Helper()
	r, err := emulator.Play(context.Background(), day(t, text).Draw(1), emulator.Options{Start: with, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func outcomes(r *emulator.Report) map[emulator.Outcome]int {
	m := map[emulator.Outcome]int{}
	for _, q := range r.Results {
		m[q.Outcome]++
	}
	return m
}

func rules(r *emulator.Report) map[string]int {
	m := map[string]int{}
	for _, b := range r.Breaches {
		m[b.Rule]++
	}
	return m
}

// A calm day and one on which much goes wrong at once, with real proxies: no rule is broken, and clients are served.
func TestDays(t *testing.T) {
	t.Parallel()
	trouble := strings.NewReplacer(`"plain"`, `"trouble"`, "length_s = 2.0", "length_s = 4.0", "rate = 150.0", "rate = 150.0, impatient = 0.02").Replace(plain)
	for _, b := range []string{
		`kind = "silent", at_s = 0.5, for_s = 1.0, nodes = 1`, `kind = "replace", at_s = 1.0, for_s = 0.5, nodes = 1, leave_ms = 600.0`,
		`kind = "reset", at_s = 0.5, for_s = 2.0, nodes = 1, part = 0.2`, `kind = "garbled", at_s = 1.0, for_s = 1.0, nodes = 1, part = 0.2`,
		`kind = "halves", at_s = 2.5, for_s = 1.0, nodes = 1, part = 0.2`,
		`kind = "failing", at_s = 1.5, for_s = 0.5, nodes = 1, part = 0.5`, `kind = "slow", at_s = 2.0, for_s = 1.0, nodes = 1, times = 5.0`,
		`kind = "cold", at_s = 2.5, for_s = 0.0, nodes = 1`, `kind = "stale", at_s = 2.0, for_s = 0.5`, `kind = "deaf", at_s = 3.0, for_s = 0.5`,
		`kind = "origin-slow", at_s = 0.5, for_s = 1.0, times = 3.0`, `kind = "restart", at_s = 1.0, for_s = 0.0, nodes = 1`,
		`kind = "bad-clients", at_s = 0.5, for_s = 0.7, rate = 10.0`, `kind = "slow-clients", at_s = 0.5, for_s = 2.0, nodes = 3`,
	} {
		trouble += "[[trouble]]\n" + strings.ReplaceAll(b, ", ", "\n") + "\n"
	}
	copies := strings.Replace(strings.Replace(trouble, `"trouble"`, `"copies"`, 1), "proxies = 2", "proxies = 2\nlimits = { parallel = true }", 1)
	for text, least := range map[string]float64{plain: 0.97, trouble: 0.5, copies: 0.5} {
		t.Run(day(t, text).Name, func(t *testing.T) {
			t.Parallel()
			r := play(t, text, start)
			for _, b := range r.Breaches {
				t.Error(b)
			}
			o := outcomes(r)
			if n := len(r.Plan.Requests); len(r.Results) != n || float64(o[emulator.Completed]) < least*float64(n) || o[emulator.Lost] > 0 || r.BadMute > 0 {
				t.Errorf("%d asked, %v, %d bad clients without an end", n, o, r.BadMute)
			}
		})
	}
}

// liar is a proxy that answers each request as it is told to.
func liar(answer func(id string, n int, write bool) (string, bool), conns ...*atomic.Int64) emulator.Start {
	return func(s emulator.ProxyConfig) (emulator.Proxy, error) {
		ln, err := net.Listen("tcp", s.Listen)
		if err != nil {
			return nil, err
		}
		l := inside{make(chan os.Signal, 4), make(chan error, 1)}
		var n atomic.Int64
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				for _, n := range conns {
					n.Add(1)
				}
				go func() {
					defer c.Close()
					for r := bufio.NewReader(c); ; {
						words, err := emulator.ReadCommand(r)
						if err != nil {
							return
						}
						if words[0] == "PING" {
							io.WriteString(c, "+PONG\r\n")
							continue
						}
						text, on := answer(words[2], int(n.Add(1)), words[0] == "KV.SET")
						if io.WriteString(c, text); !on {
							return
						}
					}
				}()
			}
		}()
		go func() {
			<-l.signals
			ln.Close()
			close(l.done)
		}()
		return l, nil
	}
}

func good(id string) string {
	v := "c0:" + id
	return fmt.Sprintf("$%d\r\n%s\r\n", len(v), v)
}

// Each rule on what clients see is broken by a proxy made for that, and by none that keeps it.
func TestBrokenProxies(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer func(id string, n int, write bool) (string, bool)
		rule   string
	}{
		"keeps":     {func(id string, n int, _ bool) (string, bool) { return good(id), true }, ""},
		"sheds":     {func(id string, n int, _ bool) (string, bool) { return "-BUSY 10\r\n", true }, ""},
		"twice":     {func(id string, n int, _ bool) (string, bool) { return good(id) + good(id), true }, emulator.FinalAnswerRule},
		"another's": {func(id string, n int, _ bool) (string, bool) { return good("x" + id), true }, emulator.OwnValueRule},
		"closes":    {func(id string, n int, _ bool) (string, bool) { return "", n%3 > 0 }, emulator.FinalAnswerRule},
		"late": {func(id string, n int, _ bool) (string, bool) {
			time.Sleep(1200 * time.Millisecond)
			return good(id), true
		}, emulator.FinalAnswerRule},
		"breaks off": {func(id string, n int, _ bool) (string, bool) { return "$99\r\nc0:", false }, emulator.FinalAnswerRule},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := strings.Replace(strings.Replace(plain, "length_s = 2.0", "length_s = 1.0", 1), "rate = 150.0", "rate = 40.0", 1)
			r := play(t, text, liar(c.answer))
			if got := rules(r); c.rule == "" && len(got) > 0 || c.rule != "" && (got[c.rule] == 0 || len(got) > 1) {
				t.Errorf("%v, not %q", r.Breaches, c.rule)
			}
			if c.rule != "" && len(r.Breaches[0].Events) == 0 {
				t.Error("no path of the request")
			}
		})
	}
}

// Each rule fires on a trace that breaks it, and not on the same without the fault.
func TestRulesFire(t *testing.T) {
	d := day(t, plain)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	requests := []emulator.Request{{ID: "a"}, {ID: "w", Route: 1}}
	seen := func(at int, what, id, node, note string) emulator.Seen {
		return emulator.Seen{At: ms(at), What: what, ID: id, Node: node, Note: note, Made: id, Proxy: 0}
	}
	many := func(n, from int) []emulator.Seen {
		s := []emulator.Seen{{At: 0, What: emulator.Began, Node: "c9", Proxy: -1, Figure: 10}}
		for i := range n {
			s = append(s, seen(from+i, emulator.Took, "", "c9", ""))
		}
		return s
	}
	for name, c := range map[string]struct {
		trace []emulator.Seen
		rule  string
	}{
		"answered":             {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(9, emulator.Answered, "a", "", "completed")}, ""},
		"never answered":       {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(1100, emulator.Took, "", "c1", "")}, emulator.FinalAnswerRule},
		"not yet answered":     {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(1000, emulator.Took, "", "c1", "")}, ""},
		"left":                 {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(9, emulator.Went, "a", "", ""), seen(1100, emulator.Took, "", "c1", "")}, ""},
		"closed on":            {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(9, emulator.Closed, "a", "", "")}, emulator.FinalAnswerRule},
		"closed on, its old":   {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(9, emulator.Closed, "a", "", "reused"), seen(10, emulator.Asked, "a", "", ""), seen(19, emulator.Answered, "a", "", "shed")}, ""},
		"closed on, killed":    {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(9, emulator.Ended, "", "", "killed"), seen(9, emulator.Closed, "a", "", "")}, ""},
		"closed on, told":      {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(9, emulator.Ended, "", "", "stopped"), seen(9, emulator.Closed, "a", "", "")}, emulator.FinalAnswerRule},
		"late":                 {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(1051, emulator.Answered, "a", "", "shed")}, emulator.FinalAnswerRule},
		"twice":                {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(9, emulator.Answered, "a", "", "shed"), seen(10, emulator.Answered, "a", "", "shed")}, emulator.FinalAnswerRule},
		"never asked":          {[]emulator.Seen{seen(9, emulator.Answered, "a", "", "shed")}, emulator.FinalAnswerRule},
		"ran once":             {[]emulator.Seen{seen(1, emulator.Ran, "w", "o", "k1"), seen(2, emulator.Ran, "w", "o", "k2")}, ""},
		"ran twice":            {[]emulator.Seen{seen(1, emulator.Ran, "w", "o", "k1"), seen(2, emulator.Ran, "w", "o", "k1")}, emulator.SingleEffectRule},
		"ran twice, unmarked":  {[]emulator.Seen{seen(1, emulator.Ran, "w", "o", ""), seen(2, emulator.Ran, "w", "o", "")}, emulator.SingleEffectRule},
		"drained":              {[]emulator.Seen{seen(0, emulator.Told, "", "c1", "leaving"), seen(349, emulator.Took, "", "c1", ""), seen(360, emulator.Took, "", "c2", "")}, ""},
		"sent to one draining": {[]emulator.Seen{seen(0, emulator.Told, "", "c1", "leaving"), seen(200, emulator.Told, "", "c1", "left"), seen(360, emulator.Took, "", "c1", "")}, emulator.DrainRule},
		"drained and back":     {[]emulator.Seen{seen(0, emulator.Told, "", "c1", "leaving"), seen(200, emulator.Told, "", "c1", "active"), seen(600, emulator.Took, "", "c1", "")}, ""},
		"cold":                 {many(12, 0), ""},
		"pushed over":          {append(many(0, 0), append([]emulator.Seen{seen(0, emulator.Told, "", "c9", "active")}, many(40, 0)[1:]...)...), emulator.SlowStartRule},
		"not told of it":       {many(40, 0), ""},
		"as chance has it":     {append(many(0, 0), append([]emulator.Seen{seen(0, emulator.Told, "", "c9", "active")}, many(21, 0)[1:]...)...), ""},
		"more than by chance":  {append(many(0, 0), append([]emulator.Seen{seen(0, emulator.Told, "", "c9", "active")}, many(22, 0)[1:]...)...), emulator.SlowStartRule},
		"warm":                 {many(200, 2001), ""},
		"closed, killed":       {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(9, emulator.Closed, "a", "", ""), seen(10, emulator.Ended, "", "", "killed")}, ""},
		"closed, told to end":  {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(9, emulator.Closed, "a", "", ""), seen(10, emulator.Ended, "", "", "stopped")}, emulator.FinalAnswerRule},
		"drained, stood still": {[]emulator.Seen{
			seen(0, emulator.Paused, "", "", "stands"), seen(9, emulator.Told, "", "c1", "leaving"), seen(900, emulator.Paused, "", "", "goes on"),
			seen(1100, emulator.Took, "", "c1", ""),
		}, ""},
		"drained, stood still before": {[]emulator.Seen{
			seen(0, emulator.Paused, "", "", "stands"), seen(9, emulator.Paused, "", "", "goes on"), seen(10, emulator.Told, "", "c1", "leaving"),
			seen(400, emulator.Took, "", "c1", ""),
		}, emulator.DrainRule},
		"missing soon after":    {[]emulator.Seen{seen(1, emulator.Ran, "w", "o", "k1"), seen(100, emulator.Asked, "a", "", ""), seen(109, emulator.Answered, "a", "none", "completed")}, ""},
		"missing long after":    {[]emulator.Seen{seen(1, emulator.Ran, "w", "o", "k1"), seen(9000, emulator.Asked, "a", "", ""), seen(9009, emulator.Answered, "a", "none", "completed")}, emulator.FreshAbsenceRule},
		"missing, always there": {[]emulator.Seen{seen(0, emulator.Asked, "a", "", ""), seen(9, emulator.Answered, "a", "none", "completed")}, emulator.FreshAbsenceRule},
		"crashed":               {[]emulator.Seen{seen(0, emulator.Ended, "", "", "crashed")}, emulator.CrashRule},
	} {
		found := emulator.CheckInvariants(d, requests, c.trace)
		if c.rule == "" && len(found) > 0 || c.rule != "" && (len(found) != 1 || found[0].Rule != c.rule) {
			t.Errorf("%s: %v, not %q", name, found, c.rule)
		}
	}
}

// A seed settles who asks what when and whom trouble hits, and another seed settles it otherwise.
func TestDraw(t *testing.T) {
	text := plain + "[[trouble]]\nkind = \"silent\"\nat_s = 0.5\nfor_s = 1.0\nnodes = 2\n"
	a, b, c := day(t, text).Draw(7), day(t, text).Draw(7), day(t, text).Draw(8)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a.Requests, c.Requests) {
		t.Error("a seed does not settle the day")
	}
	if n := len(a.Requests); n < 230 || n > 370 || len(a.Blows[0].Targets) != 2 {
		t.Errorf("%d requests, hits %v", n, a.Blows[0].Targets)
	}
	late := day(t, strings.Replace(plain, "rate = 150.0", "rate = 150.0, steps = [{ at_s = 1.0, times = 0.0 }]", 1)).Draw(7)
	for _, r := range late.Requests {
		if r.At >= time.Second {
			t.Error("asked when nobody asks")
		}
	}
}

// A proxy that stalls slows neither the load that is offered nor hides what waiting costs.
func TestStalledProxy(t *testing.T) {
	t.Parallel()
	var first atomic.Int64
	stall := liar(func(id string, n int, _ bool) (string, bool) {
		first.CompareAndSwap(0, time.Now().UnixNano())
		if since := time.Duration(time.Now().UnixNano() - first.Load()); since < 600*time.Millisecond {
			time.Sleep(600*time.Millisecond - since)
		}
		return good(id), true
	})
	r := play(t, strings.Replace(plain, "length_s = 2.0", "length_s = 1.5", 1), stall)
	waited := 0
	for _, q := range r.Results {
		if q.Request.At < 300*time.Millisecond && q.Latency > 250*time.Millisecond {
			waited++
		}
		if q.SendDelay > 300*time.Millisecond {
			t.Errorf("%s was sent %v late", q.Request.ID, q.SendDelay)
		}
	}
	if waited < 25 || len(r.Results) != len(r.Plan.Requests) {
		t.Errorf("%d waited, %d of %d asked", waited, len(r.Results), len(r.Plan.Requests))
	}
}

// A process that dies by itself fails the day, with its log kept; one that can't start ends it with an error.
func TestCrash(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	r, err := emulator.Play(context.Background(), day(t, strings.Replace(plain, "proxies = 2", "proxies = 1", 1)).Draw(1), emulator.Options{
		Dir: dir,
		Start: func(s emulator.ProxyConfig) (emulator.Proxy, error) {
			p, err := start(s)
			if err != nil {
				return nil, err
			}
			script, err := emulator.Program("/bin/sh", "-c", "echo it dies; sleep 0.5; exit 3")(s)
			if err == nil {
				go func() { // the two are one: it serves until its process has ended
					<-script.Done()
					p.Signal(syscall.SIGTERM)
				}()
			}
			return p, err
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if rules(r)[emulator.CrashRule] != 1 {
		t.Error(rules(r))
	}
	if text, err := os.ReadFile(filepath.Join(dir, "proxy0", "log")); err != nil || string(text) != "it dies\n" {
		t.Errorf("log %q: %v", text, err)
	}
	_, err = emulator.Play(context.Background(), day(t, plain).Draw(1), emulator.Options{Dir: t.TempDir(), Start: emulator.Program("/bin/false")})
	if err == nil || !strings.Contains(err.Error(), "ended at its start") {
		t.Error(err)
	}
}

// A day that is broken off leaves no process.
func TestCancel(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	var alive atomic.Int64
	dir := filepath.Join(t.TempDir(), "day")
	began := time.Now()
	time.AfterFunc(time.Second, cancel)
	_, err := emulator.Play(ctx, day(t, strings.Replace(plain, "length_s = 2.0", "length_s = 60.0", 1)).Draw(1), emulator.Options{
		Dir: dir,
		Start: func(s emulator.ProxyConfig) (emulator.Proxy, error) {
			p, err := start(s)
			if err == nil {
				alive.Add(1)
				go func() {
					<-p.Done()
					alive.Add(-1)
				}()
			}
			return p, err
		},
	})
	if !errors.Is(err, context.Canceled) || time.Since(began) > 8*time.Second {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	if _, err := os.Stat(dir); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("files are left: %v", err)
	}
	for range 100 {
		if alive.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d proxies left", alive.Load())
}

// A day that needs more descriptors than may be open is not begun.
func TestDescriptors(t *testing.T) {
	d := day(t, strings.Replace(plain, "rate = 150.0", "rate = 1.0, connections = 20000", 1))
	d.Proxies = 1 << 16
	dir := filepath.Join(t.TempDir(), "day")
	_, err := emulator.Play(context.Background(), d.Draw(1), emulator.Options{Dir: dir, Start: start})
	if err == nil || !strings.Contains(err.Error(), "load.connections") {
		t.Error(err)
	}
	if _, err := os.Stat(dir); err == nil {
		t.Error("something was begun")
	}
}

// Clients that hold connections ask on them in turn.
func TestConnections(t *testing.T) {
	t.Parallel()
	text := strings.NewReplacer("rate = 150.0", "rate = 100.0, connections = 40", "length_s = 2.0", "length_s = 1.0", "proxies = 2", "proxies = 1").Replace(plain)
	var conns, asked atomic.Int64
	r := play(t, text, liar(func(id string, n int, _ bool) (string, bool) {
		asked.Add(1)
		return good(id), true
	}, &conns))
	if conns.Load() < 40 || conns.Load() > 50 || len(r.Breaches) > 0 || asked.Load() < 60 {
		t.Errorf("%d connections, %d asked, %v", conns.Load(), asked.Load(), r.Breaches)
	}
}

// A bad day is one line that names the file, and the line or key; nothing is started.
func TestBadDays(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.toml")
	for change, want := range map[string]string{
		`name = "plain">`:                                   "name: missing",
		`length_s = 2.0>length_s = "long"`:                  "line 2: length_s",
		`length_s = 2.0>length_s = 0.0`:                     "length_s: 0: not from",
		`proxies = 2>proxies = 2` + "\n" + `proxy = 3`:      "line 4: proxy: unknown",
		`nodes = 3>nodes = 0`:                               "fleet.nodes: 0",
		`cores = 4>cores = 0`:                               "fleet.cores: 0",
		`cold_from = 0.4>cold_from = 1.5`:                   "fleet.cold_from: 1.5",
		`zipf = 1.1>zipf = nan`:                             "keys.zipf",
		`rate = 150.0>rate = -1.0`:                          "load.rate: -1",
		`rate = 150.0>steps = [{ at_s = 3.0 }], rate = 1.0`: "load.steps[0].at_s: 3",
		`share = 0.9>share = 0.8`:                           "route: shares",
		`objective_ms = 500.0>objective_ms = 5000.0`:        "route[0].objective_ms: 5000",
		`name = "put">name = "read"`:                        "route[1].name: missing or doubled",
		`write = true, >`:                                   "route[1].dedup_ms: a read",
		`name = "plain">name = `:                            "line 1",
		`]` + "\n>]\n" + `trouble = [{ kind = "flood" }]`:   `trouble[0].kind: "flood": unknown`,
		`]` + "\n" + `>]` + "\n" + `trouble = [{ kind = "silent", at_s = 1.0, for_s = 5.0, nodes = 1 }]`:              "trouble[0].for_s: 5",
		`]` + "\n" + `>]` + "\n" + `trouble = [{ kind = "silent", at_s = 1.0 }]`:                                      "trouble[0].nodes: 0",
		`]` + "\n" + `>]` + "\n" + `trouble = [{ kind = "kill", at_s = 1.0, nodes = 9 }]`:                             "trouble[0].nodes: 9",
		`]` + "\n" + `>]` + "\n" + `trouble = [{ kind = "bad-clients", at_s = 1.0, rate = 1.0, nodes = 1 }]`:          "trouble[0].nodes: bad-clients takes none",
		`]` + "\n" + `>]` + "\n" + `trouble = [{ kind = "deaf", at_s = 1.0, nodes = 3 }]`:                             "trouble[0].nodes: 3",
		`]` + "\n" + `>]` + "\n" + `trouble = [{ kind = "zone-cut", at_s = 1.0 }]`:                                    "trouble[0].zone: missing",
		`]` + "\n" + `>]` + "\n" + `trouble = [{ kind = "zone-cut", at_s = 1.0, zone = "x" }]`:                        "trouble[0].zone: \"x\": none of",
		`]` + "\n" + `>]` + "\n" + `trouble = [{ kind = "part", at_s = 1.0, nodes = 1 }]`:                             "trouble[0].kind: part: proxies do not talk",
		`]` + "\n" + `>]` + "\n" + `trouble = [{ kind = "link", at_s = 1.0, part = 1.0, from = ["n0"] }]`:             "trouble[0].from, to: missing",
		`]` + "\n" + `>]` + "\n" + `trouble = [{ kind = "link", at_s = 1.0, part = 1.0, from = ["n0"], to = ["x"] }]`: "trouble[0].from, to: \"x\"",
	} {
		from, to, _ := strings.Cut(change, ">")
		at := strings.LastIndex(plain, from)
		if at < 0 {
			t.Fatalf("%q is not in the day", from)
		}
		if strings.Count(plain, from) > 1 && from != "]\n" {
			at = strings.Index(plain, from)
		}
		text := plain[:at] + to + plain[at+len(from):]
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := emulator.ReadDay(file)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), file) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", change, err)
		}
	}
	if _, err := emulator.ReadDay(file + "x"); err == nil {
		t.Error("a day that is missing")
	}
}

// Two troubles that kill the same proxies and start them again leave one process of each, and the day ends.
func TestKilledTwice(t *testing.T) {
	t.Parallel()
	var runs [2]atomic.Int64
	once := func(s emulator.ProxyConfig) (emulator.Proxy, error) {
		p, err := start(s)
		if err != nil {
			return nil, err
		}
		n := &runs[s.Name[1]-'0']
		if n.Add(1) > 1 {
			t.Errorf("two processes of %s", s.Name)
		}
		done := make(chan error, 1)
		go func() {
			done <- <-p.Done()
			n.Add(-1)
			close(done)
		}()
		return inside{p.(inside).signals, done}, nil
	}
	kill := func(at string) string {
		return "[[trouble]]\nkind = \"mass-kill\"\nat_s = " + at + "\nfor_s = 0.5\nnodes = 2\nspread_s = 0.1\n"
	}
	r := play(t, strings.Replace(plain, "length_s = 2.0", "length_s = 14.0", 1)+kill("0.3")+kill("0.4"), once)
	if runs[0].Load()+runs[1].Load() > 0 || len(r.Results) == 0 {
		t.Errorf("%d and %d processes are left", runs[0].Load(), runs[1].Load())
	}
}
