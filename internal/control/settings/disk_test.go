package settings

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"merlinhitch/internal/storage/audit"
	"merlinhitch/internal/storage/durable"
)

// failingLog is a record whose disk fails at the next append: before the record is on it, or
// after.
type failingLog struct {
	recordLog
	written bool
}

func (f *failingLog) Append(r *audit.Record) error {
	if f.written {
		if err := f.recordLog.Append(r); err != nil {
			return err
		}
	}
	return &audit.DoubtError{Err: syscall.EIO}
}

// An append that fails on its way to the disk is not acknowledged. Once the disk works the
// record says whether the change stands; either way the store goes on, and a start finds all
// that was acknowledged.
func TestFailedAppend(t *testing.T) {
	for name, stands := range map[string]bool{"the change stands": true, "it does not": false} {
		file := filepath.Join(t.TempDir(), "settings")
		st := openStore(t, file, nil)
		if _, err := st.Put(Example(3, 9)); err != nil {
			t.Fatal(err)
		}
		var told []uint64
		st.Watch(func(s *Settings) { told = append(told, s.Version) })
		st.records = &failingLog{st.records, stands}
		inDoubt := *st.Get()
		inDoubt.Plans = append([]Plan(nil), inDoubt.Plans...)
		inDoubt.Plans[0].Limit = 71
		if _, err := st.Put(&inDoubt); !errors.Is(err, syscall.EIO) || st.Get().Version != 1 || st.PersistError() == nil || len(told) > 0 {
			t.Fatalf("%s: %v, version %d, %v, told %v", name, err, st.Get().Version, st.PersistError(), told)
		}
		next := *st.Get()
		next.Plans = append([]Plan(nil), next.Plans...)
		next.Plans[0].Limit = 72
		var stale *StaleError
		if _, err := st.Put(&next); stands != errors.As(err, &stale) {
			t.Errorf("%s: %v", name, err)
		}
		if stands { // it came into force, and the change after it is made from there
			if st.Get().Version != 2 || st.Get().Plans[0].Limit != 71 {
				t.Errorf("%s: version %d, limit %v", name, st.Get().Version, st.Get().Plans[0].Limit)
			}
			mustChange(t, st, func(s *Settings) { s.Plans[0].Limit = 72 })
		}
		want := st.Get()
		if len(told) != int(want.Version)-1 || want.Plans[0].Limit != 72 || st.PersistError() != nil {
			t.Errorf("%s: told %v, limit %v, %v", name, told, want.Plans[0].Limit, st.PersistError())
		}
		if _, err := st.Verify(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		st.Close()
		if got := openStore(t, file, nil).Get(); got.Version != want.Version || got.Plans[0].Limit != 72 {
			t.Errorf("%s: a start finds version %d, limit %v", name, got.Version, got.Plans[0].Limit)
		}
	}
}

const fullDiskEnv = "SETTINGS_TEST_FULL_DISK"

// A disk that is full for a while, here by the largest size of a file: what can't be written
// is refused, also again, and once there is room changes are taken without a start between.
func TestFullDisk(t *testing.T) {
	if file := os.Getenv(fullDiskEnv); file != "" {
		runOnFullDisk(t, file)
		return
	}
	file := filepath.Join(t.TempDir(), "settings")
	cmd := exec.Command(os.Args[0], "-test.run=^TestFullDisk$", "-test.v")
	cmd.Env = append(os.Environ(), fullDiskEnv+"="+file)
	if out, err := cmd.CombinedOutput(); err != nil || !bytes.Contains(out, []byte("went on")) {
		t.Fatalf("%v\n%s", err, out)
	}
}

func runOnFullDisk(t *testing.T, file string) {
	signal.Ignore(syscall.SIGXFSZ)
	size := func(most uint64) {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: most, Max: 1 << 30}); err != nil {
			t.Fatal(err)
		}
	}
	st := openStore(t, file, nil)
	if _, err := st.Put(Example(3, 9)); err != nil {
		t.Fatal(err)
	}
	first, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	change := func(limit float64) error {
		s := *st.Get()
		s.Plans = append([]Plan(nil), s.Plans...)
		s.Plans[0].Limit = limit
		_, err := st.Change(&s, Author{Who: "ines", Why: strings.Repeat("w", audit.MaxText), TimeMS: 1}, false)
		return err
	}
	size(120 << 10)
	acknowledged, refused := st.Get().Version, 0
	for n := 0; n < 200 && refused < 5; n++ {
		if change(float64(50+n)) != nil {
			refused++
		} else if refused == 0 {
			acknowledged++
		}
		if refused > 0 && st.Get().Version < acknowledged {
			t.Fatal("an acknowledged change is gone")
		}
	}
	if refused == 0 {
		t.Fatal("never full")
	}
	size(1 << 30)
	inForce := st.Get().Version
	if err := change(7); err != nil { // one in doubt may stand: the change is made from it then
		var stale *StaleError
		if !errors.As(err, &stale) {
			t.Fatal(err)
		}
		if err := change(7); err != nil {
			t.Fatal(err)
		}
	}
	want := st.Get()
	if _, err := st.Verify(); err != nil || want.Version <= inForce || st.PersistError() != nil {
		t.Errorf("%v, version %d after %d, %v", err, want.Version, inForce, st.PersistError())
	}
	st.Close()
	again := openStore(t, file, nil)
	if got := again.Get(); got.Version != want.Version || got.Plans[0].Limit != 7 {
		t.Errorf("a start finds version %d of %d", got.Version, want.Version)
	}
	again.Close()
	if err := os.WriteFile(file, first, 0o600); err != nil {
		t.Fatal(err)
	}
	size(1) // a start whose disk takes nothing has what the record says in force
	if st, err := Open(file, nil); err != nil || st.Get().Version != want.Version || st.PersistError() == nil {
		t.Errorf("a start on a full disk: %v", err)
	}
	t.Logf("refused %d, went on", refused)
}

// A start after a kill in the midst of a snapshot: the record has what it was to hold, and what
// the kill left is removed.
func TestOpenAfterKillDuringSnapshot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	st := openStore(t, file, nil)
	if _, err := st.Put(Example(3, 9)); err != nil {
		t.Fatal(err)
	}
	old, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	mustChange(t, st, func(s *Settings) { s.Plans[0].Limit = 44 })
	st.Close()
	half := file + "-1" + durable.TempSuffix // of a kill in the midst of a write
	for name, b := range map[string][]byte{file: old, half: old[:20]} {
		if err := os.WriteFile(name, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got := openStore(t, file, nil)
	if got.Get().Plans[0].Limit != 44 || got.PersistError() != nil {
		t.Errorf("limit %v, %v", got.Get().Plans[0].Limit, got.PersistError())
	}
	if _, err := os.Stat(half); !errors.Is(err, os.ErrNotExist) {
		t.Error("a half-written snapshot was left:", err)
	}
}
