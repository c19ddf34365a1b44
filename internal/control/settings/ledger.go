package settings

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"sync"

	"merlinhitch/internal/storage/audit"
	"merlinhitch/internal/storage/durable"
)

// Author says who changes something, when and why.
type Author struct {
	Who, Why string
	TimeMS   int64 // wall clock, ms since 1970
	// ReadOnlyPaths are paths at and below which the author may change nothing.
	ReadOnlyPaths []string
}

// ForbiddenError says that an author may not change something.
type ForbiddenError struct{ Who, Path string }

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("settings: %s may not change %s", e.Who, e.Path)
}

// checkAllowed finds a change that its author may not make.
func (by *Author) checkAllowed(changes []audit.Change) error {
	for _, c := range changes {
		for _, p := range by.ReadOnlyPaths {
			below, above := strings.CutPrefix(p, c.Path+".")
			if strings.HasPrefix(c.Path, p) || above && (hasField(c.Old, below) || hasField(c.New, below)) {
				return &ForbiddenError{by.Who, p}
			}
		}
	}
	return nil
}

// hasField tells whether an object hasField a field.
func hasField(object json.RawMessage, field string) bool {
	var m map[string]json.RawMessage
	return json.Unmarshal(object, &m) == nil && m[field] != nil
}

// SecretPaths are where secrets stand.
var SecretPaths = []string{"target.chap", "target.mutual"}

// recordLog is where records are kept: audit.Store or audit.Memory.
type recordLog interface {
	Append(*audit.Record) error
	Each(from uint64, f func(*audit.Record) error) error
	Chain() audit.Chain
	Close() error
}

// maxMemoryRecords is how many records a store without a file knows.
const maxMemoryRecords = 1024

// Store keeps the settings in force and the record of how they came about. A change is
// accepted once its record is kept; the snapshot follows, and a start after a crash
// between the two brings it up to the record.
type Store struct {
	mu          sync.Mutex
	file        string
	key         *Key
	records     recordLog
	current     *Settings
	snapshotErr error // why the snapshot is behind the record
	appendErr   error // why it is not known whether the last change is in the record
	watchers    []func(*Settings)
	validate    func(old, next *Settings) []Fault
}

// auditSuffix goes behind a snapshot's name: the file of its record.
const auditSuffix = ".audit"

// Open reads the snapshot in file and the record beside it; without any the store is
// empty. File "" keeps nothing beyond the process. Secrets are sealed with the key.
func Open(file string, k *Key) (*Store, error) {
	st := &Store{file: file, key: k}
	if file == "" {
		st.records = audit.NewMemory(maxMemoryRecords)
		if k == nil { // nobody reads the seals later, but a changed secret must show
			var b [minKeyBytes]byte
			rand.Read(b[:]) // never fails
			st.key, _ = NewKey(b[:])
		}
		return st, nil
	}
	s, err := Load(file, k)
	if err != nil && !errors.Is(err, ErrNoSnapshot) {
		return nil, err
	}
	kept, err := audit.OpenStore(file + auditSuffix)
	if err != nil {
		return nil, err
	}
	st.records = kept
	if st.current, err = st.catchUp(s); err != nil {
		kept.Close()
		return nil, err
	}
	if err := durable.RemoveTemp(file); err != nil && st.snapshotErr == nil {
		st.snapshotErr = err
	}
	return st, nil
}

// resolveAppend finds out whether the change whose append failed stands in the record, before
// another may follow it: the record's file is written anew, for after a failed sync nothing
// tells what of it is on the disk. A change that stands comes into force, as at a start.
// While the disk fails still, the error says so and what is in force stays. Held: mu.
func (st *Store) resolveAppend() error {
	if st.appendErr == nil {
		return nil
	}
	st.records.Close()
	rewritten := audit.Rewrite(st.file + auditSuffix)
	if err := st.reopen(); err != nil { // also after an error, for who reads the record
		return err
	}
	if rewritten != nil {
		return fmt.Errorf("settings: the record can't be written: %w", rewritten)
	}
	before := st.version()
	now, err := st.catchUp(st.current)
	if err != nil {
		return err
	}
	st.appendErr = nil
	if now.version() != before {
		st.activate(now)
	}
	return nil
}

func (st *Store) reopen() error {
	kept, err := audit.OpenStore(st.file + auditSuffix)
	if err == nil {
		st.records = kept
	}
	return err
}

// activate puts settings that are in the record in force. Held: mu.
func (st *Store) activate(s *Settings) {
	st.current = s
	for _, f := range st.watchers {
		f(s)
	}
}

// version is 0 where there are no settings.
func (s *Settings) version() uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}

