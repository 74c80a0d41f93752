package emulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"woodproxy/internal/faultbuild"
)

const (
	// readyTimeout is the maximum time from the start of a proxy until it replies to clients.
	readyTimeout = 10 * time.Second
	// readinessInterval is the interval at which readiness is polled.
	readinessInterval = 10 * time.Millisecond
	// A draining proxy is killed after the longest overall timeout, limited to maxDrainTimeout, plus drainSlack. This is the
	// earliest time that the operators' documentation permits.
	maxDrainTimeout = 3 * time.Second
	drainSlack      = 700 * time.Millisecond
)

// incarnation is one process of a proxy. The reason for its end is stored per process: stored per proxy, it would be
// overwritten by the next process, and a process that was ended on purpose could be reported as crashed.
type incarnation struct {
	Proxy
	endNote string        // reason for the end, "" for a crash; guarded by managedProxy.mu
	exited  chan struct{} // closed once the process has ended
	ended   chan struct{} // closed once the end has been processed and another process may be started

	startedAt time.Time
	ready     bool // it has replied to a ping; guarded by managedProxy.mu
}

// newIncarnation returns the record of a process that was just started.
func newIncarnation(process Proxy) *incarnation {
	return &incarnation{Proxy: process, exited: make(chan struct{}), ended: make(chan struct{}), startedAt: time.Now()}
}

// minReloadAge is the time after the start of a process before which it is not told to reload its configuration. A process
// that has not yet set up the handling of signals is ended by them; the operators' documentation sends none so early.
const minReloadAge = time.Second

// reloadable returns the current process of a proxy if it may be told to reload its configuration, otherwise nil.
func (m *managedProxy) reloadable() *incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	process := m.current
	if process == nil || !m.running || !process.ready || time.Since(process.startedAt) < minReloadAge {
		return nil
	}
	return process
}

// markReady records that a process has replied to a ping.
func (m *managedProxy) markReady(process *incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	process.ready = true
}

// startProxy starts a proxy and waits until it serves. It does nothing if a process of the proxy is already running: two
// faults may kill and restart the same proxy, and with two processes the first would never be ended.
func (r *runner) startProxy(ctx context.Context, i int) error {
	m := r.proxies[i]
	m.mu.Lock()
	alreadyRunning := m.running
	m.running = true
	config := m.config
	m.mu.Unlock()
	if alreadyRunning {
		return nil
	}
	m.starting.Lock()
	defer m.starting.Unlock()
	r.discoveries[i].recordKnownAtStart()
	process, err := r.options.Start(config)
	if err != nil {
		return err
	}
	if r.relays != nil {
		if err := r.relays[i].listen(); err != nil {
			return err
		}
	}
	started := newIncarnation(process)
	m.mu.Lock()
	m.current = started
	m.mu.Unlock()
	r.processWatchers.Go(func() { r.watchProcess(i, started) })
	r.processWatchers.Go(func() { r.watchLimits(i, started) })
	if err := r.awaitReady(ctx, i, started); err != nil {
		return err
	}
	m.markReady(started)
	r.processWatchers.Go(func() { r.watchForHang(i, started) })
	return nil
}

// watchProcess waits until a process has ended and records its end.
func (r *runner) watchProcess(i int, process *incarnation) {
	m := r.proxies[i]
	<-process.Done() //nolint:errcheck // endNote already contains the reason for the end
	close(process.exited)
	m.mu.Lock()
	replaced := process.endNote == endReplaced
	m.mu.Unlock()
	if !replaced {
		r.load.available[i].Store(false)
	}
	if r.relays != nil && !r.network.isCutOff(proxyName(i)) { // over a severed link, peers can't observe refused connections
		r.relays[i].refuse()
	}
	if p, ok := process.Proxy.(interface{ CPU() time.Duration }); ok {
		r.proxyCPU.Add(int64(p.CPU()))
	}
	m.mu.Lock()
	note := process.endNote
	m.running = m.running && replaced
	m.mu.Unlock()
	close(process.ended)
	if note == "" {
		note = endCrashed
	}
	r.log.Record(Event{Kind: ProcessEnded, Proxy: i, Note: note})
}

// awaitReady waits until a process replies to a ping and then marks the proxy as available to clients. It returns a
// StartError if the process ends or does not reply within readyTimeout.
func (r *runner) awaitReady(ctx context.Context, i int, process *incarnation) error {
	config := r.proxies[i].config
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if repliesToPing(config.Listen) {
			r.load.available[i].Store(true)
			return nil
		}
		select {
		case <-process.exited:
			return &StartError{CrashRule, fmt.Sprintf("proxy %d ended at its start; its log is in %s", i, config.Dir)}
		default:
		}
		if !sleep(ctx, readinessInterval) {
			return ctx.Err()
		}
	}
	r.log.Record(Event{Kind: ProcessNotReady, Proxy: i})
	return &StartError{ReadyRule, fmt.Sprintf("proxy %d does not serve", i)}
}

// StartError reports that a proxy did not start, with the invariant that this violates.
type StartError struct {
	Rule Rule
	Text string
}

