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

// muxRelay is the baseline that Bench reports as fan: a minimal relay with the same connections as
// the gateway, many from clients and one to each of a few servers. It only matches replies to
// requests by tag.
type muxRelay struct {
	upstreams []*muxUpstream
	listener  net.Listener
}

// muxUpstream is the connection to one server.
type muxUpstream struct {
	conn    net.Conn
	queue   *writequeue.Queue
	mu      sync.Mutex
	lastTag uint32
	pending map[uint32]pendingReply
}

// pendingReply is the client queue and the client's tag of a request without a reply.
type pendingReply struct {
	queue *writequeue.Queue
	tag   uint32
}

const (
	muxMaxQueueBytes = 64 << 20
	muxWriteTimeout  = 10 * time.Second
)

// newMuxRelay starts a relay to a server, over the given number of connections.
func newMuxRelay(environment env.Environment, addr string, connections int) (*muxRelay, error) {
	relay := &muxRelay{}
	for range connections {
		connection, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, err
		}
		upstream := &muxUpstream{conn: connection, queue: writequeue.New(environment, connection, muxMaxQueueBytes, muxWriteTimeout), pending: map[uint32]pendingReply{}}
		relay.upstreams = append(relay.upstreams, upstream)
		go upstream.readReplies()
	}
	var err error
	relay.listener, err = serveConnections("127.0.0.1:0", func(c net.Conn) { relay.serve(c, writequeue.New(environment, c, muxMaxQueueBytes, muxWriteTimeout)) })
	return relay, err
}

func (relay *muxRelay) serve(connection net.Conn, queue *writequeue.Queue) {
	defer queue.Wait()
	defer queue.Abort()
	reader := bufio.NewReaderSize(connection, 64<<10)
	var request [requestLen]byte
	for count := uint32(0); ; count++ {
		if _, err := io.ReadFull(reader, request[:]); err != nil {
			return
		}
		relay.upstreams[count%uint32(len(relay.upstreams))].send(&request, queue)
	}
}

func (upstream *muxUpstream) send(request *[requestLen]byte, clientQueue *writequeue.Queue) {
	upstream.mu.Lock()
	upstream.lastTag++
	tag := upstream.lastTag
	upstream.pending[tag] = pendingReply{clientQueue, binary.BigEndian.Uint32(request[16:])}
	upstream.mu.Unlock()
	upstream.queue.Enqueue(func(buffer []byte) []byte {
		start := len(buffer)
		buffer = append(append(buffer, request[:]...), make([]byte, doFrameLen-requestLen)...)
		binary.BigEndian.PutUint32(buffer[start+16:], tag)
		return buffer
	})
}

func (upstream *muxUpstream) readReplies() {
	defer upstream.queue.Abort()
	reader := bufio.NewReaderSize(upstream.conn, 256<<10)
	reply := make([]byte, answerFrameLen)
	for {
		if _, err := io.ReadFull(reader, reply); err != nil {
			return
		}
		tag := binary.BigEndian.Uint32(reply[16:])
		upstream.mu.Lock()
		waiting := upstream.pending[tag]
		delete(upstream.pending, tag)
		upstream.mu.Unlock()
		if waiting.queue == nil {
			return
		}
		waiting.queue.Enqueue(func(buffer []byte) []byte {
			start := len(buffer)
			buffer = append(append(buffer, reply...), make([]byte, responseLen-answerFrameLen)...)
			buffer[start+3], buffer[start+5], buffer[start+6], buffer[start+7] = 0, byte(benchBlockSize>>16), byte(benchBlockSize>>8&0xff), byte(benchBlockSize&0xff)
			binary.BigEndian.PutUint32(buffer[start+16:], waiting.tag)
			return buffer
		})
	}
}

func (relay *muxRelay) close() {
	relay.listener.Close()
	for _, upstream := range relay.upstreams {
		upstream.conn.Close()
		upstream.queue.Wait()
	}
}
