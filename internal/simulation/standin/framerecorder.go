package standin

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"strings"
	"sync"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/verify/trail"
)

// frameParser reads the frames of one connection.
type frameParser interface {
	// frameLength returns the length of the frame that b begins with, 0 if it isn't all
	// there, -1 if it is none.
	frameLength(up bool, b []byte) int
	// events describes a whole events; nil leaves it out.
	events(up bool, b []byte) []trail.Event
	// setEndpoints fills in the end points.
	setEndpoints(e *trail.Event)
}

const maxFrameBytes = 4 << 20 // longer is taken for broken

// FrameRecorder records the frames of one connection from the bytes that pass.
type FrameRecorder struct {
	recorder *trail.Recorder
	conn     uint32
	mu       sync.Mutex // both directions record through one tapper
	parser   frameParser
	partial  [2][]byte // of a frame that isn't whole yet, up and down
	closed   bool
}

func newFrameRecorder(rec *trail.Recorder, r frameParser) *FrameRecorder {
	t := &FrameRecorder{recorder: rec, parser: r, conn: rec.NextConn()}
	t.add(trail.Event{Kind: trail.Open, Dir: trail.Up})
	return t
}

func (t *FrameRecorder) add(e trail.Event) {
	e.Conn = t.conn
	t.parser.setEndpoints(&e)
	t.recorder.Add(e)
}

// Bytes takes what passes; up from the side that dialled. No tap hears nothing.
func (t *FrameRecorder) Bytes(up bool, b []byte) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	held := &t.partial[0]
	if !up {
		held = &t.partial[1]
	}
	if len(*held) == 0 { // most often: nothing is left of b
		*held = append([]byte(nil), t.recordFrames(b, up)...)
		return
	}
	*held = append([]byte(nil), t.recordFrames(append(*held, b...), up)...)
}

// Closed notes which side ended the connection, once.
func (t *FrameRecorder) Closed(up bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.closed = true
		t.add(trail.Event{Kind: trail.Close, Dir: dir(up)})
	}
}

func dir(up bool) string {
	if up {
		return trail.Up
	}
	return trail.Down
}

// recordFrames notes the whole frames in b and returns what remains.
func (t *FrameRecorder) recordFrames(b []byte, up bool) []byte {
	for len(b) > 0 {
		n := t.parser.frameLength(up, b)
		if n < 0 || n == 0 && len(b) > maxFrameBytes {
			t.add(trail.Event{Kind: trail.Malformed, Dir: dir(up), Bytes: int64(len(b))})
			return nil
		}
		if n == 0 {
			return b
		}
		for _, e := range t.parser.events(up, b[:n]) {
			e.Dir, e.Bytes = dir(up), int64(n)
			t.add(e)
		}
		b = b[n:]
	}
	return nil
}

// iscsiParser reads iSCSI.
type iscsiParser struct {
	host, peer  string
	settings    *settings.Settings
	digests     [2]bool // header, data
	fullFeature bool
	session     uint32
	volume      string
	loginData   []byte
}

// RecordISCSI reads a connection between an initiator and that host.
func RecordISCSI(rec *trail.Recorder, host string, set *settings.Settings) *FrameRecorder {
	return newFrameRecorder(rec, &iscsiParser{host: host, settings: set})
}

func (c *iscsiParser) setEndpoints(e *trail.Event) {
	e.Link, e.Host, e.Peer, e.Session = trail.LinkClient, c.host, c.peer, c.session
	if e.Volume == "" {
		e.Volume = c.volume
	}
}

func (c *iscsiParser) frameLength(up bool, b []byte) int {
	if len(b) < 48 {
		return 0
	}
	data := int(b[5])<<16 | int(b[6])<<8 | int(b[7])
	n := 48 + 4*int(b[4]) + (data+3)&^3
	if c.fullFeature && c.digests[0] {
		n += 4
	}
	if c.fullFeature && c.digests[1] && data > 0 {
		n += 4
	}
	if n > maxFrameBytes {
		return -1
	}
	if len(b) < n {
		return 0
	}
	return n
}

