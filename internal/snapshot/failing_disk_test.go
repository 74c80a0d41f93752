package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A disk that fails for a while, or is full, is no mistake of the configuration: the store opens, and writes when it can.
func TestOpenOnFailingDisk(t *testing.T) {
	for _, test := range []struct {
		errno syscall.Errno
		opens bool
	}{
		{syscall.ENOSPC, true},
		{syscall.EDQUOT, true},
		{syscall.EIO, true},
		{syscall.ENFILE, true},
		{syscall.EMFILE, true},
		{syscall.ENOMEM, true},
		{syscall.EINTR, true},
		{syscall.EACCES, false},
		{syscall.EROFS, false},
		{syscall.ENOENT, false},
	} {
		t.Run(test.errno.Error(), func(t *testing.T) {
			failing := realDisk
			failing.probe = func(dir string) error { return &os.PathError{Op: "open", Path: dir, Err: test.errno} }
			store, err := openWithDisk(failing, t.TempDir(), testOwner)
			if (err == nil) != test.opens {
				t.Fatalf("opened: %v", err)
			}
			if err == nil {
				saveSnapshot(t, store, testSnapshot())
			}
		})
	}
}

// A state file that can't be read for a moment is not one that holds something wrong: it stays where it is.
func TestReadErrorIsNoCorruptFile(t *testing.T) {
	store := openStore(t, t.TempDir())
	saveSnapshot(t, store, testSnapshot())
	store.disk.readFile = func(path string) ([]byte, error) {
		return nil, &os.PathError{Op: "read", Path: path, Err: syscall.EIO}
	}
	_, err := store.Load()
	var corrupt *CorruptError
	if err == nil || errors.As(err, &corrupt) {
		t.Errorf("Load: %v, want an error of reading", err)
	}
	store.disk.readFile = readFile
	if got, err := store.Load(); got == nil || err != nil {
		t.Errorf("Load once it can be read: %+v, %v", got, err)
	}
}

// Files that a killed process has left half written are removed, and what another process is writing just now is not.
func TestLeftoversAreRemoved(t *testing.T) {
	dir := t.TempDir()
	old := time.Now().Add(-time.Hour)
	for _, name := range []string{fileName + ".new-123", fileName + ".try-456", fileName + ".new-789"} {
		writeTestFile(t, filepath.Join(dir, name), []byte("half"))
		if err := os.Chtimes(filepath.Join(dir, name), old, old); err != nil {
			t.Fatal(err)
		}
	}
	future := time.Now().Add(time.Hour) // the clock was set back since
	writeTestFile(t, filepath.Join(dir, fileName+".new-future"), []byte("half"))
	if err := os.Chtimes(filepath.Join(dir, fileName+".new-future"), future, future); err != nil {
		t.Fatal(err)
	}
	writeTestFile(t, filepath.Join(dir, fileName+".new-fresh"), []byte("being written"))
	writeTestFile(t, filepath.Join(dir, fileName+unreadableSuffix), []byte("for operators"))
	writeTestFile(t, filepath.Join(dir, "another"), []byte("not ours"))
	openStore(t, dir)
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	if len(names) != 3 || names[0] != "another" || names[1] != fileName+".new-fresh" || names[2] != fileName+unreadableSuffix {
		t.Errorf("%v are left", names)
	}
}
