package audit_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"go.etcd.io/bbolt"

	"merlinhitch/internal/storage/audit"
)

func record(n uint64, size int) *audit.Record {
	return &audit.Record{At: int64(1000 + n), From: n - 1, Version: n, Who: "ines", Why: "the rush",
		Changes: []audit.Change{{Path: "plans[basico].limit", Old: json.RawMessage("4"), New: json.RawMessage(fmt.Sprint(n))},
			{Path: "nodes", New: json.RawMessage(`"` + strings.Repeat("w", size) + `"`)}}}
}

func open(t *testing.T, file string) *audit.Store {
	t.Helper()
	s, err := audit.OpenStore(file)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func fill(t *testing.T, s *audit.Store, from, to uint64, size int) {
	t.Helper()
	for n := from; n <= to; n++ {
		if err := s.Append(record(n, size)); err != nil {
			t.Fatal(err)
		}
	}
}

func TestAChainIsThereAgain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "audit")
	s := open(t, file)
	fill(t, s, 1, 20, 10)
	end := s.Chain()
	if err := s.Append(&audit.Record{From: 3, Version: 21}); err == nil {
		t.Error("a change from another version was taken")
	}
	s.Close()
	s = open(t, file)
	defer s.Close()
	if s.Chain() != end {
		t.Errorf("%+v, want %+v", s.Chain(), end)
	}
	n := uint64(0)
	err := s.Each(5, func(r *audit.Record) error {
		if n++; n == 3 {
			return io.EOF
		}
		if r.Seq != n+4 || r.Who != "ines" || len(r.Changes) != 2 || r.Changes[1].Old != nil {
			t.Errorf("%+v", r)
		}
		return nil
	})
	if err != nil || n != 3 {
		t.Error(n, err)
	}
	fill(t, s, 21, 22, 10)
}

// A clock that steps back breaks no chain, and is counted.
func TestAClockThatStepsBack(t *testing.T) {
	s := open(t, filepath.Join(t.TempDir(), "audit"))
	defer s.Close()
	fill(t, s, 1, 3, 1)
	r := record(4, 1)
	r.At = 5
	if err := s.Append(r); err != nil {
		t.Fatal(err)
	}
	fill(t, s, 5, 6, 1)
	if c := s.Chain(); c.Back != 1 || c.Seq != 6 {
		t.Errorf("%+v", c)
	}
}

// crashed is what a disk may hold when power goes in the midst of a commit. The store
// writes pages, waits for the disk, writes a page that says which pages count (one of
// the first two), and waits again. Before the first wait any sector of the pages may have
// arrived or not; in the second any leading part of the page.
const (
	page   = 4096
	sector = 512
)

func images(t *testing.T, seed uint64, most int) (before, after []byte) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "audit")
	s := open(t, file)
	r := rand.New(rand.NewPCG(seed, 1))
	n := 2 + r.Uint64N(30)
	size := r.IntN(most)
	fill(t, s, 1, n-1, size)
	before = read(t, file)
	fill(t, s, n, n, r.IntN(most))
	after = read(t, file)
	s.Close()
	return before, after
}

