package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// signalSpacing lies between the signals of a row, so that the system joins none.
const signalSpacing = 20 * time.Millisecond

// injectReloads has proxies read their configuration: half of it, and then with discovery at another address, by several
// signals in a row. The agent at the old address takes no further watch and closes the open ones a little later.
func (r *runner) injectReloads(ctx context.Context, fault activeFault) {
	var reloads sync.WaitGroup
	for _, i := range fault.Targets {
		reloads.Go(func() { r.reloadProxy(ctx, i) })
	}
	reloads.Wait()
}

func (r *runner) reloadProxy(ctx context.Context, i int) {
	m, d := r.proxies[i], r.discoveries[i]
	server, address, err := d.Listen("127.0.0.1")
	if err != nil {
		return
	}
	m.mu.Lock()
	m.config.Discovery = address
	text, err := json.Marshal(r.configFileContent(i, m.config))
	m.mu.Unlock()
	if err != nil {
		return
	}
	for _, content := range [][]byte{text[:len(text)/2], text, text} {
		if replaceFile(m.config.ConfigFile, content) != nil {
			return
		}
		r.currentProcess(i).Signal(syscall.SIGHUP)
		if !sleep(ctx, signalSpacing) {
			return
		}
	}
	r.closeOldServers(ctx, d, server)
}

// closeOldServers closes an agent's servers but for one, after a grace.
func (r *runner) closeOldServers(ctx context.Context, d *Discovery, current *http.Server) {
	sleep(ctx, reloadGrace)
	d.mu.Lock()
	old := d.servers
	d.servers = []*http.Server{current}
	d.mu.Unlock()
	for _, server := range old {
		if server != current {
			_ = server.Close() // its watches end with it
		}
	}
}

// replaceFile replaces a file at once: a process that reads it gets the old content or the new.
func replaceFile(path string, content []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// injectHotRestarts replaces proxy processes by successors that inherit their listeners, one after the other.
func (r *runner) injectHotRestarts(ctx context.Context, fault activeFault) {
	for _, i := range fault.Targets {
		if ctx.Err() != nil || !r.hotRestart(ctx, i) {
			return
		}
	}
}

// hotRestart starts a successor beside a running process, and ends that one once the successor is ready. It returns false
// if the successor does not become ready.
func (r *runner) hotRestart(ctx context.Context, i int) bool {
	m := r.proxies[i]
	m.mu.Lock()
	old, running := m.current, m.running
	m.mu.Unlock()
	if !running || m.config.AdminAddress == "" {
		return true
	}
	config := m.config
	address, err := r.reservePort(r.options.IP)
	if err != nil {
		return false
	}
	config.AdminAddress = address
	r.discoveries[i].recordKnownAtStart()
	process, err := r.options.Start(config)
	if err != nil {
		return false
	}
	successor := &incarnation{Proxy: process, exited: make(chan struct{}), ended: make(chan struct{})}
	if !r.awaitAdminReady(ctx, address, readyTimeout) {
		if ctx.Err() == nil {
			r.log.Record(Event{Kind: ProcessNotReady, Proxy: i})
		}
		process.Kill()
		<-process.Done() //nolint:errcheck // it was killed
		return false
	}
	if !m.succeed(old, successor, address) {
		process.Kill()
		<-process.Done() //nolint:errcheck // it was killed
		return true
	}
	r.processWatchers.Go(func() { r.watchProcess(i, successor) })
	old.Signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(r.plan.Scenario.killDelay()):
		old.Kill()
	}
	return true
}

// succeed makes a successor the proxy's process, unless the one that it was to replace has ended, been told to
// end or been replaced meanwhile: another may be starting then.
func (m *managedProxy) succeed(old, successor *incarnation, address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-old.exited:
		return false
	default:
	}
	if m.current != old || old.endNote != "" {
		return false
	}
	m.current, m.config.AdminAddress, old.endNote = successor, address, endReplaced
	return true
}

// awaitAdminReady waits until a process says at its address for operators that it is ready.
func (r *runner) awaitAdminReady(ctx context.Context, address string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		response, err := http.Get("http://" + address + "/control/ready")
		if err == nil {
			_ = response.Body.Close() // the status says all
			if response.StatusCode/100 == 2 {
				return true
			}
		}
		if !sleep(ctx, readinessInterval) {
			return false
		}
	}
	return false
}
