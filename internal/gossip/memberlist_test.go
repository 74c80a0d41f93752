package gossip

import (
	"testing"

	"github.com/hashicorp/memberlist"
)

func TestLatestNode(t *testing.T) {
	nodes := []*memberlist.Node{
		{Name: "a/1700000000001"},
		{Name: "a/1700000000003"},
		{Name: "a/1700000000002"},
		{Name: "zone/a/1700000000009"},
		{Name: "without-incarnation"},
	}
	for _, test := range []struct{ name, proxy, want string }{
		{"highest incarnation", "a", "a/1700000000003"},
		{"proxy name with the separator", "zone/a", "zone/a/1700000000009"},
		{"node name without the separator", "without-incarnation", ""},
		{"unknown proxy", "b", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			if node := latestNode(nodes, test.proxy); node != nil {
				got = node.Name
			}
			if got != test.want {
				t.Errorf("got node %q, want %q", got, test.want)
			}
		})
	}
}
