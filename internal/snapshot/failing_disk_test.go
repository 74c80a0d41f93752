package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestOpenOnFailingDisk checks that Open fails only for errors that point to a wrong configuration. A full disk and a
// temporary I/O error must not prevent the start; Save works once the disk does.
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
				t.Fatalf("Open: unexpected result: error %v", err)
			}
			if err == nil {
				saveSnapshot(t, store, testSnapshot())
			}
		})
	}
}

// TestReadErrorIsNoCorruptFile checks that Load does not report a temporary read error as a CorruptError. The caller moves
// a corrupt file aside, so that a valid file would be lost.
func TestReadErrorIsNoCorruptFile(t *testing.T) {
	store := openStore(t, t.TempDir())
	saveSnapshot(t, store, testSnapshot())
	store.disk.readFile = func(path string) ([]byte, error) {
		return nil, &os.PathError{Op: "read", Path: path, Err: syscall.EIO}
	}
	_, err := store.Load()
	var corrupt *CorruptError
	if err == nil || errors.As(err, &corrupt) {
		t.Errorf("Load: error %v, want one that is no CorruptError", err)
	}
	store.disk.readFile = readFile
	if got, err := store.Load(); got == nil || err != nil {
		t.Errorf("Load of the readable file: %+v %v, want a snapshot and no error", got, err)
	}
}

// TestLeftoversAreRemoved checks that Open removes the temporary files of killed processes, and keeps a temporary file that
// another process may still be writing.
func TestLeftoversAreRemoved(t *testing.T) {
	dir := t.TempDir()
	old := time.Now().Add(-time.Hour)
	for _, name := range []string{fileName + ".new-123", fileName + ".try-456", fileName + ".new-789"} {
		writeTestFile(t, filepath.Join(dir, name), []byte("half"))
		if err := os.Chtimes(filepath.Join(dir, name), old, old); err != nil {
			t.Fatal(err)
		}
	}
	future := time.Now().Add(time.Hour) // the clock was set back after the write
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
		t.Errorf("files after Open: %v, want the fresh temporary file, the quarantined file and the foreign file", names)
	}
}
