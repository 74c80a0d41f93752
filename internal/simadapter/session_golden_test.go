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

// Texts of log lines are for people and may change; that a line is logged may not.
var logText = regexp.MustCompile(`(?m)^(\["say-log",\d+,).*$`)

func blankLogTexts(output []byte) []byte { return logText.ReplaceAll(output, []byte(`$1""]`)) }

func inputFile(shape *sessionShape) string  { return "session_" + shape.name + ".in" }
func outputFile(shape *sessionShape) string { return "session_" + shape.name + ".out" }

// TestSessionGenerated generates each session anew, with the code's own replies, and compares both directions with
// what was recorded.
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

// TestSessionReplayed replays the recorded inputs, whose outputs must be the recorded ones.
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

// TestSessionCoverage checks that the recorded sessions hold each kind of message and each value of the enumerated
// fields, so that none of them falls out of a newly recorded one.
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
			t.Errorf("no %s among the inputs", kind)
		}
	}
	for _, value := range []string{
		"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send",
		"none_here", "INCREMENTAL", "FULL", "SAVED", "FAILED", "SERVING", "DRAINING", "DELETED",
	} {
		if !strings.Contains(inputs.String(), `,"`+value+`"`) {
			t.Errorf("no %s among the inputs", value)
		}
	}
	for _, kind := range []string{
		"eor", "try", "abort-attempt", "busy", "finish-error", "wake-me", "follow", "publish",
		"say-log",
	} {
		if !strings.Contains(outputs.String(), "\n[\""+kind+"\"") {
			t.Errorf("no %s among the outputs", kind)
		}
	}
	if !regexp.MustCompile(`"publish",\d+,\d+,"\w+\+"`).MatchString(outputs.String()) {
		t.Error("no peer is notified that a node responds again")
	}
}

// TestSimhostBinary replays a session and a malformed input through the command.
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
				t.Errorf("%s: the command's output differs from the recorded one", shape.name)
			}
		})
	}
	var stdout, stderr bytes.Buffer
	command := exec.CommandContext(t.Context(), binary)
	command.Stdin, command.Stdout, command.Stderr = strings.NewReader("nonsense\n"), &stdout, &stderr
	if err := command.Run(); err == nil || command.ProcessState.ExitCode() != 1 {
		t.Errorf("malformed input: %v, want exit code 1", err)
	}
	if stdout.Len() > 0 || stderr.String() != "simhost: line 1: not JSON\n" {
		t.Errorf("malformed input: stdout %q, stderr %q", stdout.String(), stderr.String())
	}
}
