package main_test

import (
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/wire"
)

const (
	floodClients   = 6
	readingClients = 4
	floodDuration  = 1500 * time.Millisecond
	// floodReadWait is the deadline of the other clients, the shortest of the evidence of 5 December 2026.
	floodReadWait = 150 * time.Millisecond
)

// floods are the streams of commands that flooding clients send: each function returns the command with the given number.
var floods = map[string]func(client, number int) []byte{
	"new classes": func(client, number int) []byte {
		return encodeRead("k", fmt.Sprint("f", client, "-", number), fmt.Sprint("class", client, "-", number), readTimeout)
	},
	"bad deadlines": func(client, number int) []byte {
		facts := fmt.Sprint("c=read,t=x,d=none", number)
		return wire.AppendCommand(nil, []byte("KV.GET"), []byte("k"), []byte(fmt.Sprint("f", client, "-", number)), []byte(facts), -1)
	},
	"PING": func(int, int) []byte { return []byte("*1\r\n$4\r\nPING\r\n") },
	"unknown commands": func(client, number int) []byte {
		return wire.AppendPlainCommand(nil, fmt.Sprint("CMD", client, "-", number))
	},
	"INFO": func(int, int) []byte { return []byte("*1\r\n$4\r\nINFO\r\n") },
	"reads": func(client, number int) []byte {
		return encodeRead(fmt.Sprint("k", number%1000), fmt.Sprint("f", client, "-", number), "read", floodReadWait)
	},
	"large writes": func(client, number int) []byte {
		return encodeWrite(fmt.Sprint("f", client, "-", number), 1<<20)
	},
	"new tenants": func(client, number int) []byte {
		facts := fmt.Sprintf("c=read,t=t%d-%d,d=%d", client, number, floodReadWait.Milliseconds())
		return wire.AppendCommand(nil, []byte("KV.GET"), []byte("k"), []byte(fmt.Sprint("f", client, "-", number)), []byte(facts), -1)
	},
}

// floodBatchBytes is the minimum number of bytes that a flooding client writes at once.
const floodBatchBytes = 8 << 10

// flood sends commands at full speed until the end, discards the replies and returns the number of commands sent.
func flood(address string, client int, command func(client, number int) []byte, end time.Time) (sent int64) {
	var batch []byte
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(end)
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
		for err == nil && time.Now().Before(end) {
			batch = batch[:0]
			for len(batch) < floodBatchBytes {
				batch = append(batch, command(client, int(sent))...)
				sent++
			}
			_, err = conn.Write(batch)
		}
		_ = conn.Close()
	}
	return sent
}

// reconnects are the inputs that flooding clients send on ever new connections. They wait for the end of the reply, and
// connect again at once.
var reconnects = map[string]func(client, number int) []byte{
	"connect and leave": func(int, int) []byte { return nil },
	"noise":             func(int, int) []byte { return []byte("\x00\x01\x02\r\n") },
	"half a command":    func(int, int) []byte { return []byte("*4\r\n$6\r\nKV.") },
	"100 of a new class": func(client, number int) (batch []byte) {
		for i := range 100 {
			batch = append(batch, floods["new classes"](client, 100*number+i)...)
		}
		return batch
	},
}

// reconnect sends the input on one new connection after the other until the end, and returns the number of connections.
func reconnect(address string, client int, input func(client, number int) []byte, end time.Time) (connections int64) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		if command := input(client, int(connections)); len(command) > 0 {
			if _, err := conn.Write(command); err == nil && command[len(command)-1] == '\n' {
				_, _ = conn.Read(make([]byte, 1))
			}
		}
		_ = conn.Close()
		connections++
	}
	return connections
}

// replyCounts counts the replies to clients that read beside a flood.
type replyCounts struct{ all, served, late, slowest, reconnects atomic.Int64 }

func (c *replyCounts) add(reply clientReply) {
	c.all.Add(1)
	if strings.HasPrefix(reply.head, "$") {
		c.served.Add(1)
	}
	if reply.err != nil || reply.endAt > floodReadWait+timeSlack {
		c.late.Add(1)
	}
	for slowest := c.slowest.Load(); int64(reply.endAt) > slowest && !c.slowest.CompareAndSwap(slowest, int64(reply.endAt)); {
		slowest = c.slowest.Load()
	}
}

// readRepeatedly sends one read after the other until the end and counts the replies. A request that crosses the close of
// its connection is sent once more on a new one.
func (c *replyCounts) readRepeatedly(client *testClient, number int, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		command := encodeRead(fmt.Sprint("k", i), fmt.Sprint("r", number, "-", i), "read", floodReadWait)
		reply := client.roundTrip(command)
		if reply.err != nil && reply.head == "" {
			first := reply.endAt
			c.reconnects.Add(1)
			if reply.err = client.redial(); reply.err == nil {
				reply = client.roundTrip(command)
			}
			reply.endAt += first
		}
		c.add(reply)
		time.Sleep(20 * time.Millisecond)
	}
}

// While some clients send small or unsound commands at full speed, other clients got their replies late: a flooding
// client's connection used the proxy's core until the scheduler preempted it. Other clients must get theirs in time.
func TestFloodingClientsDoNotDelayOthers(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	for name, command := range floods {
		t.Run(name, func(t *testing.T) {
			checkFlood(t, program, func(address string, client int, end time.Time) int64 { return flood(address, client, command, end) })
		})
	}
	for name, input := range reconnects {
		t.Run("reconnecting, "+name, func(t *testing.T) {
			checkFlood(t, program, func(address string, client int, end time.Time) int64 { return reconnect(address, client, input, end) })
		})
	}
}

// checkFlood checks that clients get their replies in time while flooding clients run send until the given time. send
// returns what it has sent.
func checkFlood(t *testing.T, program string, send func(address string, client int, end time.Time) int64) {
	t.Helper()
	cache := startCache(t, func(conn net.Conn, _ serverCommand) { writeAll(conn, cacheHead(5), "value", cacheTail) })
	origin := startOrigin(t, func(conn net.Conn, _ serverCommand) { writeAll(conn, originHead(5), "value") })
	p := startConfiguredProxy(t, program, hedgingConfig(false, cache, origin), noFeatures)
	p.awaitReady(t)
	var replies replyCounts
	var sent atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(floodDuration)
	for client := range floodClients {
		clients.Go(func() { sent.Add(send(p.clients, client, end)) })
	}
	for number := range readingClients {
		client := dialProxy(t, p.clients)
		clients.Go(func() { replies.readRepeatedly(client, number, end) })
	}
	clients.Wait()
	peak, err := peakMemoryMB(p.command.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d sent by flooding clients; %d replies to others, %d served, %d late, slowest %v, %d reconnects; peak memory %.1f MiB",
		sent.Load(), replies.all.Load(), replies.served.Load(), replies.late.Load(), time.Duration(replies.slowest.Load()), replies.reconnects.Load(), peak)
	if late := replies.late.Load(); late > 0 {
		t.Errorf("%d of %d replies came after the deadline", late, replies.all.Load())
	}
}
