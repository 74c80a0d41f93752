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

// statusPollInterval is the interval at which proxies are polled for their gossip status and open connections are counted.
const statusPollInterval = 200 * time.Millisecond

// maxSeeds is the maximum number of seeds in a proxy's gossip file.
const maxSeeds = 3

// networkNumbers counts the runs with gossip in this process: each has IP addresses of its own.
var networkNumbers struct {
	sync.Mutex
	n int
}

// nextAddressPrefix returns the first three numbers, with their dots, of the IP addresses of a run.
func nextAddressPrefix() string {
	networkNumbers.Lock()
	defer networkNumbers.Unlock()
	networkNumbers.n++
	return fmt.Sprintf("127.%d.%d.", 100+networkNumbers.n%100, os.Getpid()%250)
}

// setUpGossip reserves the gossip and admin addresses of a proxy and starts the relay through which its peers reach it. Proxy
// and relay each have an IP address of their own.
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

// writeGossipConfigs writes the gossip file of each proxy, with up to maxSeeds other proxies as seeds.
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

// pollGossipStatus records the quota and rows of each available proxy at statusPollInterval until the context ends.
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

// recordGossipStatus polls one proxy and records its quota and rows. Nothing is recorded if the proxy does not reply or has
// become unavailable meanwhile.
func (r *runner) recordGossipStatus(client *http.Client, i int) {
	response, err := client.Get("http://" + r.proxies[i].config.AdminAddress + "/control/peers")
	if err != nil {
		return
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // the body has been read, or reading failed
	if event, ok := parseGossipStatus(string(text)); err == nil && ok && r.load.available[i].Load() {
		event.Proxy = i
		r.log.Record(event)
	}
}

// parseGossipStatus parses a reply to /control/peers into a QuotaReported event, whose MadeFor is "true" while the proxy is
// catching up and "false" otherwise. It reports whether the reply contains a valid quota.
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

// announcement records that a node was announced to a single proxy.
type announcement struct {
	node  string
	proxy int
	at    time.Time
}

// announceToOne adds nodes and announces each to a single proxy, at even intervals over the duration. The nodes are in slow
// start and therefore receive few requests. At the end all of them are published to all proxies.
func (r *runner) announceToOne(ctx context.Context, nodes int, duration time.Duration) {
	var added []*Node
	for k := range nodes {
		n, err := r.startNextNode()
		if err != nil {
			return
		}
		added = append(added, n)
		proxy := r.announcementTarget(k)
		// the discovery agents of the other proxies hold this version back but count it, so that indexes stay equal
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

// announcementTarget returns the proxy for the k-th announcement: if possible, one that is available and whose discovery agent
// serves watches.
func (r *runner) announcementTarget(k int) int {
	proxy := (k*7 + 3) % len(r.discoveries)
	for step := range r.discoveries {
		proxy = (proxy + step) % len(r.discoveries)
		if r.load.available[proxy].Load() && r.discoveries[proxy].Mode() == discoveryServes {
			break
		}
	}
	return proxy
}