// Error returns the description of the failure.
func (e *StartError) Error() string { return e.Text }

// repliesToPing reports whether a proxy replies to a ping at an address.
func repliesToPing(address string) bool { return ping(address) == nil }

// ping sends PING to the proxy at an address. It returns an error unless the reply is PONG.
func ping(address string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the reply has been read
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return err
	}
	if _, err := conn.Write(encodeCommand("PING")); err != nil {
		return err
	}
	reply := make([]byte, len("+PONG"))
	if _, err := conn.Read(reply); err != nil {
		return err
	}
	if string(reply) != "+PONG" {
		return errNoPong
	}
	return nil
}

var errNoPong = errors.New("reply to PING is not PONG")

// endProxy ends the process of a proxy with a signal, or kills it if the signal is nil, and waits until it has ended. A
// process that does not end within killDelay after the signal is killed. The note is stored as the reason for the end,
// unless the process has one already and the signal is not nil.
func (r *runner) endProxy(i int, signal os.Signal, note string) {
	m := r.proxies[i]
	m.mu.Lock()
	process := m.current
	if process != nil && (process.endNote == "" || signal == nil) { // a kill overrides an earlier signal
		process.endNote = note
	}
	m.mu.Unlock()
	if process == nil {
		return
	}
	if signal == nil {
		r.load.available[i].Store(false) // the load generator stops using the proxy immediately
		process.Kill()
	} else {
		r.load.draining[i].Store(true)
		defer r.load.draining[i].Store(false)
		process.Signal(signal)
		time.AfterFunc(newConnsAfterSignal, func() { r.stopNewConns(i, process) })
	}
	select {
	case <-process.exited:
	case <-time.After(r.plan.Scenario.killDelay()):
		process.Kill()
		<-process.exited
	}
	<-process.ended
}

// killDelay returns the time that a proxy has to end after a signal before it is killed.
func (d *Scenario) killDelay() time.Duration {
	longest := 0.0
	for _, route := range d.Routes {
		longest = max(longest, route.TimeoutMS)
	}
	return min(millis(longest), maxDrainTimeout) + drainSlack
}

// newConnsAfterSignal is the time for which clients still open new connections to a proxy after it received the signal to
// end.
const newConnsAfterSignal = 300 * time.Millisecond

// stopNewConns marks a proxy as unavailable to clients, unless another process has replaced the given one.
func (r *runner) stopNewConns(i int, process *incarnation) {
	m := r.proxies[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == process {
		r.load.available[i].Store(false)
	}
}

// StartProgram returns a StartFunc that runs a program with arguments as a process and appends its output to the file "log"
// in the directory of the proxy.
func StartProgram(words ...string) StartFunc {
	return func(s ProxyConfig) (Proxy, error) {
		log, err := os.OpenFile(filepath.Join(s.Dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		command := exec.Command(words[0], words[1:]...)
		command.Env = append(os.Environ(), s.environment()...)
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			_ = log.Close() // nothing was written
			return nil, err
		}
		done := make(chan error, 1)
		go func() { // ends with the process
			err := command.Wait()
			_ = log.Close() // the process wrote through its own descriptor
			done <- err
			close(done)
		}()
		return osProcess{command, done}, nil
	}
}

// environment returns the environment variables that configure a proxy.
func (s ProxyConfig) environment() []string {
	env := []string{
		"GW_CONFIG=" + s.ConfigFile, "GW_NAME=" + s.Name, "GW_LISTEN=" + s.Listen, "GW_DISCOVERY=" + s.Discovery,
		"TMPDIR=" + filepath.Join(s.Dir, "tmp"),
	}
	if s.FaultPage != "" {
		env = append(env, faultbuild.EnvironmentVariable+"="+s.FaultPage)
	}
	for _, optional := range []struct{ name, file string }{
		{"GW_MANAGEMENT", s.AdminAddress},
		{"GW_PEERS", s.GossipFile},
		{"GW_STATE", s.StateDir},
		{"GW_MISSING", s.NegativeCacheFile},
		{"GW_MOVES", s.RebalanceFile},
		{"GW_TURNS", s.DutiesFile},
		{"GW_ZONES", s.ZoneHealthFile},
	} {
		if optional.file != "" {
			env = append(env, optional.name+"="+optional.file)
		}
	}
	return env
}

// osProcess is a proxy that runs as a process of its own.
type osProcess struct {
	command *exec.Cmd
	done    chan error
}

// Signal sends a signal. It does nothing if the process has ended.
func (p osProcess) Signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// Kill kills the process. It does nothing if the process has ended.
func (p osProcess) Kill() { _ = p.command.Process.Kill() }

// Done returns a channel that receives the result of the process and is closed once the process has ended.
func (p osProcess) Done() <-chan error { return p.done }

// PID returns the ID of the process.
func (p osProcess) PID() int { return p.command.Process.Pid }

// CPU returns the processor time that the process has used, or 0 if it has not ended.
func (p osProcess) CPU() time.Duration {
	if s := p.command.ProcessState; s != nil {
		return s.UserTime() + s.SystemTime()
	}
	return 0
}
