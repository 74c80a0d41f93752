package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["empty-value"] = emptyValue }

// emptyValue: a read of a key whose value is empty, while long values are more than memory holds.
func emptyValue(record string) {
	r := newRig(record, 60*time.Second)
	d := r.newDiscovery()
	answerCache := func(conn net.Conn, c command) error {
		switch {
		case strings.HasPrefix(c.key, "empty"):
			time.Sleep(550 * time.Millisecond)
			_, err := conn.Write(hit(nil))
			return err
		default:
			time.Sleep(10 * time.Millisecond)
			_, err := conn.Write(hit([]byte("value of " + c.key + " for " + c.id)))
			return err
		}
	}
	answerOrigin := func(conn net.Conn, f fetch) error {
		time.Sleep(20 * time.Millisecond)
		_, err := conn.Write(originValue([]byte("receipt for " + f.id)))
		return err
	}
	origin := r.newOrigin(answerOrigin)
	for i, zone := range []string{"saint-louis", "dakar", "saint-louis"} {
		name := fmt.Sprintf("s-%d", i)
		d.set(name, r.newCache(name, answerCache), "std-2c", zone, "active", 0)
	}
	d.set("ledger", origin, "origin", "dakar", "active", 0)
	p := r.startProxy(d.address, settings(), map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 640})
	time.Sleep(500 * time.Millisecond)

	// The reader sends two commands at once on one connection.
	conn, reader, err := dial(p.listen)
	r.must(err)
	sentAt := time.Now()
	_, err = conn.Write(append(encode("KV.GET", "empty-1", "read-1", "c=lookup,t=base-dakar,d=1500"),
		encode("KV.GET", "boat-2", "read-2", "c=lookup,t=base-dakar,d=1500")...))
	r.must(err)
	r.note("client: sent KV.GET empty-1 (id read-1) and KV.GET boat-2 (id read-2) on one connection")

	var uploads sync.WaitGroup
	if r.trouble {
		// Writers that take two seconds for their values: two of 3 MiB, 200 of 60,000 bytes.
		for i := range 202 {
			size := 60000
			if i < 2 {
				size = 3 << 20
			}
			if i == 2 {
				time.Sleep(50 * time.Millisecond)
			}
			uploads.Add(1)
			go func() {
				defer uploads.Done()
				r.slowWrite(p.listen, i, size)
			}()
		}
	}
	deadline := sentAt.Add(1500*time.Millisecond + 550*time.Millisecond)
	_ = conn.SetReadDeadline(deadline)
	broken := false
	first := readAnswer(reader)
	r.note("client: answer to read-1 after %v: %s %s", first.at.Sub(sentAt).Round(time.Millisecond), first.kind, first.text)
	if first.kind == "closed" || first.kind == "unreadable" || first.kind == "value" && len(first.value) != 0 {
		broken = true
		r.note("BROKEN: read-1 got no whole answer within its time and half a second")
	}
	second := readAnswer(reader)
	r.note("client: next on the connection after %v: %s %s %q", second.at.Sub(sentAt).Round(time.Millisecond), second.kind, second.text, second.value)
	if !broken && (second.kind == "closed" || second.kind == "unreadable") {
		broken = true
		r.note("BROKEN: read-2 got no whole answer within its time and half a second")
	}
	uploads.Wait()
	if !p.running() {
		r.note("the proxy has ended")
	}
	if broken {
		r.end(exitBroken)
	}
	r.end(exitHeld)
}

// slowWrite writes a value in pieces over about two seconds and reads the answer.
func (r *rig) slowWrite(address string, i, size int) {
	conn, reader, err := dial(address)
	if err != nil {
		r.note("writer %d: %v", i, err)
		return
	}
	defer conn.Close()
	id := fmt.Sprintf("write-%d", i)
	head := fmt.Sprintf("*5\r\n$6\r\nKV.SET\r\n$%d\r\nboat-%d\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n", len(fmt.Sprintf("boat-%d", i)), i, len(id), id,
		len(facts(i)), facts(i), size)
	value := strings.Repeat("v", size) + "\r\n"
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write([]byte(head)); err != nil {
		return
	}
	const pieces = 10
	for n := range pieces {
		piece := value[len(value)*n/pieces : len(value)*(n+1)/pieces]
		if _, err := conn.Write([]byte(piece)); err != nil {
			r.note("writer %d: %v", i, err)
			return
		}
		if n < pieces-1 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	a := readAnswer(reader)
	r.note("writer %d (%d bytes): %s %s", i, size, a.kind, a.text)
}

func facts(i int) string { return fmt.Sprintf("c=hold,t=base-dakar,d=3000,k=5c0f6e1a2b3d%04x", i) }
