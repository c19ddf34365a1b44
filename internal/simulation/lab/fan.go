package lab

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
)

// muxRelay is a bare relay with the gateway's own connections: many clients in front,
// one connection to each of a few servers behind. It pairs replies by tag and
// knows nothing else of what it passes on.
type muxRelay struct {
	upstreams []*muxUpstream
	listener  net.Listener
}

// muxUpstream is a connection to one server.
type muxUpstream struct {
	conn    net.Conn
	out     *writequeue.Queue
	mu      sync.Mutex
	lastTag uint32
	pending map[uint32]pendingReply
}

// pendingReply is whose reply is awaited.
type pendingReply struct {
	out *writequeue.Queue
	tag uint32
}

const (
	muxMaxQueueBytes = 64 << 20
	muxWriteTimeout  = 10 * time.Second
)

// newMuxRelay relays to so many connections of the server.
func newMuxRelay(w env.Environment, server string, ups int) (*muxRelay, error) {
	f := &muxRelay{}
	for range ups {
		c, err := net.Dial("tcp", server)
		if err != nil {
			return nil, err
		}
		u := &muxUpstream{conn: c, out: writequeue.New(w, c, muxMaxQueueBytes, muxWriteTimeout), pending: map[uint32]pendingReply{}}
		f.upstreams = append(f.upstreams, u)
		go u.readReplies()
	}
	var err error
	f.listener, err = serveConnections("127.0.0.1:0", func(c net.Conn) { f.serve(c, writequeue.New(w, c, muxMaxQueueBytes, muxWriteTimeout)) })
	return f, err
}

func (f *muxRelay) serve(c net.Conn, out *writequeue.Queue) {
	defer out.Wait()
	defer out.Abort()
	r := bufio.NewReaderSize(c, 64<<10)
	var p [requestLen]byte
	for n := uint32(0); ; n++ {
		if _, err := io.ReadFull(r, p[:]); err != nil {
			return
		}
		f.upstreams[n%uint32(len(f.upstreams))].send(&p, out)
	}
}

func (u *muxUpstream) send(p *[requestLen]byte, client *writequeue.Queue) {
	u.mu.Lock()
	u.lastTag++
	tag := u.lastTag
	u.pending[tag] = pendingReply{client, binary.BigEndian.Uint32(p[16:])}
	u.mu.Unlock()
	u.out.Enqueue(func(b []byte) []byte {
		at := len(b)
		b = append(append(b, p[:]...), make([]byte, doFrameLen-requestLen)...)
		binary.BigEndian.PutUint32(b[at+16:], tag)
		return b
	})
}

func (u *muxUpstream) readReplies() {
	defer u.out.Abort()
	r := bufio.NewReaderSize(u.conn, 256<<10)
	p := make([]byte, answerFrameLen)
	for {
		if _, err := io.ReadFull(r, p); err != nil {
			return
		}
		tag := binary.BigEndian.Uint32(p[16:])
		u.mu.Lock()
		a := u.pending[tag]
		delete(u.pending, tag)
		u.mu.Unlock()
		if a.out == nil {
			return
		}
		a.out.Enqueue(func(b []byte) []byte {
			at := len(b)
			b = append(append(b, p...), make([]byte, responseLen-answerFrameLen)...)
			b[at+3], b[at+5], b[at+6], b[at+7] = 0, byte(benchBlockSize>>16), byte(benchBlockSize>>8&0xff), byte(benchBlockSize&0xff)
			binary.BigEndian.PutUint32(b[at+16:], a.tag)
			return b
		})
	}
}

func (f *muxRelay) close() {
	f.listener.Close()
	for _, u := range f.upstreams {
		u.conn.Close()
		u.out.Wait()
	}
}
