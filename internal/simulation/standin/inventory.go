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
	Addr  string
	world env.Environment
	mu    sync.Mutex
	book  *inventory.Book
	late  float64
	conns env.OrderedSet[*watcher]
	l     net.Listener
	tasks env.WaitGroup
	dead  bool
	over  env.Gate
	reg   *source // of one of two regions
}

type watcher struct {
	out   *writequeue.Queue
	known uint64
	on    bool
}

const (
	listOut     = 8 << 20
	listTimeout = 5 * time.Second
)

// ServeInventory starts an inventory that tells changes so many ms late.
func ServeInventory(w env.Environment, addr string, late float64) (*Inventory, error) {
	l, err := w.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	v := &Inventory{Addr: l.Addr().String(), world: w, book: inventory.NewBook(), late: late, l: l}
	v.tasks.Go(w, v.accept)
	return v, nil
}

func (v *Inventory) accept() {
	for {
		c, err := v.l.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		if v.dead {
			v.mu.Unlock()
			c.Close()
			return
		}
		wt := &watcher{out: writequeue.New(v.world, c, listOut, listTimeout)}
		v.conns.Add(wt)
		v.mu.Unlock()
		v.tasks.Go(v.world, func() { v.serve(c, wt) })
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
			wt.on, wt.known = true, a.From
			v.tell(wt, true)
		case "fetch":
			wt.known = 0
			v.tell(wt, true)
		default:
			l := v.answer(&a)
			wt.out.Enqueue(func(b []byte) []byte { return append(b, inventory.Line(l)...) })
		}
		v.mu.Unlock()
	}
	wt.out.Abort()
	wt.out.Wait()
	v.mu.Lock()
	v.conns.Remove(wt)
	v.mu.Unlock()
}

// tell sends what the watcher lacks. Held: mu.
func (v *Inventory) tell(wt *watcher, asked bool) {
	if v.reg != nil && !v.reg.src.Grants(env.MS(v.world.Now())) {
		return // what it lists may be old
	}
	l := v.book.List(wt.known, env.MS(v.world.Now()))
	if len(l.Nodes) == 0 && !asked {
		return
	}
	wt.known = l.Generation
	wt.out.Enqueue(func(b []byte) []byte { return append(b, inventory.Line(l)...) })
}

// Change makes changes to the list, which are told after the delay.
func (v *Inventory) Change(f func(b *inventory.Book)) {
	v.mu.Lock()
	late := v.late
	v.mu.Unlock()
	v.world.AfterFunc(env.Duration(late), func() { v.ChangeNow(f) })
}

// ChangeNow makes and tells changes at once.
func (v *Inventory) ChangeNow(f func(b *inventory.Book)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.dead {
		return
	}
	f(v.book)
	v.tellAll()
}

// tellAll sends every watcher what it lacks. Held: mu.
func (v *Inventory) tellAll() {
	for _, wt := range v.conns.All() {
		if wt.on {
			v.tell(wt, false)
		}
	}
}

// SetDelay changes how late changes are told, in ms.
func (v *Inventory) SetDelay(ms float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.late = ms
}

// DropConnections breaks every connection; clients come again.
func (v *Inventory) DropConnections() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, wt := range v.conns.All() {
		wt.out.Abort()
	}
}

// Close ends the inventory.
func (v *Inventory) Close() {
	v.over.Open()
	v.l.Close()
	v.mu.Lock()
	v.dead = true
	for _, wt := range v.conns.All() {
		wt.out.Abort()
	}
	v.mu.Unlock()
	v.tasks.Wait(v.world)
}
