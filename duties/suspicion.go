package duties

// minSilenceReports is how many proxies have to report that a node does not answer before this one suspects it: a
// single proxy may lie, or be the one that is cut off.
const minSilenceReports = 2

// suspicion turns other proxies' reports into hints about nodes that this proxy has not ejected itself.
type suspicion struct {
	view      *fleetView
	decisions *decisionList
}

// reported handles another proxy's report on a probe. A proxy that repeats itself within the report window counts
// once.
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
