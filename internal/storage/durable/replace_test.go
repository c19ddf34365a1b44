package durable

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
)

func writeText(text string) func(*os.File) error {
	return func(f *os.File) error {
		_, err := f.WriteString(text)
		return err
	}
}

func fileNames(t *testing.T, dir string) (out []string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		out = append(out, e.Name())
	}
	return out
}

// A write that fails leaves the old file unchanged and no temporary file.
func TestFailedReplaceKeepsOldFile(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "state")
	if err := Replace(file, 0o600, writeText("old")); err != nil {
		t.Fatal(err)
	}
	failingWrite := func(f *os.File) error {
		f.WriteString("ne")
		return syscall.ENOSPC
	}
	if err := Replace(file, 0o600, failingWrite); !errors.Is(err, syscall.ENOSPC) {
		t.Error(err)
	}
	if b, err := os.ReadFile(file); err != nil || string(b) != "old" || len(fileNames(t, dir)) != 1 {
		t.Errorf("%q, %v, %v", b, err, fileNames(t, dir))
	}
	if err := Replace(file, 0o640, writeText("new")); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(file)
	if err != nil || info.Mode() != 0o640 || info.Size() != 3 {
		t.Errorf("%v, %v", info, err)
	}
}

// RemoveTemp deletes the temporary files of the given file, and no other files.
func TestRemoveTempRemovesOnlyOwnTempFiles(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"state", "state-1.half", "state-22.half", "state.audit", "state-1", "other-1.half"} {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := RemoveTemp(filepath.Join(dir, "state")); err != nil {
		t.Fatal(err)
	}
	if got, want := fileNames(t, dir), []string{"other-1.half", "state", "state-1", "state.audit"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