func (c *iscsiParser) events(up bool, b []byte) []trail.Event {
	r := iscsi.NewReader(bufio.NewReader(bytes.NewReader(b)), maxFrameBytes)
	if c.fullFeature {
		r.Digests = iscsi.Digests{Header: c.digests[0], Data: c.digests[1]}
	}
	p, err := r.Next()
	if err != nil {
		return []trail.Event{{Kind: trail.Malformed, Detail: err.Error()}}
	}
	if up {
		return c.request(p)
	}
	return c.response(p)
}

func (c *iscsiParser) request(p *iscsi.PDU) []trail.Event {
	e := trail.Event{Tag: p.ITT()}
	switch p.Opcode() {
	case iscsi.OpLoginReq:
		c.loginData = append(c.loginData, p.Data...)
		return nil
	case iscsi.OpCommand:
		e.Kind, e.Length = trail.Command, p.Word(20)
		e.Op, e.LBA, e.Blocks = describeCommand(p.CDB())
		e.Advice = uint32(len(p.Data)) // immediate data, bytes
		if p.Flags()&0x20 == 0 {
			e.Advice = e.Length // nothing is still to come
		}
	case iscsi.OpDataOut:
		e.Kind, e.Length = trail.DataOut, uint32(len(p.Data))
	case iscsi.OpTaskReq:
		e.Kind, e.RefTag, e.Status = trail.TaskRequest, p.Word(iscsi.AtTTT), int32(p.Flags()&0x7f)
	case iscsi.OpLogoutReq:
		e.Kind = trail.Logout
	default:
		return nil
	}
	return []trail.Event{e}
}

func (c *iscsiParser) response(p *iscsi.PDU) []trail.Event {
	e := trail.Event{Tag: p.ITT()}
	switch p.Opcode() {
	case iscsi.OpLoginResp:
		return c.login(p)
	case iscsi.OpResponse:
		e.Kind, e.Status = trail.Status, int32(p.BHS[3])
		e.Advice = uint32(binary.BigEndian.Uint16(p.BHS[8:]))
		if len(p.Data) > 2 {
			if s, ok := scsi.ParseSense(p.Data[2:]); ok {
				e.Sense = uint32(s.Key)<<16 | uint32(s.ASC)<<8 | uint32(s.ASCQ)
			}
		}
	case iscsi.OpDataIn:
		if p.Flags()&1 == 0 {
			return nil
		}
		e.Kind, e.Status = trail.Status, int32(p.BHS[3])
	case iscsi.OpTaskResp:
		e.Kind, e.Status = trail.TaskResponse, int32(p.BHS[2])
	default:
		return nil
	}
	return []trail.Event{e}
}

// login follows the login to its end: names from the requests, digests from the
// answers, the session's handle from the last.
func (c *iscsiParser) login(p *iscsi.PDU) []trail.Event {
	answers, _ := iscsi.ParseText(p.Data)
	for _, k := range answers {
		switch k.Name {
		case "HeaderDigest":
			c.digests[0] = k.Value == "CRC32C"
		case "DataDigest":
			c.digests[1] = k.Value == "CRC32C"
		}
	}
	if p.BHS[36] != 0 || !p.Final() || p.Flags()&3 != 3 {
		return nil
	}
	c.fullFeature = true
	c.session = uint32(p.BHS[14])<<8 | uint32(p.BHS[15])
	asked, _ := iscsi.ParseText(c.loginData)
	c.loginData = nil
	for _, k := range asked {
		switch k.Name {
		case "InitiatorName":
			c.peer = k.Value[strings.LastIndexByte(k.Value, ':')+1:]
		case "TargetName":
			c.volume = k.Value[strings.LastIndexByte(k.Value, ':')+1:]
		}
	}
	return []trail.Event{{Kind: trail.Login}}
}

// describeCommand names a CDB's operation; "" for those that need no disk. The data of
// an UNMAP isn't read: its runs are in its attempts.
func describeCommand(cdb []byte) (op string, lba uint64, blocks uint32) {
	var b [16]byte
	copy(b[:], cdb)
	every := &scsi.Disk{Blocks: 1 << 62, BlockSize: 1}
	out := scsi.Decode(every, b, make([]byte, 2*scsi.MaxBlocks), nil)
	if b[0] == 0x42 {
		return scsi.Unmap.String(), 0, 0
	}
	if out.IO == nil || out.IO.Op == scsi.Flush {
		return "", 0, 0
	}
	return out.IO.Op.String(), out.IO.LBA, out.IO.Blocks
}

