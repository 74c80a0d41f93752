package simadapter

import (
	"hash/fnv"
	"strconv"
	"strings"

	"woodproxy/balancer"
)

// respondsSuffix marks a report that an endpoint responds again. A report without the suffix states that the endpoint
// has stopped responding.
const respondsSuffix = "+"

// peerCode returns the short code that replaces an endpoint's name in reports between peers, since the simulator charges
// a fee for each byte sent.
func peerCode(name string) string {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return strconv.FormatUint(uint64(hash.Sum32()), 36)
}

// encodePeerReport returns the text of a report that the named endpoint responds again, or has stopped responding.
func encodePeerReport(name string, responds bool) string {
	if responds {
		return peerCode(name) + respondsSuffix
	}
	return peerCode(name)
}

// peerReported passes a peer's report to the balancer. It ignores a malformed report, and a report about an endpoint
// that has not been in any list of this instance.
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