// catchUp brings a snapshot up to the record.
func (st *Store) catchUp(s *Settings) (*Settings, error) {
	end := st.records.Chain()
	version := s.version()
	if end.Seq == 0 && s != nil { // from before there were records
		tree, err := s.tree(st.key)
		if err != nil {
			return nil, err
		}
		r := &audit.Record{From: 0, Version: version, Who: "this host", Why: "found in the snapshot",
			Changes: audit.Diff(ListKeys, map[string]any{}, tree), State: audit.StateHash(tree)}
		return s, st.records.Append(r)
	}
	if version > end.Version {
		return nil, &DamagedError{st.file, fmt.Sprintf("it is of version %d, its record ends at version %d", version, end.Version)}
	}
	if version == end.Version {
		return s, nil
	}
	tree, err := s.tree(st.key)
	if err != nil {
		return nil, err
	}
	var last audit.Hash
	err = st.records.Each(1, func(r *audit.Record) error {
		if r.From < version {
			return nil
		}
		last = r.State
		tree, err = audit.Apply(ListKeys, tree, r.Changes)
		return err
	})
	if err != nil {
		return nil, err
	}
	if audit.StateHash(tree) != last {
		return nil, &DamagedError{st.file, "with its record it does not lead to what was in force"}
	}
	if s, err = fromTree(tree, end.Version, st.key); err != nil {
		return nil, err
	}
	st.snapshotErr = Save(st.file, s, st.key) // the next start does it then
	return s, nil
}

// Close lets go of the record.
func (st *Store) Close() error { return st.records.Close() }

// Get returns the settings in force, nil before the first. They don't change.
func (st *Store) Get() *Settings {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.current
}

// Watch calls f with every settings put from now on, in order.
func (st *Store) Watch(f func(*Settings)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.watchers = append(st.watchers, f)
}

// SetValidator has f asked before a change is accepted; what it lists is refused as faults are.
func (st *Store) SetValidator(f func(old, next *Settings) []Fault) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.validate = f
}

// immutableFaults lists what can't change while there are settings in force: whoever holds a name
// or a block of the old form would be told otherwise in the midst.
func (s *Settings) immutableFaults(old *Settings) (out []Fault) {
	if old == nil {
		return nil
	}
	if s.Target.Prefix != old.Target.Prefix {
		out = append(out, Fault{"target.prefix", "can't change: clients hold the names that begin with it"})
	}
	sizes := make(map[string]int, len(old.Volumes))
	for i := range old.Volumes {
		sizes[old.Volumes[i].Name] = old.Volumes[i].BlockSize
	}
	for i := range s.Volumes {
		if size, had := sizes[s.Volumes[i].Name]; had && size != s.Volumes[i].BlockSize {
			out = append(out, Fault{fmt.Sprintf("volumes[%d].block_size", i), "can't change: make another volume"})
		}
	}
	for i := range old.Plans {
		if s.Regions != nil && (i >= len(s.Plans) || s.Plans[i].Name != old.Plans[i].Name) {
			out = append(out, Fault{fmt.Sprintf("plans[%d].name", i), "can't change: shares of limits between regions go by the plans' places"})
			break
		}
	}
	if !reflect.DeepEqual(s.Regions, old.Regions) {
		out = append(out, Fault{"regions", "can't change in flight: the inventories have the same bounds from elsewhere"})
	}
	return out
}

// Put is Change by the process itself.
func (st *Store) Put(s *Settings) (*Settings, error) {
	return st.Change(s, Author{Who: "this process"}, false)
}

// Change takes settings whose Version is the one that they were made from (0 for the
// first). They are in force, and their record kept, when it returns without an error.
// Where another change came first it is a *StaleError, unless merge is asked for and the
// two touch nothing in common.
func (st *Store) Change(s *Settings, by Author, merge bool) (*Settings, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.resolveAppend(); err != nil {
		return nil, err
	}
	if s.Version != st.version() {
		stale, merged := st.mergeStale(s)
		if !merge || merged == nil {
			return nil, stale
		}
		s = merged
	}
	return st.commit(s, by)
}

func (st *Store) version() uint64 { return st.current.version() }

// commit checks, records and puts in force. Held: mu.
func (st *Store) commit(s *Settings, by Author) (*Settings, error) {
	next := s.fillPlaceholders(st.current)
	if err := next.checkComplete(); err != nil {
		return nil, err
	}
	faults := next.immutableFaults(st.current)
	if st.validate != nil {
		faults = append(faults, st.validate(st.current, next)...)
	}
	if len(faults) > 0 {
		return nil, &FaultsError{faults}
	}
	if st.file != "" && st.key == nil && next.HasSecrets() {
		return nil, ErrNoKey
	}
	next.Version = st.version() + 1
	old, err := st.current.tree(st.key)
	if err != nil {
		return nil, err
	}
	tree, err := next.tree(st.key)
	if err != nil {
		return nil, err
	}
	r := &audit.Record{At: by.TimeMS, From: st.version(), Version: next.Version, Who: by.Who, Why: by.Why,
		Changes: audit.Diff(ListKeys, old, tree), State: audit.StateHash(tree)}
	if err := by.checkAllowed(r.Changes); err != nil {
		return nil, err
	}
	if err := st.records.Append(r); err != nil {
		var doubt *audit.DoubtError
		if errors.As(err, &doubt) {
			st.appendErr = err
		}
		return nil, err
	}
	if st.snapshotErr = nil; st.file != "" {
		st.snapshotErr = Save(st.file, next, st.key) // it stands in the record: a start brings the snapshot up to it
	}
	st.activate(next)
	return next, nil
}

