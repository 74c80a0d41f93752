package gossip

import (
	"io"
	"net"
	"strings"
	"testing"

	"woodproxy/internal/wire"
	"woodproxy/replica"
)

// Two agents of one cluster exchange endpoints and health observations and divide the quota. An agent of another cluster
// receives nothing, and malformed, truncated and oversized traffic is dropped.
func TestAgentsOfOneClusterExchangeState(t *testing.T) {
	t.Parallel()
	firstIP := loopbackIP(21)
	seed := withTestPort(firstIP)
	firstHandler, secondHandler, foreignHandler := newRecordingHandler(), newRecordingHandler(), newRecordingHandler()
	first := startAgent(t, "one", "zone/a", firstIP, firstHandler) // the name contains the separator of node names
	second := startAgent(t, "one", "b", loopbackIP(22), secondHandler, seed)
	foreign := startAgent(t, "two", "c", loopbackIP(23), foreignHandler, seed)
	for i := range 20 {
		sendMalformedPackets(t, seed, i)
		sendMalformedStream(t, seed, i)
	}

	first.PublishEndpoints(7, true, []wire.Endpoint{
		{Name: "c1", Address: "1.2.3.4:5", Ready: true, Weight: 2, Zone: "z"},
		{Name: "c2"},
	})
	second.PublishHealth("c1", false)
	eventually(t, "two endpoints and a health observation arrive", func() bool {
		return len(secondHandler.endpoints) >= 2 && len(firstHandler.healthReports) >= 1
	})
	checkReceivedEndpoints(t, secondHandler)
	if len(firstHandler.healthReports) > 0 {
		if report := <-firstHandler.healthReports; report != (healthReport{"c1", false}) {
			t.Errorf("got health report %+v, want c1 not responding", report)
		}
	}
	eventually(t, "each proxy has half of the quota", func() bool {
		return firstHandler.quotaShare.Load() == 0.5 && secondHandler.quotaShare.Load() == 0.5
	})
	members, received := len(foreign.Status().Members), len(foreignHandler.endpoints)
	if members != 1 || received+len(foreignHandler.healthReports) > 0 {
		t.Errorf("agent of another cluster: got %d members, %d endpoints, want 1, 0 and no health reports", members, received)
	}
	if first.Faults.Load() == 0 {
		t.Error("got no faults, want malformed traffic to be counted")
	}
}

// checkReceivedEndpoints checks the first two endpoints that the handler has received, or fewer if it has not received two.
func checkReceivedEndpoints(t *testing.T, handler *recordingHandler) {
	t.Helper()
	for range min(len(handler.endpoints), 2) {
		endpoint := <-handler.endpoints
		switch endpoint.Name {
		case "c1":
			if endpoint.Weight != 2 || !endpoint.Ready || endpoint.Zone != "z" {
				t.Errorf("got endpoint %+v, want it ready, in zone z, with weight 2", endpoint)
			}
		case "c2":
			if endpoint.Ready || endpoint.Departed {
				t.Errorf("got endpoint %+v, want it draining", endpoint)
			}
		}
	}
}

// sendMalformedPackets sends a packet of invalid bytes, whose length is proportional to i, and a truncated message.
func sendMalformedPackets(t *testing.T, address string, i int) {
	t.Helper()
	conn, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, strings.Repeat("\xff\x00garbled", i*300)); err != nil {
		t.Fatal(err)
	}
	truncated := (&message{Sender: "x", Type: replica.ActionSendRows}).encode()[:i%9+1]
	if _, err := conn.Write(truncated); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}

// sendMalformedStream opens a stream with the cluster's label and sends i messages that declare excessive lengths.
func sendMalformedStream(t *testing.T, address string, i int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	// Writing and closing may fail, because the agent may close the connection at any time.
	_, _ = io.WriteString(conn, strings.Repeat("\xf4\x03one\x06\xff\xff\xff\xff", i))
	_ = conn.Close()
}

// A second call of Close returns without an effect, and the agent stays closed.
func TestCloseMayBeCalledTwice(t *testing.T) {
	t.Parallel()
	agent := startAgent(t, "one", "a", loopbackIP(24), newRecordingHandler(), withTestPort(loopbackIP(25)))
	agent.Close()
	agent.Close()
	if agent.ctx.Err() == nil {
		t.Error("the agent's context is not canceled after Close")
	}
}

// Close ends a join attempt that waits for a seed that accepts connections but never responds, and waits for the goroutine
// of the attempt.
func TestCloseWaitsForJoinAttempt(t *testing.T) {
	t.Parallel()
	seed, err := net.Listen("tcp", withTestPort(loopbackIP(26)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeListener(t, seed) })
	agent := startAgent(t, "one", "a", loopbackIP(27), newRecordingHandler(), seed.Addr().String())
	conn, err := seed.Accept() // a join attempt has started
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // may fail: the agent has closed its side
	agent.Close()
	if agent.joiner.attempting.Load() {
		t.Error("the join attempt is still running after Close")
	}
}
