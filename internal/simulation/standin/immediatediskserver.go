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

// ImmediateDiskServer is a disk server with no service time: it answers every request at once with
// the same block. It is used to measure the components in front of it.
type ImmediateDiskServer struct {
	connServer
	block []byte
}

// ServeImmediateDiskServer starts a server that answers with blockBytes bytes; without credentials it
// does not use TLS.
func ServeImmediateDiskServer(environment env.Environment, blockBytes int, credentials *keys.Credentials) (*ImmediateDiskServer, error) {
	listener, err := environment.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if credentials != nil {
		listener = tls.NewListener(listener, credentials.ServerConfig(true))
	}
	server := &ImmediateDiskServer{block: make([]byte, blockBytes)}
	server.start(environment, listener, server.serve)
	return server, nil
}

// serve answers all requests that have been read with one write, to save system calls on a busy
// connection.
func (s *ImmediateDiskServer) serve(conn net.Conn, _ int) {
	defer conn.Close()
	buffered := bufio.NewReaderSize(conn, 64<<10)
	reader := diskproto.NewReader(buffered)
	answer := &diskproto.Answer{Result: diskproto.OK, Data: s.block}
	var out []byte
	for {
		frame, err := reader.Next()
		if err != nil {
			return
		}
		switch frame.Kind {
		case diskproto.KindHello:
			out = diskproto.Append(out, diskproto.KindWelcome, frame.Tag, &diskproto.Welcome{Version: diskproto.Version, Clock: uint64(s.environment.Now() / time.Microsecond)})
		case diskproto.KindDo:
			out = diskproto.Append(out, diskproto.KindAnswer, frame.Tag, answer)
		}
		if buffered.Buffered() > 0 && len(out) < 128<<10 {
			continue
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
		out = out[:0]
	}
}
