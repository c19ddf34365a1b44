package bgp

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// wire joins two peers in memory: what one says is read by the other, in order, when
// the test lets it.
type wire struct {
	t     *testing.T
	now   float64
	sides [2]*Peer
	next  ConnID
	conns map[ConnID]*cable
	dials []int
	// rib is what side 0 has been told by side 1.
	rib  map[netip.Prefix]Path
	ends int
}

// cable is a connection: dialled by one side, with what waits to be read by each.
type cable struct {
	by   int
	id   [2]ConnID
	buf  [2][]byte
	shut bool
}

func newWire(t *testing.T, times Times, ids [2]uint32) (*wire, *Table) {
	table := NewTable()
	w := &wire{t: t, conns: map[ConnID]*cable{}, rib: map[netip.Prefix]Path{}}
	for i := range 2 {
		cfg := PeerConfig{Name: fmt.Sprint(i), LocalAS: uint32(65001 + i), PeerAS: uint32(65002 - i), ID: ids[i], Families: []Family{IPv4, IPv6}, Times: times,
			Hop4: netip.MustParseAddr("192.0.2.1"), Hop6: netip.MustParseAddr("2001:db8::1")}
		tb := NewTable()
		if i == 1 {
			tb = table
		}
		w.sides[i] = NewPeer(cfg, tb, one)
	}
	return w, table
}

func (w *wire) carry(side int, outs []Out) {
	for _, o := range slices.Clone(outs) {
		switch o.Kind {
		case OutDial:
			w.dials = append(w.dials, side)
		case OutSend:
			if c := w.conns[o.Conn]; c != nil && !c.shut {
				c.buf[1-side] = append(c.buf[1-side], o.Data...)
			}
		case OutFinish:
			if c := w.conns[o.Conn]; c != nil {
				c.shut = true
			}
		case OutUp:
			if side == 0 {
				w.rib = map[netip.Prefix]Path{}
			}
		}
	}
}

// connect answers a dial: the connection is there for both sides.
func (w *wire) connect(side int) {
	c := &cable{by: side}
	for i := range 2 {
		w.next++
		c.id[i] = w.next
		w.conns[w.next] = c
	}
	w.carry(side, w.sides[side].Dialed(w.now, c.id[side]))
	w.carry(1-side, w.sides[1-side].Accepted(w.now, c.id[1-side]))
}

// deliver hands one message of a connection to a side; false if none waits.
func (w *wire) deliver(c *cable, side int) bool {
	if len(c.buf[side]) == 0 {
		if c.shut && c.id[side] != 0 {
			w.carry(side, w.sides[side].Lost(w.now, c.id[side]))
			delete(w.conns, c.id[side])
			c.id[side] = 0
			return true
		}
		return false
	}
	r := NewReader(bufio.NewReader(bytes.NewReader(c.buf[side])))
	typ, body, err := r.Next()
	if err != nil {
		w.t.Fatal(err)
	}
	c.buf[side] = c.buf[side][headerLen+len(body):]
	if side == 0 && typ == TypeUpdate {
		w.learn(body)
	}
	w.carry(side, w.sides[side].Message(w.now, c.id[side], typ, body))
	return true
}

func (w *wire) learn(body []byte) {
	u, err := ParseUpdate(body, true, false)
	if err != nil || u.Demoted {
		w.t.Fatalf("%+v %v", u, err)
	}
	for _, p := range u.Withdrawn {
		delete(w.rib, p)
	}
	for _, p := range u.Prefixes {
		w.rib[p] = Path{MED: u.Attrs.MED, Prepend: uint8(len(u.Attrs.Path[0].AS) - 1), Shutdown: len(u.Attrs.Communities) > 0}
	}
	if u.EndOfRIB != (Family{}) {
		w.ends++
	}
}

// cables lists the connections in the order in which they began.
func (w *wire) cables() (out []*cable) {
	var ids []ConnID
	for id := range w.conns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if c := w.conns[id]; !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// settle lets everything pass until nothing is left to pass.
func (w *wire) settle() {
	for more := true; more; {
		more = false
		for len(w.dials) > 0 {
			d := w.dials[0]
			w.dials = w.dials[1:]
			w.connect(d)
			more = true
		}
		for _, c := range w.cables() {
			for side := range 2 {
				for w.deliver(c, side) {
					more = true
				}
				if b := w.sides[side].Pull(c.id[side]); len(b) > 0 {
					w.carry(side, []Out{{OutSend, c.id[side], b}})
					more = true
				}
			}
		}
	}
}

func (w *wire) tick(by float64) {
	w.now += by
	for i := range w.sides {
		w.carry(i, w.sides[i].Tick(w.now))
	}
}

func (w *wire) same(t *Table) error {
	want := t.Routes()
	if len(want) != len(w.rib) {
		return fmt.Errorf("%d prefixes told, %d announced", len(w.rib), len(want))
	}
	for _, r := range want {
		if got, ok := w.rib[r.Prefix]; !ok || got != r.Path {
			return fmt.Errorf("%v: told %+v (%v), announced %+v", r.Prefix, got, ok, r.Path)
		}
	}
	return nil
}

func route(i int, p Path) Route {
	if i%3 == 0 {
		a := netip.MustParseAddr("2001:db8::").As16()
		a[14], a[15] = byte(i>>8), byte(i)
		return Route{netip.PrefixFrom(netip.AddrFrom16(a), 128), p}
	}
	return Route{netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 32), p}
}

