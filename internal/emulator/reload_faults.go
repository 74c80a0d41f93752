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

// signalSpacing is the time between consecutive signals. Without it, the kernel could merge pending signals of the same
// kind.
const signalSpacing = 20 * time.Millisecond

// injectReloads makes proxies reload their configuration several times in a row: first from a truncated file, then with
// another discovery address. The old address serves open watches for reloadGrace and is then closed.
func (r *runner) injectReloads(ctx context.Context, fault activeFault) {
	var reloads sync.WaitGroup
	for _, i := range fault.Targets {
		reloads.Go(func() { r.reloadProxy(ctx, i) })
	}
	reloads.Wait()
}

// reloadProxy reloads the configuration of one proxy with another discovery address.
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
	process := awaitReloadable(ctx, m)
	if process == nil {
		return
	}
	if m.sendReloads(ctx, process, [][]byte{text[:len(text)/2], text, text}) {
		r.closeOldServers(ctx, d, server)
	}
}

// sendReloads replaces the configuration file and sends SIGHUP, for each content. No process is started meanwhile: it would
// end at a truncated file. It returns false if the context ends or a file can't be written.
func (m *managedProxy) sendReloads(ctx context.Context, process *incarnation, contents [][]byte) bool {
	m.starting.Lock()
	defer m.starting.Unlock()
	for _, content := range contents {
		if replaceFile(m.config.ConfigFile, content) != nil {
			return false
		}
		process.Signal(syscall.SIGHUP)
		if !sleep(ctx, signalSpacing) {
			return false
		}
	}
	return true
}

// awaitReloadable waits until a proxy may be told to reload its configuration, and returns its process. It returns nil if the
// context ends first. Another fault may be restarting the proxy.
func awaitReloadable(ctx context.Context, m *managedProxy) *incarnation {
	for {
		if process := m.reloadable(); process != nil {
			return process
		}
		if !sleep(ctx, readinessInterval) {
			return nil
		}
	}
}

// closeOldServers closes all servers of a discovery agent except the current one, after reloadGrace.
func (r *runner) closeOldServers(ctx context.Context, d *Discovery, current *http.Server) {
	sleep(ctx, reloadGrace)
	d.mu.Lock()
	old := d.servers
	d.servers = []*http.Server{current}
	d.mu.Unlock()
	for _, server := range old {
		if server != current {
			_ = server.Close() // also ends its watches
		}
	}
}

// replaceFile replaces the content of a file atomically: a process that reads it gets either the old or the new content.
func replaceFile(path string, content []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// injectHotRestarts hot-restarts proxies one after the other. It stops at the first successor that does not become ready.
func (r *runner) injectHotRestarts(ctx context.Context, fault activeFault) {
	for _, i := range fault.Targets {
		if ctx.Err() != nil || !r.hotRestart(ctx, i) {
			return
		}
	}
}

// hotRestart starts a successor beside the running process of a proxy, from which it inherits the listener, and ends the
// predecessor once the successor is ready. It returns false if the successor does not become ready. It does nothing if no
// process is running or the proxy has no admin server.
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
	successor := r.startSuccessor(ctx, i, config)
	if successor == nil {
		return false
	}
	if !m.adoptSuccessor(old, successor, address) {
		successor.Kill()
		<-successor.Done() //nolint:errcheck // the process was killed
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

// startSuccessor starts a second process of a proxy. It returns nil if the process does not become ready.
func (r *runner) startSuccessor(ctx context.Context, i int, config ProxyConfig) *incarnation {
	m := r.proxies[i]
	m.starting.Lock()
	defer m.starting.Unlock()
	r.discoveries[i].recordKnownAtStart()
	process, err := r.options.Start(config)
	if err != nil {
		return nil
	}
	successor := newIncarnation(process)
	if r.awaitAdminReady(ctx, config.AdminAddress, readyTimeout) {
		return successor
	}
	if ctx.Err() == nil {
		r.log.Record(Event{Kind: ProcessNotReady, Proxy: i})
	}
	process.Kill()
	<-process.Done() //nolint:errcheck // the process was killed
	return nil
}

// adoptSuccessor makes the successor the current process of the proxy and reports whether it did. It refuses if the
// predecessor has ended, has been signaled to end or has been replaced meanwhile, because another process may be starting in
// that case.
func (m *managedProxy) adoptSuccessor(old, successor *incarnation, address string) bool {
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
	m.current, m.config.AdminAddress, old.endNote, successor.ready = successor, address, endReplaced, true
	return true
}

// awaitAdminReady waits until the readiness endpoint of the admin server reports ready. It returns false on timeout or if
// the context ends.
func (r *runner) awaitAdminReady(ctx context.Context, address string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		response, err := http.Get("http://" + address + "/control/ready")
		if err == nil {
			_ = response.Body.Close() // only the status code is used
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
