package bgp

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"testing"
)

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const marker = "ffffffffffffffffffffffffffffffff"

func pfx(list ...string) (out []netip.Prefix) {
	for _, s := range list {
		out = append(out, netip.MustParsePrefix(s))
	}
	return out
}

var cases = []struct {
	name, bytes string
	write       func() []byte
}{
	{"keepalive", marker + "0013 04", func() []byte { return AppendKeepalive(nil) }},
	{"route refresh for IPv6 unicast (RFC 2918 section 3)", marker + "0017 05 0002 00 01", func() []byte { return AppendRefresh(nil, IPv6) }},
	// RFC 4271 section 4.2: version, AS, hold time, identifier, parameters; RFC 5492 section 4:
	// a parameter of type 2 with the capabilities; RFC 6793: AS_TRANS in the old field.
	{"open of AS 4200000001", marker + "0033 01 04 5ba0 0009 0a000001 16 02 14 01 04 0001 00 01 01 04 0002 00 01 02 00 41 04 fa56ea01",
		func() []byte {
			return (&Open{AS: 4200000001, HoldTime: 9, ID: 0x0a000001, Families: []Family{IPv4, IPv6}, Refresh: true, FourAS: true}).Append(nil)
		}},
	{"open of AS 65001 without capabilities", marker + "001d 01 04 fde9 005a c0000201 00",
		func() []byte { return (&Open{AS: 65001, HoldTime: 90, ID: 0xc0000201}).Append(nil) }},
	// RFC 4271 section 4.3, with MED 20 and GRACEFUL_SHUTDOWN (RFC 8326).
	{"update of two IPv4 prefixes", marker + `0046 02 0000 0026
		40 01 01 00  40 02 0a 02 02 0000fde9 0000fde9  40 03 04 c0000201  80 04 04 00000014  c0 08 04 ffff0000
		20 c6336401 18 cb0071`,
		func() []byte {
			a := &Attrs{Path: []Segment{{AS: []uint32{65001, 65001}}}, NextHop: netip.MustParseAddr("192.0.2.1"), MED: 20, HasMED: true, Communities: []uint32{GracefulShutdown}}
			return (&Update{Attrs: a, Prefixes: pfx("198.51.100.1/32", "203.0.113.0/24")}).Append(nil, true)
		}},
	// RFC 4760 sections 3 and 7, RFC 2545 section 3; LOCAL_PREF 100 inside an AS.
	{"update of an IPv6 prefix", marker + `004e 02 0000 0037
		80 0e 26 0002 01 10 20010db8000000000000000000000001 00 80 20010db8000000000000000000000007
		40 01 01 00  40 02 00  40 05 04 00000064`,
		func() []byte {
			return (&Update{Attrs: &Attrs{LocalPref: 100, HasLocalPref: true}, Prefixes: pfx("2001:db8::7/128"), NextHop6: netip.MustParseAddr("2001:db8::1")}).Append(nil, true)
		}},
	{"withdrawal of both families", marker + "0029 02 0005 20 c6336401 000d 80 0f 0a 0002 01 30 20010db80001",
		func() []byte {
			return (&Update{Withdrawn: pfx("198.51.100.1/32", "2001:db8:1::/48")}).Append(nil, true)
		}},
	{"end of RIB of IPv4 (RFC 4724 section 2)", marker + "0017 02 0000 0000", func() []byte { return (&Update{EndOfRIB: IPv4}).Append(nil, true) }},
	{"end of RIB of IPv6", marker + "001d 02 0000 0006 80 0f 03 0002 01", func() []byte { return (&Update{EndOfRIB: IPv6}).Append(nil, true) }},
	// RFC 6793 section 4.2.2: AS_TRANS in AS_PATH and the true path in AS4_PATH.
	{"a path of four octets to a peer of two", marker + `003d 02 0000 0021
		40 01 01 00  40 02 06 02 02 5ba0 fde9  40 03 04 c0000201  c0 11 0a 02 02 fa56ea01 0000fde9  20 c6336401`,
		func() []byte {
			a := &Attrs{Path: []Segment{{AS: []uint32{4200000001, 65001}}}, NextHop: netip.MustParseAddr("192.0.2.1")}
			return (&Update{Attrs: a, Prefixes: pfx("198.51.100.1/32")}).Append(nil, false)
		}},
	// RFC 9003 section 2.
	{"administrative shutdown with a communication", marker + "0018 03 06 02 02 6869", func() []byte { return Shutdown(CeaseShutdown, "hi").Append(nil) }},
}

