package audit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two trees. Old or New is nil where nothing stands at
// the path. A path names fields by dots and entries of keyed lists in brackets, as in
// plans[basico].limit; the order of a keyed list stands at its path with "(order)".
type Change struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Path, or(c.Old, "absent"), or(c.New, "absent"))
}

// mostShown bounds a value in a line for people, in bytes.
const mostShown = 160

func or(v json.RawMessage, none string) string {
	if v == nil {
		return none
	}
	var b bytes.Buffer
	if json.Compact(&b, v) != nil {
		return "what is no value"
	}
	if b.Len() > mostShown {
		return b.String()[:mostShown] + "..."
	}
	return b.String()
}

// Keys says by which field the entries of a list are told apart; lists that it doesn't
// name are compared as a whole.
type Keys map[string]string

const order = "(order)"

// Tree reads JSON as a tree that Diff and Apply take. Numbers stay as they are written.
func Tree(b []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var t any
	if err := d.Decode(&t); err != nil {
		return nil, err
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("audit: more than one value")
	}
	return t, nil
}

// Diff lists what makes b of a, in an order that Apply takes.
func Diff(k Keys, a, b any) []Change {
	d := differ{keys: k}
	d.compare("", a, b, true, true)
	return d.out
}

type differ struct {
	keys Keys
	out  []Change
}

func (d *differ) compare(path string, a, b any, hasA, hasB bool) {
	if hasA && hasB {
		ma, okA := a.(map[string]any)
		mb, okB := b.(map[string]any)
		if okA && okB {
			d.fields(path, ma, mb)
			return
		}
		la, okA := a.([]any)
		lb, okB := b.([]any)
		if key, keyed := d.keys[path]; keyed && okA && okB && d.entries(path, key, la, lb) {
			return
		}
		if reflect.DeepEqual(a, b) {
			return
		}
	}
	d.out = append(d.out, Change{path, raw(a, hasA), raw(b, hasB)})
}

func raw(v any, there bool) json.RawMessage {
	if !there {
		return nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // trees come from JSON
	}
	return b
}

