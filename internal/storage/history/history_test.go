package history

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

const begin = 1_796_112_000 // a multiple of every block

func row(at int64, class string, n uint64) Row {
	lat := make([]uint64, Buckets)
	lat[Bucket(float64(n))] = n
	return Row{At: at, Span: 1, Key: Key{class, "p"}, Counts: Counts{Taken: n + 1, Served: n, InAim: n / 2, Refused: 1, Latency: lat, Reasons: []uint64{0, 0, 1}}}
}

func fill(t *testing.T, s *Store, from, to int64) (rows []Row) {
	t.Helper()
	for at := from; at < to; at++ {
		r := []Row{row(at, "read", uint64(at%7+1)), row(at, "write", uint64(at%3+1))}
		if err := s.Add(r); err != nil {
			t.Fatal(err)
		}
		rows = append(rows, r...)
		if at%10 == 9 {
			if err := s.Flush(); err != nil {
				t.Fatal(err)
			}
		}
	}
	return rows
}

func open(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Coarser rows are the sum of finer ones, in whatever order and parts they are added.
func TestSumsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var rows []Row
		for range rapid.IntRange(1, 60).Draw(t, "rows") {
			rows = append(rows, row(begin-30+r.Int64N(120), []string{"a", "b"}[r.IntN(2)], r.Uint64N(50)+1))
		}
		want := Total(rows)
		r.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
		for _, span := range []int64{10, 60, 300} {
			c := Coarser(rows, span)
			if got := Total(c); !reflect.DeepEqual(got, want) {
				t.Fatalf("%+v, want %+v", got, want)
			}
			if got := Total(Coarser(c, 600)); !reflect.DeepEqual(got, want) {
				t.Fatalf("twice: %+v, want %+v", got, want)
			}
		}
	})
}

func TestQuantiles(t *testing.T) {
	var c Counts
	c.Latency = make([]uint64, Buckets)
	for ms := range 1000 {
		c.Latency[Bucket(float64(ms)+0.5)]++
	}
	for q, want := range map[float64]float64{0.5: 500, 0.99: 990, 0.999: 999} {
		if got := c.Quantile(q); got < want || got > want*growth*1.01 {
			t.Errorf("%v: %v, want %v to a quarter more", q, got, want)
		}
	}
	if (&Counts{}).Quantile(0.5) != 0 {
		t.Error("a quantile of nothing")
	}
	for i := range Buckets - 1 {
		if b := Bucket(Bound(i) * 0.999); b != i {
			t.Errorf("bucket %d for a time under bound %d", b, i)
		}
	}
}

// A process that ends and starts anew in the midst of a block adds to it.
func TestAStartInTheMidstOfABlock(t *testing.T) {
	dir := t.TempDir()
	var rows []Row
	for part := range int64(4) {
		rows = append(rows, fill(t, open(t, dir), begin+part*150, begin+part*150+150)...)
	}
	got, err := open(t, dir).Read(begin, begin+600)
	if err != nil || !reflect.DeepEqual(got, rows) {
		t.Fatalf("%d rows of %d, %v", len(got), len(rows), err)
	}
	for _, l := range levels[1:] {
		var sums []Row
		files, _ := open(t, dir).blocks(l)
		for _, f := range files {
			b, err := readFile(f)
			if err != nil {
				t.Fatal(err)
			}
			sums = append(sums, b...)
		}
		Sort(sums)
		if want := Coarser(rows, l.span); !reflect.DeepEqual(sums, want) {
			t.Errorf("%s: %d rows, want %d", l.name, len(sums), len(want))
		}
	}
}

// A clock that steps back adds to the seconds that it names again; nothing is lost.
func TestAClockThatStepsBack(t *testing.T) {
	s := open(t, t.TempDir())
	rows := fill(t, s, begin, begin+320)
	rows = append(rows, fill(t, s, begin+250, begin+330)...)
	if err := s.Flush(); err != nil {
		t.Fatal(err)
	}
	got, err := s.Read(begin, begin+600)
	if err != nil || !reflect.DeepEqual(Coarser(got, 10), Coarser(rows, 10)) {
		t.Errorf("%d rows, %v", len(got), err)
	}
}

// A block cut at any byte, or half-written: the others are read, and the file is named.
func TestACrashInTheMidstOfABlock(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	rows := fill(t, s, begin, begin+600)
	second := s.file(levels[0], begin+300)
	whole, err := os.ReadFile(second)
	if err != nil {
		t.Fatal(err)
	}
	r := rand.New(rand.NewPCG(1, 1))
	for n := range 200 {
		cut := r.IntN(len(whole))
		b := append([]byte(nil), whole[:cut]...)
		if n%2 == 0 { // turned bits in place of a cut
			b = append([]byte(nil), whole...)
			for range 1 + r.IntN(8) {
				b[r.IntN(len(b))] ^= byte(1 + r.IntN(255))
			}
		}
		if err := os.WriteFile(second, b, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := open(t, dir).Read(begin, begin+600)
		var damaged *DamagedError
		if n%2 == 1 && (!errors.As(err, &damaged) || damaged.Files[0] != filepath.Base(second)) {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if len(got) < 600 || !reflect.DeepEqual(got[:600], rows[:600]) {
			t.Fatalf("cut at %d: the first block has %d rows", cut, len(got))
		}
	}
	if err := os.WriteFile(second+".half", whole[:100], 0o600); err != nil {
		t.Fatal(err)
	}
	open(t, dir)
	if _, err := os.Stat(second + ".half"); err == nil {
		t.Error("a half-written block was left")
	}
}

// Days on end: the folder stays within its bound, and coarser rows reach back further.
func TestTheFolderIsBounded(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	for at := int64(begin); at < begin+9*24*3600; at += 600 { // a row now and then
		if err := s.Add([]Row{row(at, "read", 3)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Flush(); err != nil {
		t.Fatal(err)
	}
	end := int64(begin + 9*24*3600)
	for _, l := range levels {
		files, err := s.blocks(l)
		if err != nil || int64(len(files)) > l.keep/l.block+3 {
			t.Errorf("%s: %d files, %v", l.name, len(files), err)
		}
	}
	for back, span := range map[int64]int64{600: 1, 20 * 3600: 10, 6 * 24 * 3600: 60} {
		rows, err := s.Read(end-back, end)
		if err != nil || len(rows) == 0 || rows[0].Span != span {
			t.Errorf("%d s back: %d rows, %v", back, len(rows), err)
		}
	}
}

// A disk that takes nothing: failures and what is lost are counted, memory is bounded, and
// once there is room it goes on.
func TestADiskThatTakesNothing(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "h")
	s := open(t, dir)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	failed := 0
	for at := int64(begin); at < begin+900; at++ {
		if s.Add([]Row{row(at, "read", 1)}) != nil {
			failed++
		}
	}
	if s.Failed != 2 || s.Lost != 600 || failed != 2 || len(s.open) != 300 {
		t.Errorf("%d writes failed, %d lost, %d said, %d held", s.Failed, s.Lost, failed, len(s.open))
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := s.Flush(); err != nil {
		t.Fatal(err)
	}
	if rows, err := s.Read(begin+600, begin+900); err != nil || len(rows) != 300 {
		t.Errorf("%d rows, %v", len(rows), err)
	}
}
