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

// Inventory serves the list of nodes over TCP and pushes each change to all watchers after a delay.
type Inventory struct {
	Addr        string
	environment env.Environment
	mu          sync.Mutex
	book        *inventory.Book
	delay       float64 // ms
	conns       env.OrderedSet[*watcher]
	listener    net.Listener
	tasks       env.WaitGroup
	closed      bool
	stopped     env.Gate
	regional    *regionalState // nil for a service with one region
}

// watcher is a client connection.
type watcher struct {
	writes          *writequeue.Queue
	knownGeneration uint64 // newest generation of the list that the client has
	watching        bool   // changes are pushed
}

const (
	listQueueBytes   = 8 << 20
	listWriteTimeout = 5 * time.Second
)

// ServeInventory starts an inventory that publishes changes after delay ms.
func ServeInventory(environment env.Environment, addr string, delay float64) (*Inventory, error) {
	listener, err := environment.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	server := &Inventory{Addr: listener.Addr().String(), environment: environment, book: inventory.NewBook(), delay: delay, listener: listener}
	server.book.BeginRun(environment.Deadline(0).UnixMilli())
	server.tasks.Go(environment, server.accept)
	return server, nil
}

func (v *Inventory) accept() {
	for {
		conn, err := v.listener.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		if v.closed {
			v.mu.Unlock()
			conn.Close()
			return
		}
		client := &watcher{writes: writequeue.New(v.environment, conn, listQueueBytes, listWriteTimeout)}
		v.conns.Add(client)
		v.mu.Unlock()
		v.tasks.Go(v.environment, func() { v.serve(conn, client) })
	}
}

func (v *Inventory) serve(conn net.Conn, client *watcher) {
	reader := bufio.NewReader(conn)
	for {
		var request inventory.Ask
		if inventory.ReadLine(reader, &request) != nil || request.Check() != nil {
			break
		}
		v.mu.Lock()
		switch request.Op {
		case "watch":
			client.watching, client.knownGeneration = true, request.From
			v.sendList(client, true)
		case "fetch":
			client.knownGeneration = 0
			v.sendList(client, true)
		default:
			reply := v.handleRequest(&request)
			client.writes.Enqueue(func(b []byte) []byte { return append(b, inventory.Line(reply)...) })
		}
		v.mu.Unlock()
	}
	client.writes.Abort()
	client.writes.Wait()
	v.mu.Lock()
	v.conns.Remove(client)
	v.mu.Unlock()
}

// sendList sends the entries that changed after the generation the client knows; an empty list only
// if evenIfEmpty. The caller holds mu.
func (v *Inventory) sendList(client *watcher, evenIfEmpty bool) {
	if v.regional != nil && !v.regional.source.Grants(env.MS(v.environment.Now())) {
		return // without a grant the list may be stale
	}
	list := v.book.List(client.knownGeneration, env.MS(v.environment.Now()))
	if len(list.Nodes) == 0 && !evenIfEmpty {
		return
	}
	client.knownGeneration = list.Generation
	client.writes.Enqueue(func(b []byte) []byte { return append(b, inventory.Line(list)...) })
}

// Change changes the list and publishes it, both after the delay.
func (v *Inventory) Change(change func(book *inventory.Book)) {
	v.mu.Lock()
	delay := v.delay
	v.mu.Unlock()
	v.environment.AfterFunc(env.Duration(delay), func() { v.ChangeNow(change) })
}

// ChangeNow changes and publishes the list at once.
func (v *Inventory) ChangeNow(change func(book *inventory.Book)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return
	}
	change(v.book)
	v.notifyWatchers()
}

// notifyWatchers sends every watcher the changes that it lacks. The caller holds mu.
func (v *Inventory) notifyWatchers() {
	for _, client := range v.conns.All() {
		if client.watching {
			v.sendList(client, false)
		}
	}
}

// SetDelay sets the delay of later calls of Change, in ms.
func (v *Inventory) SetDelay(ms float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = ms
}

// DropConnections aborts every connection; clients are expected to reconnect.
func (v *Inventory) DropConnections() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, client := range v.conns.All() {
		client.writes.Abort()
	}
}

// Close stops the inventory, aborts its connections and waits for its goroutines.
func (v *Inventory) Close() {
	v.stopped.Open()
	v.listener.Close()
	v.mu.Lock()
	v.closed = true
	for _, client := range v.conns.All() {
		client.writes.Abort()
	}
	v.mu.Unlock()
	v.tasks.Wait(v.environment)
}
