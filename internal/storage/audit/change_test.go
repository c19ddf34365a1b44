package audit_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"merlinhitch/internal/storage/audit"
)

var keys = audit.Keys{"plans": "name", "nodes": "shard"}

func tree(t interface{ Fatal(...any) }, text string) any {
	v, err := audit.Tree([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// drawTree makes trees that differ in all the ways that settings can.
func drawTree(t *rapid.T, label string) any {
	var plans, nodes []any
	for _, n := range rapid.Permutation([]string{"a", "b.c", "d]", "e%5D"}).Draw(t, label+" plans")[:rapid.IntRange(0, 4).Draw(t, label+" n")] {
		plans = append(plans, map[string]any{"name": n, "limit": rapid.IntRange(0, 2).Draw(t, label+" limit")})
	}
	for _, n := range rapid.Permutation([]int{0, 1, 2}).Draw(t, label+" nodes")[:rapid.IntRange(0, 3).Draw(t, label+" m")] {
		nodes = append(nodes, map[string]any{"shard": n, "hall": "h"})
	}
	m := map[string]any{"plans": plans, "nodes": nodes, "limits": map[string]any{"most": rapid.IntRange(0, 1).Draw(t, label+" most")}}
	if rapid.Bool().Draw(t, label+" some") {
		m["announce"] = map[string]any{"list": []int{1, rapid.IntRange(0, 2).Draw(t, label+" entry")}}
	}
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return tree(t, string(b))
}

// What Diff lists makes the one of the other, and its inverse takes it back, also the
// order of the entries.
func TestADifferenceLeadsThereAndBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawTree(t, "a"), drawTree(t, "b")
		d := audit.Diff(keys, a, b)
		there, err := audit.Apply(keys, copyOf(t, a), d)
		if err != nil || !reflect.DeepEqual(there, b) {
			t.Fatalf("%v: %v, want %v after %v", err, there, b, d)
		}
		back, err := audit.Apply(keys, there, audit.Invert(d))
		if err != nil || !sameSet(back, a) {
			t.Fatalf("%v: %v, want %v after %v", err, back, a, audit.Invert(d))
		}
		if len(audit.Diff(keys, a, a)) != 0 {
			t.Fatal("a tree differs from itself")
		}
	})
}

// sameSet compares trees but for the order of keyed lists: undoing a removal puts the
// entry last where no change of order is listed.
func sameSet(a, b any) bool {
	for _, c := range audit.Diff(keys, a, b) {
		if c.Path != "plans(order)" && c.Path != "nodes(order)" {
			return false
		}
	}
	return true
}

func copyOf(t interface{ Fatal(...any) }, v any) any {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return tree(t, string(b))
}

// A merge is never made of two changes of one thing, and has all of both otherwise.
func TestAMergeHasBothOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawTree(t, "base"), drawTree(t, "mine"), drawTree(t, "theirs")
		got, collisions, err := audit.Merge(keys, base, mine, theirs)
		if err != nil {
			t.Fatal(err)
		}
		if len(collisions) > 0 {
			return
		}
		for _, d := range audit.Diff(keys, base, mine) {
			for _, left := range audit.Diff(keys, got, mine) {
				if left.Path == d.Path && d.New != nil && string(left.New) == string(d.New) && d.Path[len(d.Path)-1] != ')' {
					t.Fatalf("%v was not taken over", d)
				}
			}
		}
	})
}

