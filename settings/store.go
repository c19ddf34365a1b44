package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ErrNone says that there is no snapshot: nothing was ever saved there.
var ErrNone = errors.New("settings: no snapshot")

// DamagedError says that there is a snapshot which can't be trusted. It is never
// used in part, nor overwritten by a start.
type DamagedError struct{ File, Reason string }

func (e *DamagedError) Error() string {
	return fmt.Sprintf("settings: snapshot %s is damaged: %s", e.File, e.Reason)
}

// StaleError says that a change was made against a version that is not in force.
type StaleError struct{ Against, InForce uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("settings: change against version %d, version %d is in force", e.Against, e.InForce)
}

const snapshotHead = "merlinhitch-settings"

// Load reads a snapshot.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNone
	}
	if err != nil {
		return nil, err
	}
	head, body, ok := bytes.Cut(b, []byte("\n"))
	var sum uint64
	var n int
	if !ok {
		return nil, &DamagedError{file, "no head line"}
	}
	if _, err := fmt.Sscanf(string(head), snapshotHead+" 1 %d %x", &n, &sum); err != nil {
		return nil, &DamagedError{file, "head line not understood"}
	}
	if len(body) != n {
		return nil, &DamagedError{file, fmt.Sprintf("%d bytes where %d were written", len(body), n)}
	}
	if xxhash.Sum64(body) != sum {
		return nil, &DamagedError{file, "checksum does not match"}
	}
	s, err := Parse(bytes.NewReader(body))
	if err != nil {
		return nil, &DamagedError{file, err.Error()}
	}
	return s, nil
}

// Save writes a snapshot so that a reader, or a start after a crash at any point,
// finds the old one or the new one, whole.
func Save(file string, s *Settings) error {
	body, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	body = append(body, '\n')
	head := fmt.Sprintf("%s 1 %d %016x\n", snapshotHead, len(body), xxhash.Sum64(body))
	dir := filepath.Dir(file)
	tmp, err := os.CreateTemp(dir, ".settings-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name()) // gone already where the rename was reached
	_, err = tmp.Write(append([]byte(head), body...))
	if err == nil {
		err = tmp.Sync()
	}
	if cerr := tmp.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(tmp.Name(), file)
	}
	if err != nil {
		return err
	}
	d, err := os.Open(dir) // the rename itself must reach the disk
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Store keeps the settings in force.
type Store struct {
	mu   sync.Mutex
	file string
	now  *Settings
	subs []func(*Settings)
}

// Open reads the snapshot in file; without one the store is empty. File "" keeps
// nothing beyond the process.
func Open(file string) (*Store, error) {
	st := &Store{file: file}
	if file == "" {
		return st, nil
	}
	s, err := Load(file)
	if errors.Is(err, ErrNone) {
		return st, nil
	}
	st.now = s
	return st, err
}

// Get returns the settings in force, nil before the first. They don't change.
func (st *Store) Get() *Settings {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.now
}

// Watch calls f with every settings put from now on, in order.
func (st *Store) Watch(f func(*Settings)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.subs = append(st.subs, f)
}

// Put takes settings whose Version is the one that they were made from (0 for
// the first). They are in force, and saved, when it returns without an error.
func (st *Store) Put(s *Settings) (*Settings, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	inForce := uint64(0)
	if st.now != nil {
		inForce = st.now.Version
	}
	if s.Version != inForce {
		return nil, &StaleError{s.Version, inForce}
	}
	next := *s
	next.Version++
	if st.file != "" {
		if err := Save(st.file, &next); err != nil {
			return nil, err
		}
	}
	st.now = &next
	for _, f := range st.subs {
		f(&next)
	}
	return &next, nil
}
