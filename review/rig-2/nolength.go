package main

import (
	"bytes"
	"fmt"
	"net"
	"time"
)

func init() { cases["no-length"] = noLength }

// noLength: the origin answers reads of long values without a length, whole and at once.
func noLength(record string) {
	r := newRig(record, 60*time.Second)
	d := r.newDiscovery()
	const reads, size = 10, 1536 << 10
	whole := map[string]int{}
	answerCache := func(conn net.Conn, c command) error {
		time.Sleep(10 * time.Millisecond)
		_, err := conn.Write(miss)
		return err
	}
	answerOrigin := func(conn net.Conn, f fetch) error {
		time.Sleep(60 * time.Millisecond)
		value := bytes.Repeat([]byte("<"+f.id+">"), size/(len(f.id)+2))
		text := originValue(value)
		if r.trouble {
			text = []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for rest := value; len(rest) > 0; {
				n := min(len(rest), 64<<10)
				text = fmt.Appendf(text, "%x\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			text = append(text, "0\r\n\r\n"...)
		}
		n, err := conn.Write(text)
		r.note("origin: answer to %s, %d of %d bytes written (%v)", f.id, n, len(text), err)
		r.mu.Lock()
		whole[f.id]++
		r.mu.Unlock()
		return err
	}
	for i, zone := range []string{"saint-louis", "dakar", "saint-louis"} {
		name := fmt.Sprintf("s-%d", i)
		d.set(name, r.newCache(name, answerCache), "std-2c", zone, "active", 0)
	}
	d.set("ledger", r.newOrigin(answerOrigin), "origin", "dakar", "active", 0)
	p := r.startProxy(d.address, settings(), map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 640})
	time.Sleep(500 * time.Millisecond)

	forwarded := 0
	for i := range reads {
		conn, reader, err := dial(p.listen)
		r.must(err)
		id := fmt.Sprintf("read-%d", i)
		sentAt := time.Now()
		_, err = conn.Write(encode("KV.GET", fmt.Sprintf("plan-%d", i), id, "c=lookup,t=base-dakar,d=1500"))
		r.must(err)
		_ = conn.SetReadDeadline(sentAt.Add(5 * time.Second))
		a := readAnswer(reader)
		r.note("client: %s: %s %s (%d bytes) after %v", id, a.kind, a.text, len(a.value), a.at.Sub(sentAt).Round(time.Millisecond))
		if a.kind == "value" && bytes.HasPrefix(a.value, []byte("<"+id+">")) {
			forwarded++
		}
		_ = conn.Close()
		time.Sleep(300 * time.Millisecond)
	}
	r.note("%d of %d answers were forwarded; fetches by request: %v", forwarded, reads, whole)
	if 2*forwarded < reads {
		r.note("BROKEN: less than half of the answers that the origin gave whole were forwarded")
		r.end(exitBroken)
	}
	r.end(exitHeld)
}