func TestCollisions(t *testing.T) {
	base := `{"plans":[{"name":"a","limit":1,"burst":1},{"name":"b","limit":1}],"limits":{"x":1,"y":1}}`
	for _, x := range []struct {
		name, mine, theirs string
		collide            bool
		want               string
	}{
		{"different fields of one plan", `{"plans":[{"name":"a","limit":2,"burst":1},{"name":"b","limit":1}],"limits":{"x":1,"y":1}}`,
			`{"plans":[{"name":"a","limit":1,"burst":3},{"name":"b","limit":1}],"limits":{"x":1,"y":1}}`, false,
			`{"plans":[{"name":"a","limit":2,"burst":3},{"name":"b","limit":1}],"limits":{"x":1,"y":1}}`},
		{"one limit", `{"plans":[{"name":"a","limit":2,"burst":1},{"name":"b","limit":1}],"limits":{"x":1,"y":1}}`,
			`{"plans":[{"name":"a","limit":3,"burst":1},{"name":"b","limit":1}],"limits":{"x":1,"y":1}}`, true, ""},
		{"one limit to the same", `{"plans":[{"name":"a","limit":2,"burst":1},{"name":"b","limit":1}],"limits":{"x":1,"y":1}}`,
			`{"plans":[{"name":"a","limit":2,"burst":1},{"name":"b","limit":1}],"limits":{"x":1,"y":2}}`, false,
			`{"plans":[{"name":"a","limit":2,"burst":1},{"name":"b","limit":1}],"limits":{"x":1,"y":2}}`},
		{"a plan goes that the other changes", `{"plans":[{"name":"b","limit":1}],"limits":{"x":1,"y":1}}`,
			`{"plans":[{"name":"a","limit":3,"burst":1},{"name":"b","limit":1}],"limits":{"x":1,"y":1}}`, true, ""},
		{"both add", `{"plans":[{"name":"a","limit":1,"burst":1},{"name":"b","limit":1},{"name":"c","limit":1}],"limits":{"x":1,"y":1}}`,
			`{"plans":[{"name":"a","limit":1,"burst":1},{"name":"b","limit":1},{"name":"d","limit":1}],"limits":{"x":1,"y":1}}`, false,
			`{"plans":[{"name":"a","limit":1,"burst":1},{"name":"b","limit":1},{"name":"d","limit":1},{"name":"c","limit":1}],"limits":{"x":1,"y":1}}`},
		{"an order against an addition", `{"plans":[{"name":"b","limit":1},{"name":"a","limit":1,"burst":1}],"limits":{"x":1,"y":1}}`,
			`{"plans":[{"name":"a","limit":1,"burst":1},{"name":"b","limit":1},{"name":"d","limit":1}],"limits":{"x":1,"y":1}}`, true, ""},
	} {
		got, collisions, err := audit.Merge(keys, tree(t, base), tree(t, x.mine), tree(t, x.theirs))
		if err != nil || (len(collisions) > 0) != x.collide {
			t.Errorf("%s: %v, %v", x.name, collisions, err)
			continue
		}
		if !x.collide && !reflect.DeepEqual(got, tree(t, x.want)) {
			t.Errorf("%s: %v, want %s", x.name, got, x.want)
		}
	}
}

func TestAChangeFromSomethingElseIsRefused(t *testing.T) {
	for _, c := range []audit.Change{
		{Path: "limits.x", Old: json.RawMessage("2"), New: json.RawMessage("3")},
		{Path: "limits.z", Old: json.RawMessage("2")},
		{Path: "plans[z].limit", Old: json.RawMessage("2")},
		{Path: "plans[a", Old: json.RawMessage("2")},
		{Path: "limits.x.y", New: json.RawMessage("2")},
		{Path: "limits[x]", New: json.RawMessage("2")},
		{Path: "..", New: json.RawMessage("2")},
		{Path: "plans(order)", Old: json.RawMessage(`["a"]`), New: json.RawMessage(`["b"]`)},
		{Path: "plans(order)", Old: json.RawMessage(`["a"]`), New: json.RawMessage(`["a","a"]`)},
	} {
		if got, err := audit.Apply(keys, tree(t, `{"plans":[{"name":"a","limit":1}],"limits":{"x":1}}`), []audit.Change{c}); err == nil {
			t.Errorf("%v was made: %v", c, got)
		}
	}
}

func FuzzApply(f *testing.F) {
	f.Add(`{"plans":[{"name":"a","limit":1}]}`, "plans[a].limit", "1", "2")
	f.Add(`{"plans":[{"name":"a"}],"nodes":[]}`, "plans(order)", `["a"]`, `["a"]`)
	f.Add(`{}`, "plans[", "", "2")
	f.Fuzz(func(t *testing.T, at, path, before, after string) {
		v, err := audit.Tree([]byte(at))
		if err != nil {
			return
		}
		c := audit.Change{Path: path}
		if before != "" {
			c.Old = json.RawMessage(before)
		}
		if after != "" {
			c.New = json.RawMessage(after)
		}
		if got, err := audit.Apply(keys, v, []audit.Change{c}); err == nil {
			if _, err := json.Marshal(got); err != nil {
				t.Fatal(fmt.Errorf("made something that is no tree: %w", err))
			}
		}
	})
}
