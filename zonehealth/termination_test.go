package zonehealth_test

import (
	"testing"
	"time"

	"woodproxy/zonehealth"
)

// Two peers act on a verdict of an epoch that this proxy does not have, in service with a flap that is past its time:
// one tick judges that to an end.
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
		t.Fatal("the tick does not end")
	}
	for _, status := range controller.Statuses(now + 2) {
		if status.Name == "b" && status.Verdict.Epoch != 7 {
			t.Errorf("%+v: the peers' epoch is not followed", status)
		}
	}
}
