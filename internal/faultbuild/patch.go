package faultbuild

import (
	"fmt"
	"strings"
)

// PatchError reports a file that does not hold the text that is to be replaced exactly once.
type PatchError struct {
	File  string
	Text  string
	Count int
}

func (e *PatchError) Error() string {
	return fmt.Sprintf("faultbuild: %s: %q occurs %d times, and 1 is needed; the patch is for another version", e.File, e.Text, e.Count)
}

// Patch replaces one text in one file.
type Patch struct {
	File     string // within the toolchain's src directory, or within the module
	Old, New string
}

// apply returns the content with the text replaced.
func (p *Patch) apply(content string) (string, error) {
	if n := strings.Count(content, p.Old); n != 1 {
		return "", &PatchError{File: p.File, Text: p.Old, Count: n}
	}
	return strings.Replace(content, p.Old, p.New, 1), nil
}

const (
	systemCallFile = "syscall/zsyscall_linux_amd64.go"
	hookFile       = "syscall/zz_injected_faults.go" // is added
)

// toolchainPatches have each call go through a function of hookSource, which calls the original under its new name.
var toolchainPatches = []Patch{
	{systemCallFile, "func socket(domain int,", "func originalSocket(domain int,"},
	{systemCallFile, "func connect(s int,", "func originalConnect(s int,"},
	{systemCallFile, "func accept4(s int,", "func originalAccept4(s int,"},
	{systemCallFile, "func read(fd int, p []byte)", "func originalRead(fd int, p []byte)"},
	{systemCallFile, "func write(fd int, p []byte)", "func originalWrite(fd int, p []byte)"},
	{systemCallFile, "func Fsync(fd int)", "func originalFsync(fd int)"},
	{systemCallFile, "func Close(fd int)", "func originalClose(fd int)"},
	{"internal/poll/fd_writev_unix.go", "syscall.Syscall(syscall.SYS_WRITEV,", "syscall.InjectedWritev(syscall.SYS_WRITEV,"},
	{"time/time.go", "	sec, nsec, mono := runtimeNow()\n	if mono == 0 {\n		return Time{uint64(nsec), sec + unixToInternal, Local}\n	}\n	mono -= startNano\n	sec += unixToInternal - minWall\n", "	sec, nsec, mono := runtimeNow()\n	sec += syscall.InjectedWallOffset()\n	if mono == 0 {\n		return Time{uint64(nsec), sec + unixToInternal, Local}\n	}\n	mono -= startNano\n	sec += unixToInternal - minWall\n"},
	{"time/time.go", "import (\n", "import (\n	\"syscall\"\n"},
}
