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
	floodDuration  = 2 * time.Second
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
		return encodeRead(fmt.Sprint("k", number%1000), fmt.Sprint("f", client, "-", number), "read", readTimeout)
	},
	"new tenants": func(client, number int) []byte {
		facts := fmt.Sprintf("c=read,t=t%d-%d,d=1200", client, number)
		return wire.AppendCommand(nil, []byte("KV.GET"), []byte("k"), []byte(fmt.Sprint("f", client, "-", number)), []byte(facts), -1)
	},
}

// floodBatch is the number of commands that a flooding client writes at once.
const floodBatch = 100

// flood sends commands at full speed until the end, discards the replies and returns the number of commands sent.
func flood(address string, client int, command func(client, number int) []byte, end time.Time) (sent int64) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(end)
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
		for err == nil && time.Now().Before(end) {
			var batch []byte
			for range floodBatch {
				batch = append(batch, command(client, int(sent))...)
				sent++
			}
			_, err = conn.Write(batch)
		}
		_ = conn.Close()
	}
	return sent
}

// replyCounts counts the replies to clients that read beside a flood.
type replyCounts struct{ all, served, late, slowest atomic.Int64 }

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

// readRepeatedly sends one read after the other until the end and counts the replies.
func (c *replyCounts) readRepeatedly(client *testClient, number int, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		c.add(client.roundTrip(encodeRead(fmt.Sprint("k", i), fmt.Sprint("r", number, "-", i), "read", floodReadWait)))
		time.Sleep(20 * time.Millisecond)
	}
}

// While some clients send small or unsound commands at full speed, other clients got their replies late: a flooding
// client's connection used the proxy's core until the scheduler preempted it. Other clients must get theirs in time.
func TestFloodingClientsDoNotDelayOthers(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	for name, command := range floods {
		t.Run(name, func(t *testing.T) {
			cache := startCache(t, func(conn net.Conn, _ serverCommand) { writeAll(conn, cacheHead(5), "value", cacheTail) })
			origin := startOrigin(t, func(conn net.Conn, _ serverCommand) { writeAll(conn, originHead(5), "value") })
			p := startConfiguredProxy(t, program, hedgingConfig(false, cache, origin), noFeatures)
			p.awaitReady(t)
			var replies replyCounts
			var sent atomic.Int64
			var clients sync.WaitGroup
			end := time.Now().Add(floodDuration)
			for client := range floodClients {
				clients.Go(func() { sent.Add(flood(p.clients, client, command, end)) })
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
			t.Logf("%d commands sent by flooding clients; %d replies to others, %d served, %d late, slowest %v; peak memory %.1f MiB",
				sent.Load(), replies.all.Load(), replies.served.Load(), replies.late.Load(), time.Duration(replies.slowest.Load()), peak)
			if late := replies.late.Load(); late > 0 {
				t.Errorf("%d of %d replies came after the deadline", late, replies.all.Load())
			}
		})
	}
}
