package recovery

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The usual way, with peers and without, and with nobody who answers: each stage has its end.
func TestStages(t *testing.T) {
	for _, c := range []struct {
		name  string
		talks bool
		play  func(r *Instance, now Time)
		want  string // stages, with seconds at which each began
	}{
		{"told at once", false, func(r *Instance, now Time) {
			if now == Second {
				r.Listed(now)
			}
			r.Answered(true)
		}, "alone 0 warming 1 full 2"},
		{"helped by peers", true, func(r *Instance, now Time) {
			r.Peers(now, 3, now < 2*Second)
			r.Answered(true)
		}, "alone 0 catching up 0 warming 2 full 3"},
		{"nobody says a thing", true, func(r *Instance, now Time) {}, "alone 0 catching up 2 warming 7 full 17"},
		{"nobody, and no peers", false, func(r *Instance, now Time) {}, "alone 0 warming 2 full 12"},
		{"peers that never help", true, func(r *Instance, now Time) { r.Peers(now, 2, true) }, "alone 0 catching up 0 warming 5 full 15"},
		{"late answers", false, func(r *Instance, now Time) {
			r.Listed(now)
			r.Answered(now%(Second/2) == 0)
		}, "alone 0 warming 0 full 10"},
	} {
		r := New(0, Usual(c.talks), "", 0)
		got, last := "alone 0", Alone
		for now := Time(0); now < 30*Second; now += Second / 10 {
			c.play(r, now)
			if r.Tick(now); r.Stage() != last {
				last = r.Stage()
				got += fmt.Sprintf(" %v %d", last, now/Second)
			}
		}
		if got != c.want {
			t.Errorf("%s: %s, not %s", c.name, got, c.want)
		}
	}
}

// Whatever comes in whatever order, it is full in the end, and within the time of its stages; who stands still begins anew.
func TestAlwaysFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := New(0, Usual(rapid.Bool().Draw(t, "talks")), "", 0), Time(0)
		for range rapid.IntRange(0, 60).Draw(t, "calls") {
			now += Time(rapid.Int64Range(0, int64(Second)).Draw(t, "gap"))
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				r.Listed(now)
			case 1:
				r.Peers(now, rapid.IntRange(0, 3).Draw(t, "here"), rapid.Bool().Draw(t, "behind"))
			case 2:
				r.Answered(rapid.Bool().Draw(t, "in time"))
			default:
				r.Tick(now)
			}
		}
		end := now + r.Alone + r.Catch + r.Warm + Second
		for ; now < end; now += Second / 10 {
			r.Tick(now)
		}
		if r.Stage() != Full || r.Shown(now).FullMS == 0 {
			t.Fatalf("%+v", r.Shown(now))
		}
		if r.Tick(now + 10*Second); r.Stage() == Full || r.Shown(now).Returns == 0 {
			t.Fatalf("after ten seconds that it stood still: %+v", r.Shown(now))
		}
	})
}
