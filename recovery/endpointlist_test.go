package recovery

import (
	"strings"
	"testing"
	"time"
)

// endpoints parses an endpoint list such as "+a -b !c", in which a is ready, b is draining and c is removed.
func endpoints(t *testing.T, text string) []Endpoint {
	t.Helper()
	var all []Endpoint
	for _, word := range strings.Fields(text) {
		status, known := map[byte]EndpointStatus{'+': EndpointReady, '-': EndpointDraining, '!': EndpointRemoved}[word[0]]
		if !known {
			t.Fatalf("%q: unknown status %q", text, word[0])
		}
		all = append(all, Endpoint{word[1:], status})
	}
	return all
}

func TestBelieveChoosesListByIndexAndAge(t *testing.T) {
	const maxAge = 24 * time.Hour
	now := time.Unix(1000000, 0)
	for _, test := range []struct {
		name            string
		storedIndex     int64
		stored          string
		age             time.Duration
		configuredIndex int64
		configured      string
		wantStored      bool
		wantDraining    string
	}{
		{"stored list is newer", 9, "+a -b", time.Minute, 7, "+a +b", true, ""},
		{"configured list is newer", 7, "+a -b", time.Minute, 9, "+a +b", false, ""},
		{"same index: the stricter status counts", 7, "+a -b !c", time.Minute, 7, "+a +b +c", false, "b c"},
		{"stored list is newer but over the maximum age", 9, "+a -b", 25 * time.Hour, 7, "+a +b", false, "b"},
		{"stored in the future: the clock was set back", 9, "-a +b", -time.Hour, 7, "+a +b", false, "a"},
		{"no configured list", 9, "+a -b", time.Minute, 0, "", true, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			stored := StoredEndpointList{EndpointList: EndpointList{test.storedIndex, endpoints(t, test.stored)}, SavedAt: now.Add(-test.age)}
			selection := SelectEndpointList(stored, EndpointList{test.configuredIndex, endpoints(t, test.configured)}, now, maxAge)
			draining := strings.Join(selection.Draining, " ")
			if selection.UseStored != test.wantStored || draining != test.wantDraining || selection.Reason == "" {
				t.Errorf("got %+v, want UseStored %v, Draining %q and a reason", selection, test.wantStored, test.wantDraining)
			}
		})
	}
}
