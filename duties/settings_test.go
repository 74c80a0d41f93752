package duties

import (
	"errors"
	"testing"
)

func TestValidSettingsPassTheCheck(t *testing.T) {
	settings := defaultSettings
	if err := settings.Check(); err != nil {
		t.Error(err)
	}
}

func TestValuesOutOfRangeAreNamed(t *testing.T) {
	for _, c := range []struct {
		key    string
		change func(settings *Settings)
	}{
		{"watchers", func(settings *Settings) { settings.Watchers = 1 }},
		{"keepers", func(settings *Settings) { settings.IdleOwners = -1 }},
		{"trial_ms", func(settings *Settings) { settings.ProbeInterval = 1 }},
		{"turn_ms", func(settings *Settings) { settings.TakeoverDelay = 0 }},
	} {
		t.Run(c.key, func(t *testing.T) {
			settings := defaultSettings
			c.change(&settings)
			var rangeError *RangeError
			if err := settings.Check(); !errors.As(err, &rangeError) || rangeError.Key != c.key {
				t.Errorf("got error %v, want a range error for %s", err, c.key)
			}
		})
	}
}

func TestLeaseShorterThanTwoHeartbeatsIsAnError(t *testing.T) {
	settings := defaultSettings
	settings.LeaseDuration = settings.HeartbeatInterval
	var ratioError *SpanRatioError
	if err := settings.Check(); !errors.As(err, &ratioError) || ratioError.LongKey != "patience_ms" {
		t.Errorf("got error %v, want a ratio error for patience_ms", err)
	}
}
