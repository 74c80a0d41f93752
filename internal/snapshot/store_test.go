package snapshot

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testOwner is the name of the proxy that opens the store in the tests.
const testOwner = "n1"

// testSnapshot returns a snapshot with every field set except Owner, which Save sets.
func testSnapshot() *Snapshot {
	return &Snapshot{
		Cluster: "c", SavedAt: time.Unix(1000, 0).UTC(),
		EndpointListIndex: 41, EndpointList: []byte(`{"index":41}`), PeerAddresses: []string{"127.0.0.1:7946"},
	}
}

// openStore opens the store in dir for the proxy testOwner.
func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	store, err := Open(dir, testOwner)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// saveSnapshot saves a snapshot and returns the content of the state file.
func saveSnapshot(t *testing.T, store *Store, snapshot *Snapshot) []byte {
	t.Helper()
	if err := store.Save(snapshot); err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile(store.path())
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func writeTestFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestLoadFromEmptyDirectoryReturnsNothing(t *testing.T) {
	store := openStore(t, t.TempDir())
	if previous, err := store.Load(); previous != nil || err != nil {
		t.Fatalf("Load: %+v %v, want nil and no error", previous, err)
	}
}

// TestFailedSaveKeepsPreviousFile checks that Load returns the previous snapshot if a write ends early at any byte, as it
// does when the process is killed or the disk is full.
func TestFailedSaveKeepsPreviousFile(t *testing.T) {
	dir := t.TempDir()
	store := openStore(t, dir)
	valid := saveSnapshot(t, store, testSnapshot())
	later := testSnapshot()
	later.EndpointListIndex = 42
	for written := range len(valid) {
		store.disk.writeFile = func(_ string, data []byte) error {
			writeTestFile(t, filepath.Join(dir, fileName+".new-1"), data[:min(written, len(data))])
			return errors.New("no space left")
		}
		if store.Save(later) == nil {
			t.Fatal("Save: no error, want that of the write")
		}
		previous, err := store.Load()
		if err != nil || previous.EndpointListIndex != 41 || previous.Owner != testOwner || string(previous.EndpointList) != `{"index":41}` {
			t.Fatalf("Load after a write of %d bytes: %+v %v, want the previous snapshot", written, previous, err)
		}
	}
}

func TestDecodeRejectsFileTruncatedOrChangedAtAnyByte(t *testing.T) {
	valid := saveSnapshot(t, openStore(t, t.TempDir()), testSnapshot())
	var corrupt *CorruptError
	for offset := range len(valid) {
		if _, err := decode(valid[:offset]); !errors.As(err, &corrupt) {
			t.Errorf("truncated at byte %d: error %v, want a %T", offset, err, corrupt)
		}
		changed := bytes.Clone(valid)
		changed[offset] ^= 0x10
		if _, err := decode(changed); !errors.As(err, &corrupt) {
			t.Errorf("changed at byte %d: error %v, want a %T", offset, err, corrupt)
		}
	}
}

func TestUnreadableFileIsReportedUntilMovedAside(t *testing.T) {
	store := openStore(t, t.TempDir())
	valid := saveSnapshot(t, store, testSnapshot())
	writeTestFile(t, store.path(), valid[:20])
	var corrupt *CorruptError
	if _, err := store.Load(); !errors.As(err, &corrupt) {
		t.Errorf("Load: error %v, want a %T", err, corrupt)
	}
	if err := store.Quarantine(); err != nil {
		t.Error(err)
	}
	if previous, err := store.Load(); previous != nil || err != nil {
		t.Errorf("Load after Quarantine: %+v %v, want nil and no error", previous, err)
	}
}

func TestOpenRejectsUnusableDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	writeTestFile(t, file, nil)
	for _, test := range []struct {
		name string
		dir  string
	}{
		{"missing directory", filepath.Join(t.TempDir(), "none")},
		{"regular file", file},
	} {
		t.Run(test.name, func(t *testing.T) {
			var dirError *DirError
			if _, err := Open(test.dir, testOwner); !errors.As(err, &dirError) {
				t.Errorf("Open: error %v, want a DirError", err)
			}
		})
	}
}

func TestOpenRejectsDirectoryOfAnotherProxy(t *testing.T) {
	dir := t.TempDir()
	saveSnapshot(t, openStore(t, dir), testSnapshot())
	var ownerError *OwnerError
	if _, err := Open(dir, "n2"); !errors.As(err, &ownerError) || ownerError.Owner != testOwner {
		t.Errorf("Open: error %v, want an OwnerError with owner %s", err, testOwner)
	}
}

// FuzzDecode checks that decode does not panic on any input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(magic + "\x01" + "12345678"))
	f.Fuzz(func(_ *testing.T, file []byte) {
		_, _ = decode(file) // any result is valid as long as decode does not panic
	})
}
