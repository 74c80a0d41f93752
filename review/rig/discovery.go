package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// serve answers one call: the whole list, or a watch until its connection ends.
func (d *discovery) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	for {
		header, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if strings.TrimSpace(header) == "" {
			break
		}
	}
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return
	}
	target, err := url.Parse(fields[1])
	if err != nil {
		return
	}
	wait := d.delay()
	d.rig.note("discovery: %s, answered after %v", fields[1], wait)
	time.Sleep(wait)
	if target.Query().Get("follow") == "1" {
		since, _ := strconv.Atoi(target.Query().Get("since"))
		d.follow(conn, since)
		return
	}
	text, _ := d.whole()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// whole returns the whole list and its version.
func (d *discovery) whole() ([]byte, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"index": d.index, "snapshot": true, "endpoints": d.entries})
	return append(text, '\n'), d.index
}

// follow writes the watch: what changed after a version, or the whole list, then each change, and an empty line every two seconds.
func (d *discovery) follow(conn net.Conn, since int) {
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	write := func(text []byte) error {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		return err
	}
	text, at := d.whole()
	if since <= 0 || since > at || since < 41 {
		if err := write(text); err != nil {
			d.rig.note("discovery: the list was not written: %v", err)
			return
		}
		d.rig.note("discovery: list of index %d written", at)
		since = at
	} else if err := write([]byte("\n")); err != nil {
		d.rig.note("discovery: the watch has ended: %v", err)
		return
	}
	for {
		d.mu.Lock()
		changed := d.changed
		var next []change
		for _, c := range d.changes {
			if c.index > since {
				next = append(next, c)
			}
		}
		d.mu.Unlock()
		for _, c := range next {
			text, _ := json.Marshal(map[string]any{"index": c.index, "snapshot": false, "endpoints": c.entries})
			if write(append(text, '\n')) != nil {
				return
			}
			since = c.index
			d.rig.note("discovery: change of index %d written", c.index)
		}
		if len(next) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			if write([]byte("\n")) != nil {
				return
			}
		}
	}
}

// change has discovery learn of changed entries.
func (d *discovery) change(entries ...map[string]any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	var listed []any
	for _, e := range entries {
		listed = append(listed, e)
		for i, old := range d.entries {
			if old.(map[string]any)["name"] == e["name"] {
				d.entries[i] = e
			}
		}
	}
	d.changes = append(d.changes, change{d.index, listed})
	d.rig.note("discovery has index %d: %v", d.index, listed)
	close(d.changed)
	d.changed = make(chan struct{})
}
