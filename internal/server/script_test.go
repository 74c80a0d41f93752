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

// A script plays one proxy on loopback sockets, with emulated nodes and an emulated discovery service:
//
//	limits WORD=N ...                        memory_mb, sockets; before start
//	settings OLD NEW                         replaces a text in the settings; before start
//	watch JSON                               settings of the shadow balancer; before start
//	node NAME MODE [slow=MS] [size=N]        starts a cache or (o1) the origin, or changes how it behaves
//	list NAME[:leaving|:left] ...            an endpoint list from discovery: the first is complete, others are changes
//	discovery up|silent|down|cut|garbled|full
//	                                         down goes on when it is up, silent stays so for those who asked meanwhile;
//	                                         full rejects watches, cut ends the watches there are
//	reload moved|bad                         a new configuration file and SIGHUP: discovery has moved, or it can't be read
//	old gone                                 discovery's old address ends its watches
//	call METHOD PATH STATUS [with=N|garbage] an operator's call, with a body of N bytes or garbage for a head
//	ringers N                                connections to the admin address that finish no call
//	replace                                  runs a successor, and stops the first process once the successor is ready
//	start [known=NAME,NAME]                  a known node is one that node has started, or is nowhere
//	CLIENT get KEY [wait=MS] [times=N] | set KEY [size=N] [wait=MS] | ping [times=N] | raw TEXT | leaves
//	CLIENT gets value [from=NAME] | busy | busy-at-will | error | pong | closed | nothing [times=N]
//	                                         the next answers
//	CLIENT gets begun within=MS              the first byte of the next answer, which is left there
//	expect NAME|COUNTER|calls OP N           requests that a node read, a counter, or watches at discovery; within two
//	                                         seconds
//	crowd N [from=N] | mutes N               clients that connect, get a pong and stay; or connect and send nothing
//	pause MS | stop | running | stopped
//
// Modes of nodes and of discovery are the emulator's.
func TestScenarios(t *testing.T) {
	testscript.RunFiles(t, "scenarios/*.txt", func(t *testing.T) testscript.Runner {
		t.Parallel()
		return newHarness(t)
	})
}

// scriptCommand plays one line; words are those of the line, the first being the command's name.
type scriptCommand func(h *proxyHarness, words []string, options map[string]string)

// scriptCommands are the commands by name. All other lines are those of clients.
var scriptCommands = map[string]scriptCommand{
	"limits": func(h *proxyHarness, _ []string, options map[string]string) { h.limits = options },
	"node": func(h *proxyHarness, words []string, options map[string]string) {
		h.setNode(words[1], words[2], options)
	},
	"list": func(h *proxyHarness, words []string, _ map[string]string) { h.publishEndpoints(words[1:]) },
	"discovery": func(h *proxyHarness, words []string, _ map[string]string) {
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
			h.playClient([]string{fmt.Sprint("mute", i), "raw"})
		}
	},
	"running": func(h *proxyHarness, _ []string, _ map[string]string) {
		if len(h.ended) > 0 {
			h.fail("has ended")
		}
	},
	"stopped": func(h *proxyHarness, _ []string, _ map[string]string) { h.expectStopped() },
}

// RunStep plays one line of a script.
func (h *proxyHarness) RunStep(line int, words []string) {
	h.t.Helper()
	h.line = line
	if command := scriptCommands[words[0]]; command != nil {
		command(h, words, testscript.ParseArguments(words[1:]))
		return
	}
	h.playClient(words)
}

// playClient plays a client's line; the client connects with the first one.
func (h *proxyHarness) playClient(words []string) {
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

// addIdleClients adds clients that ask once and keep their connection. They are numbered from first.
func (h *proxyHarness) addIdleClients(count, first int) {
	h.t.Helper()
	for i := range count {
		name := fmt.Sprint("crowd", first+i)
		h.playClient([]string{name, "ping"})
		h.playClient([]string{name, "gets", "pong"})
	}
}

func (h *proxyHarness) replaceSettings(from, to string) {
	h.t.Helper()
	if !strings.Contains(h.settings, from) {
		h.fail("the settings lack %s", from)
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
