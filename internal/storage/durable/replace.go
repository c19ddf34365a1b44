// Package durable replaces files atomically: a reader, or a restart after a crash at any
// point, finds either the complete old file or the complete new one.
package durable

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// TempSuffix is the suffix of the temporary files that Replace writes. After a crash, one that
// is left over can be deleted: it has not replaced any file.
const TempSuffix = ".half"

// Replace replaces the contents and mode of a file: it writes a temporary file in the same
// directory, syncs it, renames it to the file's name and syncs the directory. If write or
// the sync of the file fails, the old file is unchanged. If the sync of the directory fails,
// the new file is in place but may not survive a power failure.
func Replace(file string, mode fs.FileMode, write func(*os.File) error) error {
	dir := filepath.Dir(file)
	f, err := os.CreateTemp(dir, filepath.Base(file)+"-*"+TempSuffix)
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // has no effect after the rename
	if err := writeAndSync(f, mode, write); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), file); err != nil {
		return err
	}
	return syncDir(dir)
}

// RemoveTemp deletes the temporary files that a crash during Replace of the same file left
// behind. No Replace of the file may be running.
func RemoveTemp(file string) error {
	dir, name := filepath.Split(file)
	return removeTempFiles(filepath.Clean(dir), name+"-")
}

// RemoveTempDir does the same as RemoveTemp for all files of a directory.
func RemoveTempDir(dir string) error { return removeTempFiles(dir, "") }

// removeTempFiles deletes the temporary files in dir whose names start with prefix.
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

// writeAndSync sets the mode of f, writes and syncs it, and closes it in any case.
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
