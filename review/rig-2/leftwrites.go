package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["left-writes"] = leftWrites }

// leftWrites: clients write long values and go, one after the other, while the origin takes 1.5 s for each.
func leftWrites(record string) {
	r := newRig(record, 90*time.Second)
	d := r.newDiscovery()
	const memoryMB = 64
	answerCache := func(conn net.Conn, c command) error {
		time.Sleep(10 * time.Millisecond)
		if strings.HasPrefix(c.key, "new") {
			_, err := conn.Write(miss)
			return err
		}
		_, err := conn.Write(hit([]byte("value of " + c.key + " for " + c.id)))
		return err
	}
	var longWrites atomic.Int32
	answerOrigin := func(conn net.Conn, f fetch) error {
		time.Sleep(100 * time.Millisecond)
		if len(f.value) > 64<<10 {
			longWrites.Add(1)
			time.Sleep(1400 * time.Millisecond)
		}
		_, err := conn.Write(originValue([]byte("made for " + f.id)))
		return err
	}
	for i, zone := range []string{"saint-louis", "dakar", "saint-louis"} {
		name := fmt.Sprintf("s-%d", i)
		d.set(name, r.newCache(name, answerCache), "std-2c", zone, "active", 0)
	}
	d.set("ledger", r.newOrigin(answerOrigin), "origin", "dakar", "active", 0)
	p := r.startProxy(d.address, settings(), map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 640})
	time.Sleep(500 * time.Millisecond)

	// The platform: it kills a proxy whose memory is over the limit. Only memory of the process's own is counted here.
	var peak atomic.Int64
	stop, killed := make(chan struct{}), make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			kb := anonymousKB(p.cmd.Process.Pid)
			if kb > peak.Load() {
				peak.Store(kb)
			}
			if kb > memoryMB<<10 {
				r.note("platform: %d KiB of the proxy's own memory is over memory_mb (%d KiB): killed", kb, memoryMB<<10)
				_ = p.cmd.Process.Kill()
				close(killed)
				return
			}
		}
	}()

	// Ordinary traffic all the time: 240 requests a second, of which a quarter goes to the origin.
	var open, answered, notAnswered atomic.Int32
	quit := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 60 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			conn, reader, err := dial(p.listen)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			time.Sleep(time.Duration(i) * 4 * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-quit:
					return
				default:
				}
				began, key := time.Now(), fmt.Sprintf("boat-%d", i)
				if n%4 == 0 {
					key = fmt.Sprintf("new-%d-%d", i, n)
				}
				open.Add(1)
				_, err := conn.Write(encode("KV.GET", key, fmt.Sprintf("read-%d-%d", i, n), "c=lookup,t=base-dakar,d=1500"))
				_ = conn.SetReadDeadline(began.Add(2050 * time.Millisecond))
				a := readAnswer(reader)
				open.Add(-1)
				if err != nil || a.kind == "closed" || a.kind == "unreadable" {
					notAnswered.Add(1)
					return
				}
				answered.Add(1)
				time.Sleep(time.Until(began.Add(250 * time.Millisecond)))
			}
		}()
	}
	time.Sleep(8 * time.Second)
	r.note("ordinary traffic for 8 s: %d answered; proxy's own memory at most %d KiB", answered.Load(), peak.Load())

	// Forty clients in two seconds, each with one long write.
	const long = 4 << 20
	value := strings.Repeat("v", long) + "\r\n"
	var writers sync.WaitGroup
	for i := range 40 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			conn, reader, err := dial(p.listen)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
			id, key := fmt.Sprintf("write-%d", i), fmt.Sprintf("plan-%d", i)
			_, err = fmt.Fprintf(conn, "*5\r\n$6\r\nKV.SET\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s", len(key), key, len(id), id, len(facts(i)), facts(i), long, value)
			if err != nil {
				r.note("writer %d: %v", i, err)
				return
			}
			if r.trouble {
				time.Sleep(40 * time.Millisecond)
				r.note("writer %d: sent its value, goes", i)
				return
			}
			a := readAnswer(reader)
			r.note("writer %d: %s %s", i, a.kind, a.text)
		}()
		time.Sleep(50 * time.Millisecond)
	}
	writers.Wait()
	select {
	case <-killed:
	case <-time.After(4 * time.Second):
	}
	openThen := open.Load()
	close(quit)
	clients.Wait()
	close(stop)
	r.note("long writes at the origin: %d; ordinary requests: %d answered, %d not; open at the end %d", longWrites.Load(), answered.Load(), notAnswered.Load(), openThen)
	r.note("the proxy's own memory: at most %d KiB of %d KiB", peak.Load(), memoryMB<<10)
	select {
	case <-killed:
		r.note("BROKEN: the proxy went over its limit of memory")
		r.end(exitBroken)
	default:
	}
	if !p.running() {
		r.note("BROKEN: the proxy has ended")
		r.end(exitBroken)
	}
	r.end(exitHeld)
}

// anonymousKB returns the memory of a process that is neither a file's nor shared, in KiB; 0 if it has ended.
func anonymousKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			var kb int64
			_, _ = fmt.Sscan(rest, &kb)
			return kb
		}
	}
	return 0
}
