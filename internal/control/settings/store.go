package settings

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/storage/audit"
	"merlinhitch/internal/storage/durable"
)

// Author describes who makes a change, why and when, for the audit log.
type Author struct {
	Who, Why string
	TimeMS   int64 // wall clock, ms since 1970
	// ReadOnlyPaths are the paths at and below which the author may not change anything.
	ReadOnlyPaths []string
}

// ForbiddenError reports a change of a path that its author may not change.
type ForbiddenError struct{ Who, Path string }

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("settings: %s may not change %s", e.Who, e.Path)
}

// checkAllowed returns a *ForbiddenError if a change is at, below or above a read-only path.
// One above it counts if it adds or removes an object that has the path's field.
func (a *Author) checkAllowed(changes []audit.Change) error {
	for _, c := range changes {
		for _, p := range a.ReadOnlyPaths {
			field, isAbove := strings.CutPrefix(p, c.Path+".")
			if strings.HasPrefix(c.Path, p) || isAbove && (hasField(c.Old, field) || hasField(c.New, field)) {
				return &ForbiddenError{a.Who, p}
			}
		}
	}
	return nil
}

// hasField reports whether a JSON object has a field.
func hasField(object json.RawMessage, field string) bool {
	var m map[string]json.RawMessage
	return json.Unmarshal(object, &m) == nil && m[field] != nil
}

// SecretPaths are the paths of settings that hold secrets.
var SecretPaths = []string{"target.chap", "target.mutual"}

// recordLog stores audit records: an audit.Store or an audit.Memory.
type recordLog interface {
	Append(*audit.Record) error
	Each(from uint64, f func(*audit.Record) error) error
	Chain() audit.Chain
	Close() error
}

// maxMemoryRecords is the number of audit records that a store without a file keeps.
const maxMemoryRecords = 1024

// Store holds the settings in force, their snapshot and the audit log of their changes. A
// change is accepted once its audit record is stored. The snapshot is written after it; if
// a crash comes between the two, Open brings the snapshot up to date from the log.
type Store struct {
	mu          locks.Mutex
	file        string
	key         *Key
	records     recordLog
	current     *Settings
	snapshotErr error // why the snapshot is behind the audit log
	appendErr   error // set while it is unknown whether the last change is in the audit log
	closed      bool
	watchers    []func(*Settings)
	validate    func(old, next *Settings) []Fault
}

// auditSuffix is appended to a snapshot's file name for the file of its audit log.
const auditSuffix = ".audit"

// Open reads the snapshot in file and its audit log; if there are none the store is empty.
// File "" means a store in memory only. Secrets are sealed with the key.
func Open(file string, k *Key) (*Store, error) {
	st := &Store{file: file, key: k}
	if file == "" {
		st.records = audit.NewMemory(maxMemoryRecords)
		if k == nil { // seals are never opened in memory, but make changed secrets differ
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
	records, err := audit.OpenStore(file + auditSuffix)
	if err != nil {
		return nil, err
	}
	st.records = records
	if st.current, err = st.catchUp(s); err != nil {
		records.Close()
		return nil, err
	}
	if err := durable.RemoveTemp(file); err != nil && st.snapshotErr == nil {
		st.snapshotErr = err
	}
	return st, nil
}

// resolveAppend determines after a failed append whether the change is in the audit log,
// before the next change follows it. The log's file is rewritten, since after a failed sync
// it is unknown what of it is on the disk. A change that is in the log comes into force, as
// it would in Open. While the disk still fails, an error is returned and the settings in
// force stay. After Close it returns ErrClosed. The caller must hold mu.
func (st *Store) resolveAppend() error {
	if st.closed {
		return ErrClosed
	}
	if st.appendErr == nil {
		return nil
	}
	st.records.Close()
	rewriteErr := audit.Rewrite(st.file + auditSuffix)
	if err := st.reopen(); err != nil { // also after an error, so that the log can be read
		return err
	}
	if rewriteErr != nil {
		return fmt.Errorf("settings: audit log can't be rewritten: %w", rewriteErr)
	}
	oldVersion := st.version()
	updated, err := st.catchUp(st.current)
	if err != nil {
		return err
	}
	st.appendErr = nil
	if updated.version() != oldVersion {
		st.activate(updated)
	}
	return nil
}

func (st *Store) reopen() error {
	records, err := audit.OpenStore(st.file + auditSuffix)
	if err == nil {
		st.records = records
	}
	return err
}

// activate puts settings whose audit record is stored in force and calls the watchers. The
// caller must hold mu.
func (st *Store) activate(s *Settings) {
	st.current = s
	for _, f := range st.watchers {
		f(s)
	}
}

// version returns 0 for nil settings.
func (s *Settings) version() uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}

// catchUp applies the audit records that are newer than a snapshot to it and saves it. A
// snapshot without an audit log becomes the log's first record.
func (st *Store) catchUp(s *Settings) (*Settings, error) {
	end := st.records.Chain()
	version := s.version()
	if end.Seq == 0 && s != nil { // the snapshot has no audit log yet
		tree, err := s.tree(st.key)
		if err != nil {
			return nil, err
		}
		r := &audit.Record{From: 0, Version: version, Who: "this host", Why: "found in the snapshot",
			Changes: audit.Diff(ListKeys, map[string]any{}, tree), State: audit.StateHash(tree)}
		return s, st.records.Append(r)
	}
	if version > end.Version {
		return nil, &DamagedError{st.file, fmt.Sprintf("it has version %d, but its audit log ends at version %d", version, end.Version)}
	}
	if version == end.Version {
		return s, nil
	}
	tree, err := s.tree(st.key)
	if err != nil {
		return nil, err
	}
	var state audit.Hash
	err = st.records.Each(1, func(r *audit.Record) error {
		if r.From < version {
			return nil
		}
		state = r.State
		tree, err = audit.Apply(ListKeys, tree, r.Changes)
		return err
	})
	if err != nil {
		return nil, err
	}
	if audit.StateHash(tree) != state {
		return nil, &DamagedError{st.file, "with its audit log applied it differs from the recorded state"}
	}
	if s, err = fromTree(tree, end.Version, st.key); err != nil {
		return nil, err
	}
	st.snapshotErr = Save(st.file, s, st.key) // after an error the next Open saves it
	return s, nil
}

// ErrClosed is returned for a change after Close.
var ErrClosed = errors.New("settings: the store is closed")

// Close closes the audit log, after a change that is in progress. Later changes are refused.
func (st *Store) Close() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.closed = true
	return st.records.Close()
}

