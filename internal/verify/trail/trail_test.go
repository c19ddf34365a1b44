package trail

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"merlinhitch/internal/control/settings"
)

func sampleTrail() (*Meta, []Event) {
	var events []Event
	for i := range 500 {
		events = append(events, Event{Time: int64(i), Link: LinkDisk, Conn: uint32(i % 7), Host: "h0#1", Peer: "127.0.0.1:1", Dir: Up, Kind: Do,
			Seq: uint64(i), Units: 1.5, Key: "v/1", Effect: 1})
	}
	return &Meta{Settings: settings.Example(1, 3), Seed: 5, Servers: map[string]Server{"127.0.0.1:1": {Name: "d0"}}}, events
}

// A truncated trail must be reported as invalid, not read in part.
func TestTruncatedFile(t *testing.T) {
	meta, events := sampleTrail()
	file := filepath.Join(t.TempDir(), "t.parquet")
	if err := Write(file, meta, events); err != nil {
		t.Fatal(err)
	}
	gotMeta, gotEvents, err := Read(file)
	if err != nil || gotMeta.Seed != 5 || !slices.Equal(gotEvents, events) {
		t.Fatalf("trail read back differs from the one written; error %v", err)
	}
	content, _ := os.ReadFile(file)
	for n := 0; n < len(content); n += max(len(content)/60, 1) {
		os.WriteFile(file, content[:n], 0o666)
		var fileErr *FileError
		if _, _, err := Read(file); !errors.As(err, &fileErr) {
			t.Errorf("truncated to %d bytes: got error %v, want a FileError", n, err)
		}
	}
	if _, _, err := Read(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: got error %v, want os.ErrNotExist", err)
	}
}

// Concurrent recording keeps all events, ordered by time.
func TestRecorderOrder(t *testing.T) {
	now := int64(0)
	recorder := NewRecorder(func() int64 { now++; return now })
	done := make(chan struct{})
	for range 4 {
		go func() {
			for range 1000 {
				recorder.Add(Event{Conn: recorder.NextConn()})
			}
			done <- struct{}{}
		}()
	}
	for range 4 {
		<-done
	}
	events := recorder.Stop()
	recorder.Add(Event{}) // after Stop: must not be recorded
	if len(events) != 4000 || !slices.IsSortedFunc(events, func(a, b Event) int { return int(a.Time - b.Time) }) {
		t.Errorf("got %d events, ordered by time: %v; want 4000, ordered", len(events), slices.IsSortedFunc(events, func(a, b Event) int { return int(a.Time - b.Time) }))
	}
}
