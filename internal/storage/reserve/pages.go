package reserve

import (
	"encoding/binary"
	"slices"
)

// Service actions of PERSISTENT RESERVE IN.
const (
	ReadKeys           byte = 0
	ReadReservation    byte = 1
	ReportCapabilities byte = 2
	ReadFullStatus     byte = 3
)

// In answers PERSISTENT RESERVE IN; false for an action that there is none of.
func (s *State) In(action byte) ([]byte, bool) {
	switch action {
	case ReadKeys:
		return s.keys(), true
	case ReadReservation:
		return s.reservation(), true
	case ReportCapabilities:
		return s.capabilities(), true
	case ReadFullStatus:
		return s.full(), true
	}
	return nil, false
}

// head is the generation, and the length that follows.
func (s *State) head(body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, s.Generation)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...)
}

func (s *State) keys() []byte {
	var b []byte
	for _, r := range s.Registrations {
		b = binary.BigEndian.AppendUint64(b, r.Key)
	}
	return s.head(b)
}

func (s *State) reservation() []byte {
	if s.Type == None {
		return s.head(nil)
	}
	b := make([]byte, 16)
	if !s.Type.all() { // held by all, it has the key 0
		binary.BigEndian.PutUint64(b, s.holderKey())
	}
	b[13] = byte(s.Type) // the scope is the whole unit
	return s.head(b)
}

// capabilities: all target ports and power loss are offered; all six types.
func (s *State) capabilities() []byte {
	b := []byte{0, 8, 0x04 | 0x01, 0x80, 0xea, 0x01, 0, 0} // ATP_C, PTPL_C; TMV; the types
	if s.Persist {
		b[3] |= 0x01 // PTPL_A
	}
	return b
}

func (s *State) full() []byte {
	var b []byte
	for _, r := range s.Registrations {
		id := transportID(r.Nexus.Initiator)
		d := make([]byte, 24)
		binary.BigEndian.PutUint64(d, r.Key)
		if s.Holds(r.Nexus) {
			d[12] = 1 // R_HOLDER
			d[13] = byte(s.Type)
		}
		binary.BigEndian.PutUint16(d[18:], r.Nexus.Host)
		binary.BigEndian.PutUint32(d[20:], uint32(len(id)))
		b = append(append(b, d...), id...)
	}
	return s.head(b)
}

// transportID is that of an iSCSI initiator port (SPC-4, TransportID for iSCSI).
func transportID(name string) []byte {
	n := len(name) + 1
	n += (4 - n%4) % 4
	n = max(n, 20)
	b := make([]byte, 4+n)
	b[0] = 0x45 // format 01b, iSCSI
	binary.BigEndian.PutUint16(b[2:], uint16(n))
	copy(b[4:], name)
	return b
}

// ParseOut reads a PERSISTENT RESERVE OUT: its CDB's action, scope and type, and the
// parameter list. known is false for an action that is not offered; ErrParameter says
// that the list asks for what is not offered.
func ParseOut(cdb [16]byte, list []byte) (r Request, known bool, err error) {
	r.Action, r.Type = Action(cdb[1]&0x1f), Type(cdb[2]&0xf)
	if r.Action > RegisterIgnore {
		return r, false, nil
	}
	if cdb[2]>>4 != 0 && !slices.Contains([]Action{Register, RegisterIgnore, Clear}, r.Action) {
		return r, false, nil // a scope other than the unit
	}
	if len(list) != 24 {
		return r, true, ErrLength
	}
	r.Key, r.Service = binary.BigEndian.Uint64(list), binary.BigEndian.Uint64(list[8:])
	if list[20]&0x08 != 0 { // SPEC_I_PT
		return r, true, ErrParameter
	}
	r.All, r.Persist = list[20]&0x04 != 0, list[20]&0x01 != 0
	return r, true, nil
}