func TestBothDialAndOneConnectionStays(t *testing.T) {
	for _, ids := range [][2]uint32{{1, 2}, {2, 1}} {
		w, _ := newWire(t, DefaultTimes, ids)
		w.carry(0, w.sides[0].Start(0))
		w.carry(1, w.sides[1].Start(0))
		w.settle()
		live := w.cables()
		if len(live) != 1 || w.sides[0].State() != Established || w.sides[1].State() != Established {
			t.Fatalf("identifiers %v: %d connections, %v and %v", ids, len(live), w.sides[0].State(), w.sides[1].State())
		}
		if higher := slices.Index(ids[:], 2); live[0].by != higher {
			t.Errorf("identifiers %v: the connection that side %d began stays", ids, live[0].by)
		}
		ups := [2]int{w.sides[0].Ups, w.sides[1].Ups} // one more where both were established for a moment
		for range 40 {                                // it lasts, and no other is begun
			w.tick(1000)
			w.settle()
		}
		if w.sides[0].Ups != ups[0] || w.sides[1].Ups != ups[1] || ups[0]+ups[1] > 3 || len(w.cables()) != 1 {
			t.Errorf("%d and %d sessions, %d connections", w.sides[0].Ups, w.sides[1].Ups, len(w.cables()))
		}
	}
}

// After a reconnect the peer has exactly the set, and End-of-RIB for each family, though
// much changed while it was away.
func TestAfterAReconnectExactlyTheSet(t *testing.T) {
	w, table := newWire(t, DefaultTimes, [2]uint32{1, 2})
	for i := range 9000 { // more than one batch
		table.Announce(route(i, Path{MED: uint32(i % 3)}))
	}
	w.carry(1, w.sides[1].Start(0))
	w.carry(0, w.sides[0].Start(0))
	w.settle()
	if err := w.same(table); err != nil || w.ends != 2 {
		t.Fatalf("%v, %d ends", err, w.ends)
	}
	for _, c := range w.cables() {
		c.shut = true
	}
	for i := range 4000 {
		table.Withdraw(route(2*i, Path{}).Prefix)
	}
	table.Announce(route(1, Path{MED: 9, Prepend: 2, Shutdown: true}))
	w.settle()
	w.tick(6000)
	w.settle()
	if err := w.same(table); err != nil || w.ends < 4 || w.sides[0].Ups < 2 {
		t.Errorf("%v, %d ends, %d sessions", err, w.ends, w.sides[1].Ups)
	}
}

// A route that is withdrawn in the midst of the first telling does not stay.
func TestWithdrawnWhileTheTableIsTold(t *testing.T) {
	w, table := newWire(t, DefaultTimes, [2]uint32{1, 2})
	for i := range 9000 {
		table.Announce(route(i, Path{}))
	}
	w.carry(1, w.sides[1].Start(0))
	w.carry(0, w.sides[0].Start(0))
	told := false
	for range 100 {
		for _, c := range w.cables() {
			for side := range 2 {
				for w.deliver(c, side) {
				}
			}
			if b := w.sides[1].Pull(c.id[1]); len(b) > 0 {
				w.carry(1, []Out{{OutSend, c.id[1], b}})
				if !told {
					told = table.Withdraw(route(1, Path{}).Prefix)
				}
			}
		}
		for len(w.dials) > 0 {
			d := w.dials[0]
			w.dials = w.dials[1:]
			w.connect(d)
		}
	}
	if err := w.same(table); err != nil || !told {
		t.Error(err, told)
	}
}

