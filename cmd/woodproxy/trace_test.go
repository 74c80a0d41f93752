package main_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The trace subcommand prints the lines about one request from all logs in order of time. It skips other lines and lines
// that are not JSON.
func TestTraceFollowsRequestThroughLogs(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "a.log", `{"ts":3.0,"msg":"request trace","id":"wanted","events":["0.0 received"]}
no JSON
{"ts":1.0,"msg":"request trace","id":"other"}
`)
	writeFile(t, dir, "b.log", `{"ts":2.0,"msg":"client connection closed with requests unanswered","ids":["other","wanted"]}
{"ts":4.0,"msg":"started"}
`)
	program := filepath.Join(buildPrograms(t), "woodproxy")
	run := func(id string) (string, error) {
		command := exec.Command(program, "trace", id, "a.log", "b.log")
		command.Dir = dir
		output, err := command.CombinedOutput()
		return string(output), err
	}
	output, err := run("wanted")
	lines := strings.Split(strings.TrimSpace(output), "\n")
	if err != nil || len(lines) != 2 || !strings.Contains(lines[0], "b.log: ") || !strings.Contains(lines[1], "a.log: ") {
		t.Errorf("got error %v and output %q, want a line of b.log and then one of a.log", err, output)
	}
	if output, err := run("unknown"); err == nil || strings.Count(output, "\n") != 1 {
		t.Errorf("unknown request: got error %v and output %q, want an error of one line", err, output)
	}
}
