package server

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestReloadsDuringReading checks that several reloads during a read of the configuration lead to one more read, and that a
// stop does not wait for a read.
func TestReloadsDuringReading(t *testing.T) {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal)
	begun, release := make(chan struct{}, 10), make(chan struct{})
	var readings atomic.Int64
	reread := func() (*Config, error) {
		readings.Add(1)
		begun <- struct{}{}
		<-release
		return &Config{}, errors.New("invalid file")
	}
	s := &server{config: &Config{Name: "as at the start"}, log: zap.NewNop()}
	ended := make(chan *Config, 1)
	go func() { ended <- s.handleSignals(reread, Signals{Stop: stop, Reload: reload}) }()
	for range 5 {
		reload <- syscall.SIGHUP
	}
	<-begun
	release <- struct{}{}
	<-begun // the read for the reloads that came meanwhile
	stop <- syscall.SIGTERM
	select {
	case config := <-ended:
		if config != s.config || readings.Load() != 2 {
			t.Errorf("got configuration %+v after %d reads, want the one at the start after 2", config, readings.Load())
		}
	case <-time.After(time.Second):
		t.Error("the stop waits for a read")
	}
	close(release)
}
