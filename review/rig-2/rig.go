// Package main holds the stand-ins and the checks of the cases review/6 to review/10. Each case starts the proxy with the
// commands of the deploy file, on loopback addresses, and plays the clients, the cache nodes, the origin and discovery.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is one run of a case: its record, its processes and its temporary folder.
type rig struct {
	root    string
	dir     string
	trouble bool
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	proxies   int
}

func newRig(recordFile string, limit time.Duration) *rig {
	root, err := os.Getwd()
	if err != nil {
		fail(err)
	}
	dir, err := os.MkdirTemp("", "woodproxy-review-")
	if err != nil {
		fail(err)
	}
	record, err := os.Create(recordFile)
	if err != nil {
		fail(err)
	}
	r := &rig{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	time.AfterFunc(limit, func() {
		r.note("the case did not end within %v", limit)
		r.end(exitNotRun)
	})
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		r.note("stopped by %v", <-stopped)
		r.end(exitNotRun)
	}()
	r.note("disruption: %v", r.trouble)
	return r
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "review:", err)
	os.Exit(exitNotRun)
}

// note writes a line into the record, with the time since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
}

// must ends the case as not run on an error.
func (r *rig) must(err error) {
	if err != nil {
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "review: could not run:", err)
		r.end(exitNotRun)
	}
}

// end stops all processes, removes the temporary folder and exits.
func (r *rig) end(code int) {
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		_ = p.Process.Kill()
		_, _ = p.Process.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
	words := map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitNotRun: "the case could not run"}
	r.note("end: %s", words[code])
	fmt.Println(words[code])
	_ = r.record.Sync()
	os.Exit(code)
}

// deployLine returns a value of the deploy file, without its quotes.
func (r *rig) deployLine(key string) string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	r.must(err)
	found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		r.must(errors.New("the deploy file has no line " + key))
	}
	return string(found[1])
}

// freeAddress returns a loopback address with a port that is free now.
func (r *rig) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	defer l.Close()
	return l.Addr().String()
}

// proxy is a running proxy.
type proxy struct {
	rig     *rig
	name    string
	listen  string
	admin   string
	config  string
	tmp     string
	cmd     *exec.Cmd
	logFile string
	exited  chan struct{}

	settings, limits map[string]any
}

// startProxy writes the configuration and starts the proxy by the line run of the deploy file.
func (r *rig) startProxy(discovery string, settings map[string]any, limits map[string]any) *proxy {
	return r.startProxyKnowing(discovery, settings, limits, nil)
}

// startProxyKnowing is startProxy with the list that the proxy had last; nil: none.
func (r *rig) startProxyKnowing(discovery string, settings, limits, known map[string]any) *proxy {
	r.mu.Lock()
	number := r.proxies
	r.proxies++
	r.mu.Unlock()
	p := &proxy{rig: r, name: fmt.Sprintf("n%d", number), listen: r.freeAddress(), admin: r.freeAddress()}
	p.settings, p.limits = settings, limits
	folder := filepath.Join(r.dir, p.name)
	p.tmp = filepath.Join(folder, "tmp")
	r.must(os.MkdirAll(p.tmp, 0o700))
	p.config = filepath.Join(folder, "config.json")
	p.writeConfig(discovery, known)
	p.run(p.admin, "first")
	p.awaitReady()
	return p
}

// writeConfig replaces the configuration file.
func (p *proxy) writeConfig(discovery string, known map[string]any) {
	text, err := json.Marshal(map[string]any{
		"name": p.name, "listen": p.listen, "discovery": discovery, "seed": "8c1f30d27a5be964", "management": p.admin,
		"limits": p.limits, "known": known, "settings": p.settings,
	})
	p.rig.must(err)
	p.rig.must(os.WriteFile(p.config+".new", text, 0o600))
	p.rig.must(os.Rename(p.config+".new", p.config))
}

// run starts a process of the proxy.
func (p *proxy) run(admin, label string) {
	r := p.rig
	line := r.deployLine("run")
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir = r.root
	cmd.Env = append(os.Environ(), "GW_CONFIG="+p.config, "GW_NAME="+p.name, "GW_LISTEN="+p.listen, "GW_MANAGEMENT="+admin, "TMPDIR="+p.tmp)
	p.logFile = filepath.Join(r.dir, p.name, label+".log")
	log, err := os.Create(p.logFile)
	r.must(err)
	cmd.Stdout, cmd.Stderr = log, log
	r.must(cmd.Start())
	r.mu.Lock()
	r.processes = append(r.processes, cmd)
	r.mu.Unlock()
	p.cmd = cmd
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		state, _ := cmd.Process.Wait()
		r.note("process %s of proxy %s ended: %v", label, p.name, state)
		close(exited)
	}()
	r.note("proxy %s: process %s started by: %s", p.name, label, line)
}

