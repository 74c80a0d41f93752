package simadapter_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/internal/simadapter"
)

var attemptLine = regexp.MustCompile(`\["try",1,"(t\d+)",[\d.]+,"(\w+)"\]`)

// TestRetryGroupGolden checks on which endpoints deduplicated requests are retried after a connection reset. Each
// combination of zone and cell has one endpoint, so that each retry group permits a different set of endpoints.
func TestRetryGroupGolden(t *testing.T) {
	const nodes = `["register",3,[["std","SERVING",0,null,1,"z","c1"],["std","SERVING",1,null,1,"z","c2"],` +
		`["std","SERVING",0,null,1,"y","c3"],["std","SERVING",1,null,1,"y","c4"]]]`
	var table bytes.Buffer
	for _, group := range []string{"all", "zone", "cell"} {
		settings := strings.NewReplacer(`"group":"all"`, `"group":"`+group+`"`, `"effect":"pure"`, `"effect":"token"`,
			`"zones":["z"]`, `"zones":["z","y"]`).Replace(validSetup)
		first := oneBatch(nodes + "\n" + `["boot",1,99,` + settings + "]\n" + `["fleet",1,1,3,"SAVED"]` + "\n" + orders(8, "null"))
		var reply, output bytes.Buffer
		if err := simadapter.Serve(strings.NewReader(first), &reply); err != nil {
			t.Fatal(err)
		}
		attempts := attemptLine.FindAllStringSubmatch(reply.String(), -1)
		if len(attempts) != 8 {
			t.Fatalf("got %d attempts, want 8:\n%s", len(attempts), reply.String())
		}
		var outcomes strings.Builder
		for _, attempt := range attempts {
			fmt.Fprintf(&outcomes, `["returned",1,%q,%q,0,null,4,"cut",false,null]`+"\n", attempt[1], attempt[2])
		}
		if err := simadapter.Serve(strings.NewReader(first+oneBatch(outcomes.String())), &output); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&table, "# %s\n%s", group, blankLogTexts(output.Bytes()))
	}
	goldentest.Text(t, "repeat_groups.golden", table.String())
}
