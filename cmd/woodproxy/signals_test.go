package main_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// ends reports whether the process ends by itself in time.
func (p *proxyProcess) ends(within time.Duration) bool {
	ended := make(chan struct{})
	go func() {
		_ = p.command.Wait() // how it ends does not matter here
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(within):
		_ = p.command.Process.Kill() // it has not ended
		<-ended
		return false
	}
}

// signal sends a signal a number of times, with room between them so that the system joins none.
func (p *proxyProcess) signal(t *testing.T, signal os.Signal, times int) {
	t.Helper()
	for range times {
		if err := p.command.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A process is told to stop among other signals, while it reads its file from a disk that hangs, or before it serves
// clients: it stops all the same.
func TestStopIsNotLostAmongSignals(t *testing.T) {
	const within = 5 * time.Second
	program := filepath.Join(buildPrograms(t), "woodproxy")
	t.Run("reload hangs", func(t *testing.T) {
		p := startProxy(t, program, knownList(fleetNodes()), noParts)
		p.ready(t)
		pipe := filepath.Join(p.command.Dir, "pipe") // to open it waits for who writes
		if err := syscall.Mkfifo(pipe, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(pipe, filepath.Join(p.command.Dir, "config.json")); err != nil {
			t.Fatal(err)
		}
		p.signal(t, syscall.SIGHUP, 8)
		p.signal(t, syscall.SIGTERM, 1)
		if !p.ends(within) {
			t.Error("it goes on")
		}
	})
	t.Run("before it serves", func(t *testing.T) {
		p := startProxy(t, program, knownList(fleetNodes()), noParts)
		for range 200 { // until signals are handled: the management address is served then
			if _, err := p.try("GET", "/control/ready", ""); err == nil {
				break
			}
			time.Sleep(2 * time.Millisecond)
		}
		p.signal(t, syscall.SIGUSR1, 8)
		p.signal(t, syscall.SIGTERM, 1)
		if !p.ends(within) {
			t.Error("it goes on")
		}
	})
}
