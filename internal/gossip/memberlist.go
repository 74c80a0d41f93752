package gossip

import (
	"fmt"
	"log"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
)

// socketAddress is an IP address and a port.
type socketAddress struct {
	host string
	port int
}

func parseSocketAddress(address string) (socketAddress, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return socketAddress{}, fmt.Errorf("parsing address: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return socketAddress{}, fmt.Errorf("parsing port: %w", err)
	}
	return socketAddress{host, port}, nil
}

// listenIP returns the IP address of the listen address in a valid configuration.
func listenIP(config *Config) net.IP {
	host, _, _ := net.SplitHostPort(config.Listen) // can't fail: the configuration is valid
	return net.ParseIP(host)
}

// createMemberlist binds the listen address and starts memberlist with the given node name. The caller must shut it down.
func createMemberlist(
	config *Config, node string, callbacks memberlist.Delegate, logger *zap.Logger, counters *Counters,
) (*memberlist.Memberlist, error) {
	listen, err := parseSocketAddress(config.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	advertise, err := parseSocketAddress(config.Advertise)
	if err != nil {
		return nil, fmt.Errorf("peers: advertise: %w", err)
	}
	libraryLogger := log.New(&libraryLog{logger: logger, faults: &counters.Faults}, "", 0)
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{listen.host},
		BindPort:  listen.port,
		Logger:    libraryLogger,
	})
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}

	options := memberlistOptions()
	options.Name, options.Label = node, config.Cluster
	options.BindAddr, options.BindPort = listen.host, listen.port
	options.AdvertiseAddr, options.AdvertisePort = advertise.host, advertise.port
	options.Transport = newTransport(inner, listenIP(config), counters)
	options.Logger = libraryLogger
	options.Delegate = callbacks
	members, err := memberlist.Create(options)
	if err != nil {
		_ = options.Transport.Shutdown() // only the error of memberlist.Create is reported
		return nil, fmt.Errorf("peers: %w", err)
	}
	return members, nil
}

// memberlistOptions returns the options that are the same for all proxies. Intervals and timeouts are shorter than
// memberlist's defaults for a local network, because quotas depend on the membership.
func memberlistOptions() *memberlist.Config {
	options := memberlist.DefaultLANConfig()
	options.GossipInterval = 100 * time.Millisecond
	options.GossipNodes = 4
	options.GossipToTheDeadTime = time.Minute
	options.ProbeInterval = 500 * time.Millisecond
	options.ProbeTimeout = 250 * time.Millisecond
	options.SuspicionMult = 4
	options.TCPTimeout = time.Second
	options.PushPullInterval = 15 * time.Second
	options.RetransmitMult = 3
	options.EnableCompression = false
	options.UDPBufferSize = 1400 // bytes; a packet of this size fits into one Ethernet frame
	options.HandoffQueueDepth = 1024
	return options
}

// nodeName returns the name under which a proxy process is a node of memberlist. The incarnation distinguishes the process
// from its predecessors.
func nodeName(proxy string, incarnation int64) string {
	return fmt.Sprintf("%s/%d", proxy, incarnation)
}

// latestNode returns the node with the highest incarnation of a proxy, or nil if no node belongs to the proxy.
func latestNode(nodes []*memberlist.Node, proxy string) *memberlist.Node {
	var latest *memberlist.Node
	var latestIncarnation string
	for _, node := range nodes {
		separator := strings.LastIndexByte(node.Name, '/') // the last one, as the name of a proxy may contain slashes
		if separator < 0 || node.Name[:separator] != proxy {
			continue
		}
		// Incarnations are Unix times in milliseconds. They can be compared as text, as all have the same number of digits.
		if incarnation := node.Name[separator:]; latest == nil || incarnation > latestIncarnation {
			latest, latestIncarnation = node, incarnation
		}
	}
	return latest
}
