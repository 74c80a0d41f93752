package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// statusPollInterval is how often proxies are polled for their gossip status, and open connections are counted.
const statusPollInterval = 200 * time.Millisecond

// maxSeeds is how many seeds a proxy's gossip file names.
const maxSeeds = 3

// networkNumbers counts the runs with gossip in this process: each has IP addresses of its own.
var networkNumbers struct {
	sync.Mutex
	n int
}

// nextAddressPrefix returns the beginning of the addresses of a run.
func nextAddressPrefix() string {
	networkNumbers.Lock()
	defer networkNumbers.Unlock()
	networkNumbers.n++
	return fmt.Sprintf("127.%d.%d.", 100+networkNumbers.n%100, os.Getpid()%250)
}

// setUpGossip chooses where a proxy's peers reach it: at a relay, which has an IP address of its own, as the proxy has.
func (r *runner) setUpGossip(i int, m *managedProxy) error {
	proxyIP, relayIP := fmt.Sprint(r.addressPrefix, i+1), fmt.Sprint(r.addressPrefix, i+101)
	listen, err := r.reservePort(proxyIP)
	if err != nil {
		return err
	}
	advertised, err := r.reservePort(relayIP)
	if err != nil {
		return err
	}
	r.proxyByIP[proxyIP] = proxyName(i)
	peerRelay, err := newRelay(r.network, proxyName(i), advertised, listen, r.proxyByIP)
	if err != nil {
		return err
	}
	r.relays = append(r.relays, peerRelay)
	for m.config.AdminAddress = listen; m.config.AdminAddress == listen; {
		if m.config.AdminAddress, err = r.reservePort(proxyIP); err != nil {
			return err
		}
	}
	m.config.GossipFile = filepath.Join(m.config.Dir, "peers.toml")
	return nil
}

// writeGossipConfigs writes each proxy's gossip file, with other proxies as seeds.
func (r *runner) writeGossipConfigs() error {
	peers := r.plan.Scenario.Gossip
	for i, own := range r.relays {
		var seeds []string
		for k, other := range r.relays {
			if k != i && len(seeds) < maxSeeds {
				seeds = append(seeds, fmt.Sprintf("%q", other.listenAddress))
			}
		}
		text := fmt.Sprintf("cluster = \"day\"\nlisten = %q\nadvertise = %q\nseeds = [%s]\n",
			own.targetAddress, own.listenAddress, strings.Join(seeds, ", "))
		if peers.HoldDownS > 0 {
			text += fmt.Sprintf("hold_s = %v\n", peers.HoldDownS)
		}
		if peers.QuotaFloor > 0 {
			text += fmt.Sprintf("floor = %v\n", peers.QuotaFloor)
		}
		if err := os.WriteFile(r.proxies[i].config.GossipFile, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// pollGossipStatus records each proxy's quota and rows at each statusPollInterval until the context ends.
func (r *runner) pollGossipStatus(ctx context.Context) {
	var polls sync.WaitGroup
	for i := range r.proxies {
		polls.Go(func() {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for sleep(ctx, statusPollInterval) {
				if r.load.available[i].Load() {
					r.recordGossipStatus(client, i)
				}
			}
		})
	}
	polls.Wait()
}

// recordGossipStatus polls one proxy; one that does not answer, or is no longer available then, is left out.
func (r *runner) recordGossipStatus(client *http.Client, i int) {
	response, err := client.Get("http://" + r.proxies[i].config.AdminAddress + "/control/peers")
	if err != nil {
		return
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it has been read, or reading it failed
	if event, ok := parseGossipStatus(string(text)); err == nil && ok && r.load.available[i].Load() {
		event.Proxy = i
		r.log.Record(event)
	}
}

// parseGossipStatus reads a proxy's answer about its peers into a QuotaReported event; MadeFor is whether the proxy is catching up. It
// reports whether the answer could be read.
func parseGossipStatus(text string) (event Event, ok bool) {
	event.Kind = QuotaReported
	for line := range strings.SplitSeq(text, "\n") {
		if _, rest, found := strings.Cut(line, "; behind "); found {
			var behind, quota string
			if _, err := fmt.Sscanf(rest, "%s share %s", &behind, &quota); err != nil {
				return event, false
			}
			event.MadeFor = strings.TrimSuffix(behind, ",")
			figure, err := strconv.ParseFloat(quota, 64)
			event.Figure, ok = figure, err == nil
		}
		if strings.HasPrefix(line, "packets ") {
			var streams, in, out int64
			if _, err := fmt.Sscanf(line, "packets %d streams %d bytes-in %d bytes-out %d", &event.GossipPackets, &streams, &in, &out); err == nil {
				event.GossipBytes = in + out
			}
		}
		if rows, found := strings.CutPrefix(line, "rows node "); found {
			event.Note = rows
		}
	}
	return event, ok
}

// announcement is a node that was announced to one proxy alone.
type announcement struct {
	node  string
	proxy int
	at    time.Time
}

// announceToOne adds nodes, which are in slow start and so receive little, and announces each to one proxy alone, spread over a
// time. At the end all proxies are told of them.
func (r *runner) announceToOne(ctx context.Context, nodes int, duration time.Duration) {
	var added []*Node
	for k := range nodes {
		n, err := r.startNextNode()
		if err != nil {
			return
		}
		added = append(added, n)
		proxy := r.pickAnnounced(k)
		// the other proxies' discovery agents count this version too, and hold it back
		for i, d := range r.discoveries {
			d.setWithholding(i != proxy)
			d.Publish(r.endpointRow(n, i, statusActive))
		}
		r.mu.Lock()
		r.announcements = append(r.announcements, announcement{n.Name, proxy, time.Now()})
		r.mu.Unlock()
		if !sleep(ctx, duration/time.Duration(nodes)) {
			return
		}
	}
	r.mu.Lock()
	r.nodes = append(r.nodes, added...)
	r.mu.Unlock()
	for _, d := range r.discoveries {
		d.setWithholding(false)
	}
}

// pickAnnounced returns the proxy for the k-th announcement: one that is available and whose discovery agent serves, where there
// is such a one.
func (r *runner) pickAnnounced(k int) int {
	proxy := (k*7 + 3) % len(r.discoveries)
	for step := range r.discoveries {
		proxy = (proxy + step) % len(r.discoveries)
		if r.load.available[proxy].Load() && r.discoveries[proxy].Mode() == discoveryServes {
			break
		}
	}
	return proxy
}
