package server

import (
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/snapshot"

	"go.uber.org/zap"
)

const stateFile = "woodproxy.state"

// TestStateFileThatStaysDoesNotEndStart checks that the start continues without stored state if the state file is corrupt
// and can't be moved aside.
func TestStateFileThatStaysDoesNotEndStart(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, stateFile), []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	// A directory that is not empty can't be replaced by a file.
	if err := os.MkdirAll(filepath.Join(dir, stateFile+".unreadable", "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	store, err := snapshot.Open(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	restored := restoreState(&Config{StateStore: store}, zap.NewNop())
	if restored.outcome != restoredUnreadable {
		t.Errorf("got %+v, want the outcome for an unreadable file", restored)
	}
}

// TestHangingDiskHoldsUpNothing checks that a write of the state file that hangs does not block its caller: the caller
// also tracks recovery, and the process waits for it when it stops.
func TestHangingDiskHoldsUpNothing(t *testing.T) {
	writing, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	writer := &snapshotWriter{log: zap.NewNop(), failures: &atomic.Int64{}}
	writer.save = func(*snapshot.Snapshot) error {
		close(writing)
		<-release
		return errors.New("too late")
	}
	ended := make(chan struct{})
	go func() {
		writer.write(&snapshot.Snapshot{})
		writer.write(&snapshot.Snapshot{}) // starts no second write: save would close the channel twice
		close(ended)
	}()
	<-writing
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("write waits for the disk")
	}
}
