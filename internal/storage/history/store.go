package history

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/parquet-go/parquet-go"

	"merlinhitch/internal/storage/durable"
)

// level is a fineness, and for how long it is kept. A block is a file.
type level struct {
	name              string
	span, block, keep int64 // s
}

// levels, from the finest on. Each is made of the one before as its blocks end.
var levels = []level{
	{"1s", 1, 300, 3600},
	{"10s", 10, 3600, 24 * 3600},
	{"1m", 60, 6 * 3600, 7 * 24 * 3600},
}

// mostRows bounds the rows of a block in memory: beyond it the finest are summed up early.
const mostRows = 300 * 512

// Store keeps rows in a folder. It is not safe for concurrent use.
type Store struct {
	dir    string
	open   []Row // of the present block of the finest level
	from   int64 // its begin
	Failed int   // writes that failed; while its block lasts, what they were of is tried again
	Lost   int   // rows whose block ended before they could be written
}

// DamagedError names files that can't be read; they are left out and not touched.
type DamagedError struct{ Files []string }

func (e *DamagedError) Error() string {
	return "history: damaged and left out: " + strings.Join(e.Files, ", ")
}

// Open finds a folder's history, or begins one. What a crash left half-written is removed:
// it had not taken the place of anything.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if err := durable.RemoveTempDir(dir); err != nil {
		return nil, err
	}
	return &Store{dir: dir}, nil
}

// Add takes what was counted in a second. A clock that steps back adds to the seconds that
// it names again.
func (s *Store) Add(rows []Row) error {
	var err error
	for _, r := range rows {
		if r.empty() {
			continue
		}
		begin := r.At - mod(r.At, levels[0].block)
		if len(s.open) > 0 && begin != s.from {
			if e := s.write(); e != nil {
				err = e
				s.Lost += len(s.open)
			}
			s.open = nil
		}
		if len(s.open) == 0 {
			// After a start, or a clock that stepped back, the block has rows already.
			s.from = begin
			s.open, _ = readFile(s.file(levels[0], begin)) // a damaged one is written anew
		}
		if s.open = append(s.open, r); len(s.open) > mostRows {
			s.open = Coarser(s.open, levels[1].span) // far more classes than seconds: sums stay
		}
	}
	return err
}

// Flush drops what is past its time, which may make the room that is needed, and writes the
// present block as it stands, of all levels.
func (s *Store) Flush() error {
	if len(s.open) == 0 {
		return nil
	}
	return errors.Join(s.drop(s.open[len(s.open)-1].At), s.write())
}

// write writes the present block of all levels.
func (s *Store) write() error {
	rows := s.open
	for i, l := range levels {
		begin := rows[0].At - mod(rows[0].At, l.block)
		if i == 0 {
			begin = s.from
		}
		if err := s.merge(l, begin, Coarser(rows, l.span)); err != nil {
			s.Failed++
			return err
		}
	}
	return nil
}

func (s *Store) file(l level, begin int64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s-%012d.parquet", l.name, begin))
}

// merge replaces what a block has of the present rows' times: the present block is written
// many times as it grows.
func (s *Store) merge(l level, begin int64, rows []Row) error {
	old, err := readFile(s.file(l, begin))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		old = nil // a damaged block is written anew from here on
	}
	if l.span > levels[0].span {
		old = slices.DeleteFunc(old, func(r Row) bool { return r.At >= s.from && r.At < s.from+levels[0].block })
	} else {
		old = nil // the finest block is all in memory
	}
	rows = append(old, rows...)
	Sort(rows)
	return writeFile(s.file(l, begin), rows)
}

func writeFile(file string, rows []Row) error {
	return durable.Replace(file, 0o600, func(f *os.File) error {
		w := parquet.NewGenericWriter[Row](f, parquet.Compression(&parquet.Zstd))
		_, err := w.Write(rows)
		if closeErr := w.Close(); err == nil {
			err = closeErr
		}
		return err
	})
}

// readFile reads a block; one that is no sound file is an error, never a panic.
func readFile(file string) (rows []Row, err error) {
	defer func() {
		if p := recover(); p != nil { // the library's answer to some damaged pages
			rows, err = nil, fmt.Errorf("history: %s: %v", file, p)
		}
	}()
	if _, err := os.Stat(file); err != nil {
		return nil, err
	}
	return parquet.ReadFile[Row](file)
}

// drop removes blocks that are past their level's time.
func (s *Store) drop(now int64) error {
	for _, l := range levels {
		files, err := s.blocks(l)
		if err != nil {
			return err
		}
		for begin, f := range files {
			if begin+l.block < now-l.keep {
				if err := os.Remove(f); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// blocks are a level's files by their begin.
func (s *Store) blocks(l level) (map[int64]string, error) {
	files, err := filepath.Glob(filepath.Join(s.dir, l.name+"-*.parquet"))
	if err != nil {
		return nil, err
	}
	out := map[int64]string{}
	for _, f := range files {
		var begin int64
		if _, err := fmt.Sscanf(filepath.Base(f), l.name+"-%d.parquet", &begin); err == nil {
			out[begin] = f
		}
	}
	return out, nil
}

// Read returns what there is from one time to before another, at the finest level that
// reaches back so far. Files that can't be read are a *DamagedError beside the rows of the
// others.
func (s *Store) Read(from, to int64) (rows []Row, err error) {
	l := levels[len(levels)-1]
	for _, x := range levels {
		files, err := s.blocks(x)
		if err != nil {
			return nil, err
		}
		oldest := to
		for begin := range files {
			oldest = min(oldest, begin)
		}
		if len(files) > 0 && oldest <= from {
			l = x
			break
		}
	}
	files, err := s.blocks(l)
	if err != nil {
		return nil, err
	}
	damaged := &DamagedError{}
	for begin, f := range files {
		if begin+l.block <= from || begin >= to {
			continue
		}
		block, err := readFile(f)
		if err != nil {
			damaged.Files = append(damaged.Files, filepath.Base(f))
		}
		for _, r := range block {
			if r.At >= from-mod(from, l.span) && r.At < to {
				rows = append(rows, r)
			}
		}
	}
	Sort(rows)
	if len(damaged.Files) > 0 {
		slices.Sort(damaged.Files)
		return rows, damaged
	}
	return rows, nil
}
