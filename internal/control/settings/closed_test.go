package settings

import (
	"path/filepath"
	"testing"
)

// A store that was closed must refuse changes and not open its files again, which would keep the
// next process of the host from starting.
func TestClosedStoreStaysClosed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.snap")
	store, err := Open(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	applied, err := store.Put(Example(1, 1))
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second one finds that the first could not be recorded
		change := *applied
		if _, err := store.Put(&change); err == nil {
			t.Error("a change after Close was accepted")
		}
	}
	reopened, err := Open(file, nil)
	if err != nil {
		t.Fatal("the next process can't open the settings:", err)
	}
	reopened.Close()
}
