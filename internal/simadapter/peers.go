package simadapter

import (
	"hash/fnv"
	"strconv"
	"strings"

	"woodproxy/balancer"
)

// respondsSuffix marks a report that an endpoint responds again; without it the report is that it stopped responding.
const respondsSuffix = "+"

// peerCode returns the name of an endpoint in reports between peers: a few bytes, since each byte sent has a fee.
func peerCode(name string) string {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return strconv.FormatUint(uint64(hash.Sum32()), 36)
}

// encodePeerReport returns the text of a report about an endpoint.
func encodePeerReport(name string, responds bool) string {
	if responds {
		return peerCode(name) + respondsSuffix
	}
	return peerCode(name)
}

// peerReported passes on a peer's report. One that is malformed, or about an endpoint that was never listed here, is
// ignored.
func (a *adapter) peerReported(in *instance, m *message) []balancer.Decision {
	text := m.at(2)
	if text == nil {
		return nil
	}
	code, responds := strings.CutSuffix(string(text.GetStringBytes()), respondsSuffix)
	node, known := in.nodes.byPeerCode[code]
	if !known {
		return nil
	}
	return in.balancer.PeerReport(a.now, node, responds)
}
