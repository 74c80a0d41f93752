package faultbuild_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/faultbuild"
)

// program makes the calls that can be made to fail. It reads the name of a call from each line of standard input and prints
// the result.
const program = `package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

func text(err error) string {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno.Error()
	}
	return fmt.Sprint(err)
}

func main() {
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	start := time.Now()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		switch in.Text() {
		case "dial":
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err == nil {
				conn.Close()
				conn, _ = listener.Accept()
				conn.Close()
			}
			fmt.Println(text(err))
		case "accept":
			conn, _ := net.Dial("tcp", listener.Addr().String())
			other, err := listener.Accept()
			fmt.Println(text(err))
			for err != nil { // the connection is still in the listener's queue
				time.Sleep(time.Millisecond)
				other, err = listener.Accept()
			}
			other.Close()
			conn.Close()
		case "exchange":
			conn, _ := net.Dial("tcp", listener.Addr().String())
			other, _ := listener.Accept()
			buffers := net.Buffers{[]byte("some bytes"), []byte(" and more")}
			_, err := buffers.WriteTo(conn)
			conn.Close()
			read, readErr := io.ReadAll(other)
			other.Close()
			fmt.Println(text(err), text(readErr), string(read))
		case "file":
			file, _ := os.CreateTemp("", "faults")
			_, err := file.WriteString("some bytes")
			syncErr := file.Sync()
			file.Close()
			read, _ := os.ReadFile(file.Name())
			os.Remove(file.Name())
			fmt.Println(text(err), text(syncErr), string(read))
		case "clock":
			wall := time.Duration(time.Now().UnixNano() - start.UnixNano())
			fmt.Println((wall - time.Since(start)).Round(time.Second))
		}
	}
}
`

// process is a running program and the page that controls its faults.
type process struct {
	t    *testing.T
	page *faultbuild.Page
	in   *os.File
	out  *bufio.Scanner
}

func startProgram(t *testing.T) *process {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module faulty\n\ngo 1.26\n", "main.go": program} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	binary := filepath.Join(dir, "faulty")
	options := faultbuild.Options{Module: dir, Package: ".", Output: binary, Dir: t.TempDir(), Faults: true, Env: []string{"GOFLAGS=-mod=mod"}}
	if err := faultbuild.Build(context.Background(), options); err != nil {
		t.Fatal(err)
	}
	page, err := faultbuild.NewPage(filepath.Join(dir, "page"))
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(binary)
	command.Env = append(os.Environ(), faultbuild.EnvironmentVariable+"="+filepath.Join(dir, "page"))
	in, inWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	command.Stdin = in
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = inWriter.Close()
		_ = page.Close()
	})
	return &process{t, page, inWriter, bufio.NewScanner(out)}
}

// do makes the program perform a call and checks the result.
func (p *process) do(call, want string) {
	p.t.Helper()
	if _, err := fmt.Fprintln(p.in, call); err != nil {
		p.t.Fatal(err)
	}
	if !p.out.Scan() {
		p.t.Fatalf("%s: the program has exited", call)
	}
	if got := p.out.Text(); got != want {
		p.t.Errorf("%s: got %q, want %q", call, got, want)
	}
}

// Calls fail or are shortened while the page says so and work again afterwards. A step of the wall clock does not affect
// the monotonic clock.
func TestFaultsOfRunningProcess(t *testing.T) {
	p := startProgram(t)
	calls := []string{"dial", "accept", "exchange", "file", "clock"}
	good := []string{"<nil>", "<nil>", "<nil> <nil> some bytes and more", "<nil> <nil> some bytes", "0s"}
	allGood := func() {
		t.Helper()
		for i, call := range calls {
			p.do(call, good[i])
		}
	}
	allGood()
	for _, test := range []struct {
		fault  faultbuild.Call
		errno  syscall.Errno
		short  int
		call   string
		result string
	}{
		{faultbuild.CallSocket, syscall.ENOBUFS, 0, "dial", syscall.ENOBUFS.Error()},
		{faultbuild.CallConnect, syscall.EADDRNOTAVAIL, 0, "dial", syscall.EADDRNOTAVAIL.Error()},
		{faultbuild.CallAccept, syscall.ENFILE, 0, "accept", syscall.ENFILE.Error()},
		{faultbuild.CallRead, 0, 3, "exchange", good[2]},
		{faultbuild.CallWrite, 0, 3, "exchange", good[2]},
		{faultbuild.CallBroken, syscall.ETIMEDOUT, 0, "exchange", syscall.ETIMEDOUT.Error() + " <nil> "},
		{faultbuild.CallFileWrite, syscall.ENOSPC, 4, "file", syscall.ENOSPC.Error() + " <nil> some"},
		{faultbuild.CallSync, syscall.EIO, 0, "file", "<nil> " + syscall.EIO.Error() + " some bytes"},
	} {
		p.page.Set(test.fault, faultbuild.Fault{Errno: test.errno, PerMille: 1000, Short: test.short})
		p.do(test.call, test.result)
		p.page.Set(test.fault, faultbuild.Fault{})
		if p.page.Injected(test.fault) == 0 {
			t.Errorf("call %d: got no injected faults, want at least one", test.fault)
		}
		allGood()
	}
	p.page.StepWallClock(time.Hour)
	p.do("clock", "1h0m0s")
	p.page.StepWallClock(-2*time.Hour - 5*time.Second)
	p.do("clock", "-1h0m5s")
}

// If a file does not contain the text to patch, or contains it twice, the error names the file and the text.
func TestBuildNamesFileThatDoesNotMatch(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "main.go"), []byte("package main\n\nfunc main() {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, old := range []string{"not there", "main"} {
		err := faultbuild.Build(context.Background(), faultbuild.Options{
			Module: dir, Package: ".", Output: filepath.Join(dir, "out"), Dir: t.TempDir(),
			Patches: []faultbuild.Patch{{File: "main.go", Old: old, New: "x"}},
		})
		var patch *faultbuild.PatchError
		if !errors.As(err, &patch) || !strings.Contains(err.Error(), "main.go") || !strings.Contains(err.Error(), old) {
			t.Errorf("%q: got error %v, want a PatchError with the file and the text", old, err)
		}
	}
}
