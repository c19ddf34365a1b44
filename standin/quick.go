package standin

import (
	"bufio"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"merlinhitch/diskproto"
	"merlinhitch/keys"
	"merlinhitch/seam"
)

// QuickDisk is a disk server without a machine: it answers every read at once, on
// the goroutine of its connection. It serves measurements of what stands before it.
type QuickDisk struct {
	Addr  string
	world seam.World
	l     net.Listener
	block []byte
	mu    sync.Mutex
	conns []net.Conn
	tasks seam.Group
}

// ServeQuick starts one that answers with so many bytes, in clear where it has no keys.
func ServeQuick(w seam.World, bytes int, k *keys.Holder) (*QuickDisk, error) {
	l, err := w.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if k != nil {
		l = tls.NewListener(l, k.Server(true))
	}
	q := &QuickDisk{Addr: l.Addr().String(), world: w, l: l, block: make([]byte, bytes)}
	q.tasks.Go(w, q.accept)
	return q, nil
}

func (q *QuickDisk) accept() {
	for {
		c, err := q.l.Accept()
		if err != nil {
			return
		}
		q.mu.Lock()
		q.conns = append(q.conns, c)
		q.mu.Unlock()
		q.tasks.Go(q.world, func() { q.serve(c) })
	}
}

// serve answers what has come in one write, so that a busy connection costs few
// calls of the system.
func (q *QuickDisk) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 64<<10)
	r := diskproto.NewReader(br)
	answer := &diskproto.Answer{Result: diskproto.OK, Data: q.block}
	var out []byte
	for {
		f, err := r.Next()
		if err != nil {
			return
		}
		switch f.Kind {
		case diskproto.KindHello:
			out = diskproto.Append(out, diskproto.KindWelcome, f.Tag, &diskproto.Welcome{Version: diskproto.Version, Clock: uint64(q.world.Now() / time.Microsecond)})
		case diskproto.KindDo:
			out = diskproto.Append(out, diskproto.KindAnswer, f.Tag, answer)
		}
		if br.Buffered() > 0 && len(out) < 128<<10 {
			continue
		}
		if _, err := c.Write(out); err != nil {
			return
		}
		out = out[:0]
	}
}

// Close ends the server.
func (q *QuickDisk) Close() {
	q.l.Close()
	q.mu.Lock()
	for _, c := range q.conns {
		c.Close()
	}
	q.mu.Unlock()
	q.tasks.Wait(q.world)
}
