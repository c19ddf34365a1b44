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

// failingLog is an audit log whose appends fail, before the record is written or after it.
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

// A change whose append fails is not accepted. Once the disk works again it is in force if its
// record was written; either way the store goes on and no accepted change is lost.
func TestFailedAppend(t *testing.T) {
	for name, written := range map[string]bool{"the record is written": true, "it is not": false} {
		file := filepath.Join(t.TempDir(), "settings")
		st := openStore(t, file, nil)
		if _, err := st.Put(Example(3, 9)); err != nil {
			t.Fatal(err)
		}
		var versions []uint64
		st.Watch(func(s *Settings) { versions = append(versions, s.Version) })
		st.records = &failingLog{st.records, written}
		uncertain := *st.Get()
		uncertain.Plans = append([]Plan(nil), uncertain.Plans...)
		uncertain.Plans[0].Limit = 71
		if _, err := st.Put(&uncertain); !errors.Is(err, syscall.EIO) || st.Get().Version != 1 || st.PersistError() == nil || len(versions) > 0 {
			t.Fatalf("%s: %v, version %d, persist error %v, watcher got versions %v", name, err, st.Get().Version, st.PersistError(), versions)
		}
		next := *st.Get()
		next.Plans = append([]Plan(nil), next.Plans...)
		next.Plans[0].Limit = 72
		var stale *StaleError
		if _, err := st.Put(&next); written != errors.As(err, &stale) {
			t.Errorf("%s: %v", name, err)
		}
		if written { // the change came into force, and the next one is made from it
			if st.Get().Version != 2 || st.Get().Plans[0].Limit != 71 {
				t.Errorf("%s: version %d, limit %v", name, st.Get().Version, st.Get().Plans[0].Limit)
			}
			mustChange(t, st, func(s *Settings) { s.Plans[0].Limit = 72 })
		}
		want := st.Get()
		if len(versions) != int(want.Version)-1 || want.Plans[0].Limit != 72 || st.PersistError() != nil {
			t.Errorf("%s: watcher got versions %v, limit %v, persist error %v", name, versions, want.Plans[0].Limit, st.PersistError())
		}
		if _, err := st.Verify(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		st.Close()
		if got := openStore(t, file, nil).Get(); got.Version != want.Version || got.Plans[0].Limit != 72 {
			t.Errorf("%s: reopened with version %d, limit %v", name, got.Version, got.Plans[0].Limit)
		}
	}
}

const fullDiskEnv = "SETTINGS_TEST_FULL_DISK"

// While the disk is full, which a limit on file size stands for, changes are refused; once
// there is room they are accepted again without a restart. Runs in a process of its own.
func TestFullDisk(t *testing.T) {
	if file := os.Getenv(fullDiskEnv); file != "" {
		runOnFullDisk(t, file)
		return
	}
	file := filepath.Join(t.TempDir(), "settings")
	cmd := exec.Command(os.Args[0], "-test.run=^TestFullDisk$", "-test.v")
	cmd.Env = append(os.Environ(), fullDiskEnv+"="+file)
	if out, err := cmd.CombinedOutput(); err != nil || !bytes.Contains(out, []byte("continued")) {
		t.Fatalf("%v\n%s", err, out)
	}
}

func runOnFullDisk(t *testing.T, file string) {
	signal.Ignore(syscall.SIGXFSZ)
	limitFileSize := func(maxBytes uint64) {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: maxBytes, Max: 1 << 30}); err != nil {
			t.Fatal(err)
		}
	}
	st := openStore(t, file, nil)
	if _, err := st.Put(Example(3, 9)); err != nil {
		t.Fatal(err)
	}
	firstSnapshot, err := os.ReadFile(file)
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
	limitFileSize(120 << 10)
	accepted, refused := st.Get().Version, 0
	for i := 0; i < 200 && refused < 5; i++ {
		if change(float64(50+i)) != nil {
			refused++
		} else if refused == 0 {
			accepted++
		}
		if refused > 0 && st.Get().Version < accepted {
			t.Fatal("an accepted change is lost")
		}
	}
	if refused == 0 {
		t.Fatal("no change was refused: the disk was never full")
	}
	limitFileSize(1 << 30)
	inForce := st.Get().Version
	if err := change(7); err != nil { // the last refused change may be in force: then the next is made from it
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
		t.Errorf("%v, version %d after %d, persist error %v", err, want.Version, inForce, st.PersistError())
	}
	st.Close()
	reopened := openStore(t, file, nil)
	if got := reopened.Get(); got.Version != want.Version || got.Plans[0].Limit != 7 {
		t.Errorf("reopened with version %d, want %d", got.Version, want.Version)
	}
	reopened.Close()
	if err := os.WriteFile(file, firstSnapshot, 0o600); err != nil {
		t.Fatal(err)
	}
	limitFileSize(1) // on a full disk, Open still puts the audit log's last version in force
	if st, err := Open(file, nil); err != nil || st.Get().Version != want.Version || st.PersistError() == nil {
		t.Errorf("open on a full disk: %v", err)
	}
	t.Logf("refused %d, continued", refused)
}

// Open after a kill during a snapshot write takes the change from the audit log and removes
// the temporary file.
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
	temp := file + "-1" + durable.TempSuffix // left by a kill during a write
	for name, b := range map[string][]byte{file: old, temp: old[:20]} {
		if err := os.WriteFile(name, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got := openStore(t, file, nil)
	if got.Get().Plans[0].Limit != 44 || got.PersistError() != nil {
		t.Errorf("limit %v, persist error %v", got.Get().Plans[0].Limit, got.PersistError())
	}
	if _, err := os.Stat(temp); !errors.Is(err, os.ErrNotExist) {
		t.Error("the temporary snapshot was not removed:", err)
	}
}
