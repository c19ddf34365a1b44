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

// frameParser parses the frames of one connection.
type frameParser interface {
	// frameLength returns the length of the first frame of b, 0 if it is incomplete, -1 if it is
	// invalid.
	frameLength(up bool, b []byte) int
	// events returns the events of a complete frame, nil if it is not recorded.
	events(up bool, b []byte) []trail.Event
	// setEndpoints sets the fields that identify the connection's endpoints.
	setEndpoints(event *trail.Event)
}

const maxFrameBytes = 4 << 20 // longer frames are recorded as malformed

// FrameRecorder records the frames of one connection in a trail. A nil FrameRecorder records nothing.
type FrameRecorder struct {
	recorder *trail.Recorder
	conn     uint32
	mu       sync.Mutex // guards the parser, which both directions use
	parser   frameParser
	partial  [2][]byte // bytes of an incomplete frame, up and down
	closed   bool
}

func newFrameRecorder(recorder *trail.Recorder, parser frameParser) *FrameRecorder {
	frameRecorder := &FrameRecorder{recorder: recorder, parser: parser, conn: recorder.NextConn()}
	frameRecorder.addEvent(trail.Event{Kind: trail.Open, Dir: trail.Up})
	return frameRecorder
}

func (r *FrameRecorder) addEvent(event trail.Event) {
	event.Conn = r.conn
	r.parser.setEndpoints(&event)
	r.recorder.Add(event)
}

// Bytes records the frames that b completes; up is true for bytes from the side that dialled.
func (r *FrameRecorder) Bytes(up bool, b []byte) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	partial := &r.partial[0]
	if !up {
		partial = &r.partial[1]
	}
	if len(*partial) == 0 { // the usual case, without a copy of b
		*partial = append([]byte(nil), r.recordFrames(b, up)...)
		return
	}
	*partial = append([]byte(nil), r.recordFrames(append(*partial, b...), up)...)
}

// Closed records which side closed the connection first; later calls are ignored.
func (r *FrameRecorder) Closed(up bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		r.addEvent(trail.Event{Kind: trail.Close, Dir: direction(up)})
	}
}

func direction(up bool) string {
	if up {
		return trail.Up
	}
	return trail.Down
}

// recordFrames records the complete frames of b and returns the rest.
func (r *FrameRecorder) recordFrames(b []byte, up bool) []byte {
	for len(b) > 0 {
		length := r.parser.frameLength(up, b)
		if length < 0 || length == 0 && len(b) > maxFrameBytes {
			r.addEvent(trail.Event{Kind: trail.Malformed, Dir: direction(up), Bytes: int64(len(b))})
			return nil
		}
		if length == 0 {
			return b
		}
		for _, event := range r.parser.events(up, b[:length]) {
			event.Dir, event.Bytes = direction(up), int64(length)
			r.addEvent(event)
		}
		b = b[length:]
	}
	return nil
}

// iscsiParser parses iSCSI PDUs.
type iscsiParser struct {
	host, peer  string
	settings    *settings.Settings
	digests     [2]bool // header, data
	fullFeature bool    // the login is complete
	session     uint32  // TSIH
	volume      string
	loginData   []byte // text of the login requests
}

// RecordISCSI returns a recorder for a connection between an initiator and a host.
func RecordISCSI(recorder *trail.Recorder, host string, settings *settings.Settings) *FrameRecorder {
	return newFrameRecorder(recorder, &iscsiParser{host: host, settings: settings})
}

func (p *iscsiParser) setEndpoints(event *trail.Event) {
	event.Link, event.Host, event.Peer, event.Session = trail.LinkClient, p.host, p.peer, p.session
	if event.Volume == "" {
		event.Volume = p.volume
	}
}

func (p *iscsiParser) frameLength(up bool, b []byte) int {
	if len(b) < 48 {
		return 0
	}
	dataLen := int(b[5])<<16 | int(b[6])<<8 | int(b[7])
	length := 48 + 4*int(b[4]) + (dataLen+3)&^3
	if p.fullFeature && p.digests[0] {
		length += 4
	}
	if p.fullFeature && p.digests[1] && dataLen > 0 {
		length += 4
	}
	if length > maxFrameBytes {
		return -1
	}
	if len(b) < length {
		return 0
	}
	return length
}

