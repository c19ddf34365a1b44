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

// fan is a bare relay with the gateway's own connections: many clients in front,
// one connection to each of a few servers behind. It pairs replies by tag and
// knows nothing else of what it passes on.
type fan struct {
	ups []*fanUp
	l   net.Listener
}

// fanUp is a connection to one server.
type fanUp struct {
	conn net.Conn
	out  *writequeue.Queue
	mu   sync.Mutex
	next uint32
	wait map[uint32]fanAsk
}

// fanAsk is whose reply is awaited.
type fanAsk struct {
	out *writequeue.Queue
	tag uint32
}

const (
	fanOut  = 64 << 20
	fanTime = 10 * time.Second
)

// newFan relays to so many connections of the server.
func newFan(w env.Environment, server string, ups int) (*fan, error) {
	f := &fan{}
	for range ups {
		c, err := net.Dial("tcp", server)
		if err != nil {
			return nil, err
		}
		u := &fanUp{conn: c, out: writequeue.New(w, c, fanOut, fanTime), wait: map[uint32]fanAsk{}}
		f.ups = append(f.ups, u)
		go u.read()
	}
	var err error
	f.l, err = fixed("127.0.0.1:0", func(c net.Conn) { f.serve(c, writequeue.New(w, c, fanOut, fanTime)) })
	return f, err
}

func (f *fan) serve(c net.Conn, out *writequeue.Queue) {
	defer out.Wait()
	defer out.Abort()
	r := bufio.NewReaderSize(c, 64<<10)
	var p [requestLen]byte
	for n := uint32(0); ; n++ {
		if _, err := io.ReadFull(r, p[:]); err != nil {
			return
		}
		f.ups[n%uint32(len(f.ups))].send(&p, out)
	}
}

func (u *fanUp) send(p *[requestLen]byte, client *writequeue.Queue) {
	u.mu.Lock()
	u.next++
	tag := u.next
	u.wait[tag] = fanAsk{client, binary.BigEndian.Uint32(p[16:])}
	u.mu.Unlock()
	u.out.Enqueue(func(b []byte) []byte {
		at := len(b)
		b = append(append(b, p[:]...), make([]byte, forwardLen-requestLen)...)
		binary.BigEndian.PutUint32(b[at+16:], tag)
		return b
	})
}

func (u *fanUp) read() {
	defer u.out.Abort()
	r := bufio.NewReaderSize(u.conn, 256<<10)
	p := make([]byte, replyLen)
	for {
		if _, err := io.ReadFull(r, p); err != nil {
			return
		}
		tag := binary.BigEndian.Uint32(p[16:])
		u.mu.Lock()
		a := u.wait[tag]
		delete(u.wait, tag)
		u.mu.Unlock()
		if a.out == nil {
			return
		}
		a.out.Enqueue(func(b []byte) []byte {
			at := len(b)
			b = append(append(b, p...), make([]byte, responseLen-replyLen)...)
			b[at+3], b[at+5], b[at+6], b[at+7] = 0, byte(benchBlock>>16), byte(benchBlock>>8&0xff), byte(benchBlock&0xff)
			binary.BigEndian.PutUint32(b[at+16:], a.tag)
			return b
		})
	}
}

func (f *fan) close() {
	f.l.Close()
	for _, u := range f.ups {
		u.conn.Close()
		u.out.Wait()
	}
}
