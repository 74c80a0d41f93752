package negativecache

import (
	"errors"
	"testing"
)

func TestSettingsOutOfRangeAreNamed(t *testing.T) {
	valid := Terms{Me: "n1", Entries: 1000, Believe: Second, Grace: Second, Grow: 1}
	for _, c := range []struct {
		name   string
		change func(settings *Terms)
		key    string // of the error; "": none is expected
	}{
		{"valid", func(*Terms) {}, ""},
		{"no entries", func(settings *Terms) { settings.Entries = 0 }, "entries"},
		{"TTL too short", func(settings *Terms) { settings.Believe = 1 }, "believe_s"},
		{"grace too short", func(settings *Terms) { settings.Grace = 1 }, "grace_ms"},
		{"no growth", func(settings *Terms) { settings.Grow = 0 }, "grow_per_s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := valid
			c.change(&settings)
			err := settings.Check()
			if c.key == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			var rangeError *RangeError
			if !errors.As(err, &rangeError) || rangeError.Key != c.key {
				t.Errorf("got %v, want a range error of %s", err, c.key)
			}
		})
	}
}
