package main_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// exitsWithin reports whether the process exits by itself within the given time. Otherwise it kills the process.
func (p *proxyProcess) exitsWithin(within time.Duration) bool {
	ended := make(chan struct{})
	go func() {
		_ = p.command.Wait() // the exit status doesn't matter here
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(within):
		_ = p.command.Process.Kill() // the process has not exited
		<-ended
		return false
	}
}

// signal sends a signal a number of times, with pauses, so that the kernel does not merge pending signals.
func (p *proxyProcess) signal(t *testing.T, signal os.Signal, times int) {
	t.Helper()
	for range times {
		if err := p.command.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A process stops on SIGTERM even if other signals arrive just before it, both while a reload hangs on reading the
// configuration file and before the process serves clients.
func TestStopIsNotLostAmongSignals(t *testing.T) {
	const within = 5 * time.Second
	program := filepath.Join(buildPrograms(t), "woodproxy")
	t.Run("reload hangs", func(t *testing.T) {
		p := startProxy(t, program, knownList(fleetNodes()), noFeatures)
		p.awaitReady(t)
		pipe := filepath.Join(p.command.Dir, "pipe") // opening the pipe blocks until it is opened for writing
		if err := syscall.Mkfifo(pipe, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(pipe, filepath.Join(p.command.Dir, "config.json")); err != nil {
			t.Fatal(err)
		}
		p.signal(t, syscall.SIGHUP, 8)
		p.signal(t, syscall.SIGTERM, 1)
		if !p.exitsWithin(within) {
			t.Error("process still runs after SIGTERM")
		}
	})
	t.Run("before it serves", func(t *testing.T) {
		p := startProxy(t, program, knownList(fleetNodes()), noFeatures)
		for range 200 { // signals are handled once the admin server responds
			if _, err := p.send("GET", "/control/ready", ""); err == nil {
				break
			}
			time.Sleep(2 * time.Millisecond)
		}
		p.signal(t, syscall.SIGUSR1, 8)
		p.signal(t, syscall.SIGTERM, 1)
		if !p.exitsWithin(within) {
			t.Error("process still runs after SIGTERM")
		}
	})
}
