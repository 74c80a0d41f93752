package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

// replaceFile replaces the file at path atomically: after a crash at any moment, path names either the complete
// previous file or the complete new one. If it fails, the previous file is unchanged, or the new one is in place and may
// be lost with the machine: the caller tries again in either case.
func replaceFile(path string, data []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	err = writeSyncClose(temporary, data)
	if err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name()) // the first error is the one to report; a file that stays is never read
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

// writeSyncClose writes data, waits until it is on the disk, and closes the file whatever happens. It returns the first
// error.
func writeSyncClose(file *os.File, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDirectory has a rename survive a crash of the machine. Some file systems can't sync directories, which is no error.
func syncDirectory(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = directory.Sync()
	_ = directory.Close() // nothing was written to it
	if errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSUP) {
		return nil
	}
	return err
}