func (p *iscsiParser) events(up bool, b []byte) []trail.Event {
	reader := iscsi.NewReader(bufio.NewReader(bytes.NewReader(b)), maxFrameBytes)
	if p.fullFeature {
		reader.Digests = iscsi.Digests{Header: p.digests[0], Data: p.digests[1]}
	}
	pdu, err := reader.Next()
	if err != nil {
		return []trail.Event{{Kind: trail.Malformed, Detail: err.Error()}}
	}
	if up {
		return p.request(pdu)
	}
	return p.response(pdu)
}

func (p *iscsiParser) request(pdu *iscsi.PDU) []trail.Event {
	event := trail.Event{Tag: pdu.ITT()}
	switch pdu.Opcode() {
	case iscsi.OpLoginReq:
		p.loginData = append(p.loginData, pdu.Data...)
		return nil
	case iscsi.OpCommand:
		event.Kind, event.Length = trail.Command, pdu.Word(20)
		event.Op, event.LBA, event.Blocks = describeCommand(pdu.CDB())
		event.Advice = uint32(len(pdu.Data)) // immediate data, bytes
		if pdu.Flags()&0x20 == 0 {
			event.Advice = event.Length // not a write: no data follows
		}
	case iscsi.OpDataOut:
		event.Kind, event.Length = trail.DataOut, uint32(len(pdu.Data))
	case iscsi.OpTaskReq:
		event.Kind, event.RefTag, event.Status = trail.TaskRequest, pdu.Word(iscsi.AtTTT), int32(pdu.Flags()&0x7f)
	case iscsi.OpLogoutReq:
		event.Kind = trail.Logout
	default:
		return nil
	}
	return []trail.Event{event}
}

func (p *iscsiParser) response(pdu *iscsi.PDU) []trail.Event {
	event := trail.Event{Tag: pdu.ITT()}
	switch pdu.Opcode() {
	case iscsi.OpLoginResp:
		return p.login(pdu)
	case iscsi.OpResponse:
		event.Kind, event.Status = trail.Status, int32(pdu.BHS[3])
		event.Advice = uint32(binary.BigEndian.Uint16(pdu.BHS[8:]))
		if len(pdu.Data) > 2 {
			if sense, ok := scsi.ParseSense(pdu.Data[2:]); ok {
				event.Sense = uint32(sense.Key)<<16 | uint32(sense.ASC)<<8 | uint32(sense.ASCQ)
			}
		}
	case iscsi.OpDataIn:
		if pdu.Flags()&1 == 0 {
			return nil
		}
		event.Kind, event.Status = trail.Status, int32(pdu.BHS[3])
	case iscsi.OpTaskResp:
		event.Kind, event.Status = trail.TaskResponse, int32(pdu.BHS[2])
	default:
		return nil
	}
	return []trail.Event{event}
}

// login takes the digests from the login responses and, from the final one, the session handle
// (TSIH); initiator and target names are those of the requests.
func (p *iscsiParser) login(pdu *iscsi.PDU) []trail.Event {
	responseKeys, _ := iscsi.ParseText(pdu.Data)
	for _, key := range responseKeys {
		switch key.Name {
		case "HeaderDigest":
			p.digests[0] = key.Value == "CRC32C"
		case "DataDigest":
			p.digests[1] = key.Value == "CRC32C"
		}
	}
	if pdu.BHS[36] != 0 || !pdu.Final() || pdu.Flags()&3 != 3 {
		return nil
	}
	p.fullFeature = true
	p.session = uint32(pdu.BHS[14])<<8 | uint32(pdu.BHS[15])
	requestKeys, _ := iscsi.ParseText(p.loginData)
	p.loginData = nil
	for _, key := range requestKeys {
		switch key.Name {
		case "InitiatorName":
			p.peer = key.Value[strings.LastIndexByte(key.Value, ':')+1:]
		case "TargetName":
			p.volume = key.Value[strings.LastIndexByte(key.Value, ':')+1:]
		}
	}
	return []trail.Event{{Kind: trail.Login}}
}

