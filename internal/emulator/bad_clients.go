package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// malformedRequests are the byte sequences that malformed clients send.
var malformedRequests = []string{
	"GET / HTTP/1.1\r\n\r\n",
	"*4\r\n$6\r\nKV.GET\r\n$-5\r\n",
	"*1\r\n$99999999\r\n",
	"\x00\x01\x02\r\n",
	"*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$7\r\nc=x,d=5\r\n$999999999\r\n",
	"*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$0\r\n\r\n$7\r\nc=x,d=5\r\n",
	"*4\r\n$6\r\nKV.",
}

// malformedTimeout is the time within which a proxy must reply to a malformed request or close the connection.
const malformedTimeout = 3 * time.Second

// sendMalformed sends the i-th malformed request. It reports whether the proxy replied with an error or closed the
// connection within malformedTimeout, or was down.
func sendMalformed(address string, i int) bool {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return true // the proxy is down
	}
	defer func() { _ = conn.Close() }() // the reply has been read
	if err := conn.SetDeadline(time.Now().Add(malformedTimeout)); err != nil {
		return false
	}
	_, _ = io.WriteString(conn, malformedRequests[i%len(malformedRequests)]) // the read below reports a closed connection
	first, err := bufio.NewReader(conn).ReadByte()
	if err != nil {
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	return first == '-'
}

const (
	slowReaderRequests = 64
	slowReadSize       = 16 // bytes per read
	slowReadInterval   = 100 * time.Millisecond
)

// readSlowly emulates a client that pipelines requests and reads the replies slowly. It returns when its connection or the
// context ends.
func readSlowly(ctx context.Context, address, id string, route Route, sent *sentCommands) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	closeConn := func() { _ = conn.Close() } // the second call fails
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	for i := range slowReaderRequests {
		requestID, command := fmt.Sprint(id, "-", i), clientCommand{name: commandRead, key: keyName(uint64(i)), facts: route.requestFacts()}
		sent.record(requestID, command)
		_, err := conn.Write(command.encode(requestID))
		if err != nil {
			return
		}
	}
	buffer := make([]byte, slowReadSize)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		time.Sleep(slowReadInterval)
	}
}

const (
	burstRequests    = 40
	maxBurstDuration = 30 * time.Millisecond
)

// sendBurst emulates a client that sends many requests at once and closes its connection within maxBurstDuration without
// reading.
func (r *runner) sendBurst(proxy, number int) {
	conn, err := net.DialTimeout("tcp", r.load.addresses[proxy], dialTimeout)
	if err != nil {
		return
	}
	route := r.plan.Scenario.Routes[0]
	var commands []byte
	ids := make([]string, burstRequests)
	for i := range ids {
		ids[i] = fmt.Sprintf("burst%d-%d-%d", r.bursts.Add(1), proxy, i)
		r.cluster.recordProxy(ids[i], proxy)
		command := clientCommand{name: commandRead, key: keyName(uint64(i)), facts: route.requestFacts()}
		r.cluster.sent.record(ids[i], command)
		commands = append(commands, command.encode(ids[i])...)
	}
	_, _ = conn.Write(commands) // the client leaves even if the write fails
	time.Sleep(maxBurstDuration * time.Duration(number%4) / 4)
	_ = conn.Close() // replies are not read
	for _, id := range ids {
		r.log.Record(Event{Kind: ClientLeft, RequestID: id, Proxy: proxy})
	}
}

// injectBursts starts clients that send a burst of requests and leave, at the rate of the fault until it ends.
func (r *runner) injectBursts(ctx context.Context, fault activeFault) {
	var clients sync.WaitGroup
	for i := 0; time.Now().Before(fault.endsAt) && ctx.Err() == nil; i++ {
		clients.Go(func() { r.sendBurst(i%len(r.load.addresses), i) })
		sleep(ctx, seconds(1/fault.Rate))
	}
	clients.Wait()
}

// floodBatch is the number of commands that a flooding client writes at once.
const floodBatch = 50

// sendFlood emulates a client that sends commands of ever new classes and PINGs at full speed and discards the replies, until
// the context ends.
func sendFlood(ctx context.Context, address string, client int) {
	for number := 0; ctx.Err() == nil; {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			sleep(ctx, dialRetryDelay)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // closing it twice fails
		go func() { _, _ = io.Copy(io.Discard, conn) }()            // ends with the connection
		for err == nil {
			var batch []byte
			for range floodBatch {
				id := fmt.Sprintf("flood%d-%d", client, number)
				batch = append(batch, encodeCommand(commandRead, "k", id, fmt.Sprintf("c=%s,t=all,d=500", id))...)
				batch = append(batch, encodeCommand("PING")...)
				number++
			}
			_, err = conn.Write(batch)
		}
		stop()
		_ = conn.Close() // the write has failed
	}
}
