package zonehealth_test

import (
	"testing"

	"woodproxy/zonehealth"

	"github.com/vmihailenco/msgpack/v5"
)

// FuzzReport checks that any report of a peer is ignored or taken without a fault, and that the reports of one peer
// alone evacuate no zone.
func FuzzReport(f *testing.F) {
	valid, err := msgpack.Marshal(&zonehealth.Voice{
		Zone: "b", Word: zonehealth.Against, Ill: []uint32{1, 2},
		Plan: &zonehealth.Stand{Epoch: 3, State: zonehealth.Leaving, RetainedNodes: []uint32{1}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("b1", "b", valid)
	f.Add("a1", "", []byte{0x80})
	f.Fuzz(func(t *testing.T, proxy, zone string, body []byte) {
		var report zonehealth.Voice
		if msgpack.Unmarshal(body, &report) != nil {
			return
		}
		settings := scenarioSettings()
		settings.Cold, settings.ColdFrom = 0, 0
		controller := zonehealth.New(0, settings)
		controller.Nodes(1, []zonehealth.Node{{Index: 0, Name: "c0", Zone: "a"}, {Index: 1, Name: "c1", Zone: "b"}})
		controller.Fleet(2, []zonehealth.Proxy{
			{Name: "a1", Zone: "a", Here: true}, {Name: "b1", Zone: "b", Here: true}, {Name: "b2", Zone: "b", Here: true},
		}, false)
		for now := zonehealth.Time(3); now < 3*zonehealth.Second; now += tickInterval {
			controller.Voice(now, proxy, zone, report, 0, reportTTL)
			controller.Tick(now)
		}
		for _, status := range controller.Shown(4 * zonehealth.Second) {
			if status.Stand.State != zonehealth.In || status.Open != 1 {
				t.Errorf("%+v: want state in, open share 1", status)
			}
		}
	})
}
