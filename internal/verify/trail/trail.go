// Package trail keeps what passed on the sockets of a run, in one order of time,
// as a columnar file that people and the rule checker read. It holds nothing that
// a gateway says of itself.
package trail

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"

	"github.com/parquet-go/parquet-go"

	"merlinhitch/internal/control/settings"
)

// Links: which socket an event passed on.
const (
	LinkClient    = "client"
	LinkDisk      = "disk"
	LinkInventory = "list"
	LinkFault     = "fault" // no socket: what was done to a program, as judges must know it
)

// Kinds of events. Opens and closes carry in Dir who did it.
const (
	Open         = "open"
	Close        = "close"
	Login        = "login"   // client: a session began
	Command      = "command" // client: a SCSI command
	DataOut      = "data"    // client: Data-Out
	Status       = "status"  // client: a command's final answer
	TaskRequest  = "manage"  // client: a task management function
	TaskResponse = "managed" // client: its response
	Logout       = "logout"  // client
	Hello        = "hello"   // disk: a host says who it is
	Do           = "do"      // disk: an attempt
	Answer       = "answer"  // disk: its end
	Bye          = "bye"     // disk: the server takes no more
	List         = "list"    // list: what the host is told
	Malformed    = "broken"  // any: bytes that are no frame
	Stalled      = "still"   // fault: a host stands still until Deadline
	Killed       = "died"    // fault: a host was ended
	Up           = "up"      // towards the service: client to host, host to server
	Down         = "down"    // back
)

// Event is one frame, or the beginning or end of a connection.
type Event struct {
	Time  int64  `parquet:"t"` // us since the run began
	Link  string `parquet:"link,dict"`
	Conn  uint32 `parquet:"conn"` // of the trail, never used twice
	Host  string `parquet:"host,dict"`
	Peer  string `parquet:"peer,dict"` // client, or address of the disk server
	Dir   string `parquet:"dir,dict"`
	Kind  string `parquet:"kind,dict"`
	Bytes int64  `parquet:"bytes"`

	// Of commands.
	Session uint32 `parquet:"session"`
	Tag     uint32 `parquet:"tag"` // initiator task tag, or tag of a disk frame
	RefTag  uint32 `parquet:"ref"` // task that a function names
	Op      string `parquet:"op,dict"`
	Volume  string `parquet:"volume,dict"`
	LBA     uint64 `parquet:"lba"`
	Blocks  uint32 `parquet:"blocks"`
	Length  uint32 `parquet:"length"` // bytes to move
	Status  int32  `parquet:"status"` // SAM status, result of an answer, or response
	Sense   uint32 `parquet:"sense"`  // key, code, qualifier
	Advice  uint32 `parquet:"advice"` // retry delay, 100 ms

	// Of attempts.
	HostID          uint64  `parquet:"host_id"`
	Seq             uint64  `parquet:"seq"`
	Attempt         uint32  `parquet:"attempt"`
	Effect          int32   `parquet:"effect"`
	Shard           int32   `parquet:"shard"`
	Units           float64 `parquet:"units"`
	Key             string  `parquet:"key,dict"`
	Generation      uint64  `parquet:"gen"`   // of the shard's home, as the host knows it
	SettingsVersion uint64  `parquet:"under"` // version of the settings that the request was taken under
	Plan            string  `parquet:"plan,dict"`
	Deadline        int64   `parquet:"deadline"` // us of the same clock
	Dropped         bool    `parquet:"dropped"`
	Detail          string  `parquet:"detail,dict"` // of a list: its line
}

// Server describes a disk server, by the address that hosts know.
type Server struct {
	Name  string  `json:"name"`
	Shard int     `json:"shard"`
	Zone  string  `json:"zone"`
	Rack  string  `json:"rack"`
	Rate  float64 `json:"rate"` // units a second that it can do when warm
	// Region is where it is, in a service over two.
	Region int `json:"region,omitempty"`
}

// Meta is what a reader must know beside the events.
type Meta struct {
	Settings *settings.Settings `json:"settings"`
	Servers  map[string]Server  `json:"servers"`
	Seed     uint64             `json:"seed"`
	Note     string             `json:"note"`
	// Layouts are those that volumes had in the course of the run beside the one in
	// Settings.
	Layouts map[string][][]int `json:"layouts,omitempty"`
}

// HostName is the host of which a process is one start: "h0" of "h0#2".
func HostName(process string) string {
	name, _, _ := strings.Cut(process, "#")
	return name
}

// Recorder gathers events. It is safe for concurrent use: time is read and the
// event is entered as one step, so the order is that of the times.
type Recorder struct {
	Now func() int64 // us

	mu       sync.Mutex
	events   []Event
	observer func(*Event)
	lastConn uint32
	stopped  bool
	discard  bool
}

// NewRecorder reads time from now.
func NewRecorder(now func() int64) *Recorder { return &Recorder{Now: now} }

// SetObserver has f told of each event as it is entered, from now on; without keep the events
// are not gathered.
func (r *Recorder) SetObserver(f func(*Event), keep bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observer, r.discard = f, !keep
}

// NextConn returns a number for a new connection.
func (r *Recorder) NextConn() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConn++
	return r.lastConn
}

// Add enters an event at the present time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.Now()
	if r.stopped {
		return
	}
	if r.observer != nil {
		r.observer(&e)
	}
	if !r.discard {
		r.events = append(r.events, e)
	}
}

// Stop ends the recording: what passes from now on is the clearing up.
func (r *Recorder) Stop() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.events
}

const metaKey = "merlinhitch"

// Write writes a trail file.
func Write(file string, meta *Meta, events []Event) error {
	encoded, err := json.Marshal(meta)
	if err != nil {
		return err
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	writer := parquet.NewGenericWriter[Event](out, parquet.KeyValueMetadata(metaKey, string(encoded)), parquet.Compression(&parquet.Zstd))
	_, err = writer.Write(events)
	if closeErr := writer.Close(); err == nil {
		err = closeErr
	}
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return err
}

// FileError says why a file is no trail.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("trail: %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Read reads a trail file.
func Read(file string) (meta *Meta, events []Event, err error) {
	defer func() {
		// The library panics on some damaged files.
		if cause := recover(); cause != nil {
			err = &FileError{file, fmt.Errorf("damaged: %v", cause)}
		}
	}()
	in, err := os.Open(file)
	if err != nil {
		return nil, nil, err
	}
	defer in.Close()
	info, err := in.Stat()
	if err != nil {
		return nil, nil, err
	}
	columns, err := parquet.OpenFile(in, info.Size())
	if err != nil {
		return nil, nil, &FileError{file, err}
	}
	encoded, ok := columns.Lookup(metaKey)
	meta = &Meta{}
	if !ok || json.Unmarshal([]byte(encoded), meta) != nil || meta.Settings == nil {
		return nil, nil, &FileError{file, errors.New("no description of the run")}
	}
	reader := parquet.NewGenericReader[Event](columns)
	defer reader.Close()
	events = make([]Event, reader.NumRows())
	for n := 0; n < len(events); {
		count, err := reader.Read(events[n:])
		n += count
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, nil, &FileError{file, err}
		}
		if count == 0 {
			return nil, nil, &FileError{file, io.ErrUnexpectedEOF}
		}
	}
	return meta, events, nil
}