func (d *differ) fields(path string, a, b map[string]any) {
	names := make([]string, 0, len(a)+len(b))
	for n := range a {
		names = append(names, n)
	}
	for n := range b {
		if _, both := a[n]; !both {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		va, inA := a[n]
		vb, inB := b[n]
		at := n
		if path != "" {
			at = path + "." + n
		}
		d.compare(at, va, vb, inA, inB)
	}
}

// entries compares keyed lists; false if an entry has no key or shares one.
func (d *differ) entries(path, key string, a, b []any) bool {
	ka, okA := keysOf(a, key)
	kb, okB := keysOf(b, key)
	if !okA || !okB {
		return false
	}
	inA, inB := index(ka), index(kb)
	var then []string // the order that the changes below lead to
	for i, k := range ka {
		j, both := inB[k]
		if !both {
			d.out = append(d.out, Change{entry(path, k), raw(a[i], true), nil})
			continue
		}
		then = append(then, k)
		d.compare(entry(path, k), a[i], b[j], true, true)
	}
	for j, k := range kb {
		if _, both := inA[k]; !both {
			then = append(then, k)
			d.out = append(d.out, Change{entry(path, k), nil, raw(b[j], true)})
		}
	}
	if !slices.Equal(then, kb) {
		d.out = append(d.out, Change{path + order, raw(then, true), raw(kb, true)})
	}
	return true
}

func keysOf(list []any, key string) ([]string, bool) {
	out := make([]string, len(list))
	seen := make(map[string]bool, len(list))
	for i, e := range list {
		m, ok := e.(map[string]any)
		if !ok {
			return nil, false
		}
		switch v := m[key].(type) {
		case string:
			out[i] = v
		case json.Number:
			out[i] = v.String()
		default:
			return nil, false
		}
		if seen[out[i]] {
			return nil, false
		}
		seen[out[i]] = true
	}
	return out, true
}

func index(keys []string) map[string]int {
	m := make(map[string]int, len(keys))
	for i, k := range keys {
		m[k] = i
	}
	return m
}

var escape, unescape = strings.NewReplacer("%", "%25", "]", "%5D"), strings.NewReplacer("%25", "%", "%5D", "]")

func entry(path, key string) string { return path + "[" + escape.Replace(key) + "]" }

// MismatchError says that a change was made from something else than stands there.
type MismatchError struct {
	Path        string
	Found, Want json.RawMessage
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("audit: at %s stands %s, the change was made from %s", e.Path, or(e.Found, "nothing"), or(e.Want, "nothing"))
}

// step is one part of a path: a field, or an entry of a list.
type step struct {
	name  string
	entry bool
}

// steps takes a path apart.
func steps(path string) (out []step, err error) {
	for rest := path; rest != ""; {
		if rest[0] == '[' {
			end := strings.IndexByte(rest, ']')
			if end < 0 {
				return nil, fmt.Errorf("audit: path %.80q has no end of an entry", path)
			}
			out, rest = append(out, step{unescape.Replace(rest[1:end]), true}), rest[end+1:]
			continue
		}
		rest = strings.TrimPrefix(rest, ".")
		end := strings.IndexAny(rest, ".[")
		if end < 0 {
			end = len(rest)
		}
		if end == 0 {
			return nil, fmt.Errorf("audit: path %.80q has an empty field", path)
		}
		out, rest = append(out, step{rest[:end], false}), rest[end:]
	}
	return out, nil
}

// Apply makes changes to a tree, which it may alter and which is of no use after an
// error. Each must find what it was made from.
func Apply(k Keys, tree any, changes []Change) (any, error) {
	for _, c := range changes {
		var err error
		if list, ok := strings.CutSuffix(c.Path, order); ok {
			tree, err = reorder(k, tree, list, c)
		} else {
			var at []step
			if at, err = steps(c.Path); err == nil {
				tree, err = editor{k, c}.edit("", tree, true, at)
			}
		}
		if err != nil {
			return nil, err
		}
	}
	return tree, nil
}

type absent struct{}

type editor struct {
	keys Keys
	c    Change
}

// edit returns node with the change made below it; absent{} if it goes.
func (e editor) edit(path string, node any, there bool, at []step) (any, error) {
	if len(at) == 0 {
		return e.replace(node, there)
	}
	if at[0].entry {
		return e.inList(path, node, at)
	}
	m, ok := node.(map[string]any)
	if !ok {
		return nil, &MismatchError{e.c.Path, nil, e.c.Old}
	}
	sub := at[0].name
	if path != "" {
		sub = path + "." + sub
	}
	old, has := m[at[0].name]
	v, err := e.edit(sub, old, has, at[1:])
	if err != nil {
		return nil, err
	}
	if v == (absent{}) {
		delete(m, at[0].name)
	} else {
		m[at[0].name] = v
	}
	return m, nil
}

func (e editor) inList(path string, node any, at []step) (any, error) {
	l, ok := node.([]any)
	keys, fine := keysOf(l, e.keys[path])
	if !ok || !fine {
		return nil, &MismatchError{e.c.Path, nil, e.c.Old}
	}
	i := slices.Index(keys, at[0].name)
	var old any
	if i >= 0 {
		old = l[i]
	}
	v, err := e.edit(entry(path, at[0].name), old, i >= 0, at[1:])
	switch {
	case err != nil:
		return nil, err
	case v == (absent{}):
		return slices.Delete(l, i, i+1), nil
	case i < 0:
		return append(l, v), nil
	}
	l[i] = v
	return l, nil
}

func (e editor) replace(node any, there bool) (any, error) {
	var want any
	if e.c.Old != nil {
		var err error
		if want, err = Tree(e.c.Old); err != nil {
			return nil, err
		}
	}
	if there != (e.c.Old != nil) || there && !reflect.DeepEqual(node, want) {
		return nil, &MismatchError{e.c.Path, raw(node, there), e.c.Old}
	}
	if e.c.New == nil {
		return absent{}, nil
	}
	return Tree(e.c.New)
}

// reorder puts a keyed list in the order that a change says.
func reorder(k Keys, tree any, path string, c Change) (any, error) {
	at, err := steps(path)
	if err != nil {
		return nil, err
	}
	node := tree
	for _, s := range at {
		m, ok := node.(map[string]any)
		if !ok || s.entry {
			return nil, &MismatchError{c.Path, nil, c.Old}
		}
		node = m[s.name]
	}
	l, ok := node.([]any)
	keys, fine := keysOf(l, k[path])
	var want []string
	if !ok || !fine || json.Unmarshal(c.New, &want) != nil || len(want) != len(keys) {
		return nil, &MismatchError{c.Path, raw(keys, true), c.Old}
	}
	places, sorted := index(keys), make([]any, 0, len(l))
	for _, w := range want {
		i, there := places[w]
		if !there {
			return nil, &MismatchError{c.Path, raw(keys, true), c.Old}
		}
		delete(places, w)
		sorted = append(sorted, l[i])
	}
	copy(l, sorted)
	return tree, nil
}

// Invert returns what undoes changes.
func Invert(changes []Change) []Change {
	out := make([]Change, len(changes))
	for i, c := range changes {
		out[len(out)-1-i] = Change{c.Path, c.New, c.Old}
	}
	return out
}

// Collision is two changes of the same thing.
type Collision struct {
	Mine   Change `json:"mine"`
	Theirs Change `json:"theirs"`
}

// Merge brings two changes of one base together: mine on top of theirs. Where they touch
// the same path, or one touches a part of what the other does, they collide and nothing
// is merged, unless both did the same.
func Merge(k Keys, base, mine, theirs any) (merged any, collisions []Collision, err error) {
	a, b := Diff(k, base, mine), Diff(k, base, theirs)
	var rest []Change
	for _, m := range a {
		same := false
		for _, t := range b {
			if !related(m, t) {
				continue
			}
			if m.Path == t.Path && bytes.Equal(m.New, t.New) && (m.New == nil) == (t.New == nil) {
				same = true
				continue
			}
			collisions = append(collisions, Collision{m, t})
		}
		if !same {
			rest = append(rest, m)
		}
	}
	if len(collisions) > 0 {
		return nil, collisions, nil
	}
	merged, err = Apply(k, clone(theirs), rest)
	return merged, nil, err
}

func clone(t any) any {
	c, err := Tree(raw(t, true))
	if err != nil {
		panic(err) // it was a tree
	}
	return c
}

// related tells whether two changes touch the same thing. A new order stands against
// whatever enters or leaves its list.
func related(a, b Change) bool {
	if a.Path == b.Path || under(a.Path, b.Path) || under(b.Path, a.Path) {
		return true
	}
	return reorders(a, b) || reorders(b, a)
}

func reorders(a, b Change) bool {
	list, ok := strings.CutSuffix(a.Path, order)
	return ok && (b.Path == list || strings.HasPrefix(b.Path, list+"[") && (b.Old == nil || b.New == nil) && strings.Count(b.Path[len(list):], "]") == 1 && strings.HasSuffix(b.Path, "]"))
}

// under tells whether a is a part of b.
func under(a, b string) bool {
	if strings.HasSuffix(a, order) || strings.HasSuffix(b, order) {
		return false
	}
	rest, ok := strings.CutPrefix(a, b)
	return ok && rest != "" && (b == "" || rest[0] == '.' || rest[0] == '[')
}
