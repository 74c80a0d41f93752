package duties

// minSilenceReports is the minimum number of other proxies that have to report a node as not responding before this
// proxy suspects it. A single proxy may send false reports, or may itself have lost its connection to the node.
const minSilenceReports = 2

// suspicion derives hints from other proxies' reports, on nodes that this proxy has not ejected itself.
type suspicion struct {
	view      *fleetView
	decisions *decisionList
}

// reported handles a probe report from another proxy. Several reports of failure from the same proxy within the report
// window count once.
func (s *suspicion) reported(n *node, proxy string, at Time, outcome ProbeOutcome) {
	n.silence = n.silence.since(s.view.oldestReport())
	switch {
	case outcome == ProbeSucceeded && len(n.silence) > 0:
		n.silence = n.silence[:0]
		s.decisions.add(Decision{Action: SetSuspicion, Node: n.name})
	case outcome == ProbeFailed && !n.silence.includes(proxy) && len(n.silence) < maxRecentReports:
		n.silence = append(n.silence, timedReport{proxy, at})
		if len(n.silence) >= minSilenceReports && !n.ejected {
			s.decisions.add(Decision{Action: SetSuspicion, Node: n.name, Enabled: true})
		}
	}
}
