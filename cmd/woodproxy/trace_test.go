package main_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The lines of one request are found in the logs of all proxies, by time; other lines, and what is no JSON, are not.
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
		t.Errorf("%v: %s", err, output)
	}
	if output, err := run("unknown"); err == nil || strings.Count(output, "\n") != 1 {
		t.Errorf("%v: %s", err, output)
	}
}