// Messages worked out by hand from the RFCs, byte for byte; read back they say what
// was written.
func TestMessagesByteForByte(t *testing.T) {
	for _, c := range cases {
		want := unhex(t, c.bytes)
		got := c.write()
		if !bytes.Equal(got, want) {
			t.Errorf("%s:\n got %x\nwant %x", c.name, got, want)
			continue
		}
		typ, body, err := NewReader(bufio.NewReader(bytes.NewReader(got))).Next()
		if err != nil || Type(got[18]) != typ {
			t.Errorf("%s: %v %v", c.name, typ, err)
		}
		if err := again(typ, body, got, !strings.Contains(c.name, "peer of two"), strings.Contains(c.name, "IPv6 prefix")); err != "" {
			t.Errorf("%s: %s", c.name, err)
		}
	}
}

// again writes what was read and compares the bytes.
func again(typ Type, body, whole []byte, four, internal bool) string {
	var out []byte
	switch typ {
	case TypeOpen:
		o, err := ParseOpen(body)
		if err != nil {
			return err.Error()
		}
		out = o.Append(nil)
	case TypeUpdate:
		u, err := ParseUpdate(body, four, internal)
		if err != nil {
			return err.Error()
		}
		if u.Demoted {
			return "demoted"
		}
		out = u.Append(nil, four)
	case TypeNotification:
		n, err := parseNotification(body)
		if err != nil {
			return err.Error()
		}
		out = n.Append(nil)
	default:
		return ""
	}
	if !bytes.Equal(out, whole) {
		return "read and written again: " + hex.EncodeToString(out)
	}
	return ""
}

// What is wrong with a header or an OPEN is named with the RFC's codes and data.
func TestFaultyMessages(t *testing.T) {
	for _, c := range []struct {
		name, bytes string
		want        Notification
	}{
		{"wrong marker", "fffffffffffffffffffffffffffffffe 0013 04", Notification{1, 1, nil}},
		{"too long", marker + "1001 02", Notification{1, 2, []byte{0x10, 0x01}}},
		{"shorter than its header", marker + "0012 04", Notification{1, 2, []byte{0, 0x12}}},
		{"a KEEPALIVE with a body", marker + "0014 04 00", Notification{1, 2, []byte{0, 0x14}}},
		{"unknown type", marker + "0013 09", Notification{1, 3, []byte{9}}},
		{"version 3", marker + "001d 01 03 fde9 005a c0000201 00", Notification{2, 1, []byte{0, 4}}},
		{"hold time 2", marker + "001d 01 04 fde9 0002 c0000201 00", Notification{2, 6, nil}},
		{"identifier 0", marker + "001d 01 04 fde9 005a 00000000 00", Notification{2, 3, nil}},
		{"AS 0", marker + "001d 01 04 0000 005a c0000201 00", Notification{2, 2, nil}},
		{"unknown parameter", marker + "0020 01 04 fde9 005a c0000201 03 01 01 00", Notification{2, 4, nil}},
		{"parameters past the end", marker + "001f 01 04 fde9 005a c0000201 04 02 00", Notification{2, 0, nil}},
		{"withdrawn past the end", marker + "0017 02 0003 0000", Notification{3, 1, nil}},
		{"prefix of 33 bits", marker + "001d 02 0006 21 c6336401 00 0000", Notification{3, 10, nil}},
		{"unknown well-known attribute", marker + "001a 02 0000 0003 40 63 00", Notification{3, 2, []byte{0x40, 0x63, 0}}},
		{"two MP_UNREACH_NLRI", marker + "0023 02 0000 000c 80 0f 03 0002 01 80 0f 03 0002 01", Notification{3, 1, nil}},
		{"MP_REACH_NLRI with half an address", marker + "0024 02 0000 000d 80 0e 0a 0002 01 05 20010db800 00", Notification{3, 9, nil}},
	} {
		typ, body, err := NewReader(bufio.NewReader(bytes.NewReader(unhex(t, c.bytes)))).Next()
		if err == nil && typ == TypeOpen {
			_, err = ParseOpen(body)
		} else if err == nil {
			_, err = ParseUpdate(body, true, false)
		}
		var n *Notification
		if !errors.As(err, &n) || !reflect.DeepEqual(*n, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, &c.want)
		}
	}
}

