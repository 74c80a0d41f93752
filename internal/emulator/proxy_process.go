package emulator

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// The proxies' processes.

// start starts a proxy and waits until it serves.
func (p *runner) startProxy(ctx context.Context, i int) error {
	m := p.proxies[i]
	// two troubles may kill one proxy, and each starts it again: the first process would never be told to end, and the day not end
	m.mu.Lock()
	twice := m.running
	m.running = true
	m.mu.Unlock()
	if twice {
		return nil
	}
	p.discoveries[i].RecordKnownAtStart()
	now, err := p.options.Start(m.site)
	if err != nil {
		return err
	}
	if p.relays != nil {
		if err := p.relays[i].listen(); err != nil {
			return err
		}
	}
	mine := &incarnation{Proxy: now, ended: make(chan struct{})}
	m.mu.Lock()
	m.current = mine
	m.mu.Unlock()
	p.processWatchers.Add(1)
	go func() {
		defer p.processWatchers.Done()
		<-now.Done()
		p.load.available[i].Store(false)
		if p.relays != nil && !p.network.isCutOff(proxyName(i)) { // over a link that is cut nobody hears a refusal
			p.relays[i].refuse()
		}
		if c, ok := now.(interface{ CPU() time.Duration }); ok {
			p.proxyCPU.Add(int64(c.CPU()))
		}
		m.mu.Lock()
		note := mine.endNote
		m.running = false
		m.mu.Unlock()
		close(mine.ended)
		if note == "" {
			note = "crashed"
		}
		p.log.Record(Seen{What: Ended, Proxy: i, Note: note})
	}()
	for range 500 {
		if conn, err := net.DialTimeout("tcp", m.site.Listen, time.Second); err == nil {
			conn.SetDeadline(time.Now().Add(2 * time.Second))
			conn.Write(EncodeCommand("PING"))
			b := make([]byte, 5)
			_, err := conn.Read(b)
			conn.Close()
			if err == nil && string(b) == "+PONG" {
				p.load.available[i].Store(true)
				return nil
			}
		}
		select {
		case <-now.Done():
			return fmt.Errorf("proxy %d ended at its start; its log is in %s", i, m.site.Dir)
		default:
		}
		if !sleep(ctx, 10*time.Millisecond) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("proxy %d does not serve", i)
}

// end ends a proxy by a signal, or kills it, and waits.
func (p *runner) endProxy(i int, s os.Signal, note string) {
	m := p.proxies[i]
	m.mu.Lock()
	now := m.current
	if now != nil && now.endNote == "" {
		now.endNote = note
	}
	m.mu.Unlock()
	if now == nil {
		return
	}
	p.load.available[i].Store(false) // the front learns of it at once
	if s == nil {
		now.Kill()
	} else {
		now.Signal(s)
	}
	select {
	case <-now.Done():
	case <-time.After(6 * time.Second):
		now.Kill()
		<-now.Done()
	}
	<-now.ended
}

// Program starts a program as a process for each proxy, whose log is kept in its directory.
func Program(words ...string) Start {
	return func(s ProxyConfig) (Proxy, error) {
		log, err := os.OpenFile(filepath.Join(s.Dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		c := exec.Command(words[0], words[1:]...)
		c.Env = append(os.Environ(), "GW_CONFIG="+s.ConfigFile, "GW_NAME="+s.Name, "GW_LISTEN="+s.Listen, "GW_DISCOVERY="+s.Discovery,
			"TMPDIR="+filepath.Join(s.Dir, "tmp"))
		for _, f := range [...][2]string{{"PEERS", s.GossipFile}, {"STATE", s.StateDir}, {"MISSING", s.NegativeCacheFile}, {"MOVES", s.RebalanceFile}, {"TURNS", s.DutiesFile}, {"ZONES", s.ZoneHealthFile}} {
			if f[1] != "" {
				c.Env = append(c.Env, "GW_"+f[0]+"="+f[1])
			}
		}
		c.Stdout, c.Stderr = log, log
		if err := c.Start(); err != nil {
			log.Close()
			return nil, err
		}
		done := make(chan error, 1)
		go func() {
			done <- c.Wait()
			log.Close()
			close(done)
		}()
		return process{c, done}, nil
	}
}

type process struct {
	command *exec.Cmd
	done    chan error
}

func (p process) Signal(s os.Signal) { p.command.Process.Signal(s) }
func (p process) Kill()              { p.command.Process.Kill() }
func (p process) Done() <-chan error { return p.done }

// CPU is what the process took, once it has ended.
func (p process) CPU() time.Duration {
	if s := p.command.ProcessState; s != nil {
		return s.UserTime() + s.SystemTime()
	}
	return 0
}
