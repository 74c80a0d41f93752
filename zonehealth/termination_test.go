package zonehealth_test

import (
	"testing"
	"time"

	"woodproxy/zonehealth"
)

// Two peers act on a verdict of a later epoch, in service with a flap that has expired for this proxy. The proxy follows
// the verdict and clears the flap. If it then followed the peers in the flap again, the two rules would undo each other
// endlessly.
func TestJudgementEndsOnFlapsOfLaterEpoch(t *testing.T) {
	settings := scenarioSettings()
	controller := zonehealth.New(0, settings)
	controller.SetNodes(1, []zonehealth.Node{{Index: 0, Name: "c0", Zone: "a"}, {Index: 1, Name: "c1", Zone: "b"}})
	controller.SetFleet(2, []zonehealth.Proxy{
		{Name: "a1", Zone: "a", Reachable: true}, {Name: "a2", Zone: "a", Reachable: true}, {Name: "b1", Zone: "b", Reachable: true},
	}, false)
	now := 120 * zonehealth.Second
	report := zonehealth.Report{Verdict: zonehealth.Verdict{Epoch: 7, State: zonehealth.InService, Flaps: 1}}
	for _, peer := range []string{"a1", "a2", "b1"} {
		controller.PeerReport(now, peer, "b", report, 0, reportTTL)
	}
	ended := make(chan struct{})
	go func() {
		controller.Tick(now + 1)
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(300 * time.Millisecond):
		t.Fatal("Tick did not return within 300 ms")
	}
	for _, status := range controller.Statuses(now + 2) {
		if status.Name == "b" && status.Verdict.Epoch != 7 {
			t.Errorf("got %+v, want the peers' epoch 7", status)
		}
	}
}