func read(t *testing.T, file string) []byte {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// survives opens an image and returns the number of records; they verify, or the test
// fails.
func survives(t *testing.T, image []byte, what string) uint64 {
	t.Helper()
	file := filepath.Join(t.TempDir(), "image")
	if err := os.WriteFile(file, image, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := audit.OpenStore(file)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	defer s.Close()
	return s.Chain().Seq
}

func grown(before, after []byte) []byte {
	b := bytes.Clone(before)
	for len(b) < len(after) {
		b = append(b, 0)
	}
	return b
}

func TestCrashesInTheMidstOfAnAppend(t *testing.T) {
	seeds := uint64(200)
	if testing.Short() {
		seeds = 20
	}
	cuts, half := 0, 0
	for seed := range seeds {
		before, after := images(t, seed, 3*page)
		had := survives(t, before, "before")
		if got := survives(t, after, "after"); got != had+1 {
			t.Fatalf("seed %d: accepted and not there: %d records after %d", seed, got, had)
		}
		r := rand.New(rand.NewPCG(seed, 2))
		disk := grown(before, after)
		for at := 2 * page; at < len(after); at += sector {
			if end := min(at+sector, len(after)); r.IntN(2) == 0 {
				copy(disk[at:end], after[at:end])
			} else if r.IntN(8) == 0 { // a short write within the sector
				copy(disk[at:at+r.IntN(end-at)], after[at:end])
			}
		}
		if got := survives(t, disk, fmt.Sprintf("seed %d, before the first wait", seed)); got != had {
			t.Fatalf("seed %d: %d records where %d were accepted", seed, got, had)
		}
		cuts++
		disk = grown(before, after)
		copy(disk[2*page:], after[2*page:])
		meta := 0
		if !bytes.Equal(before[page:2*page], after[page:2*page]) {
			meta = page
		}
		k := r.IntN(page)
		copy(disk[meta:meta+k], after[meta:])
		if got := survives(t, disk, fmt.Sprintf("seed %d, %d bytes into the second write", seed, k)); got != had && got != had+1 {
			t.Fatalf("seed %d: %d records where %d were accepted", seed, got, had)
		} else if got == had {
			half++
		}
		cuts++
	}
	t.Logf("%d crashes of %d seeds: nothing accepted was lost, every chain verified; %d of the cuts into the last page left the old chain", cuts, seeds, half)
}

// The last record's page, and the page that makes it count, cut at every byte.
func TestACutAtEveryByte(t *testing.T) {
	before, after := images(t, 7, 300)
	had := survives(t, before, "before")
	cuts := 0
	for _, p := range changedPages(before, after) {
		for k := range page + 1 {
			if k > 0 && grown(before, after)[p+k-1] == after[p+k-1] && k < page {
				continue // the same image as the one before
			}
			disk := grown(before, after)
			want := had
			if p < 2*page { // all else has arrived
				copy(disk[2*page:], after[2*page:])
			}
			copy(disk[p:p+k], after[p:])
			got := survives(t, disk, fmt.Sprintf("page at %d cut at %d", p, k))
			if p < 2*page && bytes.Equal(disk, after) {
				want = had + 1
			}
			if got != want && !(p < 2*page && got == had+1) {
				t.Fatalf("page at %d cut at %d: %d records, %d were accepted", p, k, got, had)
			}
			cuts++
		}
	}
	t.Logf("%d cuts", cuts)
}

func changedPages(before, after []byte) (out []int) {
	b := grown(before, after)
	for p := 0; p+page <= len(after); p += page {
		if !bytes.Equal(b[p:p+page], after[p:p+page]) {
			out = append(out, p)
		}
	}
	return out
}

// Whatever is altered in a stored record: it is named.
func TestABrokenChainIsNamed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "audit")
	s := open(t, file)
	fill(t, s, 1, 9, 10)
	s.Close()
	sound := read(t, file)
	doctor := func(seq uint64, f func(r *audit.Record) []byte) error {
		if err := os.WriteFile(file, sound, 0o600); err != nil {
			t.Fatal(err)
		}
		db, err := bbolt.Open(file, 0o600, nil)
		if err != nil {
			t.Fatal(err)
		}
		key := []byte{0, 0, 0, 0, 0, 0, 0, byte(seq)}
		if err := db.Update(func(tx *bbolt.Tx) error {
			b := tx.Bucket([]byte("records"))
			r, err := audit.DecodeRecord(b.Get(key))
			if err != nil {
				return err
			}
			if v := f(r); v != nil {
				return b.Put(key, v)
			}
			return b.Delete(key)
		}); err != nil {
			t.Fatal(err)
		}
		db.Close()
		s, err := audit.OpenStore(file)
		if err == nil {
			s.Close()
		}
		return err
	}
	for name, x := range map[string]struct {
		seq, named uint64
		f          func(r *audit.Record) []byte
	}{
		"a byte of a value":       {4, 4, func(r *audit.Record) []byte { r.Changes[0].New[0]++; return r.Append(nil) }},
		"who, with a hash anew":   {4, 5, func(r *audit.Record) []byte { r.Who = "rui"; r.Seal(); return r.Append(nil) }},
		"the last, anew":          {9, 9, func(r *audit.Record) []byte { r.Prev[0]++; r.Seal(); return r.Append(nil) }},
		"a record gone":           {5, 5, func(r *audit.Record) []byte { return nil }},
		"another number":          {5, 5, func(r *audit.Record) []byte { r.Seq++; r.Seal(); return r.Append(nil) }},
		"from another version":    {5, 5, func(r *audit.Record) []byte { r.From--; r.Seal(); return r.Append(nil) }},
		"to an earlier version":   {9, 9, func(r *audit.Record) []byte { r.Version = 2; r.Seal(); return r.Append(nil) }},
		"cut short":               {5, 5, func(r *audit.Record) []byte { b := r.Append(nil); return b[:len(b)-1] }},
		"the first, with another": {1, 2, func(r *audit.Record) []byte { r.Why = "x"; r.Seal(); return r.Append(nil) }},
	} {
		var broken *audit.BrokenError
		if err := doctor(x.seq, x.f); !errors.As(err, &broken) || broken.Seq != x.named {
			t.Errorf("%s: %v, want record %d named", name, err, x.named)
		}
	}
	if err := doctor(4, func(r *audit.Record) []byte { return r.Append(nil) }); err != nil {
		t.Errorf("untouched: %v", err)
	}
}