func (p *proxy) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", p.listen, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		line, _ := bufio.NewReader(conn).ReadString('\n')
		_ = conn.Close()
		if line == "+PONG\r\n" {
			p.rig.note("proxy %s answers PONG", p.name)
			return
		}
	}
	p.rig.must(errors.New("the proxy is not ready within 20 s"))
}

func (p *proxy) signal(s syscall.Signal) {
	p.rig.note("proxy %s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// running reports whether the latest process of the proxy runs.
func (p *proxy) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// settings are those of a small deployment: three routes, four zones, reads that may have a second copy.
func settings() map[string]any {
	return map[string]any{
		"replicas-of-me": 1, "me": 0, "tick": 5, "membership-mode": "push", "shapes": []string{"std-2c", "origin"},
		"zones": []string{"saint-louis", "dakar"}, "locality": "saint-louis",
		"limits": map[string]any{
			"max-upstream-tries": 5, "may-cancel": true, "conn-idle": 15000, "connect-timeout": 250, "multiplex": 32,
			"retry-after": true, "max-retry-after": 2000, "parallel-tries": true, "probes": false,
		},
		"rules": map[string]any{
			"cold": 8900, "cold-from": 0.33, "fall": 3000, "fall-multiple": 3, "stop-sending-within": 300, "answer-slack": 20,
		},
		"family": "cache", "family-info": map[string]any{"mode": "aside", "origin-kind": 1},
		"routes": []any{
			map[string]any{"name": "lookup", "latency-objective": 750, "overall-timeout": 1500, "value": 5, "effect": "pure", "overdue-value": 0},
			map[string]any{"name": "hold", "latency-objective": 1200, "overall-timeout": 3000, "value": 8, "effect": "token", "group": "all", "dedup-window": 6000, "overdue-value": 0},
			map[string]any{"name": "confirm", "latency-objective": 1000, "overall-timeout": 4000, "value": 10, "effect": "token", "group": "all", "dedup-window": 20000, "overdue-value": 0},
		},
		"tenants": []any{map[string]any{"name": "base-dakar", "share": 1.0, "allowance-per-s": 1000.0}},
	}
}

// discovery is the agent of discovery on the proxy's machine.
type discovery struct {
	rig     *rig
	address string
	delay   time.Duration // until a call is answered

	mu        sync.Mutex
	index     int
	endpoints map[string]map[string]any
	order     []string
	history   []change
	changed   chan struct{}
}

type change struct {
	index int
	name  string
}

func (r *rig) newDiscovery() *discovery {
	d := &discovery{rig: r, index: 40, endpoints: map[string]map[string]any{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	d.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d
}

// set adds or changes an entry of the list, and tells all watches.
func (d *discovery) set(name, address, kind, zone, status string, sinceMS int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	if _, known := d.endpoints[name]; !known {
		d.order = append(d.order, name)
	}
	d.endpoints[name] = map[string]any{
		"name": name, "address": address, "zone": zone, "type": kind, "group": 3, "status": status, "weight": 1.0, "since_ms": sinceMS,
	}
	d.history = append(d.history, change{d.index, name})
	close(d.changed)
	d.changed = make(chan struct{})
	d.rig.note("discovery: index %d, %s at %s is %s", d.index, name, address, status)
}

// list returns the whole list as the proxy may have it from before.
func (d *discovery) list() map[string]any {
	text, _, _ := d.message(0)
	var list map[string]any
	d.rig.must(json.Unmarshal(text, &list))
	return list
}

func (d *discovery) message(since int) (text []byte, index int, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []any
	snapshot := since <= 0
	if snapshot {
		for _, name := range d.order {
			if d.endpoints[name]["status"] != "left" {
				list = append(list, d.endpoints[name])
			}
		}
	} else {
		seen := map[string]bool{}
		for _, c := range d.history {
			if c.index > since && !seen[c.name] {
				seen[c.name] = true
				list = append(list, d.endpoints[c.name])
			}
		}
	}
	if len(list) == 0 && !snapshot {
		return nil, d.index, d.changed
	}
	text, _ = json.Marshal(map[string]any{"index": d.index, "snapshot": snapshot, "endpoints": list})
	return append(text, '\n'), d.index, d.changed
}

func (d *discovery) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if line == "\r\n" {
			break
		}
	}
	time.Sleep(d.delay)
	since := 0
	if found := regexp.MustCompile(`since=(\d+)`).FindStringSubmatch(request); found != nil {
		since, _ = strconv.Atoi(found[1])
	}
	if !strings.Contains(request, "follow=1") {
		text, _, _ := d.message(0)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	for {
		text, index, changed := d.message(since)
		if text == nil && since == 0 {
			text = []byte("\n")
		}
		if text != nil {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
		}
		since = index
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			if _, err := io.WriteString(conn, "1\r\n\n\r\n"); err != nil {
				return
			}
		}
	}
}

// command is a command that a cache node has read.
type command struct {
	name, key, id, facts string
	value                []byte
}

// readCommand reads an array of bulk strings.
func readCommand(reader *bufio.Reader) (c command, err error) {
	count, err := readNumber(reader, '*')
	if err != nil {
		return c, err
	}
	var words [][]byte
	for range count {
		length, err := readNumber(reader, '$')
		if err != nil {
			return c, err
		}
		word := make([]byte, length+2)
		if _, err := io.ReadFull(reader, word); err != nil {
			return c, err
		}
		words = append(words, word[:length])
	}
	for len(words) < 5 {
		words = append(words, nil)
	}
	return command{string(words[0]), string(words[1]), string(words[2]), string(words[3]), words[4]}, nil
}

func readNumber(reader *bufio.Reader, kind byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != kind || !strings.HasSuffix(line, "\r\n") {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(line[1 : len(line)-2])
}

// newCache starts a cache node. answer writes the answer to a command; an error ends the connection.
func (r *rig) newCache(name string, answer func(conn net.Conn, c command) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					c, err := readCommand(reader)
					if err != nil {
						return
					}
					r.note("cache %s got %s %s id %s %s (%d bytes)", name, c.name, c.key, c.id, c.facts, len(c.value))
					if answer(conn, c) != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// hit is the answer of a cache node that has the value.
func hit(value []byte) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

// miss is the answer of a cache node that lacks the key.
var miss = []byte("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")

// fetch is a request that the origin has read.
type fetch struct {
	method, key, id, facts string
	value                  []byte
}

// newOrigin starts the origin. answer writes the answer to a request; an error ends the connection.
func (r *rig) newOrigin(answer func(conn net.Conn, f fetch) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					f, err := readFetch(reader)
					if err != nil {
						return
					}
					r.note("origin got %s %s id %s %s (%d bytes)", f.method, f.key, f.id, f.facts, len(f.value))
					if answer(conn, f) != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func readFetch(reader *bufio.Reader) (f fetch, err error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return f, err
	}
	words := strings.Fields(line)
	if len(words) != 3 {
		return f, fmt.Errorf("unexpected line %q", line)
	}
	f.method, f.key = words[0], strings.TrimPrefix(words[1], "/")
	length := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return f, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "x-correlation-id":
			f.id = value
		case "x-facts":
			f.facts = value
		case "content-length":
			length, _ = strconv.Atoi(value)
		}
	}
	f.value = make([]byte, length)
	_, err = io.ReadFull(reader, f.value)
	return f, err
}

// originValue is the answer of the origin with a value or a receipt.
func originValue(value []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(value), value)
}

// originBusy is the answer of an origin that turns a request away.
var originBusy = []byte("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")

// encode returns a command as an array of bulk strings.
func encode(words ...string) []byte {
	text := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		text = fmt.Appendf(text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text
}

// answer is an answer as a client has read it.
type answer struct {
	kind  string // value, busy, failed, closed
	value []byte
	text  string
	at    time.Time
}

// readAnswer reads one whole answer up to its last byte. Bytes that are no answer are reported as kind unreadable.
func readAnswer(reader *bufio.Reader) answer {
	line, err := reader.ReadString('\n')
	if err != nil {
		return answer{kind: "closed", text: fmt.Sprintf("%q then %v", line, err), at: time.Now()}
	}
	if !strings.HasSuffix(line, "\r\n") || len(line) < 3 {
		return answer{kind: "unreadable", text: strconv.Quote(line), at: time.Now()}
	}
	body := line[:len(line)-2]
	switch {
	case strings.HasPrefix(body, "-BUSY"):
		return answer{kind: "busy", text: body, at: time.Now()}
	case line[0] == '-' || body == "$-1":
		return answer{kind: "failed", text: body, at: time.Now()}
	case line[0] != '$':
		return answer{kind: "unreadable", text: strconv.Quote(line), at: time.Now()}
	}
	length, err := strconv.Atoi(body[1:])
	if err != nil {
		return answer{kind: "unreadable", text: strconv.Quote(line), at: time.Now()}
	}
	value := make([]byte, length+2)
	n, err := io.ReadFull(reader, value)
	if err != nil {
		return answer{kind: "closed", text: fmt.Sprintf("%q, %d of %d bytes, then %v", line, n, length+2, err), at: time.Now()}
	}
	if string(value[length:]) != "\r\n" {
		return answer{kind: "unreadable", text: fmt.Sprintf("%q, and behind the value %q", line, value[length:]), at: time.Now()}
	}
	return answer{kind: "value", value: value[:length], text: body, at: time.Now()}
}

func dial(address string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, nil, err
	}
	return conn, bufio.NewReader(conn), nil
}
