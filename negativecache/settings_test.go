package negativecache

import (
	"errors"
	"testing"
)

func TestSettingsOutOfRangeAreNamed(t *testing.T) {
	valid := Settings{ProxyName: "n1", Entries: 1000, TTL: Second, ReportGrace: Second, MaxNewKeysPerSecond: 1}
	for _, c := range []struct {
		name   string
		change func(settings *Settings)
		key    string // key in the expected error, empty if no error is expected
	}{
		{"valid", func(*Settings) {}, ""},
		{"no entries", func(settings *Settings) { settings.Entries = 0 }, "entries"},
		{"TTL too short", func(settings *Settings) { settings.TTL = 1 }, "believe_s"},
		{"grace too short", func(settings *Settings) { settings.ReportGrace = 1 }, "grace_ms"},
		{"no growth", func(settings *Settings) { settings.MaxNewKeysPerSecond = 0 }, "grow_per_s"},
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
				t.Errorf("got error %v, want a range error for %s", err, c.key)
			}
		})
	}
}
