// Package bgp is a BGP-4 speaker that announces a set of prefixes and routes
// nothing: the codec (RFC 4271, 4760, 5492, 6793, 2918, 1997, 7606, 9003), the state
// machine of a peer with collision detection, the table of what is announced with
// each peer's place in it, and a shell that runs them over TCP. What is announced is
// decided elsewhere (package announce); received routes are checked and dropped.
package bgp

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
)

// Type is a message type (RFC 4271 section 4.1).
type Type uint8

// The message types.
const (
	TypeOpen         Type = 1
	TypeUpdate       Type = 2
	TypeNotification Type = 3
	TypeKeepalive    Type = 4
	TypeRouteRefresh Type = 5 // RFC 2918
)

const (
	headerLen = 19
	// MaxLen is the most bytes of a message (RFC 4271 section 4.1).
	MaxLen    = 4096
	version   = 4
	transAS   = 23456 // AS_TRANS (RFC 6793)
	minUpdate = headerLen + 4
)

// Error codes of a NOTIFICATION (RFC 4271 section 4.5).
const (
	CodeHeader    uint8 = 1
	CodeOpen      uint8 = 2
	CodeUpdate    uint8 = 3
	CodeHoldTimer uint8 = 4
	CodeFSM       uint8 = 5
	CodeCease     uint8 = 6
	CodeSendHold  uint8 = 8 // RFC 9687
)

// Subcodes.
const (
	HeaderNotSynchronized uint8 = 1
	HeaderBadLength       uint8 = 2
	HeaderBadType         uint8 = 3

	OpenUnsupportedVersion  uint8 = 1
	OpenBadPeerAS           uint8 = 2
	OpenBadID               uint8 = 3
	OpenUnsupportedParam    uint8 = 4
	OpenBadHoldTime         uint8 = 6
	OpenUnsupportedCap      uint8 = 7 // RFC 5492
	OpenUnspecific          uint8 = 0
	UpdateMalformedList     uint8 = 1
	UpdateUnknownWellKnown  uint8 = 2
	UpdateBadNetwork        uint8 = 10
	UpdateOptionalAttribute uint8 = 9

	FSMInOpenSent    uint8 = 1 // RFC 6608
	FSMInOpenConfirm uint8 = 2
	FSMInEstablished uint8 = 3

	CeaseShutdown  uint8 = 2 // RFC 4486, with a communication by RFC 9003
	CeaseDeconf    uint8 = 3
	CeaseReset     uint8 = 4
	CeaseRejected  uint8 = 5
	CeaseCollision uint8 = 7
	CeaseResources uint8 = 8
)

// Notification is the message that ends a session.
type Notification struct {
	Code, Subcode uint8
	Data          []byte
}

// Error implements error: what is wrong with a received message is said in the form
// in which it is answered.
func (n *Notification) Error() string {
	if n.Code == CodeCease && (n.Subcode == CeaseShutdown || n.Subcode == CeaseReset) {
		if text, ok := n.Communication(); ok && text != "" {
			return fmt.Sprintf("bgp: notification %d/%d: %q", n.Code, n.Subcode, text)
		}
	}
	return fmt.Sprintf("bgp: notification %d/%d", n.Code, n.Subcode)
}

// maxCommunication is the most bytes of a shutdown communication (RFC 9003).
const maxCommunication = 255

// Shutdown is a Cease with a communication in UTF-8, cut to 255 bytes at a rune.
func Shutdown(subcode uint8, text string) *Notification {
	for len(text) > maxCommunication {
		cut := maxCommunication
		for cut > 0 && text[cut]&0xc0 == 0x80 {
			cut--
		}
		text = text[:cut]
	}
	n := &Notification{Code: CodeCease, Subcode: subcode}
	if text != "" {
		n.Data = append([]byte{byte(len(text))}, text...)
	}
	return n
}

// Communication is the text of a Cease (RFC 9003 section 2); ok is false where its
// length does not fit.
func (n *Notification) Communication() (text string, ok bool) {
	if len(n.Data) == 0 {
		return "", true
	}
	if k := int(n.Data[0]); k == len(n.Data)-1 {
		return string(n.Data[1:]), true
	}
	return "", false
}

