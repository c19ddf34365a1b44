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

// A disk server of a service with two regions replicates its changes to the copy in the other region
// while it is its shard's home. It reports the state of the copy to its inventory and learns from it
// where the shard's home is.

const (
	copyRedialInterval = 50 * time.Millisecond
	copyDialTimeout    = 500 * time.Millisecond
	copyBatchSize      = 64 // changes
	copyIdleTimeout    = 2 * time.Second
	copyReportInterval = 100 * time.Millisecond
	copyReportTimeout  = 5 * time.Second
	maxCopyReports     = 8 // unanswered reports at a time
)

// replicationLoop keeps a connection to the copy open while this server is the shard's home.
func (d *DiskServer) replicationLoop() {
	for env.Sleep(d.environment, copyRedialInterval, &d.stopped) {
		gen, isHome := d.machine.store.Home()
		addr := d.Peer()
		if !isHome || addr == "" {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		conn, err := d.environment.Dial(ctx, "tcp", addr, copyDialTimeout)
		cancel()
		if err != nil {
			continue
		}
		if d.Credentials != nil {
			conn = tls.Client(conn, d.Credentials.ClientConfig(""))
		}
		sender := &copySender{server: d, store: d.machine.store, gen: gen, conn: conn, wake: d.environment.NewParker()}
		sender.run()
		d.machine.store.copyDisconnected(gen)
	}
}

// copySender replicates changes over one connection to the copy.
type copySender struct {
	server       *DiskServer
	store        *ShardStore
	gen          uint64
	conn         net.Conn
	writes       *writequeue.Queue
	wake         env.Parker
	disconnected env.Gate
	sentSeq      uint64 // of the last change sent
}

func (s *copySender) run() {
	environment := s.server.environment
	s.writes = writequeue.New(environment, s.conn, diskQueueBytes, diskWriteTimeout)
	defer s.writes.Wait()
	defer s.writes.Abort()
	if !s.server.addConn(s.writes) {
		return
	}
	defer s.server.removeConn(s.writes)
	s.writes.Enqueue(func(b []byte) []byte {
		b = diskproto.Append(b, diskproto.KindHello, 0, &diskproto.Hello{Oldest: diskproto.Oldest, Newest: diskproto.Version, Host: s.server.Started, Name: s.server.Name})
		return diskproto.Append(b, diskproto.KindJoin, 0, &diskproto.Join{Shard: uint32(s.server.Shard), Gen: s.gen})
	})
	reader := diskproto.NewReader(bufio.NewReaderSize(s.conn, 32<<10))
	s.conn.SetReadDeadline(environment.Deadline(copyDialTimeout))
	var joined diskproto.Joined
	for joined.Result == 0 {
		frame, err := reader.Next()
		if err != nil || frame.Kind == diskproto.KindJoined && joined.Parse(frame.Body) != nil {
			return
		}
	}
	if joined.Result != diskproto.OK {
		return
	}
	s.store.SetSenderWakeup(s.wake.Unpark)
	defer s.store.SetSenderWakeup(nil)
	snapshot, start, ok := s.store.startReplication(s.gen, joined.At)
	if !ok {
		return
	}
	s.sentSeq = start
	var readEnded env.Gate
	environment.Go(func() {
		defer readEnded.Open()
		s.readAcks(reader)
	})
	for i := range snapshot {
		s.send(&snapshot[i])
	}
	s.sendChanges()
	s.conn.Close()
	readEnded.Wait(environment)
}

func (s *copySender) send(change *diskproto.Copy) bool {
	return s.writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindCopy, 0, change) })
}

// sendChanges sends the logged changes until the connection ends, the server stops or this store is
// no longer the home.
func (s *copySender) sendChanges() {
	for !s.disconnected.Opened() && !s.server.stopped.Opened() {
		changes, ok := s.store.changesAfter(env.MS(s.server.environment.Now()), s.gen, s.sentSeq, copyBatchSize)
		if !ok {
			return
		}
		for i := range changes {
			if !s.send(&changes[i]) {
				return
			}
			s.sentSeq = changes[i].At.Seq
		}
		if len(changes) == 0 {
			s.wake.Park()
		}
	}
}

// readAcks reads the copy's acknowledgements.
func (s *copySender) readAcks(reader *diskproto.Reader) {
	defer s.wake.Unpark()
	defer s.disconnected.Open()
	for {
		// The deadline ends a connection to a copy that cannot be reached. It also ends one on which
		// there was nothing to replicate; replicationLoop opens another in both cases.
		s.conn.SetReadDeadline(s.server.environment.Deadline(copyIdleTimeout))
		frame, err := reader.Next()
		if err != nil {
			return
		}
		var ack diskproto.Copied
		if frame.Kind != diskproto.KindCopied {
			continue
		}
		if ack.Parse(frame.Body) != nil || ack.Result != diskproto.OK {
			return
		}
		s.store.acknowledgeCopied(s.gen, ack.At.Seq)
	}
}

// handleReplicationFrame handles a frame from the shard's home; gen is the generation of the join on
// this connection, 0 before it. False ends the connection.
func (d *DiskServer) handleReplicationFrame(writes *writequeue.Queue, frame diskproto.Frame, gen *uint64) bool {
	store := d.machine.store
	if frame.Kind == diskproto.KindJoin {
		var join diskproto.Join
		if join.Parse(frame.Body) != nil {
			return false
		}
		joined := diskproto.Joined{Result: diskproto.WrongShard}
		if join.Shard == uint32(d.Shard) {
			joined, *gen = store.acceptSender(join.Gen), join.Gen
		}
		return writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindJoined, frame.Tag, &joined) })
	}
	var change diskproto.Copy
	if change.Parse(frame.Body) != nil || *gen == 0 {
		return false
	}
	now := d.now()
	ack := store.receiveChange(now, *gen, &change)
	if ack.Result == diskproto.OK {
		d.machine.dedup.remember(now-float64(change.Age), &change.Do)
	}
	if change.Part && ack.Result == diskproto.OK {
		return true
	}
	return writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindCopied, frame.Tag, &ack) }) && ack.Result == diskproto.OK
}

// copyReportLoop reports the state of the copy to the inventory and applies the home that the
// inventory's answer names.
func (d *DiskServer) copyReportLoop() {
	callers := inventory.NewCallerPool(d.environment, d.Inventory, maxCopyReports)
	defer callers.Close()
	for env.Sleep(d.environment, copyReportInterval, &d.stopped) {
		status := d.machine.store.CopyStatus(d.now())
		status.Shard = d.Shard
		callers.Ask(inventory.Ask{Op: "copies", Copies: []region.Copy{status}}, copyReportTimeout, d.applyCopyReply)
	}
}

// applyCopyReply applies the home of the shard that an inventory's answer names, unless a later record was
// applied before.
func (d *DiskServer) applyCopyReply(reply inventory.List, err error) {
	if err != nil || reply.Kind != inventory.Told || d.Shard >= len(reply.Record.Homes) {
		return
	}
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	if reply.Record.Term < d.recordTerm {
		return
	}
	d.recordTerm = reply.Record.Term
	d.machine.store.UpdateHome(reply.Record.Homes[d.Shard])
}