func TestRouteRefreshTellsAFamilyAgain(t *testing.T) {
	w, table := newWire(t, DefaultTimes, [2]uint32{1, 2})
	for i := range 30 {
		table.Announce(route(i, Path{}))
	}
	w.carry(1, w.sides[1].Start(0))
	w.carry(0, w.sides[0].Start(0))
	w.settle()
	before := len(w.rib)
	for p := range w.rib {
		if FamilyOf(p) == IPv6 {
			delete(w.rib, p)
		}
	}
	if len(w.rib) == before {
		t.Fatal("nothing to tell again")
	}
	c := w.cables()[0]
	c.buf[1] = AppendRefresh(c.buf[1], IPv6)
	w.settle()
	if err := w.same(table); err != nil || w.sides[1].State() != Established {
		t.Error(err)
	}
}

func TestWrongASIsRefused(t *testing.T) {
	w, _ := newWire(t, DefaultTimes, [2]uint32{1, 2})
	w.sides[0].Cfg.PeerAS, w.sides[0].Cfg.Passive = 64999, true
	w.carry(0, w.sides[0].Start(0))
	w.carry(1, w.sides[1].Start(0))
	w.settle()
	n, ok := w.sides[0].LastError.(*Notification)
	if !ok || n.Code != CodeOpen || n.Subcode != OpenBadPeerAS || w.sides[1].State() == Established {
		t.Errorf("%v, %v", w.sides[0].LastError, w.sides[1].State())
	}
}

// A peer that accepts and says nothing falls to the hold time; a process that stood
// still does not take its own sleep for the peer's silence.
func TestSilenceAndAStalledProcess(t *testing.T) {
	w, _ := newWire(t, DefaultTimes, [2]uint32{1, 2})
	w.carry(1, w.sides[1].Start(0))
	w.carry(0, w.sides[0].Start(0))
	w.settle()
	w.now += 60000 // both stood still: the timers are late by far
	w.carry(1, w.sides[1].Tick(w.now))
	if w.sides[1].State() != Established {
		t.Fatal("taken for silence")
	}
	w.carry(0, w.sides[0].Tick(w.now))
	w.settle() // what lay unread is a sign of life
	w.tick(stalled + 1)
	if w.sides[1].State() != Established {
		t.Fatal("the sign of life was not heard")
	}
	for range 12 { // now the other side says nothing
		w.now += 1000
		w.carry(1, w.sides[1].Tick(w.now))
	}
	if n, ok := w.sides[1].LastError.(*Notification); !ok || n.Code != CodeHoldTimer {
		t.Errorf("%v, %v", w.sides[1].State(), w.sides[1].LastError)
	}
}

// Whatever order messages, losses, changes and times come in: when all has settled the
// two sides are established over one connection and the peer has exactly the set.
func TestAnyOrderSettles(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		times := DefaultTimes
		times.Hold = float64(rapid.SampledFrom([]int{0, 9000}).Draw(r, "hold"))
		w, table := newWire(t, times, [2]uint32{1, 2})
		w.carry(0, w.sides[0].Start(0))
		w.carry(1, w.sides[1].Start(0))
		for range rapid.IntRange(0, 60).Draw(r, "steps") {
			cables := w.cables()
			switch k := rapid.IntRange(0, 7).Draw(r, "what"); {
			case k == 0 && len(w.dials) > 0:
				d := w.dials[0]
				w.dials = w.dials[1:]
				if rapid.Bool().Draw(r, "fails") {
					w.carry(d, w.sides[d].DialFailed(w.now))
				} else {
					w.connect(d)
				}
			case k == 1 && len(cables) > 0:
				rapid.SampledFrom(cables).Draw(r, "cut").shut = true
			case k == 2:
				w.tick(float64(rapid.IntRange(0, 12000).Draw(r, "ms")))
			case k == 3:
				table.Announce(route(rapid.IntRange(0, 9).Draw(r, "route"), Path{MED: uint32(rapid.IntRange(0, 2).Draw(r, "med"))}))
			case k == 4:
				table.Withdraw(route(rapid.IntRange(0, 9).Draw(r, "gone"), Path{}).Prefix)
			case len(cables) > 0:
				c, side := rapid.SampledFrom(cables).Draw(r, "cable"), rapid.IntRange(0, 1).Draw(r, "side")
				w.deliver(c, side)
				if b := w.sides[side].Pull(c.id[side]); len(b) > 0 {
					w.carry(side, []Out{{OutSend, c.id[side], b}})
				}
			}
		}
		for range 60 {
			w.settle()
			w.tick(3000)
		}
		w.settle()
		if w.sides[0].State() != Established || w.sides[1].State() != Established || len(w.cables()) != 1 {
			r.Fatalf("%v and %v over %d connections", w.sides[0].State(), w.sides[1].State(), len(w.cables()))
		}
		if err := w.same(table); err != nil {
			r.Fatal(err)
		}
	})
}
