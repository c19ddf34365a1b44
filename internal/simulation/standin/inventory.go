package standin

import (
	"bufio"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
)

// Inventory is the shell of a node list: it pushes each change to all clients,
// so late.
type Inventory struct {
	Addr        string
	environment env.Environment
	mu          sync.Mutex
	book        *inventory.Book
	delay       float64
	conns       env.OrderedSet[*watcher]
	listener    net.Listener
	tasks       env.WaitGroup
	closed      bool
	stopped     env.Gate
	regional    *regionalState // of one of two regions
}

type watcher struct {
	writes          *writequeue.Queue
	knownGeneration uint64
	watching        bool
}

const (
	listQueueBytes   = 8 << 20
	listWriteTimeout = 5 * time.Second
)

// ServeInventory starts an inventory that tells changes so many ms late.
func ServeInventory(w env.Environment, addr string, late float64) (*Inventory, error) {
	l, err := w.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	v := &Inventory{Addr: l.Addr().String(), environment: w, book: inventory.NewBook(), delay: late, listener: l}
	v.tasks.Go(w, v.accept)
	return v, nil
}

func (v *Inventory) accept() {
	for {
		c, err := v.listener.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		if v.closed {
			v.mu.Unlock()
			c.Close()
			return
		}
		wt := &watcher{writes: writequeue.New(v.environment, c, listQueueBytes, listWriteTimeout)}
		v.conns.Add(wt)
		v.mu.Unlock()
		v.tasks.Go(v.environment, func() { v.serve(c, wt) })
	}
}

func (v *Inventory) serve(c net.Conn, wt *watcher) {
	r := bufio.NewReader(c)
	for {
		var a inventory.Ask
		if inventory.ReadLine(r, &a) != nil || a.Check() != nil {
			break
		}
		v.mu.Lock()
		switch a.Op {
		case "watch":
			wt.watching, wt.knownGeneration = true, a.From
			v.sendList(wt, true)
		case "fetch":
			wt.knownGeneration = 0
			v.sendList(wt, true)
		default:
			l := v.handleRequest(&a)
			wt.writes.Enqueue(func(b []byte) []byte { return append(b, inventory.Line(l)...) })
		}
		v.mu.Unlock()
	}
	wt.writes.Abort()
	wt.writes.Wait()
	v.mu.Lock()
	v.conns.Remove(wt)
	v.mu.Unlock()
}

// sendList sends what the watcher lacks. Held: mu.
func (v *Inventory) sendList(wt *watcher, asked bool) {
	if v.regional != nil && !v.regional.source.Grants(env.MS(v.environment.Now())) {
		return // what it lists may be old
	}
	l := v.book.List(wt.knownGeneration, env.MS(v.environment.Now()))
	if len(l.Nodes) == 0 && !asked {
		return
	}
	wt.knownGeneration = l.Generation
	wt.writes.Enqueue(func(b []byte) []byte { return append(b, inventory.Line(l)...) })
}

// Change makes changes to the list, which are told after the delay.
func (v *Inventory) Change(f func(b *inventory.Book)) {
	v.mu.Lock()
	late := v.delay
	v.mu.Unlock()
	v.environment.AfterFunc(env.Duration(late), func() { v.ChangeNow(f) })
}

// ChangeNow makes and tells changes at once.
func (v *Inventory) ChangeNow(f func(b *inventory.Book)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return
	}
	f(v.book)
	v.notifyWatchers()
}

// notifyWatchers sends every watcher what it lacks. Held: mu.
func (v *Inventory) notifyWatchers() {
	for _, wt := range v.conns.All() {
		if wt.watching {
			v.sendList(wt, false)
		}
	}
}

// SetDelay changes how late changes are told, in ms.
func (v *Inventory) SetDelay(ms float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = ms
}

// DropConnections breaks every connection; clients come again.
func (v *Inventory) DropConnections() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, wt := range v.conns.All() {
		wt.writes.Abort()
	}
}

// Close ends the inventory.
func (v *Inventory) Close() {
	v.stopped.Open()
	v.listener.Close()
	v.mu.Lock()
	v.closed = true
	for _, wt := range v.conns.All() {
		wt.writes.Abort()
	}
	v.mu.Unlock()
	v.tasks.Wait(v.environment)
}