// diskParser reads the disk servers' protocol.
type diskParser struct {
	server string
	host   string
	hostID uint64
}

// RecordDiskProtocol reads a connection between a host and the disk server that the inventory
// lists at that address.
func RecordDiskProtocol(rec *trail.Recorder, addr string) *FrameRecorder {
	return newFrameRecorder(rec, &diskParser{server: addr})
}

func (d *diskParser) setEndpoints(e *trail.Event) {
	e.Link, e.Host, e.Peer, e.HostID = trail.LinkDisk, d.host, d.server, d.hostID
}

func (d *diskParser) frameLength(_ bool, b []byte) int {
	if len(b) < 16 {
		return 0
	}
	if b[0] != 'M' || b[1] != 'H' {
		return -1
	}
	n := 16 + int(binary.BigEndian.Uint32(b[4:]))
	if n > maxFrameBytes {
		return -1
	}
	if len(b) < n {
		return 0
	}
	return n
}

func (d *diskParser) events(_ bool, b []byte) []trail.Event {
	f, err := diskproto.NewReader(bufio.NewReader(bytes.NewReader(b))).Next()
	if err != nil {
		return []trail.Event{{Kind: trail.Malformed, Detail: err.Error()}}
	}
	e := trail.Event{Tag: f.Tag}
	switch f.Kind {
	case diskproto.KindHello:
		var m diskproto.Hello
		if m.Parse(f.Body) != nil {
			return nil
		}
		d.host, d.hostID = m.Name, m.Host
		e.Kind = trail.Hello
	case diskproto.KindDo:
		var m diskproto.Do
		if err := m.Parse(f.Body); err != nil {
			return []trail.Event{{Kind: trail.Malformed, Detail: err.Error()}}
		}
		e.Kind, e.Op, e.Effect, e.Attempt, e.Shard = trail.Do, scsi.Op(m.Op).String(), int32(m.Effect), uint32(m.Attempt), int32(m.Shard)
		e.Seq, e.Deadline, e.Units, e.Volume, e.Key, e.Generation = m.Seq, int64(m.Deadline), m.Units, m.Volume, m.Key, m.Gen
		e.LBA, e.Blocks, e.Length, e.SettingsVersion, e.Plan = m.LBA, m.Blocks, uint32(len(m.Data)), m.Under, m.Plan
		e.Session, e.RefTag = uint32(m.Origin>>32), uint32(m.Origin)
	case diskproto.KindAnswer:
		var m diskproto.Answer
		if err := m.Parse(f.Body); err != nil {
			return []trail.Event{{Kind: trail.Malformed, Detail: err.Error()}}
		}
		e.Kind, e.Status, e.Dropped, e.Length = trail.Answer, int32(m.Result), m.Dropped, uint32(len(m.Data))
	case diskproto.KindBye:
		e.Kind, e.Status = trail.Bye, int32(f.Tag)
	default:
		return nil
	}
	return []trail.Event{e}
}

// inventoryParser reads the inventory's lines.
type inventoryParser struct{ host string }

// RecordInventory reads a connection between that host and the inventory.
func RecordInventory(rec *trail.Recorder, host string) *FrameRecorder {
	return newFrameRecorder(rec, &inventoryParser{host})
}

func (l *inventoryParser) setEndpoints(e *trail.Event) { e.Link, e.Host = trail.LinkInventory, l.host }

func (l *inventoryParser) frameLength(_ bool, b []byte) int { return bytes.IndexByte(b, '\n') + 1 }

func (l *inventoryParser) events(up bool, b []byte) []trail.Event {
	if up {
		return nil
	}
	var m inventory.List
	if json.Unmarshal(b, &m) != nil {
		return []trail.Event{{Kind: trail.Malformed}}
	}
	return []trail.Event{{Kind: trail.List, Detail: string(bytes.TrimSpace(b))}}
}
