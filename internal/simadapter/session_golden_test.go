package simadapter_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/internal/simadapter"
)

// logText matches log lines. The golden files record that a line is logged, but not its text, which may change.
var logText = regexp.MustCompile(`(?m)^(\["say-log",\d+,).*$`)

func blankLogTexts(output []byte) []byte { return logText.ReplaceAll(output, []byte(`$1""]`)) }

func inputFile(shape *sessionShape) string  { return "session_" + shape.name + ".in" }
func outputFile(shape *sessionShape) string { return "session_" + shape.name + ".out" }

// TestSessionGenerated generates each session again, with the replies of the current code, and compares its input and
// output with the recorded ones.
func TestSessionGenerated(t *testing.T) {
	for i := range sessionShapes {
		shape := &sessionShapes[i]
		t.Run(shape.name, func(t *testing.T) {
			input, output := generateSession(t, shape)
			goldentest.Text(t, outputFile(shape), string(blankLogTexts(output)))
			goldentest.Text(t, inputFile(shape), string(input))
		})
	}
}

// TestSessionReplayed replays the recorded inputs and compares the outputs with the recorded ones.
func TestSessionReplayed(t *testing.T) {
	for i := range sessionShapes {
		shape := &sessionShapes[i]
		t.Run(shape.name, func(t *testing.T) {
			input := []byte(goldentest.Read(t, inputFile(shape)))
			var output bytes.Buffer
			if err := simadapter.Serve(bytes.NewReader(input), &output); err != nil {
				t.Fatal(err)
			}
			goldentest.Text(t, outputFile(shape), string(blankLogTexts(output.Bytes())))
		})
	}
}

// TestSessionCoverage checks that the recorded sessions contain each kind of message and each value of the enumerated
// fields, so that updated recordings do not lose any of them.
func TestSessionCoverage(t *testing.T) {
	var inputs, outputs strings.Builder
	for i := range sessionShapes {
		inputs.Write([]byte(goldentest.Read(t, inputFile(&sessionShapes[i]))))
		outputs.Write([]byte(goldentest.Read(t, outputFile(&sessionShapes[i]))))
	}
	for _, kind := range []string{
		"mark", "go", "register", "boot", "fleet", "order", "started", "client-left",
		"timeout-fired", "returned", "sampled", "from-peer", "power-off",
	} {
		if !strings.Contains(inputs.String(), "\n[\""+kind+"\"") {
			t.Errorf("recorded inputs contain no %s message", kind)
		}
	}
	for _, value := range []string{
		"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send",
		"none_here", "INCREMENTAL", "FULL", "SAVED", "FAILED", "SERVING", "DRAINING", "DELETED",
	} {
		if !strings.Contains(inputs.String(), `,"`+value+`"`) {
			t.Errorf("recorded inputs contain no value %s", value)
		}
	}
	for _, kind := range []string{
		"eor", "try", "abort-attempt", "busy", "finish-error", "wake-me", "follow", "publish",
		"say-log",
	} {
		if !strings.Contains(outputs.String(), "\n[\""+kind+"\"") {
			t.Errorf("recorded outputs contain no %s message", kind)
		}
	}
	if !regexp.MustCompile(`"publish",\d+,\d+,"\w+\+"`).MatchString(outputs.String()) {
		t.Error("recorded outputs contain no report to a peer that an endpoint responds again")
	}
}

// TestSimhostBinary replays the sessions and a malformed input through the simhost command.
func TestSimhostBinary(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "simhost")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "woodproxy/cmd/simhost")
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	for i := range sessionShapes {
		shape := &sessionShapes[i]
		t.Run(shape.name, func(t *testing.T) {
			input, err := os.Open(filepath.Join("testdata", inputFile(shape)))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				if err := input.Close(); err != nil {
					t.Error(err)
				}
			})
			command := exec.CommandContext(t.Context(), binary)
			command.Stdin = input
			output, err := command.Output()
			if err != nil {
				t.Fatalf("%s: %v", shape.name, err)
			}
			want := []byte(goldentest.Read(t, outputFile(shape)))
			if !bytes.Equal(blankLogTexts(output), want) {
				t.Errorf("%s: output of the command differs from the recorded output", shape.name)
			}
		})
	}
	var stdout, stderr bytes.Buffer
	command := exec.CommandContext(t.Context(), binary)
	command.Stdin, command.Stdout, command.Stderr = strings.NewReader("nonsense\n"), &stdout, &stderr
	if err := command.Run(); err == nil || command.ProcessState.ExitCode() != 1 {
		t.Errorf("malformed input: got %v, want exit code 1", err)
	}
	if stdout.Len() > 0 || stderr.String() != "simhost: line 1: not JSON\n" {
		t.Errorf("malformed input: got stdout %q, stderr %q, want no output and one error line", stdout.String(), stderr.String())
	}
}
