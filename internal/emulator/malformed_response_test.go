package emulator_test

import (
	"testing"

	"woodproxy/internal/emulator"
)

// Guards against values that no server made: all caches answer three requests in ten with noise, lengths that do not fit and
// other forms that are no response. No request may be served anything but its own value, and the others are served.
func TestMalformedResponsesAreNotServed(t *testing.T) {
	t.Parallel()
	const leastCompleted = 0.5
	text := withFaults(
		scenarioWith(`"plain"`, `"malformed"`),
		`kind = "garbled"; at_s = 0.0; for_s = 2.0; nodes = 3; part = 0.3`,
	)
	r := playWithoutViolation(t, text, startInProcess)
	outcomes := countOutcomes(r)
	if completedFraction(r) < leastCompleted || outcomes[emulator.Unanswered] > 0 {
		t.Errorf("%d requests: %v, want at least %.0f%% completed and none unanswered", len(r.Plan.Requests), outcomes, 100*leastCompleted)
	}
}