// Faults that leave the prefixes readable cost the prefixes, not the session (RFC 7606).
func TestRevisedErrorHandling(t *testing.T) {
	const good = "40 01 01 00 40 02 06 02 01 0000fde9 40 03 04 c0000201"
	for _, c := range []struct {
		name, attrs string
		demoted     bool
		ignored     []uint8
	}{
		{"all well", good, false, nil},
		{"ORIGIN 7", "40 01 01 07 40 02 06 02 01 0000fde9 40 03 04 c0000201", true, nil},
		{"no AS_PATH", "40 01 01 00 40 03 04 c0000201", true, nil},
		{"AS_PATH cut short", "40 01 01 00 40 02 05 02 01 0000fd 40 03 04 c0000201", true, nil},
		{"NEXT_HOP of 5 bytes", "40 01 01 00 40 02 06 02 01 0000fde9 40 03 05 c000020100", true, nil},
		{"MED of 2 bytes", good + "80 04 02 0000", true, nil},
		{"COMMUNITIES of 3 bytes", good + "c0 08 03 000000", true, nil},
		{"wrong flags", good + "40 04 04 00000000", true, nil},
		{"LOCAL_PREF from another AS", good + "40 05 04 00000064", false, []uint8{5}},
		{"ATOMIC_AGGREGATE with a value", good + "40 06 01 00", false, []uint8{6}},
		{"AGGREGATOR of 6 bytes", good + "c0 07 06 000000000000", false, []uint8{7}},
		{"ORIGIN twice", good + "40 01 01 07", false, nil},
		{"unknown optional", good + "c0 63 01 00", false, nil},
		{"an attribute past the list", good + "c0 63 09 00", true, nil},
	} {
		attrs := unhex(t, c.attrs)
		body := append([]byte{0, 0, 0, byte(len(attrs))}, attrs...)
		u, err := ParseUpdate(append(body, 0x20, 198, 51, 100, 1), true, false)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		where := u.Prefixes
		if c.demoted {
			where = u.Withdrawn
		}
		if u.Demoted != c.demoted || len(where) != 1 || !reflect.DeepEqual(u.Ignored, c.ignored) {
			t.Errorf("%s: %+v", c.name, u)
		}
	}
}

func TestCommunicationIsCutAtARune(t *testing.T) {
	n := Shutdown(CeaseShutdown, strings.Repeat("x", 254)+"ü")
	if text, ok := n.Communication(); !ok || len(text) != 254 {
		t.Errorf("%d bytes, %v", len(text), ok)
	}
	if _, ok := (&Notification{6, 2, []byte{9, 'x'}}).Communication(); ok {
		t.Error("a length past the end was taken")
	}
}

// Packing fills messages and loses nothing.
func TestPack(t *testing.T) {
	var all []netip.Prefix
	for i := range 3000 {
		all = append(all, netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 32))
	}
	a := &Attrs{Path: []Segment{{AS: []uint32{65001}}}, NextHop: netip.MustParseAddr("192.0.2.1"), HasMED: true}
	var got []netip.Prefix
	n := 0
	Pack(all, a, netip.Addr{}, true, func(m []byte) {
		if n++; len(m) > MaxLen {
			t.Fatalf("%d bytes", len(m))
		}
		u, err := ParseUpdate(m[headerLen:], true, false)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, u.Prefixes...)
	})
	if !reflect.DeepEqual(got, all) || n != 4 { // 5 bytes each, 4,044 to a message
		t.Errorf("%d prefixes in %d messages", len(got), n)
	}
}

func FuzzMessage(f *testing.F) {
	for _, c := range cases {
		f.Add(c.write(), true, false)
	}
	f.Fuzz(func(t *testing.T, b []byte, four, internal bool) {
		r := NewReader(bufio.NewReader(bytes.NewReader(b)))
		for {
			typ, body, err := r.Next()
			if err != nil {
				return
			}
			switch typ {
			case TypeOpen:
				if o, err := ParseOpen(body); err == nil {
					p, err := ParseOpen(o.Append(nil)[headerLen:])
					if err != nil || len(o.Other) == 0 && !reflect.DeepEqual(o, p) {
						t.Fatalf("%+v\n%+v %v", o, p, err)
					}
				}
			case TypeUpdate:
				fuzzUpdate(t, body, four, internal)
			case TypeNotification:
				if n, err := parseNotification(body); err == nil {
					_ = n.Error()
				}
			}
		}
	})
}

// fuzzUpdate writes what was read, and reads it again.
func fuzzUpdate(t *testing.T, body []byte, four, internal bool) {
	u, err := ParseUpdate(body, four, internal)
	if err != nil || u.Attrs == nil || u.Demoted {
		return
	}
	for _, f := range []Family{IPv4, IPv6} {
		var list []netip.Prefix
		for _, p := range u.Prefixes {
			if FamilyOf(p) == f {
				list = append(list, p)
			}
		}
		a := *u.Attrs
		if f == IPv4 && !a.NextHop.IsValid() {
			continue
		}
		var got []netip.Prefix
		Pack(list, &a, u.NextHop6, true, func(m []byte) {
			if len(m) > MaxLen {
				return // attributes that came in two octets may not fit in four
			}
			w, err := ParseUpdate(m[headerLen:], true, internal)
			if err != nil || w.Demoted {
				t.Fatalf("%v\n%+v\n%+v", err, u, w)
			}
			got = append(got, w.Prefixes...)
		})
		if len(got) != 0 && !reflect.DeepEqual(got, list) {
			t.Fatalf("%v\n%v", got, list)
		}
	}
}
