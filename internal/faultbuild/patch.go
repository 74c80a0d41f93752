package faultbuild

import (
	"fmt"
	"runtime"
	"strings"
)

// PatchError reports that a file does not contain the text to be replaced exactly once.
type PatchError struct {
	File  string
	Text  string
	Count int
}

// Error returns the file, the text and how often the text occurs.
func (e *PatchError) Error() string {
	return fmt.Sprintf("faultbuild: %s: %q occurs %d times, want once; the patch is for another version", e.File, e.Text, e.Count)
}

// Patch replaces one text in one file.
type Patch struct {
	File     string // path relative to GOROOT/src or to the root of the module
	Old, New string
}

// apply returns content with Old replaced by New. It fails unless Old occurs exactly once.
func (p *Patch) apply(content string) (string, error) {
	if n := strings.Count(content, p.Old); n != 1 {
		return "", &PatchError{File: p.File, Text: p.Old, Count: n}
	}
	return strings.Replace(content, p.Old, p.New, 1), nil
}

const (
	systemCallFile = "syscall/zsyscall_linux_" + runtime.GOARCH + ".go"
	hookFile       = "syscall/zz_injected_faults.go" // added to package syscall, with the content of hookSource
)

// toolchainPatches rename the original functions for system calls, so that the functions of hookSource take their place and
// call the originals, and add the offset of the wall clock to time.Now.
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
