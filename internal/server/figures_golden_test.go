package server_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/duties"
	"woodproxy/internal/proxy"
	"woodproxy/negativecache"
	"woodproxy/rebalance"
	"woodproxy/recovery"
	"woodproxy/zonehealth"
)

// fill sets each exported field to a different value that is not zero, so that the JSON contains every field.
func fill(t *testing.T, v reflect.Value, count *int) {
	t.Helper()
	*count++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i), count)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(t, v.Index(i), count)
		}
	case reflect.String:
		v.SetString(fmt.Sprint("text-", *count))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*count))
	case reflect.Float64:
		v.SetFloat(float64(*count) + 0.5)
	default:
		t.Fatalf("field of unsupported kind %v", v.Kind())
	}
}

func encode(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestFiguresJSONGolden checks the JSON keys, and their order, of the types in responses and requests of the admin API.
func TestFiguresJSONGolden(t *testing.T) {
	var all strings.Builder
	for _, c := range []struct {
		name  string
		value any // a pointer to a zero value
	}{
		{"GET /control/turns", &duties.Stats{}},
		{"GET /control/recovery", &recovery.Status{}},
		{"GET /control/missing", &negativecache.Stats{}},
		{"POST /control/moves/plan, response", &rebalance.Plan{}},
		{"POST /control/moves/plan, request", &rebalance.Inventory{}},
		{"a migration of a plan", &rebalance.Migration{}},
		{"a node of an inventory", &rebalance.Node{}},
		{"a shard of an inventory", &rebalance.Shard{}},
		{"a shortfall of a node, in an error", &rebalance.Shortfall{}},
	} {
		fmt.Fprintf(&all, "=== %s\nempty:  %s\n", c.name, encode(t, c.value))
		count := 0
		fill(t, reflect.ValueOf(c.value).Elem(), &count)
		fmt.Fprintf(&all, "filled: %s\n", encode(t, c.value))
	}
	goldentest.Text(t, "figures.golden", all.String())
}

// fullInventory is an inventory with every key.
const fullInventory = `{"nodes":[{"name":"a","zone":"x","room_bytes":10,"weight":1.5,"leaves":true}],` +
	`"shards":[{"id":1,"bytes":2,"on":"a","want":"b","pin":true,"zones":["x","y"],"apart":"g"}]}`

// TestInventoryJSON checks that an inventory with every key is decoded and encoded without loss.
func TestInventoryJSON(t *testing.T) {
	in := json.NewDecoder(strings.NewReader(fullInventory))
	in.DisallowUnknownFields()
	var inventory rebalance.Inventory
	if err := in.Decode(&inventory); err != nil {
		t.Fatal(err)
	}
	requireFilled(t, "inventory", reflect.ValueOf(inventory))
	if got := encode(t, inventory); got != fullInventory {
		t.Errorf("got:  %s\nwant: %s", got, fullInventory)
	}
}

// requireFilled reports an error for each field that is empty, which means that no key of the JSON text sets it.
func requireFilled(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s: empty", path)
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			requireFilled(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			requireFilled(t, path, v.Index(i))
		}
	}
}

// TestCounterNamesGolden checks the names and the order of the counters, which are part of INFO, the log and the metrics.
func TestCounterNamesGolden(t *testing.T) {
	counters := &proxy.Counters{}
	goldentest.Text(t, "counters.golden", counters.String())
	var listed strings.Builder
	counters.Each(func(name string, value int64) { fmt.Fprintf(&listed, "%s %d\n", name, value) })
	if listed.String() != counters.String() {
		t.Errorf("got %q from Each, want the result of String, %q", listed.String(), counters.String())
	}
}

// TestStateWordsGolden checks the words for stages, zone states and override modes in output for operators, and that the
// words for override modes are accepted as input.
func TestStateWordsGolden(t *testing.T) {
	var all strings.Builder
	for s := recovery.Stage(0); s < 4; s++ {
		fmt.Fprintf(&all, "stage %d %s\n", s, s)
	}
	for s := zonehealth.State(0); s < 4; s++ {
		fmt.Fprintf(&all, "zone state %d %s\n", s, s)
	}
	for w := zonehealth.OverrideMode(0); w < 4; w++ {
		fmt.Fprintf(&all, "override %d %s\n", w, w)
		if zonehealth.OverrideModes[w.String()] != w {
			t.Errorf("override mode %v can't be parsed from its own name", w)
		}
	}
	goldentest.Text(t, "state_words.golden", all.String())
}