// Append writes the message.
func (n *Notification) Append(b []byte) []byte {
	b, at := begin(b, TypeNotification)
	b = append(b, n.Code, n.Subcode)
	return end(append(b, n.Data[:min(len(n.Data), MaxLen-headerLen-2)]...), at)
}

func parseNotification(b []byte) (*Notification, error) {
	if len(b) < 2 {
		return nil, badLength(len(b))
	}
	return &Notification{b[0], b[1], append([]byte(nil), b[2:]...)}, nil
}

// badLength is the error of a message whose length can't be; its data is the length.
func badLength(body int) error {
	return &Notification{CodeHeader, HeaderBadLength, binary.BigEndian.AppendUint16(nil, uint16(body+headerLen))}
}

// begin writes a header whose length end fills in.
func begin(b []byte, t Type) ([]byte, int) {
	at := len(b)
	for range 16 {
		b = append(b, 0xff)
	}
	return append(b, 0, 0, byte(t)), at
}

func end(b []byte, at int) []byte {
	binary.BigEndian.PutUint16(b[at+16:], uint16(len(b)-at))
	return b
}

// AppendKeepalive writes a KEEPALIVE.
func AppendKeepalive(b []byte) []byte {
	b, at := begin(b, TypeKeepalive)
	return end(b, at)
}

// Reader reads messages off a connection. The body that it returns is valid until
// the next read.
type Reader struct {
	r   *bufio.Reader
	buf [MaxLen]byte
}

// NewReader reads from r.
func NewReader(r *bufio.Reader) *Reader { return &Reader{r: r} }

// least is the least length of each type of message.
var least = map[Type]int{TypeOpen: 29, TypeUpdate: minUpdate, TypeNotification: 21, TypeKeepalive: 19, TypeRouteRefresh: 23}

// Next reads one message. An error of the connection is returned as it is, one of
// the message as a *Notification to answer with (RFC 4271 section 6.1).
func (r *Reader) Next() (Type, []byte, error) {
	head := r.buf[:headerLen]
	if _, err := io.ReadFull(r.r, head); err != nil {
		return 0, nil, err
	}
	for _, x := range head[:16] {
		if x != 0xff {
			return 0, nil, &Notification{CodeHeader, HeaderNotSynchronized, nil}
		}
	}
	n, t := int(binary.BigEndian.Uint16(head[16:])), Type(head[18])
	low, known := least[t]
	if n < headerLen || n > MaxLen || known && n < low || (t == TypeKeepalive || t == TypeRouteRefresh) && n != low {
		return t, nil, &Notification{CodeHeader, HeaderBadLength, append([]byte(nil), head[16:18]...)}
	}
	if !known {
		return t, nil, &Notification{CodeHeader, HeaderBadType, []byte{byte(t)}}
	}
	body := r.buf[headerLen:n]
	if _, err := io.ReadFull(r.r, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return t, nil, err
	}
	return t, body, nil
}

// Family is an address family (RFC 4760).
type Family struct {
	AFI  uint16
	SAFI uint8
}

// The families that the speaker knows.
var (
	IPv4 = Family{1, 1}
	IPv6 = Family{2, 1}
)

// FamilyOf is the unicast family of a prefix.
func FamilyOf(p netip.Prefix) Family {
	if p.Addr().Is4() {
		return IPv4
	}
	return IPv6
}

func (f Family) bits() int {
	if f == IPv4 {
		return 32
	}
	return 128
}

// AppendRefresh writes a ROUTE-REFRESH (RFC 2918).
func AppendRefresh(b []byte, f Family) []byte {
	b, at := begin(b, TypeRouteRefresh)
	return end(append(b, byte(f.AFI>>8), byte(f.AFI), 0, f.SAFI), at)
}

func parseRefresh(b []byte) Family {
	return Family{binary.BigEndian.Uint16(b), b[3]} // its length was checked with the header
}

// Capability is one of an OPEN (RFC 5492).
type Capability struct {
	Code  uint8
	Value []byte
}

// Codes of capabilities.
const (
	CapMultiprotocol uint8 = 1
	CapRouteRefresh  uint8 = 2
	CapFourOctetAS   uint8 = 65
)

// Open is the first message of a session.
type Open struct {
	AS       uint32 // the one of the capability, where there is one
	HoldTime uint16 // s
	ID       uint32
	Families []Family // none said: IPv4 unicast alone
	FourAS   bool
	Refresh  bool
	Other    []Capability // that the speaker does not know
}

