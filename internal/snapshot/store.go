package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"woodproxy/internal/systemerror"
)

const (
	fileName         = "woodproxy.state"
	unreadableSuffix = ".unreadable"
	probePattern     = fileName + ".try-*"
	tempPattern      = fileName + ".new-*"
)

// Store reads and writes the state file in the state directory of one proxy. Its methods do blocking I/O and may be called
// from one goroutine at a time.
type Store struct {
	dir   string
	owner string // name of this proxy
	disk  disk
}

// disk is the set of file operations of a store. Tests replace them to simulate disk errors.
type disk struct {
	probe     func(dir string) error // creates and removes a file in dir
	readFile  func(path string) ([]byte, error)
	writeFile func(path string, data []byte) error
}

// realDisk performs the operations on the file system.
var realDisk = disk{probe: createAndRemove, readFile: readFile, writeFile: replaceFile}

// Open returns the store in a directory for the proxy named owner, and removes temporary files that killed processes left
// there. It fails with a [DirError] if the directory does not exist or is not writable, and with an [OwnerError] if the
// directory contains the state file of another proxy. A temporary error while it checks the directory does not fail Open,
// and neither does an unreadable state file, which [Store.Load] reports.
func Open(dir, owner string) (*Store, error) { return openWithDisk(realDisk, dir, owner) }

func openWithDisk(disk disk, dir, owner string) (*Store, error) {
	if err := disk.checkWritable(dir); err != nil && !systemerror.IsTransient(err) {
		return nil, &DirError{Dir: dir, Err: err}
	}
	removeLeftovers(dir)
	store := &Store{dir: dir, owner: owner, disk: disk}
	if previous, err := store.Load(); err == nil && previous != nil && previous.Owner != owner {
		return nil, &OwnerError{Dir: dir, Owner: previous.Owner, Proxy: owner}
	}
	return store, nil
}

// checkWritable returns an error unless dir is a directory in which a file can be created. It creates one and removes it
// again, since permission bits don't show a read-only mount.
func (d disk) checkWritable(dir string) error {
	info, err := os.Stat(dir)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return errNotDirectory
	}
	return d.probe(dir)
}

func createAndRemove(dir string) error {
	probe, err := os.CreateTemp(dir, probePattern)
	if err != nil {
		return err
	}
	_ = probe.Close()           // no data was written that a failed close could lose
	_ = os.Remove(probe.Name()) // an empty file that can't be removed is harmless
	return nil
}

// leftoverAge is the age above which a temporary file is a leftover of a killed process, since no write takes that long. It
// also applies to modification times in the future: the clock may have been set back after the write.
const leftoverAge = time.Minute

// removeLeftovers removes temporary files that killed processes have left in dir. A file that can't be removed stays until
// the next start.
func removeLeftovers(dir string) {
	for _, pattern := range [...]string{probePattern, tempPattern} {
		names, _ := filepath.Glob(filepath.Join(dir, pattern)) // fails only on a malformed pattern
		for _, name := range names {
			info, err := os.Stat(name)
			if err == nil && time.Since(info.ModTime()).Abs() > leftoverAge {
				_ = os.Remove(name)
			}
		}
	}
}

// Load returns the stored snapshot, or nil without an error if there is no state file. It fails with a [CorruptError] if the
// content of the file is not what Save wrote, and with a [ReadError] if the file can't be read.
func (s *Store) Load() (*Snapshot, error) {
	data, err := s.disk.readFile(s.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &ReadError{Err: err}
	}
	return decode(data)
}

// readFile returns the content of a file, at most one byte more than maxFileLength, so that decode rejects a file that is
// too long.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was opened for reading
	return io.ReadAll(io.LimitReader(file, maxFileLength+1))
}

// Save sets the Owner of the snapshot to this proxy and replaces the state file with one that contains the snapshot. The new
// file is synced to disk when Save returns. After an error the state file is either the previous or the new one, complete in
// both cases, and the caller has to call Save again.
func (s *Store) Save(snapshot *Snapshot) error {
	snapshot.Owner = s.owner
	data, err := encode(snapshot)
	if err != nil {
		return err
	}
	if err := s.disk.writeFile(s.path(), data); err != nil {
		return fmt.Errorf("write state file: %w", err)
	}
	return nil
}

// Quarantine renames the state file to woodproxy.state.unreadable, so that operators can inspect it, and replaces an earlier
// file of that name. The next Load finds no state file.
func (s *Store) Quarantine() error {
	return os.Rename(s.path(), s.path()+unreadableSuffix)
}

func (s *Store) path() string { return filepath.Join(s.dir, fileName) }
