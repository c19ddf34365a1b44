package standin

import (
	"bufio"
	"crypto/tls"
	"net"
	"time"

	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/runtime/env"
)

// ImmediateDiskServer is a disk server without a machine: it answers every read at once, on
// the goroutine of its connection. It serves measurements of what stands before it.
type ImmediateDiskServer struct {
	connServer
	block []byte
}

// ServeImmediateDiskServer starts one that answers with so many bytes, in clear where it has no keys.
func ServeImmediateDiskServer(w env.Environment, bytes int, k *keys.Holder) (*ImmediateDiskServer, error) {
	l, err := w.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if k != nil {
		l = tls.NewListener(l, k.Server(true))
	}
	q := &ImmediateDiskServer{block: make([]byte, bytes)}
	q.start(w, l, q.serve)
	return q, nil
}

// serve answers what has come in one write, so that a busy connection costs few
// calls of the system.
func (q *ImmediateDiskServer) serve(c net.Conn, _ int) {
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
			out = diskproto.Append(out, diskproto.KindWelcome, f.Tag, &diskproto.Welcome{Version: diskproto.Version, Clock: uint64(q.environment.Now() / time.Microsecond)})
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