// describeCommand returns the operation of a CDB, "" if it needs no disk server, and its range of
// blocks, which is 0 for an UNMAP, whose data is not parsed.
func describeCommand(cdb []byte) (op string, lba uint64, blocks uint32) {
	var padded [16]byte
	copy(padded[:], cdb)
	disk := &scsi.Disk{Blocks: 1 << 62, BlockSize: 1}
	decoded := scsi.Decode(disk, padded, make([]byte, 2*scsi.MaxBlocks), nil)
	if padded[0] == 0x42 {
		return scsi.Unmap.String(), 0, 0
	}
	if decoded.IO == nil || decoded.IO.Op == scsi.Flush {
		return "", 0, 0
	}
	return decoded.IO.Op.String(), decoded.IO.LBA, decoded.IO.Blocks
}

// diskParser parses the protocol of disk servers.
type diskParser struct {
	server string
	host   string
	hostID uint64
}

// RecordDiskProtocol returns a recorder for a connection between a host and the disk server that the
// inventory lists at addr.
func RecordDiskProtocol(recorder *trail.Recorder, addr string) *FrameRecorder {
	return newFrameRecorder(recorder, &diskParser{server: addr})
}

func (p *diskParser) setEndpoints(event *trail.Event) {
	event.Link, event.Host, event.Peer, event.HostID = trail.LinkDisk, p.host, p.server, p.hostID
}

func (p *diskParser) frameLength(_ bool, b []byte) int {
	if len(b) < 16 {
		return 0
	}
	if b[0] != 'M' || b[1] != 'H' {
		return -1
	}
	length := 16 + int(binary.BigEndian.Uint32(b[4:]))
	if length > maxFrameBytes {
		return -1
	}
	if len(b) < length {
		return 0
	}
	return length
}

func (p *diskParser) events(_ bool, b []byte) []trail.Event {
	frame, err := diskproto.NewReader(bufio.NewReader(bytes.NewReader(b))).Next()
	if err != nil {
		return []trail.Event{{Kind: trail.Malformed, Detail: err.Error()}}
	}
	event := trail.Event{Tag: frame.Tag}
	switch frame.Kind {
	case diskproto.KindHello:
		var hello diskproto.Hello
		if hello.Parse(frame.Body) != nil {
			return nil
		}
		p.host, p.hostID = hello.Name, hello.Host
		event.Kind = trail.Hello
	case diskproto.KindDo:
		var request diskproto.Do
		if err := request.Parse(frame.Body); err != nil {
			return []trail.Event{{Kind: trail.Malformed, Detail: err.Error()}}
		}
		event.Kind, event.Op, event.Effect, event.Attempt, event.Shard = trail.Do, scsi.Op(request.Op).String(), int32(request.Effect), uint32(request.Attempt), int32(request.Shard)
		event.Seq, event.Deadline, event.Units, event.Volume, event.Key, event.Generation = request.Seq, int64(request.Deadline), request.Units, request.Volume, request.Key, request.Gen
		event.LBA, event.Blocks, event.Length, event.SettingsVersion, event.Plan = request.LBA, request.Blocks, uint32(len(request.Data)), request.Under, request.Plan
		event.Session, event.RefTag = uint32(request.Origin>>32), uint32(request.Origin)
	case diskproto.KindAnswer:
		var answer diskproto.Answer
		if err := answer.Parse(frame.Body); err != nil {
			return []trail.Event{{Kind: trail.Malformed, Detail: err.Error()}}
		}
		event.Kind, event.Status, event.Dropped, event.Length = trail.Answer, int32(answer.Result), answer.Dropped, uint32(len(answer.Data))
	case diskproto.KindBye:
		event.Kind, event.Status = trail.Bye, int32(frame.Tag)
	default:
		return nil
	}
	return []trail.Event{event}
}

// inventoryParser parses the lines that the inventory sends.
type inventoryParser struct{ host string }

// RecordInventory returns a recorder for a connection between a host and the inventory.
func RecordInventory(recorder *trail.Recorder, host string) *FrameRecorder {
	return newFrameRecorder(recorder, &inventoryParser{host})
}

func (p *inventoryParser) setEndpoints(event *trail.Event) {
	event.Link, event.Host = trail.LinkInventory, p.host
}

func (p *inventoryParser) frameLength(_ bool, b []byte) int { return bytes.IndexByte(b, '\n') + 1 }

func (p *inventoryParser) events(up bool, b []byte) []trail.Event {
	if up {
		return nil
	}
	var list inventory.List
	if json.Unmarshal(b, &list) != nil {
		return []trail.Event{{Kind: trail.Malformed}}
	}
	return []trail.Event{{Kind: trail.List, Detail: string(bytes.TrimSpace(b))}}
}
