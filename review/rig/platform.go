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
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errCannotRun marks errors after which a case has no verdict.
var errCannotRun = errors.New("the case could not run")

// rig is one run of a case: the record, a temporary directory and the processes that were started.
type rig struct {
	root    string // repository
	temp    string // temporary directory of the run
	trouble bool   // false: the run without the disruption
	began   time.Time
	random  *lockedRandom

	mu        sync.Mutex
	record    *bufio.Writer
	broken    []string // the breaks of the rule
	processes []*os.Process
	nextID    atomic.Int64
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violate records a break of the rule.
func (r *rig) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// limits are the limits of a proxy process.
type limits struct{ memoryMB, sockets int }

// route is a route of the settings; times are in milliseconds.
type route struct {
	name               string
	objective, overall int
	value              float64
	effect             string
	window             int
}

// canalRoutes are those of the brief of the Association Fleuve et Canaux du Sénégal.
var canalRoutes = []route{
	{"lookup", 750, 1500, 5, "pure", 0},
	{"hold", 1200, 3000, 8, "token", 6000},
	{"confirm", 1000, 4000, 10, "token", 20000},
}

// settings returns the settings object that a proxy gets, with the figures of that brief.
func settings(proxies int, routes []route) map[string]any {
	var listed []any
	for _, r := range routes {
		listed = append(listed, map[string]any{
			"name": r.name, "latency-objective": r.objective, "overall-timeout": r.overall, "value": r.value, "overdue-value": 0.0,
			"effect": r.effect, "group": "all", "dedup-window": r.window, "stream": false,
		})
	}
	return map[string]any{
		"replicas-of-me": proxies, "me": 0, "membership-mode": "push", "family": "cache", "tick": 5.0, "weights": "rough",
		"family-info": map[string]any{"mode": "aside", "origin-kind": 2},
		"shapes":      []string{"std-2c", "slow-2c", "origin"},
		"locality":    "dakar", "zones": []string{"saint-louis", "dakar", "richard-toll", "podor"},
		"limits": map[string]any{
			"may-cancel": true, "may-tell": false, "parallel-tries": true, "probes": true, "retry-after": true, "max-retry-after": 2000,
			"max-upstream-tries": 5, "connect-timeout": 250, "conn-idle": 15000, "multiplex": 32, "max-open": 20000,
			"cpu-us-per-s": 800000, "cpu-us-per-request": 0,
		},
		"rules": map[string]any{
			"answer-slack": 20, "ask-every": 10000, "stop-sending-within": 300, "cold": 8900, "cold-from": 0.33,
			"fall": 3000, "fall-multiple": 3.0,
		},
		"routes": listed, "tenants": []any{map[string]any{"name": "base-dakar", "share": 1.0, "allowance-per-s": 1000}},
		"beyond-share-value": 0.05, "goal": map[string]any{"whole": 0.7}, "fees": map[string]any{},
	}
}

// proxyProcess is one proxy, started by the line run of deploy/balancer.toml.
type proxyProcess struct {
	rig                        *rig
	name                       string
	listen, manage, configFile string
	config                     map[string]any
	temp                       string
	command                    *exec.Cmd
	done                       chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startProxy starts a proxy for the given discovery address and known list.
func (r *rig) startProxy(name, discovery string, known any, l limits, s map[string]any) (*proxyProcess, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	manage, err := freeAddress()
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(r.temp, name)
	p := &proxyProcess{rig: r, name: name, listen: listen, manage: manage, configFile: filepath.Join(dir, "config.json"), temp: filepath.Join(dir, "tmp")}
	if err := os.MkdirAll(p.temp, 0o700); err != nil {
		return nil, err
	}
	p.config = map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "management": manage, "seed": "8c1f30d27a5be964", "known": known,
		"limits": map[string]any{"cores": 1.0, "memory_mb": l.memoryMB, "sockets": l.sockets}, "settings": s,
	}
	if err := p.writeConfig(); err != nil {
		return nil, err
	}
	return p, p.start()
}

// writeConfig replaces the configuration file.
func (p *proxyProcess) writeConfig() error {
	text, err := json.Marshal(p.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configFile+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.configFile+".new", p.configFile)
}

// start starts the process.
func (p *proxyProcess) start() error {
	deploy, err := os.ReadFile(filepath.Join(p.rig.root, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return fmt.Errorf("%w: no line run in deploy/balancer.toml", errCannotRun)
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	p.command = exec.Command("/bin/sh", "-c", string(run[1]))
	p.command.Dir, p.command.Stdout, p.command.Stderr = p.rig.root, log, log
	p.command.Env = append(os.Environ(), "GW_NAME="+p.name, "GW_LISTEN="+p.listen, "GW_DISCOVERY="+p.config["discovery"].(string),
		"GW_MANAGEMENT="+p.manage, "GW_CONFIG="+p.configFile, "TMPDIR="+p.temp)
	p.rig.mu.Lock()
	err = p.command.Start()
	if err == nil {
		p.rig.processes = append(p.rig.processes, p.command.Process)
	}
	p.rig.mu.Unlock()
	if err != nil {
		return err
	}
	p.rig.note("proxy %s: started, process %d, %q", p.name, p.command.Process.Pid, run[1])
	p.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		err := command.Wait()
		p.rig.note("proxy %s: process %d ended: %v", p.name, command.Process.Pid, err)
		close(done)
	}(p.command, p.done)
	return nil
}

func (p *proxyProcess) logFile() string { return filepath.Join(filepath.Dir(p.configFile), "log") }

// awaitReady waits until the proxy answers PING with +PONG.
func (p *proxyProcess) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.ping() == "+PONG" {
			p.rig.note("proxy %s: +PONG", p.name)
			return nil
		}
	}
	return fmt.Errorf("%w: proxy %s is not ready", errCannotRun, p.name)
}

// ping returns the answer to PING on a new connection, or an empty text.
func (p *proxyProcess) ping() string {
	conn, err := net.DialTimeout("tcp", p.listen, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return ""
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// signal sends a signal to the process.
func (p *proxyProcess) signal(s syscall.Signal) {
	p.rig.note("proxy %s: %v to process %d", p.name, s, p.command.Process.Pid)
	_ = p.command.Process.Signal(s) // fails only if the process has ended
}

// ended reports whether the process has ended.
func (p *proxyProcess) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop ends the process and copies the warnings of its log into the record.
func (p *proxyProcess) stop() {
	if !p.ended() {
		p.signal(syscall.SIGTERM)
		select {
		case <-p.done:
		case <-time.After(5 * time.Second):
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	log, _ := os.ReadFile(p.logFile())
	lines := 0
	for line := range strings.Lines(string(log)) {
		if lines < 40 && !strings.Contains(line, "request trace") {
			p.rig.note("log of %s: %s", p.name, strings.TrimSpace(line))
			lines++
		}
	}
}

// memoryMB returns the resident memory of the process in MiB, or 0.
func (p *proxyProcess) memoryMB() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.Atoi(fields[1])
			return float64(kib) / 1024
		}
	}
	return 0
}