// Get returns the settings in force, nil before the first. They must not be modified.
func (st *Store) Get() *Settings {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.current
}

// Watch has f called with all settings that come into force from now on, in order and with
// the store locked.
func (st *Store) Watch(f func(*Settings)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.watchers = append(st.watchers, f)
}

// SetValidator has f called before a change is accepted; the change is refused with the
// faults that it returns.
func (st *Store) SetValidator(f func(old, next *Settings) []Fault) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.validate = f
}

// immutableFaults lists changes of settings that are fixed once settings are in force:
// clients and other hosts already rely on them.
func (s *Settings) immutableFaults(old *Settings) (out []Fault) {
	if old == nil {
		return nil
	}
	if s.Target.Prefix != old.Target.Prefix {
		out = append(out, Fault{"target.prefix", "can't change: clients use target names that begin with it"})
	}
	sizes := make(map[string]int, len(old.Volumes))
	for i := range old.Volumes {
		sizes[old.Volumes[i].Name] = old.Volumes[i].BlockSize
	}
	for i := range s.Volumes {
		if size, found := sizes[s.Volumes[i].Name]; found && size != s.Volumes[i].BlockSize {
			out = append(out, Fault{fmt.Sprintf("volumes[%d].block_size", i), "can't change: create another volume"})
		}
	}
	for i := range old.Plans {
		if s.Regions != nil && (i >= len(s.Plans) || s.Plans[i].Name != old.Plans[i].Name) {
			out = append(out, Fault{fmt.Sprintf("plans[%d].name", i), "can't change: limits are divided between regions by the plans' positions"})
			break
		}
	}
	if !reflect.DeepEqual(s.Regions, old.Regions) {
		out = append(out, Fault{"regions", "can't change while settings are in force: the inventories have the same times in their own configuration"})
	}
	return out
}

// Put is Change with this process as the author and without a merge.
func (st *Store) Put(s *Settings) (*Settings, error) {
	return st.Change(s, Author{Who: "this process"}, false)
}

// Change puts settings in force whose Version is the one that they were edited from (0 for
// the first). When it returns without an error, their audit record is stored. If another
// change was accepted since that version, it returns a *StaleError, unless merge is set and
// the two changes don't collide.
func (st *Store) Change(s *Settings, author Author, merge bool) (*Settings, error) {
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
	return st.commit(s, author)
}

func (st *Store) version() uint64 { return st.current.version() }

