package settings

import (
	"bytes"
	"encoding/json"

	"merlinhitch/internal/storage/audit"
)

// ListKeys gives for each list of the settings the field that identifies its entries, so
// that differences name the entry and changes of different entries can be merged.
var ListKeys = audit.Keys{"classes": "name", "plans": "name", "volumes": "name", "nodes": "shard", "target.chap": "user",
	"announce.routers": "name", "announce.groups": "name"}

// tree returns the settings as the JSON tree that differences are computed on: with sealed
// secrets and without the version, which every change increments.
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
	t = v.(map[string]any) // a struct is encoded as an object
	delete(t, "version")
	return t, nil
}

// fromTree is the inverse of tree. It unseals the secrets and does not check the settings.
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

// Diff lists the changes from a to b. Secrets are compared and shown sealed.
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
