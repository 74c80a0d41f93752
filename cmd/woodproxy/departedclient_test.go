package main_test

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// receivedCommands records the commands that servers receive.
type receivedCommands struct {
	mu       sync.Mutex
	commands []serverCommand
}

func (r *receivedCommands) record(command serverCommand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, command)
}

// after returns the commands that were received after a time.
func (r *receivedCommands) after(at time.Time) (late []serverCommand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, command := range r.commands {
		if command.receivedAt.After(at) {
			late = append(late, command)
		}
	}
	return late
}

// count returns how often a command with the given ID was received.
func (r *receivedCommands) count(id string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, command := range r.commands {
		if command.id == id {
			n++
		}
	}
	return n
}

const (
	// departedGrace is the time after a client has closed its connection for which attempts may still begin.
	departedGrace = 100 * time.Millisecond
	// unsafeRoute is a class whose requests must not run twice. It is added to cliConfig.
	unsafeRoute = `{"name":"take","latency-objective":600,"overall-timeout":1200,"value":5,"effect":"side_effect"}`
)

// unsafeConfig is hedgingConfig without hedging and with unsafeRoute.
func unsafeConfig(servers ...*scriptedServer) string {
	return strings.Replace(hedgingConfig(false, servers...), `"routes":[`, `"routes":[`+unsafeRoute+`,`, 1)
}

// The requests of a client that closes its connection with much of its input still unread must not be forwarded afterwards.
func TestUnreadRequestsOfDepartedClientAreNotForwarded(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	for name, delay := range map[string]time.Duration{"prompt server": 0, "slow server": 60 * time.Millisecond} {
		for _, requests := range []int{40, 60, 400, 4000} {
			for _, class := range []string{"read", "none"} {
				t.Run(fmt.Sprint(name, " ", requests, " ", class), func(t *testing.T) {
					t.Parallel()
					received := &receivedCommands{}
					cache := startCache(t, func(conn net.Conn, command serverCommand) {
						received.record(command)
						time.Sleep(delay)
						writeAll(conn, cacheHead(5), "value", cacheTail)
					})
					origin := startOrigin(t, func(conn net.Conn, command serverCommand) {
						received.record(command)
						time.Sleep(delay)
						writeAll(conn, originHead(5), "value")
					})
					p := startConfiguredProxy(t, program, unsafeConfig(cache, origin), noFeatures)
					p.awaitReady(t)
					client := dialProxy(t, p.clients)
					var commands []byte
					for i := range requests {
						route := "read"
						if class == "none" && i%20 > 0 {
							route = "none"
						}
						commands = append(commands, encodeRead(fmt.Sprint("k", i), fmt.Sprint("id", i), route, readTimeout)...)
					}
					_ = client.SetDeadline(time.Now().Add(100 * time.Millisecond))
					_, _ = client.Write(commands) // the client leaves even if not all is written
					_ = client.Close()
					closedAt := time.Now()
					time.Sleep(readTimeout)
					if late := received.after(closedAt.Add(departedGrace + timeSlack)); len(late) > 0 {
						t.Errorf("%d of %d commands were received later than %v after the client had left, the last one %v after",
							len(late), requests, departedGrace, late[len(late)-1].receivedAt.Sub(closedAt))
					}
				})
			}
		}
	}
}

// startSlowServers starts a cache that takes 300 ms for a command and records it, and an origin.
func startSlowServers(t *testing.T) (cache, origin *scriptedServer, received *receivedCommands) {
	t.Helper()
	received = &receivedCommands{}
	cache = startCache(t, func(conn net.Conn, command serverCommand) {
		received.record(command)
		time.Sleep(300 * time.Millisecond)
		writeAll(conn, cacheHead(5), "value", cacheTail)
	})
	origin = startOrigin(t, func(conn net.Conn, _ serverCommand) { writeAll(conn, originHead(5), "value") })
	return cache, origin, received
}

// A request whose client has left may still run. The same ID must not run a second time.
func TestRepeatedIDOfDepartedClientDoesNotRunTwice(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	cache, origin, received := startSlowServers(t)
	p := startConfiguredProxy(t, program, unsafeConfig(cache, origin), noFeatures)
	p.awaitReady(t)
	for i, pause := range []time.Duration{0, 30 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
		id := fmt.Sprint("id", i)
		first := dialProxy(t, p.clients)
		if _, err := first.Write(encodeRead("k", id, "take", readTimeout)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		_ = first.Close()
		time.Sleep(pause)
		reply := dialProxy(t, p.clients).roundTrip(encodeRead("k", id, "take", readTimeout))
		if n := received.count(id); n > 1 {
			t.Errorf("repeated %v after its client had left: got %q, and the request ran %d times", pause, reply.head, n)
		}
	}
}

// The same ID must not run a second time at the other process of a hot restart, whichever of the two has received it first.
func TestRepeatedIDDoesNotRunAtBothProcessesOfHotRestart(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	cache, origin, received := startSlowServers(t)
	predecessor := startConfiguredProxy(t, program, unsafeConfig(cache, origin), noFeatures)
	predecessor.awaitReady(t)
	var atPredecessor []*testClient // connections that the predecessor has accepted
	for range 5 {
		client := dialProxy(t, predecessor.clients)
		if reply := client.roundTrip([]byte("*1\r\n$4\r\nPING\r\n")); reply.head != "+PONG" {
			t.Fatal(reply)
		}
		atPredecessor = append(atPredecessor, client)
	}
	sendAndLeave := func(client *testClient, id string) {
		t.Helper()
		if _, err := client.Write(encodeRead("k", id, "take", readTimeout)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		_ = client.Close()
	}
	repeat := func(client *testClient, id string) {
		t.Helper()
		time.Sleep(50 * time.Millisecond)
		reply := client.roundTrip(encodeRead("k", id, "take", readTimeout))
		if n := received.count(id); n != 1 {
			t.Errorf("%s: got %q, and the request ran %d times, want once", id, reply.head, n)
		}
	}
	sendAndLeave(atPredecessor[0], "before the successor")
	successor := predecessor.startSuccessor(t)
	repeat(dialProxy(t, successor.clients), "before the successor")
	sendAndLeave(atPredecessor[1], "at the predecessor")
	repeat(dialProxy(t, successor.clients), "at the predecessor")
	sendAndLeave(dialProxy(t, successor.clients), "at the successor")
	repeat(atPredecessor[2], "at the successor")
	if _, err := atPredecessor[3].Write(encodeRead("k", "still open", "take", readTimeout)); err != nil {
		t.Fatal(err)
	}
	repeat(dialProxy(t, successor.clients), "still open")
}
