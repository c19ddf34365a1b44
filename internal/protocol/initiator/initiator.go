// Package initiator is the shell of the project's own iSCSI initiator: it logs in
// to a target, keeps commands in flight over one connection and hands each its
// end. It repeats nothing by itself.
package initiator

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/runtime/writequeue"
)

// ErrClosed ends commands whose connection is over: they may have run.
var ErrClosed = errors.New("initiator: connection closed")

// Config says where and as whom to log in.
type Config struct {
	Environment  env.Environment
	Addr         string
	Name, Target string
	Discovery    bool
	ISID         iscsi.ISID
	Params       iscsi.Params
	Chap, Peer   *iscsi.Credentials
	LoginTime    time.Duration
	// OnAsk is called when the target asks for a logout, OnClose at the end.
	OnAsk   func()
	OnClose func()
}

// DefaultParams are the offers of an ordinary initiator.
func DefaultParams() iscsi.Params {
	p := iscsi.DefaultParams()
	p.MaxRecv, p.MaxBurst, p.FirstBurst, p.InitialR2T = 256<<10, 1<<20, 64<<10, false
	return p
}

// Client is one session. It is safe for concurrent use.
type Client struct {
	cfg  Config
	conn net.Conn
	out  *writequeue.Queue

	mu      locks.Mutex
	core    *iscsi.Initiator
	digests iscsi.Digests
	ends    map[uint32]func(iscsi.Result, error)
	queue   []queued // that the window does not let go yet
	closed  bool
	done    env.Gate
}

const (
	outMost = 64 << 20
	outTime = 30 * time.Second
)

// Dial logs in. LoginTime bounds connecting, and then the login.
func Dial(ctx context.Context, cfg Config) (*Client, error) {
	conn, err := cfg.Environment.Dial(ctx, "tcp", cfg.Addr, cfg.LoginTime)
	if err != nil {
		return nil, err
	}
	c := &Client{cfg: cfg, conn: conn, ends: map[uint32]func(iscsi.Result, error){}}
	c.out = writequeue.New(cfg.Environment, conn, outMost, outTime)
	if cfg.LoginTime > 0 {
		conn.SetReadDeadline(cfg.Environment.Deadline(cfg.LoginTime))
	}
	r := iscsi.NewReader(bufio.NewReaderSize(conn, 8<<10), max(cfg.Params.MaxRecv, 8192))
	if err := c.login(r); err != nil {
		c.out.Abort()
		c.out.Wait()
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	cfg.Environment.Go(func() { c.run(r) })
	return c, nil
}

func (c *Client) emit(p *iscsi.PDU) {
	c.out.Enqueue(func(b []byte) []byte { return p.Append(b, c.digests) })
}

func (c *Client) login(r *iscsi.Reader) error {
	l, first := iscsi.NewInitiatorLogin(iscsi.InitiatorConfig{Name: c.cfg.Name, Target: c.cfg.Target, Discovery: c.cfg.Discovery,
		ISID: c.cfg.ISID, Params: c.cfg.Params, Chap: c.cfg.Chap, Peer: c.cfg.Peer, Random: c.random})
	for p := first; ; {
		c.emit(p)
		reply, err := r.Next()
		if err != nil {
			return err
		}
		next, done, err := l.Handle(reply)
		if err != nil {
			return err
		}
		if done {
			c.digests = l.Digests()
			r.Digests = c.digests
			c.core = l.Session(reply)
			c.core.Out = c.emit
			return nil
		}
		p = next
	}
}

func (c *Client) random(b []byte) { env.FillRandom(c.cfg.Environment, b) }

func (c *Client) run(r *iscsi.Reader) {
	for {
		p, err := r.Next()
		if err != nil {
			break
		}
		if err := c.handle(p); err != nil {
			break
		}
	}
	c.out.Abort()
	c.out.Wait()
	c.mu.Lock()
	c.closed = true
	ends, queue := c.ends, c.queue
	c.ends, c.queue = map[uint32]func(iscsi.Result, error){}, nil
	c.mu.Unlock()
	for _, tag := range slices.Sorted(maps.Keys(ends)) {
		ends[tag](iscsi.Result{}, ErrClosed)
	}
	for _, q := range queue {
		if !q.handle.dropped {
			q.end(iscsi.Result{}, ErrClosed)
		}
	}
	c.done.Open()
	if c.cfg.OnClose != nil {
		c.cfg.OnClose()
	}
}

func (c *Client) handle(p *iscsi.PDU) error {
	c.mu.Lock()
	res, err := c.core.Handle(p)
	var end func(iscsi.Result, error)
	if res != nil {
		end = c.ends[res.ITT]
		delete(c.ends, res.ITT)
	}
	for len(c.queue) > 0 && c.core.Room() {
		c.queue[0].send()
		c.queue = c.queue[1:]
	}
	c.mu.Unlock()
	if err != nil {
		return err
	}
	if end != nil {
		end(*res, nil)
	}
	if res != nil && res.AskLogout && c.cfg.OnAsk != nil {
		c.cfg.OnAsk()
	}
	if res != nil && res.Logout {
		return ErrClosed
	}
	return nil
}

// queued is a command that was not sent yet.
type queued struct {
	handle *Handle
	send   func()
	end    func(iscsi.Result, error)
}

// Handle names a command that was submitted. Its tag is 0 until it is sent.
type Handle struct {
	itt     uint32
	dropped bool
}

// Submit sends a command, at once or when the window lets it, and calls end once
// with its result.
func (c *Client) Submit(lun uint64, cdb, write []byte, read int, end func(iscsi.Result, error)) *Handle {
	return c.submit(func() uint32 { return c.core.Command(lun, cdb, write, read) }, end)
}

func (c *Client) submit(command func() uint32, end func(iscsi.Result, error)) *Handle {
	h := &Handle{}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		end(iscsi.Result{}, ErrClosed)
		return h
	}
	send := func() {
		if !h.dropped {
			h.itt = command()
			c.ends[h.itt] = end
		}
	}
	if c.core.Room() && len(c.queue) == 0 {
		send()
	} else {
		c.queue = append(c.queue, queued{h, send, end})
	}
	c.mu.Unlock()
	return h
}

