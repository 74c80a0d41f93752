package server

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/emulator"
	"woodproxy/internal/testscript"
)

// TestScenarios runs each scenario with a proxy on loopback sockets, emulated nodes and an emulated discovery service. The
// lines of a scenario are:
//
//	limits WORD=N ...                        sets limits (memory_mb, sockets); before start
//	settings OLD NEW                         replaces a text in the settings; before start
//	watch JSON                               sets the settings of the shadow balancer; before start
//	node NAME MODE [slow=MS] [size=N]        starts a cache or (o1) the origin, or changes its mode
//	list NAME[:leaving|:left] ...            makes discovery send an endpoint list: a complete one first, then changes
//	discovery up|silent|down|cut|garbled|full [slow=MS]
//	                                         sets the mode of discovery. After down, watches continue when it is up again;
//	                                         after silent, watches opened meanwhile stay silent; full rejects watches; cut
//	                                         ends the open watches. Watches that are opened later are answered after MS
//	reload moved|bad                         writes a configuration file and sends SIGHUP: discovery has moved, or the file
//	                                         is incomplete
//	old gone                                 ends the watches at the old address of discovery
//	call METHOD PATH STATUS [with=N|garbage] makes an admin call with a body of N bytes, or with a malformed head
//	ringers N                                opens connections to the admin address that never complete a call
//	replace                                  starts a successor, and stops the first process once the successor is ready
//	start [known=NAME,NAME]                  starts the proxy with a known list. Its nodes that were not started have an
//	                                         address that is not in use
//	CLIENT get KEY [wait=MS] [times=N] | set KEY [size=N] [wait=MS] | ping [times=N] | raw TEXT | leaves
//	                                         sends requests or text, or disconnects
//	CLIENT gets value [from=NAME] | busy | busy-at-will | error | pong | closed | nothing [times=N]
//	                                         compares the next replies; busy-at-will is busy without Retry-After
//	CLIENT gets begun within=MS              waits for the beginning of the next reply without consuming it
//	expect NAME|COUNTER|calls OP N           waits up to two seconds until the comparison holds for the number of requests
//	                                         that a node has read, a counter, or the number of watches at discovery
//	crowd N [from=N] | mutes N               connects clients that get a pong and stay, or that send nothing
//	pause MS                                 waits
//	stop                                     sends the signal to stop
//	running | stopped                        checks that the proxy has not exited; waits until it has exited
//
// Package emulator defines the modes of nodes and of discovery.
func TestScenarios(t *testing.T) {
	testscript.RunFiles(t, "scenarios/*.txt", func(t *testing.T) testscript.Runner {
		t.Parallel()
		return newHarness(t)
	})
}

// scriptCommand runs one line of a scenario. words are the words of the line; the first is the name of the command.
type scriptCommand func(h *proxyHarness, words []string, options map[string]string)

// scriptCommands are the commands by name. All other lines begin with the name of a client.
var scriptCommands = map[string]scriptCommand{
	"limits": func(h *proxyHarness, _ []string, options map[string]string) { h.limits = options },
	"node": func(h *proxyHarness, words []string, options map[string]string) {
		h.setNode(words[1], words[2], options)
	},
	"list": func(h *proxyHarness, words []string, _ map[string]string) { h.publishEndpoints(words[1:]) },
	"discovery": func(h *proxyHarness, words []string, options map[string]string) {
		h.discovery.SetAnswerDelay(time.Duration(testscript.ParseNumber(options["slow"])) * time.Millisecond)
		h.discovery.SetMode(emulator.DiscoveryMode(strings.Replace(words[1], "up", "", 1)))
	},
	"start":  func(h *proxyHarness, _ []string, options map[string]string) { h.start(options["known"]) },
	"reload": func(h *proxyHarness, words []string, _ map[string]string) { h.reload(words[1]) },
	"old": func(h *proxyHarness, _ []string, _ map[string]string) {
		if err := h.movedDiscovery.Close(); err != nil {
			h.fail("%v", err)
		}
	},
	"replace": func(h *proxyHarness, _ []string, _ map[string]string) { h.replace() },
	"call": func(h *proxyHarness, words []string, options map[string]string) {
		h.call(words[1], words[2], words[3], options["with"])
	},
	"ringers": func(h *proxyHarness, words []string, _ map[string]string) {
		h.openIdleCalls(int(testscript.ParseNumber(words[1])))
	},
	"settings": func(h *proxyHarness, words []string, _ map[string]string) { h.replaceSettings(words[1], words[2]) },
	"watch":    func(h *proxyHarness, words []string, _ map[string]string) { h.shadow = words[1] },
	"pause": func(_ *proxyHarness, words []string, _ map[string]string) {
		time.Sleep(time.Duration(testscript.ParseNumber(words[1])) * time.Millisecond)
	},
	"expect": func(h *proxyHarness, words []string, _ map[string]string) {
		h.expect(words[1], words[2], int(testscript.ParseNumber(words[3])))
	},
	"stop": func(h *proxyHarness, _ []string, _ map[string]string) { h.signals <- syscall.SIGTERM },
	"crowd": func(h *proxyHarness, words []string, options map[string]string) {
		h.addIdleClients(int(testscript.ParseNumber(words[1])), int(testscript.ParseNumber(options["from"])))
	},
	"mutes": func(h *proxyHarness, words []string, _ map[string]string) {
		for i := range int(testscript.ParseNumber(words[1])) {
			h.runClientLine([]string{fmt.Sprint("mute", i), "raw"})
		}
	},
	"running": func(h *proxyHarness, _ []string, _ map[string]string) {
		if len(h.ended) > 0 {
			h.fail("the proxy has exited")
		}
	},
	"stopped": func(h *proxyHarness, _ []string, _ map[string]string) { h.expectStopped() },
}

// RunStep runs one line of a scenario.
func (h *proxyHarness) RunStep(line int, words []string) {
	h.t.Helper()
	h.line = line
	if command := scriptCommands[words[0]]; command != nil {
		command(h, words, testscript.ParseArguments(words[1:]))
		return
	}
	h.runClientLine(words)
}

// runClientLine runs the line of a client, which connects with its first line.
func (h *proxyHarness) runClientLine(words []string) {
	h.t.Helper()
	client := h.clients[words[0]]
	if client == nil {
		conn, err := net.Dial("tcp", h.clientAddress)
		if err != nil {
			h.fail("%v", err)
			return
		}
		client = &scriptClient{conn: conn, in: bufio.NewReader(conn), name: words[0]}
		h.clients[words[0]] = client
	}
	if err := client.step(words[1:], testscript.ParseArguments(words[1:])); err != nil {
		h.fail("%v", err)
	}
}

// addIdleClients adds clients that send one PING and keep their connection. Their numbers start at first.
func (h *proxyHarness) addIdleClients(count, first int) {
	h.t.Helper()
	for i := range count {
		name := fmt.Sprint("crowd", first+i)
		h.runClientLine([]string{name, "ping"})
		h.runClientLine([]string{name, "gets", "pong"})
	}
}

func (h *proxyHarness) replaceSettings(from, to string) {
	h.t.Helper()
	if !strings.Contains(h.settings, from) {
		h.fail("the settings do not contain %s", from)
	}
	h.settings = strings.Replace(h.settings, from, to, 1)
}

func (h *proxyHarness) expectStopped() {
	h.t.Helper()
	select {
	case err := <-h.ended:
		h.signals = nil
		if err != nil {
			h.fail("%v", err)
		}
	case <-time.After(stopTimeout):
		h.fail("still running")
	}
}
