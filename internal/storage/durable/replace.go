// Package durable replaces files so that a reader, or a start after a crash at any point,
// finds the old one or the new one, whole.
package durable

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// TempSuffix is how the names of files end that are not whole yet. One that a crash leaves
// behind has taken the place of nothing.
const TempSuffix = ".half"

// Replace writes a file with the mode anew: beside the old one first, synced, then renamed
// to its name, and the folder synced. After an error of write, or of the file's sync, the
// old file is as it was; where the folder's sync fails the new one is there, and may not
// outlast a power cut.
func Replace(file string, mode fs.FileMode, write func(*os.File) error) error {
	dir := filepath.Dir(file)
	f, err := os.CreateTemp(dir, filepath.Base(file)+"-*"+TempSuffix)
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // gone already where the rename was reached
	if err := writeAndSync(f, mode, write); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), file); err != nil {
		return err
	}
	return syncDir(dir)
}

// RemoveTemp removes what a crash in the midst of Replace left of a file. Nobody else may be
// replacing it meanwhile.
func RemoveTemp(file string) error {
	dir, name := filepath.Split(file)
	return removeTempFiles(filepath.Clean(dir), name+"-")
}

// RemoveTempDir is Clean for all files of a folder.
func RemoveTempDir(dir string) error { return removeTempFiles(dir, "") }

func removeTempFiles(dir, prefix string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), prefix) && strings.HasSuffix(e.Name(), TempSuffix) {
			if err := os.Remove(filepath.Join(dir, e.Name())); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeAndSync writes and closes f.
func writeAndSync(f *os.File, mode fs.FileMode, write func(*os.File) error) error {
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