// PersistError says why the snapshot is behind the record, or why it is not known whether the last
// change stands in it; nil if neither is so.
func (st *Store) PersistError() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	return errors.Join(st.appendErr, st.snapshotErr)
}

// checkComplete checks settings from which no secret may be left out.
func (s *Settings) checkComplete() error {
	_, at := s.cloneSecrets()
	c := &checker{}
	for i, x := range at {
		path := fmt.Sprintf("target.chap[%d].secret", i)
		if i >= len(s.Target.Chap) {
			path = "target.mutual.secret"
		}
		c.failIf(x.Secret == SecretPlaceholder, path, "there is no secret of %.70q to keep", x.User)
	}
	if len(c.faults) > 0 {
		return &FaultsError{c.faults}
	}
	return s.Check()
}

// mergeStale compares a change that came late with what was changed since, and merges the two
// if they touch nothing in common. Held: mu.
func (st *Store) mergeStale(s *Settings) (*StaleError, *Settings) {
	stale := &StaleError{Against: s.Version, InForce: st.version()}
	base, err := st.treeAt(s.Version)
	if err != nil {
		return stale, nil
	}
	was, err := fromTree(base, s.Version, st.key)
	if err != nil {
		return stale, nil
	}
	mine, err := s.fillPlaceholders(was).tree(st.key)
	if err != nil {
		return stale, nil
	}
	theirs, err := st.current.tree(st.key)
	if err != nil {
		return stale, nil
	}
	stale.Theirs = audit.Diff(ListKeys, base, theirs)
	tree, collisions, err := audit.Merge(ListKeys, base, mine, theirs)
	if stale.Collisions = collisions; err != nil || len(collisions) > 0 {
		return stale, nil
	}
	merged, err := fromTree(tree, st.version(), st.key)
	if err != nil {
		return stale, nil
	}
	return stale, merged
}

// UnknownVersionError says that a version was never in force, or is not known any more.
type UnknownVersionError struct{ Version uint64 }

func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("settings: version %d is not in the record", e.Version)
}

// treeAt walks back from what is in force. Held: mu.
func (st *Store) treeAt(version uint64) (any, error) {
	tree, err := st.current.tree(st.key)
	if err != nil || version == st.version() {
		return tree, err
	}
	var back []*audit.Record
	first := st.version()
	err = st.records.Each(1, func(r *audit.Record) error {
		if r.From >= version && r.Version <= st.version() { // one in doubt is not in force
			back = append(back, r)
			first = min(first, r.From)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if first != version || len(back) == 0 {
		return nil, &UnknownVersionError{version}
	}
	for i := len(back) - 1; i >= 0; i-- {
		if tree, err = audit.Apply(ListKeys, tree, audit.Invert(back[i].Changes)); err != nil {
			return nil, err
		}
	}
	return tree, nil
}

// AtVersion returns the settings as they were in a version, an *UnknownVersionError if there was
// none.
func (st *Store) AtVersion(version uint64) (*Settings, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.current == nil || version == 0 {
		return nil, &UnknownVersionError{version}
	}
	tree, err := st.treeAt(version)
	if err != nil {
		return nil, err
	}
	return fromTree(tree, version, st.key)
}

// DiffVersions lists what was changed from one version to another.
func (st *Store) DiffVersions(from, to uint64) ([]audit.Change, error) {
	a, err := st.AtVersion(from)
	if err != nil {
		return nil, err
	}
	b, err := st.AtVersion(to)
	if err != nil {
		return nil, err
	}
	return Diff(a, b, st.key)
}

// Revert puts a former version in force again, as a change of its own.
func (st *Store) Revert(to uint64, by Author) (*Settings, error) {
	s, err := st.AtVersion(to)
	if err != nil {
		return nil, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if err := st.resolveAppend(); err != nil {
		return nil, err
	}
	s.Version = st.version()
	if by.Why == "" {
		by.Why = fmt.Sprintf("back to version %d", to)
	}
	return st.commit(s, by)
}

// Log returns at most so many records from a number on.
func (st *Store) Log(from uint64, most int) (out []*audit.Record, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	err = st.records.Each(from, func(r *audit.Record) error {
		if len(out) == most {
			return io.EOF
		}
		out = append(out, r)
		return nil
	})
	return out, err
}

// Verify reads the whole record again, from its first entry to what is in force. A
// broken chain is an *audit.BrokenError that names the record.
func (st *Store) Verify() (audit.Chain, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var c audit.Chain
	first := true
	err := st.records.Each(1, func(r *audit.Record) error {
		if first { // a store in memory has forgotten what was before
			c, first = audit.Chain{Seq: r.Seq - 1, Version: r.From, Hash: r.Prev, At: r.At}, false
		}
		return c.Next(r)
	})
	if err != nil {
		return c, err
	}
	if end := st.records.Chain(); c.Hash != end.Hash || c.Version != st.version() {
		return c, &audit.BrokenError{Seq: c.Seq, Reason: "the record does not end at what is in force"}
	}
	return c, nil
}
