package main

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

func init() { cases["held-value"] = heldValue }

// heldValue: a cache node sends the head of a long value and takes three seconds for the rest, while the origin turns
// requests away.
func heldValue(record string) {
	r := newRig(record, 60*time.Second)
	d := r.newDiscovery()
	long := bytes.Repeat([]byte("L"), 200<<10)
	answerCache := func(conn net.Conn, c command) error {
		if strings.HasPrefix(c.key, "long") {
			time.Sleep(30 * time.Millisecond)
			if _, err := fmt.Fprintf(conn, "*3\r\n$%d\r\n", len(long)); err != nil {
				return err
			}
			r.note("cache: sent the head of the value for %s", c.id)
			time.Sleep(3 * time.Second)
			r.note("cache: sends the value for %s", c.id)
			_, err := fmt.Fprintf(conn, "%s\r\n$3\r\nhit\r\n$-1\r\n", long)
			return err
		}
		time.Sleep(20 * time.Millisecond)
		_, err := conn.Write(hit([]byte("value of " + c.key + " for " + c.id)))
		return err
	}
	answerOrigin := func(conn net.Conn, f fetch) error {
		time.Sleep(20 * time.Millisecond)
		if r.trouble {
			r.note("origin: turns %s away", f.id)
			_, err := conn.Write(originBusy)
			return err
		}
		_, err := conn.Write(originValue(long))
		return err
	}
	for i, zone := range []string{"saint-louis", "dakar", "saint-louis"} {
		name := fmt.Sprintf("s-%d", i)
		d.set(name, r.newCache(name, answerCache), "std-2c", zone, "active", 0)
	}
	d.set("ledger", r.newOrigin(answerOrigin), "origin", "dakar", "active", 0)
	p := r.startProxy(d.address, settings(), map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 640})
	time.Sleep(500 * time.Millisecond)

	// Some seconds of ordinary reads.
	conn, reader, err := dial(p.listen)
	r.must(err)
	for i := range 60 {
		_, err = conn.Write(encode("KV.GET", fmt.Sprintf("boat-%d", i), fmt.Sprintf("warm-%d", i), "c=lookup,t=base-dakar,d=1500"))
		r.must(err)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		if a := readAnswer(reader); a.kind != "value" {
			r.note("client: warm-%d: %s %s", i, a.kind, a.text)
		}
		time.Sleep(30 * time.Millisecond)
	}
	_ = conn.Close()

	broken := 0
	for i := range 3 {
		conn, reader, err := dial(p.listen)
		r.must(err)
		id := fmt.Sprintf("read-%d", i)
		sentAt := time.Now()
		_, err = conn.Write(encode("KV.GET", fmt.Sprintf("long-%d", i), id, "c=lookup,t=base-dakar,d=1500"))
		r.must(err)
		r.note("client: sent KV.GET long-%d (id %s), waits 1500 ms", i, id)
		// The answer has begun in time if its first bytes have come by the deadline and half a second.
		_ = conn.SetReadDeadline(sentAt.Add(2050 * time.Millisecond))
		first, err := reader.Peek(1)
		r.note("client: %s: first byte %q after %v (%v)", id, first, time.Since(sentAt).Round(time.Millisecond), err)
		if err != nil {
			broken++
			r.note("BROKEN: %s has no answer half a second after its time", id)
		}
		_ = conn.SetReadDeadline(sentAt.Add(12 * time.Second))
		a := readAnswer(reader)
		r.note("client: %s: %s %s (%d bytes) after %v", id, a.kind, a.text, len(a.value), a.at.Sub(sentAt).Round(time.Millisecond))
		_ = conn.Close()
	}
	if broken > 0 {
		r.end(exitBroken)
	}
	r.end(exitHeld)
}
