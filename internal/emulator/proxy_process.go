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
	// readyTimeout is how long a proxy may take from its start until it answers clients.
	readyTimeout      = 10 * time.Second
	readinessInterval = 10 * time.Millisecond
	// A proxy that was told to end is killed once the longest overall timeout, maxDrainTimeout at most, and drainSlack are
	// over: the earliest that the operators' page allows.
	maxDrainTimeout = 3 * time.Second
	drainSlack      = 700 * time.Millisecond
)

// incarnation is one process of a proxy. The note on its end is its own, or one that was told to end could pass for crashed once
// the next has begun.
type incarnation struct {
	Proxy
	endNote string        // "": it crashed; guarded by the managed proxy's mu
	exited  chan struct{} // closed once the process has ended
	ended   chan struct{} // closed once its end is recorded, and another may be started
}

// startProxy starts a proxy and waits until it serves. Where a process of it runs already it does nothing: two faults may kill one
// proxy and each start it again, and the first process would never be told to end.
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
	started := &incarnation{Proxy: process, exited: make(chan struct{}), ended: make(chan struct{})}
	m.mu.Lock()
	m.current = started
	m.mu.Unlock()
	r.processWatchers.Go(func() { r.watchProcess(i, started) })
	r.processWatchers.Go(func() { r.watchLimits(i, started) })
	if err := r.awaitReady(ctx, i, started); err != nil {
		return err
	}
	r.processWatchers.Go(func() { r.watchForHang(i, started) })
	return nil
}

// watchProcess waits for a process's end and records it.
func (r *runner) watchProcess(i int, process *incarnation) {
	m := r.proxies[i]
	<-process.Done() //nolint:errcheck // the exit status tells nothing that endNote does not
	close(process.exited)
	m.mu.Lock()
	replaced := process.endNote == endReplaced
	m.mu.Unlock()
	if !replaced {
		r.load.available[i].Store(false)
	}
	if r.relays != nil && !r.network.isCutOff(proxyName(i)) { // over a severed link nobody learns of a refusal
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

// awaitReady waits until a process answers clients, and lets them be sent to it.
func (r *runner) awaitReady(ctx context.Context, i int, process *incarnation) error {
	config := r.proxies[i].config
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if answersPing(config.Listen) {
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

// StartError reports a proxy that does not come up, with the rule that this breaks.
type StartError struct {
	Rule Rule
	Text string
}

func (e *StartError) Error() string { return e.Text }

// answersPing reports whether a proxy answers a ping at an address.
func answersPing(address string) bool { return ping(address) == nil }

// ping asks a proxy at an address whether it answers.
func ping(address string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the answer has been read
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return err
	}
	if _, err := conn.Write(encodeCommand("PING")); err != nil {
		return err
	}
	answer := make([]byte, len("+PONG"))
	if _, err := conn.Read(answer); err != nil {
		return err
	}
	if string(answer) != "+PONG" {
		return errNoPong
	}
	return nil
}

var errNoPong = errors.New("a ping is not answered with a pong")

// endProxy ends a proxy's process by a signal, or kills it where the signal is nil, and waits for its end. A note that is set is
// kept.
func (r *runner) endProxy(i int, signal os.Signal, note string) {
	m := r.proxies[i]
	m.mu.Lock()
	process := m.current
	if process != nil && (process.endNote == "" || signal == nil) { // a kill ends what a signal has begun
		process.endNote = note
	}
	m.mu.Unlock()
	if process == nil {
		return
	}
	if signal == nil {
		r.load.available[i].Store(false) // the clients' balancer learns of it at once
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

// killDelay is how long a proxy may take to end before it is killed.
func (d *Scenario) killDelay() time.Duration {
	longest := 0.0
	for _, route := range d.Routes {
		longest = max(longest, route.TimeoutMS)
	}
	return min(millis(longest), maxDrainTimeout) + drainSlack
}

// newConnsAfterSignal is for how long new connections go on coming to a proxy that was told to end.
const newConnsAfterSignal = 300 * time.Millisecond

// stopNewConns has no new connections made to a proxy, unless another process serves there by now.
func (r *runner) stopNewConns(i int, process *incarnation) {
	m := r.proxies[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == process {
		r.load.available[i].Store(false)
	}
}

// StartProgram returns a Start that runs a program with its arguments for each proxy and appends its output to the file "log" in the
// proxy's directory.
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
			_ = log.Close() // nothing was written to it
			return nil, err
		}
		done := make(chan error, 1)
		go func() { // it ends with the process
			err := command.Wait()
			_ = log.Close() // the process wrote to it, by a descriptor of its own
			done <- err
			close(done)
		}()
		return osProcess{command, done}, nil
	}
}

// environment returns the environment variables by which a proxy finds its configuration.
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

// Signal sends a signal; a process that has ended misses it.
func (p osProcess) Signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// Kill kills the process, unless it has ended.
func (p osProcess) Kill() { _ = p.command.Process.Kill() }

// Done returns a channel that is sent to, and then closed, once the process has ended.
func (p osProcess) Done() <-chan error { return p.done }

// PID returns the number of the process.
func (p osProcess) PID() int { return p.command.Process.Pid }

// CPU returns the processor time of the process once it has ended, 0 before.
func (p osProcess) CPU() time.Duration {
	if s := p.command.ProcessState; s != nil {
		return s.UserTime() + s.SystemTime()
	}
	return 0
}
