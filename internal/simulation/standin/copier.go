package standin

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
)

// What a disk server of one of two regions does beside its requests: as its shard's home
// it copies changes to the other region's cell, and it tells its inventory how that
// stands and hears from it where the shard is at home.

const (
	copyAgain  = 50 * time.Millisecond
	copyDial   = 500 * time.Millisecond
	copyBatch  = 64
	copyQuiet  = 2 * time.Second
	reportEach = 100 * time.Millisecond
	reportTime = 500 * time.Millisecond
)

// copying keeps a connection to the copy while this server is the shard's home.
func (d *DiskServer) copying() {
	for env.Sleep(d.world, copyAgain, &d.stopped) {
		gen, home := d.machine.cell.Home()
		addr := d.Peer()
		if !home || addr == "" {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		conn, err := d.world.Dial(ctx, "tcp", addr, copyDial)
		cancel()
		if err != nil {
			continue
		}
		if d.Keys != nil {
			conn = tls.Client(conn, d.Keys.Client(""))
		}
		c := &copier{d: d, cell: d.machine.cell, gen: gen, conn: conn, wake: d.world.NewParker()}
		c.run()
		d.machine.cell.parted(gen)
	}
}

// copier is one connection to the copy.
type copier struct {
	d    *DiskServer
	cell *ShardStore
	gen  uint64
	conn net.Conn
	out  *writequeue.Queue
	wake env.Parker
	over env.Gate
	sent uint64 // the last change
}

func (c *copier) run() {
	w := c.d.world
	c.out = writequeue.New(w, c.conn, diskOut, diskTimeout)
	defer c.out.Wait()
	defer c.out.Abort()
	if !c.d.keep(c.out) {
		return
	}
	defer c.d.leave(c.out)
	c.out.Enqueue(func(b []byte) []byte {
		b = diskproto.Append(b, diskproto.KindHello, 0, &diskproto.Hello{Oldest: diskproto.Oldest, Newest: diskproto.Version, Host: c.d.Started, Name: c.d.Name})
		return diskproto.Append(b, diskproto.KindJoin, 0, &diskproto.Join{Shard: uint32(c.d.Shard), Gen: c.gen})
	})
	r := diskproto.NewReader(bufio.NewReaderSize(c.conn, 32<<10))
	c.conn.SetReadDeadline(w.Deadline(copyDial))
	var m diskproto.Joined
	for m.Result == 0 {
		f, err := r.Next()
		if err != nil || f.Kind == diskproto.KindJoined && m.Parse(f.Body) != nil {
			return
		}
	}
	if m.Result != diskproto.OK {
		return
	}
	c.cell.SetSenderWakeup(c.wake.Unpark)
	defer c.cell.SetSenderWakeup(nil)
	whole, start, ok := c.cell.from(c.gen, m.At)
	if !ok {
		return
	}
	c.sent = start
	var done env.Gate
	w.Go(func() {
		defer done.Open()
		c.read(r)
	})
	for i := range whole {
		c.put(&whole[i])
	}
	c.write()
	c.conn.Close()
	done.Wait(w)
}

func (c *copier) put(m *diskproto.Copy) bool {
	return c.out.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindCopy, 0, m) })
}

// write sends what follows until the connection or the home is over.
func (c *copier) write() {
	for !c.over.Opened() && !c.d.stopped.Opened() {
		changes, ok := c.cell.next(env.MS(c.d.world.Now()), c.gen, c.sent, copyBatch)
		if !ok {
			return
		}
		for i := range changes {
			if !c.put(&changes[i]) {
				return
			}
			c.sent = changes[i].At.Seq
		}
		if len(changes) == 0 {
			c.wake.Park()
		}
	}
}

// read hears what the copy has.
func (c *copier) read(r *diskproto.Reader) {
	defer c.wake.Unpark()
	defer c.over.Open()
	for {
		// A home with nothing to copy hears nothing; one whose copy is out of reach tries
		// another connection.
		c.conn.SetReadDeadline(c.d.world.Deadline(copyQuiet))
		f, err := r.Next()
		if err != nil {
			return
		}
		var m diskproto.Copied
		if f.Kind != diskproto.KindCopied {
			continue
		}
		if m.Parse(f.Body) != nil || m.Result != diskproto.OK {
			return
		}
		c.cell.has(c.gen, m.At.Seq)
	}
}

// copied takes a frame from the shard's home; false ends the connection.
func (d *DiskServer) copied(o *writequeue.Queue, f diskproto.Frame, gen *uint64) bool {
	cell := d.machine.cell
	if f.Kind == diskproto.KindJoin {
		var m diskproto.Join
		if m.Parse(f.Body) != nil {
			return false
		}
		a := diskproto.Joined{Result: diskproto.WrongShard}
		if m.Shard == uint32(d.Shard) {
			a, *gen = cell.join(m.Gen), m.Gen
		}
		return o.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindJoined, f.Tag, &a) })
	}
	var m diskproto.Copy
	if m.Parse(f.Body) != nil || *gen == 0 {
		return false
	}
	now := d.now()
	a := cell.take(now, *gen, &m)
	if a.Result == diskproto.OK {
		d.machine.rack.note(now-float64(m.Age), &m.Do)
	}
	if m.Part && a.Result == diskproto.OK {
		return true
	}
	return o.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindCopied, f.Tag, &a) }) && a.Result == diskproto.OK
}

// reporting tells the inventory of the copy, and hears of the shard's home.
func (d *DiskServer) reporting() {
	c := inventory.NewCaller(d.world, d.Inventory)
	defer c.Close()
	for env.Sleep(d.world, reportEach, &d.stopped) {
		word := d.machine.cell.CopyStatus(d.now())
		word.Shard = d.Shard
		a := inventory.Ask{Op: "copies", Copies: []region.Copy{word}}
		l, err := c.Ask(a, reportTime)
		if err == nil && l.Kind == inventory.Told && d.Shard < len(l.Record.Homes) {
			d.machine.cell.UpdateHome(l.Record.Homes[d.Shard])
		}
	}
}
