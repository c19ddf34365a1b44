// Package trail records the socket traffic of a run, ordered by time, and stores it as a parquet
// file for the rule checker and for inspection. It holds no information that a gateway reports
// about itself.
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

// Links: the kind of socket that an event was seen on.
const (
	LinkClient    = "client" // iSCSI, between a client and a host
	LinkDisk      = "disk"   // between a host and a disk server
	LinkInventory = "list"   // between a host and the inventory
	LinkFault     = "fault"  // no socket: a fault injected into a process, which checkers take into account
)

// Kinds of events, with the link that they occur on, and directions. The Dir of Open and Close tells
// which side opened or closed the connection.
const (
	Open         = "open"
	Close        = "close"
	Login        = "login"   // client: the login of a session completed
	Command      = "command" // client: a SCSI command
	DataOut      = "data"    // client: a Data-Out PDU
	Status       = "status"  // client: the final status of a command
	TaskRequest  = "manage"  // client: a task management function request
	TaskResponse = "managed" // client: a task management function response
	Logout       = "logout"  // client: a logout request
	Hello        = "hello"   // disk: a host identifies itself
	Do           = "do"      // disk: the host sends an attempt
	Answer       = "answer"  // disk: the server answers an attempt
	Bye          = "bye"     // disk: the server accepts no more on this connection; Status 1: it is overloaded
	List         = "list"    // list: the inventory's list of servers or a change of it
	Malformed    = "broken"  // any: bytes that cannot be parsed
	Stalled      = "still"   // fault: a host does not run until Deadline
	Killed       = "died"    // fault: a host was killed
	Up           = "up"      // client to host, host to disk server or inventory
	Down         = "down"    // the other direction
)

// Event is one frame, the opening or closing of a connection, or a fault.
type Event struct {
	Time  int64  `parquet:"t"` // us since the run began
	Link  string `parquet:"link,dict"`
	Conn  uint32 `parquet:"conn"`      // number of the connection, unique in the trail
	Host  string `parquet:"host,dict"` // host process, see HostName
	Peer  string `parquet:"peer,dict"` // initiator name after its last colon, or address of the disk server
	Dir   string `parquet:"dir,dict"`
	Kind  string `parquet:"kind,dict"`
	Bytes int64  `parquet:"bytes"` // length of the frame

	// Client commands, also set for attempts where they apply.
	Session uint32 `parquet:"session"` // iSCSI TSIH
	Tag     uint32 `parquet:"tag"`     // initiator task tag, or tag of a frame on LinkDisk
	RefTag  uint32 `parquet:"ref"`     // referenced task of a TaskRequest, or task of the command that a Do is part of
	Op      string `parquet:"op,dict"`
	Volume  string `parquet:"volume,dict"`
	LBA     uint64 `parquet:"lba"`
	Blocks  uint32 `parquet:"blocks"`
	Length  uint32 `parquet:"length"` // of a command: expected data transfer length; else bytes of data
	Status  int32  `parquet:"status"` // SCSI status, diskproto.Result, or code of a task management function or response
	Sense   uint32 `parquet:"sense"`  // sense key, code and qualifier, a byte each
	Advice  uint32 `parquet:"advice"` // of a Status: retry delay, 100 ms; of a Command: bytes of write data not awaited in Data-Out PDUs

	// Attempts.
	HostID          uint64  `parquet:"host_id"`
	Seq             uint64  `parquet:"seq"`
	Attempt         uint32  `parquet:"attempt"`
	Effect          int32   `parquet:"effect"`
	Shard           int32   `parquet:"shard"`
	Units           float64 `parquet:"units"`
	Key             string  `parquet:"key,dict"`
	Generation      uint64  `parquet:"gen"`   // generation of the shard's home as known to the host
	SettingsVersion uint64  `parquet:"under"` // settings in force when the request arrived
	Plan            string  `parquet:"plan,dict"`
	Deadline        int64   `parquet:"deadline"`    // us since the run began
	Dropped         bool    `parquet:"dropped"`     // of an Answer: the server dropped the attempt as a repeat
	Detail          string  `parquet:"detail,dict"` // of a List: its JSON; of Malformed: the error
}

// Server describes a disk server.
type Server struct {
	Name  string  `json:"name"`
	Shard int     `json:"shard"`
	Zone  string  `json:"zone"`
	Rack  string  `json:"rack"`
	Rate  float64 `json:"rate"` // capacity when warm, units per second
	// Region is the server's region in a service of two regions, else 0.
	Region int `json:"region,omitempty"`
}

// Meta describes the run of a trail. The keys of Servers are the addresses that hosts dial.
type Meta struct {
	Settings *settings.Settings `json:"settings"`
	Servers  map[string]Server  `json:"servers"`
	Seed     uint64             `json:"seed"`
	Note     string             `json:"note"`
	// Layouts lists, by volume, the layouts that it had during the run besides the one in Settings.
	Layouts map[string][][]int `json:"layouts,omitempty"`
}

// HostName returns the host name of a process: "h0" for "h0#2", the second process of that host.
func HostName(process string) string {
	name, _, _ := strings.Cut(process, "#")
	return name
}

// Recorder records events. It is safe for concurrent use: it reads the clock and appends the event
// under one lock, so events are ordered by time.
type Recorder struct {
	Now func() int64 // us since the run began

	mu       sync.Mutex
	events   []Event
	observer func(*Event)
	lastConn uint32
	stopped  bool
	discard  bool
}

// NewRecorder returns a Recorder that takes its times, in us, from now.
func NewRecorder(now func() int64) *Recorder { return &Recorder{Now: now} }

// SetObserver calls f for each further event, under the recorder's lock. Unless keep is set, further
// events are not stored.
func (r *Recorder) SetObserver(f func(*Event), keep bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observer, r.discard = f, !keep
}

// NextConn returns a new connection number, from 1.
func (r *Recorder) NextConn() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConn++
	return r.lastConn
}

// Add records an event at the current time. After Stop it does nothing.
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

// Stop ends the recording and returns the stored events. Traffic of the shutdown that follows is not
// recorded.
func (r *Recorder) Stop() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.events
}

// metaKey is the key of the JSON of Meta in the metadata of the parquet file.
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

// FileError reports that a file is not a valid trail.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("trail: %s: %v", e.File, e.Err) }

// Unwrap returns the cause of the error.
func (e *FileError) Unwrap() error { return e.Err }

// Read reads a trail file. It returns a *FileError for a file that is not a valid trail.
func Read(file string) (meta *Meta, events []Event, err error) {
	defer func() {
		// The parquet library panics on some damaged files.
		if cause := recover(); cause != nil {
			err = &FileError{file, fmt.Errorf("damaged parquet data: %v", cause)}
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
		return nil, nil, &FileError{file, errors.New("no valid run description in the parquet metadata")}
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
