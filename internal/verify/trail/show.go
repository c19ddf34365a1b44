package trail

import (
	"fmt"
	"strings"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
)

// Trace returns a line for each event of one command, or "" if there is none. The command is given by
// its connection and tag or, if conn is 0, by one of its requests. Responses to task management
// functions are left out.
func Trace(events []Event, conn, tag uint32, hostID, seq uint64) string {
	if conn == 0 {
		conn, tag = findCommand(events, hostID, seq)
	}
	var text strings.Builder
	tracer := commandTracer{conn: conn, tag: tag, requests: map[[2]uint64]bool{{hostID, seq}: seq != 0}, attempts: map[[2]uint32]bool{}}
	start := int64(-1)
	for i := range events {
		if e := &events[i]; tracer.matches(e) {
			if start < 0 {
				start = e.Time
			}
			WriteEvent(&text, e, start)
		}
	}
	return text.String()
}

// commandTracer selects the events of one command.
type commandTracer struct {
	conn, tag uint32
	host      string
	session   uint32
	requests  map[[2]uint64]bool // by HostID and Seq
	attempts  map[[2]uint32]bool // by disk server connection and tag
}

func (w *commandTracer) matches(e *Event) bool {
	switch {
	case e.Link == LinkClient && e.Conn == w.conn && w.conn != 0:
		if e.Kind == Login || e.Kind == Command {
			w.host, w.session = e.Host, e.Session
		}
		return e.Tag == w.tag && e.Kind != Login || e.Kind == Close || e.Kind == TaskRequest && e.RefTag == w.tag
	case e.Link == LinkDisk && e.Kind == Do:
		key := [2]uint64{e.HostID, e.Seq}
		if w.conn != 0 && e.Host == w.host && e.Session == w.session && e.RefTag == w.tag {
			w.requests[key] = true
		}
		if w.requests[key] {
			w.attempts[[2]uint32{e.Conn, e.Tag}] = true
		}
		return w.requests[key]
	case e.Link == LinkDisk && e.Kind == Answer:
		return w.attempts[[2]uint32{e.Conn, e.Tag}]
	case e.Link == LinkDisk && e.Kind == Close:
		for k := range w.attempts {
			if k[0] == e.Conn {
				return true
			}
		}
	}
	return false
}

// findCommand returns the connection and tag of the command that a request is part of, or zeros.
func findCommand(events []Event, hostID, seq uint64) (conn, tag uint32) {
	for i := range events {
		e := &events[i]
		if e.Kind != Do || e.HostID != hostID || e.Seq != seq {
			continue
		}
		for j := i; j >= 0; j-- {
			candidate := &events[j]
			if candidate.Kind == Command && candidate.Host == e.Host && candidate.Session == e.Session && candidate.Tag == e.RefTag {
				return candidate.Conn, candidate.Tag
			}
		}
	}
	return 0, 0
}

// WriteEvent writes a line that describes an event, with times in ms since start.
func WriteEvent(text *strings.Builder, e *Event, start int64) {
	fmt.Fprintf(text, "%10.3f ms  %-6s %s %-4s %-8s ", float64(e.Time-start)/1000, e.Link, e.Host, e.Dir, e.Kind)
	switch e.Kind {
	case Command:
		fmt.Fprintf(text, "%d/%d %s of %s, block %d, %d blocks, %d bytes", e.Conn, e.Tag, e.Op, e.Volume, e.LBA, e.Blocks, e.Length)
	case DataOut:
		fmt.Fprintf(text, "%d/%d %d bytes", e.Conn, e.Tag, e.Length)
	case Status:
		fmt.Fprintf(text, "%d/%d %s", e.Conn, e.Tag, statusText(e))
	case TaskRequest:
		fmt.Fprintf(text, "%d/%d function %d on task %d", e.Conn, e.Tag, e.Status, e.RefTag)
	case TaskResponse:
		fmt.Fprintf(text, "%d/%d response %d", e.Conn, e.Tag, e.Status)
	case Do:
		fmt.Fprintf(text, "%s request %d attempt %d: %s of %s, key %s, %.0f units, deadline at %.3f ms, tag %d", e.Peer, e.Seq, e.Attempt,
			e.Op, e.Volume, e.Key, e.Units, float64(e.Deadline-start)/1000, e.Tag)
	case Answer:
		fmt.Fprintf(text, "%s tag %d: %s", e.Peer, e.Tag, diskproto.Result(e.Status))
		if e.Dropped {
			text.WriteString(", dropped as a repeat")
		}
	case List:
		text.WriteString(e.Detail)
	default:
		fmt.Fprintf(text, "connection %d %s %s", e.Conn, e.Peer, e.Detail)
	}
	text.WriteByte('\n')
}

func statusText(e *Event) string {
	switch byte(e.Status) {
	case scsi.Good:
		return "GOOD"
	case scsi.Busy:
		return fmt.Sprintf("BUSY, retry after %d ms", e.Advice*100)
	case scsi.CheckCondition:
		return fmt.Sprintf("CHECK CONDITION %06x", e.Sense)
	}
	return fmt.Sprintf("status %02x", e.Status)
}
