package duties

// minFailureReports is the minimum number of other proxies that have to report a node as not responding before this
// proxy suspects it. A single proxy may send false reports, or may itself have lost its connection to the node.
const minFailureReports = 2

// suspicion derives hints from other proxies' reports, on nodes that this proxy has not ejected itself.
type suspicion struct {
	view      *fleetView
	decisions *decisionList
}

// reported handles a probe report from another proxy. Several reports of failure from the same proxy within the report
// window count once.
func (s *suspicion) reported(n *node, proxy string, at Time, outcome ProbeOutcome) {
	n.failureReports = n.failureReports.since(s.view.oldestReport())
	switch {
	case outcome == ProbeSucceeded && len(n.failureReports) > 0:
		n.failureReports = n.failureReports[:0]
		s.decisions.add(Decision{Action: SetSuspicion, Node: n.name})
	case outcome == ProbeFailed && !n.failureReports.includes(proxy) && len(n.failureReports) < maxRecentReports:
		n.failureReports = append(n.failureReports, timedReport{proxy, at})
		if len(n.failureReports) >= minFailureReports && !n.ejected {
			s.decisions.add(Decision{Action: SetSuspicion, Node: n.name, Enabled: true})
		}
	}
}
