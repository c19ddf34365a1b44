// Package durable replaces files so that a reader, or a start after a crash at any point,
// finds the old one or the new one, whole.
package durable

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// Unfinished is how the names of files end that are not whole yet. One that a crash leaves
// behind has taken the place of nothing.
const Unfinished = ".half"

// Replace writes a file with the mode anew: beside the old one first, synced, then renamed
// to its name, and the folder synced. After an error of write, or of the file's sync, the
// old file is as it was; where the folder's sync fails the new one is there, and may not
// outlast a power cut.
func Replace(file string, mode fs.FileMode, write func(*os.File) error) error {
	dir := filepath.Dir(file)
	f, err := os.CreateTemp(dir, filepath.Base(file)+"-*"+Unfinished)
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // gone already where the rename was reached
	if err := fill(f, mode, write); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), file); err != nil {
		return err
	}
	return syncDir(dir)
}

// Clean removes what a crash in the midst of Replace left of a file. Nobody else may be
// replacing it meanwhile.
func Clean(file string) error {
	dir, name := filepath.Split(file)
	return clean(filepath.Clean(dir), name+"-")
}

// CleanDir is Clean for all files of a folder.
func CleanDir(dir string) error { return clean(dir, "") }

func clean(dir, prefix string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), prefix) && strings.HasSuffix(e.Name(), Unfinished) {
			if err := os.Remove(filepath.Join(dir, e.Name())); err != nil {
				return err
			}
		}
	}
	return nil
}

// fill writes and closes f.
func fill(f *os.File, mode fs.FileMode, write func(*os.File) error) error {
	err := f.Chmod(mode)
	if err == nil {
		err = write(f)
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
