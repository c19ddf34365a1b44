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
	replicaRedialInterval = 50 * time.Millisecond
	replicaDialTimeout    = 500 * time.Millisecond
	replicaBatchSize      = 64
	replicaIdleTimeout    = 2 * time.Second
	copyReportInterval    = 100 * time.Millisecond
	copyReportTimeout     = 500 * time.Millisecond
)

// replicationLoop keeps a connection to the copy while this server is the shard's home.
func (d *DiskServer) replicationLoop() {
	for env.Sleep(d.environment, replicaRedialInterval, &d.stopped) {
		gen, home := d.machine.store.Home()
		addr := d.Peer()
		if !home || addr == "" {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		conn, err := d.environment.Dial(ctx, "tcp", addr, replicaDialTimeout)
		cancel()
		if err != nil {
			continue
		}
		if d.Keys != nil {
			conn = tls.Client(conn, d.Keys.Client(""))
		}
		c := &replicaSender{server: d, store: d.machine.store, gen: gen, conn: conn, wake: d.environment.NewParker()}
		c.run()
		d.machine.store.copyDisconnected(gen)
	}
}

// replicaSender is one connection to the copy.
type replicaSender struct {
	server       *DiskServer
	store        *ShardStore
	gen          uint64
	conn         net.Conn
	out          *writequeue.Queue
	wake         env.Parker
	disconnected env.Gate
	sentSeq      uint64 // the last change
}

func (c *replicaSender) run() {
	w := c.server.environment
	c.out = writequeue.New(w, c.conn, diskQueueBytes, diskWriteTimeout)
	defer c.out.Wait()
	defer c.out.Abort()
	if !c.server.addConn(c.out) {
		return
	}
	defer c.server.removeConn(c.out)
	c.out.Enqueue(func(b []byte) []byte {
		b = diskproto.Append(b, diskproto.KindHello, 0, &diskproto.Hello{Oldest: diskproto.Oldest, Newest: diskproto.Version, Host: c.server.Started, Name: c.server.Name})
		return diskproto.Append(b, diskproto.KindJoin, 0, &diskproto.Join{Shard: uint32(c.server.Shard), Gen: c.gen})
	})
	r := diskproto.NewReader(bufio.NewReaderSize(c.conn, 32<<10))
	c.conn.SetReadDeadline(w.Deadline(replicaDialTimeout))
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
	c.store.SetSenderWakeup(c.wake.Unpark)
	defer c.store.SetSenderWakeup(nil)
	whole, start, ok := c.store.startReplication(c.gen, m.At)
	if !ok {
		return
	}
	c.sentSeq = start
	var done env.Gate
	w.Go(func() {
		defer done.Open()
		c.readAcks(r)
	})
	for i := range whole {
		c.send(&whole[i])
	}
	c.sendChanges()
	c.conn.Close()
	done.Wait(w)
}

func (c *replicaSender) send(m *diskproto.Copy) bool {
	return c.out.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindCopy, 0, m) })
}

// sendChanges sends what follows until the connection or the home is over.
func (c *replicaSender) sendChanges() {
	for !c.disconnected.Opened() && !c.server.stopped.Opened() {
		changes, ok := c.store.changesAfter(env.MS(c.server.environment.Now()), c.gen, c.sentSeq, replicaBatchSize)
		if !ok {
			return
		}
		for i := range changes {
			if !c.send(&changes[i]) {
				return
			}
			c.sentSeq = changes[i].At.Seq
		}
		if len(changes) == 0 {
			c.wake.Park()
		}
	}
}

// readAcks hears what the copy has.
func (c *replicaSender) readAcks(r *diskproto.Reader) {
	defer c.wake.Unpark()
	defer c.disconnected.Open()
	for {
		// A home with nothing to copy hears nothing; one whose copy is out of reach tries
		// another connection.
		c.conn.SetReadDeadline(c.server.environment.Deadline(replicaIdleTimeout))
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
		c.store.acknowledgeCopied(c.gen, m.At.Seq)
	}
}

// handleReplicationFrame takes a frame from the shard's home; false ends the connection.
func (d *DiskServer) handleReplicationFrame(o *writequeue.Queue, f diskproto.Frame, gen *uint64) bool {
	cell := d.machine.store
	if f.Kind == diskproto.KindJoin {
		var m diskproto.Join
		if m.Parse(f.Body) != nil {
			return false
		}
		a := diskproto.Joined{Result: diskproto.WrongShard}
		if m.Shard == uint32(d.Shard) {
			a, *gen = cell.acceptSender(m.Gen), m.Gen
		}
		return o.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindJoined, f.Tag, &a) })
	}
	var m diskproto.Copy
	if m.Parse(f.Body) != nil || *gen == 0 {
		return false
	}
	now := d.now()
	a := cell.receiveChange(now, *gen, &m)
	if a.Result == diskproto.OK {
		d.machine.dedup.remember(now-float64(m.Age), &m.Do)
	}
	if m.Part && a.Result == diskproto.OK {
		return true
	}
	return o.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindCopied, f.Tag, &a) }) && a.Result == diskproto.OK
}

// copyReportLoop tells the inventory of the copy, and hears of the shard's home.
func (d *DiskServer) copyReportLoop() {
	c := inventory.NewCaller(d.environment, d.Inventory)
	defer c.Close()
	for env.Sleep(d.environment, copyReportInterval, &d.stopped) {
		word := d.machine.store.CopyStatus(d.now())
		word.Shard = d.Shard
		a := inventory.Ask{Op: "copies", Copies: []region.Copy{word}}
		l, err := c.Ask(a, copyReportTimeout)
		if err == nil && l.Kind == inventory.Told && d.Shard < len(l.Record.Homes) {
			d.machine.store.UpdateHome(l.Record.Homes[d.Shard])
		}
	}
}
