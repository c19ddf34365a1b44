package settings

import (
	"bytes"
	"encoding/json"

	"merlinhitch/internal/storage/audit"
)

// ListKeys tells entries of the settings' lists apart by name, so that a difference names
// the entry and two changes of different entries can be merged.
var ListKeys = audit.Keys{"classes": "name", "plans": "name", "volumes": "name", "nodes": "shard", "target.chap": "user",
	"announce.routers": "name", "announce.groups": "name"}

// tree is what differences are taken of: the settings with their secrets sealed and
// without the version, which every change counts up.
func (s *Settings) tree(k *Key) (any, error) {
	t := map[string]any{}
	if s == nil {
		return t, nil
	}
	b, err := json.Marshal(s.withSealedSecrets(k))
	if err != nil {
		return nil, err
	}
	v, err := audit.Tree(b)
	if err != nil {
		return nil, err
	}
	t = v.(map[string]any) // of a struct
	delete(t, "version")
	return t, nil
}

// fromTree is the inverse. Secrets are opened; the settings are not checked.
func fromTree(t any, version uint64, k *Key) (*Settings, error) {
	b, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	s := &Settings{}
	if err := dec.Decode(s); err != nil {
		return nil, &FaultsError{[]Fault{jsonFault(err)}}
	}
	s.Version = version
	return s, s.unsealSecrets(k)
}

// Diff lists what makes b of a; their secrets are compared and shown sealed.
func Diff(a, b *Settings, k *Key) ([]audit.Change, error) {
	ta, err := a.tree(k)
	if err != nil {
		return nil, err
	}
	tb, err := b.tree(k)
	if err != nil {
		return nil, err
	}
	return audit.Diff(ListKeys, ta, tb), nil
}