const (
	paramCapabilities = 2
	longParams        = 255 // RFC 9072
)

// Append writes the message.
func (o *Open) Append(b []byte) []byte {
	b, at := begin(b, TypeOpen)
	as := uint16(transAS)
	if o.AS <= 0xffff {
		as = uint16(o.AS)
	}
	b = append(b, version)
	b = binary.BigEndian.AppendUint16(b, as)
	b = binary.BigEndian.AppendUint16(b, o.HoldTime)
	b = binary.BigEndian.AppendUint32(b, o.ID)
	caps := o.capabilities()
	if len(caps) == 0 {
		return end(append(b, 0), at)
	}
	b = append(b, byte(len(caps)+2), paramCapabilities, byte(len(caps)))
	return end(append(b, caps...), at)
}

func (o *Open) capabilities() (b []byte) {
	for _, f := range o.Families {
		b = append(b, CapMultiprotocol, 4, byte(f.AFI>>8), byte(f.AFI), 0, f.SAFI)
	}
	if o.Refresh {
		b = append(b, CapRouteRefresh, 0)
	}
	if o.FourAS {
		b = append(b, CapFourOctetAS, 4)
		b = binary.BigEndian.AppendUint32(b, o.AS)
	}
	for _, c := range o.Other {
		if len(b)+2+len(c.Value) <= 253 { // what one parameter holds
			b = append(append(b, c.Code, byte(len(c.Value))), c.Value...)
		}
	}
	return b
}

func openError(sub uint8, data ...byte) error { return &Notification{CodeOpen, sub, data} }

// ParseOpen reads the body of an OPEN (RFC 4271 section 6.2). Whether the AS is the
// peer's is not its to judge.
func ParseOpen(b []byte) (*Open, error) {
	if len(b) < 10 {
		return nil, badLength(len(b))
	}
	if b[0] != version {
		return nil, openError(OpenUnsupportedVersion, 0, version)
	}
	o := &Open{AS: uint32(binary.BigEndian.Uint16(b[1:])), HoldTime: binary.BigEndian.Uint16(b[3:]), ID: binary.BigEndian.Uint32(b[5:])}
	if o.HoldTime == 1 || o.HoldTime == 2 {
		return nil, openError(OpenBadHoldTime)
	}
	if o.ID == 0 {
		return nil, openError(OpenBadID) // RFC 6286
	}
	params, wide := b[10:], 1
	n := int(b[9])
	if n == longParams && len(params) >= 3 && params[0] == longParams {
		n, wide, params = int(binary.BigEndian.Uint16(params[1:])), 2, params[3:]
	}
	if n != len(params) {
		return nil, openError(OpenUnspecific)
	}
	return o, o.parameters(params, wide)
}

func (o *Open) parameters(b []byte, wide int) error {
	for len(b) > 0 {
		if len(b) < 1+wide {
			return openError(OpenUnspecific)
		}
		t, n := b[0], int(b[1])
		if wide == 2 {
			n = int(binary.BigEndian.Uint16(b[1:]))
		}
		if b = b[1+wide:]; len(b) < n {
			return openError(OpenUnspecific)
		}
		if t != paramCapabilities {
			return openError(OpenUnsupportedParam)
		}
		if err := o.caps(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	if o.AS == 0 {
		return openError(OpenBadPeerAS) // RFC 7607
	}
	return nil
}

func (o *Open) caps(b []byte) error {
	for len(b) > 0 {
		if len(b) < 2 || len(b) < 2+int(b[1]) {
			return openError(OpenUnspecific)
		}
		code, v := b[0], b[2:2+int(b[1])]
		b = b[2+len(v):]
		switch {
		case code == CapMultiprotocol && len(v) == 4:
			o.Families = append(o.Families, Family{binary.BigEndian.Uint16(v), v[3]})
		case code == CapRouteRefresh && len(v) == 0:
			o.Refresh = true
		case code == CapFourOctetAS && len(v) == 4:
			o.FourAS, o.AS = true, binary.BigEndian.Uint32(v)
		default:
			o.Other = append(o.Other, Capability{code, append([]byte(nil), v...)})
		}
	}
	return nil
}
