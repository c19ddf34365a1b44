package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"

	"merlinhitch/internal/protocol/diskproto"
)

// DiskRelay passes connections on to a disk server, unchanged and at once, and records the requests
// and answers that pass.
type DiskRelay struct {
	Addr string

	c      *Case
	name   string
	target string
	mu     sync.Mutex
	runs   []DiskRun
}

// DiskRun is a request that passed a relay, with its answer.
type DiskRun struct {
	diskproto.Do
	Conn     int
	Tag      uint32
	Answered bool
	Answer   diskproto.Answer
}

// Applied tells whether the disk server said that it ran the request, and not as a repeat of one that
// had run.
func (r *DiskRun) Applied() bool {
	return r.Answered && r.Answer.Result == diskproto.OK && !r.Answer.Dropped
}

// RelayDisk starts a relay to the disk server at target.
func (c *Case) RelayDisk(name, target string) *DiskRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	r := &DiskRelay{Addr: listener.Addr().String(), c: c, name: name, target: target}
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn, number)
		}
	}()
	return r
}

func (r *DiskRelay) serve(conn net.Conn, number int) {
	defer conn.Close()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	pass := func(from, to net.Conn, note func(diskproto.Frame)) {
		frames := diskproto.NewReader(bufio.NewReader(io.TeeReader(from, to)))
		for frame, err := frames.Next(); err == nil; frame, err = frames.Next() {
			note(frame)
		}
		from.Close()
		to.Close()
	}
	both.Go(func() { pass(conn, server, func(f diskproto.Frame) { r.request(number, f) }) })
	both.Go(func() { pass(server, conn, func(f diskproto.Frame) { r.answer(number, f) }) })
	both.Wait()
}

func (r *DiskRelay) request(conn int, f diskproto.Frame) {
	var do diskproto.Do
	switch f.Kind {
	case diskproto.KindHello:
		var hello diskproto.Hello
		if hello.Parse(f.Body) == nil {
			r.c.Log("%s connection %d: from %s", r.name, conn, hello.Name)
		}
		return
	case diskproto.KindDo:
	default:
		return
	}
	if do.Parse(f.Body) != nil {
		return
	}
	r.c.Log("%s connection %d tag %d: do %s", r.name, conn, f.Tag, describe(&do))
	do.Data = append([]byte(nil), do.Data...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, DiskRun{Do: do, Conn: conn, Tag: f.Tag})
}

func describe(do *diskproto.Do) string {
	op := map[byte]string{1: "read", 2: "write", diskproto.OpRecord: "record", diskproto.OpSwapRecord: "swap-record", diskproto.OpFence: "fence"}[do.Op]
	text := fmt.Sprintf("%s of %s, origin %x, key %x/%d, attempt %d, effect %d, fence %d", op, do.Volume, do.Origin, do.Host, do.Seq, do.Attempt, do.Effect, do.Fence)
	if do.Op == 1 || do.Op == 2 {
		text += fmt.Sprintf(", lba %d, blocks %d", do.LBA, do.Blocks)
	}
	if do.Op == 2 && len(do.Data) > 0 {
		text += fmt.Sprintf(", data %q..", do.Data[:2])
	}
	return text
}

func (r *DiskRelay) answer(conn int, f diskproto.Frame) {
	var a diskproto.Answer
	if f.Kind != diskproto.KindAnswer || a.Parse(f.Body) != nil {
		return
	}
	r.c.Log("%s connection %d tag %d: %s, dropped as a repeat: %v", r.name, conn, f.Tag, a.Result, a.Dropped)
	a.Data, a.Report = nil, nil
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.runs {
		if x := &r.runs[i]; x.Conn == conn && x.Tag == f.Tag {
			x.Answered, x.Answer = true, a
		}
	}
}

// Runs returns the requests that passed so far.
func (r *DiskRelay) Runs() []DiskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]DiskRun(nil), r.runs...)
}
