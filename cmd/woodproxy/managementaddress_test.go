package main_test

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A process that is started as the successor of another with the same management address must fail before it takes over
// the listener. It once took over the listener and then exited.
func TestReplacementWithSameManagementAddressTakesNothingOver(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	first := startFleetProxy(t, program, startFakeDiscovery(t, 1))
	for _, verb := range []string{"serve", "check"} {
		second := exec.Command(program, append([]string{verb}, first.command.Args[2:]...)...)
		second.Dir, second.Env = first.command.Dir, first.command.Env
		var log bytes.Buffer
		second.Stderr = &log
		err := second.Run()
		if err == nil || second.ProcessState.ExitCode() != 1 {
			t.Errorf("%s: got %v, want exit code 1", verb, err)
		}
		if !strings.Contains(log.String(), "a process that replaces another needs an address of its own") || strings.Contains(log.String(), "inherited") {
			t.Errorf("%s: got log %s, want the address error and no inherited listener", verb, log.String())
		}
	}
	if !respondsToPing(first.clients) {
		t.Error("the first process no longer responds")
	}
}
