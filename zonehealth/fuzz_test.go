package zonehealth_test

import (
	"testing"

	"woodproxy/zonehealth"

	"github.com/vmihailenco/msgpack/v5"
)

// FuzzReport checks that no report of a peer causes a panic, and that the reports of a single peer never evacuate a
// zone.
func FuzzReport(f *testing.F) {
	valid, err := msgpack.Marshal(&zonehealth.Report{
		Zone: "b", Vote: zonehealth.VoteUnhealthy, UnhealthyNodes: []uint32{1, 2},
		Proposal: &zonehealth.Verdict{Epoch: 3, State: zonehealth.PartlyEvacuated, RetainedNodes: []uint32{1}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("b1", "b", valid)
	f.Add("a1", "", []byte{0x80})
	f.Fuzz(func(t *testing.T, proxy, zone string, body []byte) {
		var report zonehealth.Report
		if msgpack.Unmarshal(body, &report) != nil {
			return
		}
		settings := scenarioSettings()
		settings.SlowStartTime, settings.SlowStartInitialFraction = 0, 0
		controller := zonehealth.New(0, settings)
		controller.SetNodes(1, []zonehealth.Node{{Index: 0, Name: "c0", Zone: "a"}, {Index: 1, Name: "c1", Zone: "b"}})
		controller.SetFleet(2, []zonehealth.Proxy{
			{Name: "a1", Zone: "a", Reachable: true}, {Name: "b1", Zone: "b", Reachable: true}, {Name: "b2", Zone: "b", Reachable: true},
		}, false)
		for now := zonehealth.Time(3); now < 3*zonehealth.Second; now += tickInterval {
			controller.PeerReport(now, proxy, zone, report, 0, reportTTL)
			controller.Tick(now)
		}
		for _, status := range controller.Statuses(4 * zonehealth.Second) {
			if status.Verdict.State != zonehealth.InService || status.ServedFraction != 1 {
				t.Errorf("got %+v, want state in, served fraction 1", status)
			}
		}
	})
}
