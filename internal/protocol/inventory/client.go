package inventory

import (
	"bufio"
	"net"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/hedge"
	"merlinhitch/internal/runtime/locks"
)

// Client follows the list of an inventory. It reconnects by itself and asks for the changes that it
// missed; an inventory whose generations are behind its own sends it the full list. A connection that is
// silent stays open while others are tried beside it, so that a slow inventory is heard too.
type Client struct {
	onList      func(List)
	environment env.Environment
	addr        string
	follower    *hedge.Follower

	mu         locks.Mutex
	followed   net.Conn // the connection that the last list came on
	generation uint64
	lost       bool
	lostSince  time.Duration
}

const (
	// watchInterval is the time between requests for changes on an open connection. Each is answered.
	watchInterval = time.Second
	// maxUnanswered bounds the requests on a connection that are not answered yet.
	maxUnanswered = 4
)

// inventoryCalls has the times of connections to an inventory. Silence is three requests without an
// answer.
var inventoryCalls = hedge.Config{
	Silence:         3500 * time.Millisecond,
	Patience:        4 * time.Second,
	PatientInterval: 2 * time.Second,
	MinLongPatience: 8 * time.Second,
	MaxLongPatience: time.Minute,
	MinInterval:     time.Second,
	MaxInterval:     2 * time.Second,
	MinBackoff:      200 * time.Millisecond,
	MaxBackoff:      2 * time.Second,
	MaxOpen:         6,
}

// Follow starts to follow the list at addr. onList is called with each list, in order; each time the list
// can't be followed it is called with a list of kind Failed.
func Follow(environment env.Environment, addr string, onList func(List)) *Client {
	c := &Client{onList: onList, environment: environment, addr: addr, lost: true, lostSince: environment.Now()}
	c.follower = hedge.Follow(environment, inventoryCalls, c)
	return c
}

// Fetch requests the full list once, on the connection that is followed.
func (c *Client) Fetch() {
	c.mu.Lock()
	conn := c.followed
	c.mu.Unlock()
	if conn != nil {
		conn.Write(Line(Ask{Op: "fetch"})) // after a failure the connection ends
	}
}

// Lost returns whether the list can't be followed, and since when: the inventory has said nothing since
// then, or can't be reached.
func (c *Client) Lost() (since time.Duration, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostSince, c.lost
}

// Close ends the client and waits for its goroutines.
func (c *Client) Close() { c.follower.Close() }

// setLost records that the list can't be followed, and returns whether it could be before.
func (c *Client) setLost() (before bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost {
		return false
	}
	c.lost, c.lostSince = true, c.environment.Now()
	return true
}

// Perform implements hedge.Handler: it follows the list over one connection.
func (c *Client) Perform(call *hedge.Call) error {
	if c.setLost() { // a call is begun since the one before is silent
		c.onList(List{Kind: Failed})
	}
	conn, err := call.Dial(c.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	watch := &watchRequests{client: c, conn: conn}
	defer watch.stop()
	watch.send()
	conn.SetReadDeadline(call.AnswerDeadline())
	reader := bufio.NewReader(&progressReader{conn, call})
	for {
		var list List
		if err := ReadLine(reader, &list); err != nil {
			return err
		}
		if err := list.Check(); err != nil {
			return err
		}
		if err := call.Deliver(c.message(watch, list)); err != nil {
			return err
		}
	}
}

// Ended implements hedge.Handler.
func (c *Client) Ended(error) {
	c.setLost()
	c.onList(List{Kind: Failed})
}

// message returns what is done with a list that came on a connection. A list of changes that is empty says
// that the inventory is there, and is not passed on.
func (c *Client) message(watch *watchRequests, list List) hedge.Message {
	message := hedge.Message{Check: func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.followed, c.lost = watch.conn, false
		watch.unanswered = max(watch.unanswered-1, 0)
		if list.Kind != Failed {
			c.generation = list.Generation
		}
		return nil
	}}
	if list.Kind != Delta || len(list.Nodes) > 0 {
		message.Pass = func() { c.onList(list) }
	}
	return message
}

// watchRequests asks for changes on a connection, every watchInterval: an inventory that is gone without a
// word is noticed by that.
type watchRequests struct {
	client *Client
	conn   net.Conn

	// Guarded by the client's mutex.
	unanswered int
	stopped    bool
}

// send asks for the changes that the client lacks, now and every watchInterval until stop or a failure.
func (w *watchRequests) send() {
	request, stopped := w.next()
	if stopped {
		return
	}
	if len(request) > 0 {
		if _, err := w.conn.Write(request); err != nil {
			return
		}
	}
	w.client.environment.AfterFunc(watchInterval, w.send)
}

// next returns the next request, nil if too many are unanswered.
func (w *watchRequests) next() (request []byte, stopped bool) {
	w.client.mu.Lock()
	defer w.client.mu.Unlock()
	if w.stopped || w.unanswered >= maxUnanswered {
		return nil, w.stopped
	}
	w.unanswered++
	return Line(Ask{Op: "watch", From: w.client.generation}), false
}

func (w *watchRequests) stop() {
	w.client.mu.Lock()
	defer w.client.mu.Unlock()
	w.stopped = true
	if w.client.followed == w.conn {
		w.client.followed = nil
	}
}

// progressReader reads from the connection of a call. All that comes extends the read deadline, so that a
// long list may come slowly.
type progressReader struct {
	conn net.Conn
	call *hedge.Call
}

func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n > 0 {
		r.conn.SetReadDeadline(r.call.ReadDeadline())
	}
	return n, err
}