// Do sends a command and waits for its end.
func (c *Client) Do(ctx context.Context, cdb, write []byte, read int) (iscsi.Result, error) {
	return c.DoAt(ctx, 0, cdb, write, read, 0)
}

// DoAt is Do for any LUN, with the numbers of its data off by gap; for drills.
func (c *Client) DoAt(ctx context.Context, lun uint64, cdb, write []byte, read int, gap uint32) (iscsi.Result, error) {
	type result struct {
		r   iscsi.Result
		err error
	}
	var got result
	var over env.Gate
	c.submit(func() uint32 { return c.core.Submit(lun, cdb, write, read, gap) }, func(r iscsi.Result, err error) {
		got = result{r, err}
		over.Open()
	})
	if !env.WaitContext(ctx, c.cfg.Environment, &over) {
		return iscsi.Result{}, ctx.Err()
	}
	return got.r, got.err
}

// Abort ends a command by ABORT TASK. Its end is not called any more; answered is
// called with the response, or not at all if the connection ends. A command that
// was not yet sent is dropped and false returned.
func (c *Client) Abort(h *Handle, answered func(code byte)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.itt == 0 {
		h.dropped = true
		return false
	}
	c.core.Forget(h.itt)
	delete(c.ends, h.itt)
	tag := c.core.Manage(iscsi.AbortTask, 0, h.itt)
	c.ends[tag] = func(r iscsi.Result, err error) {
		if err == nil {
			answered(r.Response)
		}
	}
	return true
}

// Manage sends a task management function and calls answered with the response.
func (c *Client) Manage(f iscsi.TaskFunction, answered func(code byte, err error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tag := c.core.Manage(f, 0, iscsi.NoTag)
	c.ends[tag] = func(r iscsi.Result, err error) { answered(r.Response, err) }
}

// Targets asks for the target names and addresses.
func (c *Client) Targets(ctx context.Context) (map[string]string, error) {
	var r iscsi.Result
	var over env.Gate
	c.mu.Lock()
	tag := c.core.Text([]iscsi.Key{{Name: "SendTargets", Value: "All"}})
	c.ends[tag] = func(got iscsi.Result, err error) {
		r = got
		over.Open()
	}
	c.mu.Unlock()
	if !env.WaitContext(ctx, c.cfg.Environment, &over) {
		return nil, ctx.Err()
	}
	keys, err := iscsi.ParseText(r.Text)
	out, name := map[string]string{}, ""
	for _, k := range keys {
		if k.Name == "TargetName" {
			name = k.Value
		} else if k.Name == "TargetAddress" {
			out[name], _, _ = strings.Cut(k.Value, ",")
		}
	}
	return out, err
}

// Logout ends the session in good order and waits for its end.
func (c *Client) Logout() {
	c.mu.Lock()
	c.core.Logout()
	c.mu.Unlock()
	c.done.Wait(c.cfg.Environment)
}

// Close drops the connection and waits for its goroutines.
func (c *Client) Close() {
	c.out.Abort()
	c.done.Wait(c.cfg.Environment)
}

// CDBs of the commands that clients here use.

// ReadCDB is READ (16).
func ReadCDB(lba uint64, blocks uint32) []byte { return cdb16(0x88, lba, blocks) }

// WriteCDB is WRITE (16).
func WriteCDB(lba uint64, blocks uint32) []byte { return cdb16(0x8a, lba, blocks) }

// WriteSameCDB is WRITE SAME (16).
func WriteSameCDB(lba uint64, blocks uint32) []byte { return cdb16(0x93, lba, blocks) }

// CompareAndWriteCDB is COMPARE AND WRITE.
func CompareAndWriteCDB(lba uint64, blocks byte) []byte {
	b := cdb16(0x89, lba, 0)
	b[13] = blocks
	return b
}

func cdb16(op byte, lba uint64, blocks uint32) []byte {
	b := make([]byte, 16)
	b[0] = op
	binary.BigEndian.PutUint64(b[2:], lba)
	binary.BigEndian.PutUint32(b[10:], blocks)
	return b
}

// Done is open once the session is over.
func (c *Client) Done() *env.Gate { return &c.done }
