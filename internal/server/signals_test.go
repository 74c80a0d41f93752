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

// Reloads that come while the file is being read lead to one more reading, and a stop waits for none.
func TestReloadsDuringReading(t *testing.T) {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal)
	begun, release := make(chan struct{}, 10), make(chan struct{})
	var readings atomic.Int64
	reread := func() (*Config, error) {
		readings.Add(1)
		begun <- struct{}{}
		<-release
		return &Config{}, errors.New("a bad file")
	}
	s := &server{config: &Config{Name: "as at the start"}, log: zap.NewNop()}
	ended := make(chan *Config, 1)
	go func() { ended <- s.handleSignals(reread, Signals{Stop: stop, Reload: reload}) }()
	for range 5 {
		reload <- syscall.SIGHUP
	}
	<-begun
	release <- struct{}{}
	<-begun // what was asked for meanwhile
	stop <- syscall.SIGTERM
	select {
	case config := <-ended:
		if config != s.config || readings.Load() != 2 {
			t.Errorf("%+v after %d readings", config, readings.Load())
		}
	case <-time.After(time.Second):
		t.Error("the stop waits for a reading")
	}
	close(release)
}