// commit checks settings, stores their audit record, puts them in force and saves the
// snapshot. The caller must hold mu.
func (st *Store) commit(s *Settings, author Author) (*Settings, error) {
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
	r := &audit.Record{At: author.TimeMS, From: st.version(), Version: next.Version, Who: author.Who, Why: author.Why,
		Changes: audit.Diff(ListKeys, old, tree), State: audit.StateHash(tree)}
	if err := author.checkAllowed(r.Changes); err != nil {
		return nil, err
	}
	if err := st.records.Append(r); err != nil {
		var uncertain *audit.DoubtError
		if errors.As(err, &uncertain) {
			st.appendErr = err
		}
		return nil, err
	}
	if st.snapshotErr = nil; st.file != "" {
		st.snapshotErr = Save(st.file, next, st.key) // the change is in the audit log: Open brings the snapshot up to date
	}
	st.activate(next)
	return next, nil
}

// PersistError returns why the snapshot is behind the audit log, or why it is unknown
// whether the last change is in the log; nil if neither is the case.
func (st *Store) PersistError() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	return errors.Join(st.appendErr, st.snapshotErr)
}

// checkComplete checks settings in which no secret may be a placeholder.
func (s *Settings) checkComplete() error {
	_, secrets := s.cloneSecrets()
	c := &checker{}
	for i, chap := range secrets {
		path := fmt.Sprintf("target.chap[%d].secret", i)
		if i >= len(s.Target.Chap) {
			path = "target.mutual.secret"
		}
		c.failIf(chap.Secret == SecretPlaceholder, path, "there is no stored secret of %.70q to keep", chap.User)
	}
	if len(c.faults) > 0 {
		return &FaultsError{c.faults}
	}
	return s.Check()
}

// mergeStale compares a change of an old version with the changes accepted since and merges
// them if they don't collide; otherwise the settings are nil. The caller must hold mu.
func (st *Store) mergeStale(s *Settings) (*StaleError, *Settings) {
	stale := &StaleError{Against: s.Version, InForce: st.version()}
	base, err := st.treeAt(s.Version)
	if err != nil {
		return stale, nil
	}
	baseSettings, err := fromTree(base, s.Version, st.key)
	if err != nil {
		return stale, nil
	}
	mine, err := s.fillPlaceholders(baseSettings).tree(st.key)
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

// UnknownVersionError reports a version that is not in the audit log: it was never in force,
// or its record is no longer kept.
type UnknownVersionError struct{ Version uint64 }

func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("settings: version %d is not in the audit log", e.Version)
}

// treeAt returns the tree of a version, by undoing the changes since then. The caller must
// hold mu.
func (st *Store) treeAt(version uint64) (any, error) {
	tree, err := st.current.tree(st.key)
	if err != nil || version == st.version() {
		return tree, err
	}
	var undo []*audit.Record
	oldest := st.version()
	err = st.records.Each(1, func(r *audit.Record) error {
		if r.From >= version && r.Version <= st.version() { // a record whose append failed is not in force
			undo = append(undo, r)
			oldest = min(oldest, r.From)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if oldest != version || len(undo) == 0 {
		return nil, &UnknownVersionError{version}
	}
	for i := len(undo) - 1; i >= 0; i-- {
		if tree, err = audit.Apply(ListKeys, tree, audit.Invert(undo[i].Changes)); err != nil {
			return nil, err
		}
	}
	return tree, nil
}

// AtVersion returns the settings of a version, or an *UnknownVersionError.
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

// DiffVersions lists the changes from one version to another.
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

// Revert puts the settings of a former version in force again, as a new version.
func (st *Store) Revert(to uint64, author Author) (*Settings, error) {
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
	if author.Why == "" {
		author.Why = fmt.Sprintf("back to version %d", to)
	}
	return st.commit(s, author)
}

// Log returns up to limit audit records, beginning with number from.
func (st *Store) Log(from uint64, limit int) (out []*audit.Record, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	err = st.records.Each(from, func(r *audit.Record) error {
		if len(out) == limit {
			return io.EOF
		}
		out = append(out, r)
		return nil
	})
	return out, err
}

// Verify reads the whole audit log and checks its hash chain and that it ends at the
// settings in force. If not, it returns an *audit.BrokenError with the number of the record.
func (st *Store) Verify() (audit.Chain, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var c audit.Chain
	first := true
	err := st.records.Each(1, func(r *audit.Record) error {
		if first { // a store in memory may have dropped earlier records
			c, first = audit.Chain{Seq: r.Seq - 1, Version: r.From, Hash: r.Prev, At: r.At}, false
		}
		return c.Next(r)
	})
	if err != nil {
		return c, err
	}
	if last := st.records.Chain(); c.Hash != last.Hash || c.Version != st.version() {
		return c, &audit.BrokenError{Seq: c.Seq, Reason: "the record does not end at what is in force"}
	}
	return c, nil
}