const fullEnv = "AUDIT_TEST_FULL_DISK"

// A full disk: the append says so, nothing accepted is lost, and once there is room the
// store goes on.
func TestAFullDisk(t *testing.T) {
	if file := os.Getenv(fullEnv); file != "" {
		underLimit(t, file)
		return
	}
	file := filepath.Join(t.TempDir(), "audit")
	cmd := exec.Command(os.Args[0], "-test.run=^TestAFullDisk$", "-test.v")
	cmd.Env = append(os.Environ(), fullEnv+"="+file)
	out, err := cmd.CombinedOutput()
	if err != nil || !bytes.Contains(out, []byte("refused after")) {
		t.Fatalf("%v\n%s", err, out)
	}
	var taken uint64
	if _, err := fmt.Sscanf(string(out[bytes.Index(out, []byte("refused after")):]), "refused after %d", &taken); err != nil {
		t.Fatal(err)
	}
	s := open(t, file)
	defer s.Close()
	if s.Chain().Seq != taken {
		t.Errorf("%d records, %d were accepted", s.Chain().Seq, taken)
	}
	fill(t, s, taken+1, taken+3, 10)
}

// underLimit appends until the largest size that this process may give a file is reached.
func underLimit(t *testing.T, file string) {
	signal.Ignore(syscall.SIGXFSZ)
	lim := syscall.Rlimit{Cur: 200 << 10, Max: 200 << 10}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &lim); err != nil {
		t.Skip(err)
	}
	s := open(t, file)
	for n := uint64(1); n < 10000; n++ {
		err := s.Append(record(n, 2000))
		if err == nil {
			continue
		}
		if again := s.Append(record(n, 1)); again == nil {
			t.Error("taken after an append of unknown outcome")
		}
		t.Logf("refused after %d: %v", n-1, err)
		return
	}
	t.Error("never full")
}

func FuzzDecodeRecord(f *testing.F) {
	r := record(3, 5)
	r.Seal()
	f.Add(r.Append(nil))
	f.Add([]byte("mhA1"))
	f.Add(append([]byte("mhA1"), bytes.Repeat([]byte{0xff}, 80)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := audit.DecodeRecord(b)
		if err != nil {
			return
		}
		if got := r.Append(nil); !bytes.Equal(got, b) {
			t.Fatalf("read %x, written %x", b, got)
		}
	})
}
