package snapshot

import (
	"os"
	"path/filepath"
)

// replaceFile replaces the file at path atomically: after a crash at any moment, path names either the complete
// previous file or the complete new one. If it fails, the previous file is unchanged.
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
	syncDirectory(filepath.Dir(path))
	return nil
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

// syncDirectory has a rename survive a crash of the machine. Errors are ignored: the new file is in place already, some
// file systems can't sync directories, and if the rename is lost, the previous file is there, complete.
func syncDirectory(dir string) {
	directory, err := os.Open(dir)
	if err != nil {
		return
	}
	_ = directory.Sync()
	_ = directory.Close()
}
