package main_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"woodproxy/internal/wire"
)

const (
	crowdClients     = 900 // more than the proxy admits with its limit of descriptors
	crowdDuration    = 4 * time.Second
	crowdMemoryMB    = 32 // the smallest limit that the operators' pages name
	crowdValueLength = 4 << 20
)

// crowds are the ways in which each client of a crowd uses its connection until the end.
var crowds = map[string]func(conn net.Conn, client int){
	"slow writers": func(conn net.Conn, client int) {
		command := encodeWrite(fmt.Sprint("w", client), 60<<10)
		for len(command) > 0 {
			n := min(len(command), 2000)
			if _, err := conn.Write(command[:n]); err != nil {
				return
			}
			command = command[n:]
			time.Sleep(100 * time.Millisecond)
		}
	},
	"half of a large request": func(conn net.Conn, client int) {
		command := encodeWrite(fmt.Sprint("h", client), crowdValueLength)
		_, _ = conn.Write(command[:len(command)/2])
		_, _ = io.Copy(io.Discard, conn)
	},
	"half of a request of 64 KiB": func(conn net.Conn, client int) {
		command := encodeWrite(fmt.Sprint("h", client), 64<<10)
		_, _ = conn.Write(command[:len(command)-100])
		_, _ = io.Copy(io.Discard, conn)
	},
	"many short fields": func(conn net.Conn, client int) {
		facts := "c=read,t=x,d=1200," + strings.Repeat("a=,", 300) + "z="
		for i := 0; ; i++ {
			command := wire.AppendCommand(nil, []byte("KV.GET"), []byte("k"), []byte(fmt.Sprint("f", client, "-", i)), []byte(facts), -1)
			if _, err := conn.Write(command); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	},
	"many words": func(conn net.Conn, _ int) {
		for {
			if _, err := io.WriteString(conn, "*16\r\n"+strings.Repeat("$1\r\na\r\n", 16)); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	},
	"slow readers of long values": func(conn net.Conn, client int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(8 << 10)
		piece := make([]byte, 4<<10)
		for i := 0; ; i++ {
			if _, err := conn.Write(encodeRead(fmt.Sprint("long", client), fmt.Sprint("l", client, "-", i), "read", readTimeout)); err != nil {
				return
			}
			for range 20 {
				if _, err := conn.Read(piece); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	},
	"slow readers of values of 60 KB": func(conn net.Conn, client int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(8 << 10)
		piece := make([]byte, 4<<10)
		for i := 0; ; i++ {
			for j := range 10 {
				if _, err := conn.Write(encodeRead(fmt.Sprint("mid", client), fmt.Sprint("m", client, "-", i, "-", j), "read", readTimeout)); err != nil {
					return
				}
			}
			for range 20 {
				if _, err := conn.Read(piece); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	},
}

// encodeWrite returns a command that writes a value of the given length to the key k.
func encodeWrite(id string, length int) []byte {
	command := wire.AppendCommand(nil, []byte("KV.SET"), []byte("k"), []byte(id), []byte("c=put,t=x,d=1200,k=k"+id), length)
	return append(append(command, strings.Repeat("v", length)...), "\r\n"...)
}

// peakMemoryMB returns the peak resident memory of a process in MiB, or an error if it has exited.
func peakMemoryMB(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	line := lineOf(string(text), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "VmHWM:"), " kB")))
	return float64(kilobytes) / 1024, err
}

// Hundreds of clients that write slowly, stop half way through a request, send many short fields or read long values slowly
// must not make a process exceed its memory limit.
func TestCrowdsStayWithinMemoryLimit(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	long, mid := strings.Repeat("v", crowdValueLength), strings.Repeat("v", 60_000)
	names := slices.Sorted(maps.Keys(crowds))
	crowds["all of these"] = func(conn net.Conn, client int) { crowds[names[client%len(names)]](conn, client) }
	for name, behave := range crowds {
		t.Run(name, func(t *testing.T) { // one after the other: a dial would wait for the goroutines of all crowds together
			value := func(key string) string {
				switch {
				case strings.HasPrefix(key, "long"):
					return long
				case strings.HasPrefix(key, "mid"):
					return mid
				}
				return "value"
			}
			cache := startCache(t, func(conn net.Conn, command serverCommand) {
				v := value(command.key)
				writeAll(conn, cacheHead(len(v)), v, cacheTail)
			})
			origin := startOrigin(t, func(conn net.Conn, command serverCommand) {
				v := value(command.key)
				writeAll(conn, originHead(len(v)), v)
			})
			config := strings.Replace(hedgingConfig(false, cache, origin), `"seed"`, fmt.Sprintf(
				`"limits":{"cores":1,"memory_mb":%d,"sockets":1024},"seed"`, crowdMemoryMB), 1)
			p := startConfiguredProxy(t, program, config, noFeatures)
			p.awaitReady(t)
			var crowd sync.WaitGroup
			var conns []net.Conn
			for client := range crowdClients {
				conn, err := net.DialTimeout("tcp", p.clients, time.Second)
				if err != nil {
					t.Fatal(err)
				}
				conns = append(conns, conn)
				crowd.Go(func() { behave(conn, client) })
			}
			time.Sleep(crowdDuration)
			for _, conn := range conns {
				_ = conn.Close() // the proxy may have closed it
			}
			crowd.Wait()
			peak, err := peakMemoryMB(p.command.Process.Pid)
			t.Logf("%s: peak %.1f MiB", name, peak)
			if err != nil || peak > crowdMemoryMB {
				t.Errorf("peak of %.1f MiB, limit %d MiB, error %v", peak, crowdMemoryMB, err)
			}
		})
	}
}
