package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// HostileKind is a way in which clients use up a scheduler's memory or processor time, or leave
// while it works for them.
type HostileKind int

// Kinds of hostile clients.
const (
	StoppedWrites   HostileKind = iota // send most of a large write and stop
	SlowWrites                         // send a large write in small pieces
	ManyFields                         // send heads of very many short fields
	EndlessLines                       // send a head whose first line never ends
	TinyChunks                         // send a body in chunks of one byte with extensions
	UnkeptContinue                     // ask for 100 Continue and send no body
	UnreadAnswers                      // send requests and read no answer
	Leavers                            // send many requests at once and close the connection
	SmallRequests                      // send small requests at full speed
	UnsoundRequests                    // send requests that are no HTTP, each on a new connection
	NewNames                           // send reads at full speed, each of a new volume
	hostileKindCount
)

var hostileNames = [hostileKindCount]string{"stopped-writes", "slow-writes", "many-fields", "endless-lines", "tiny-chunks",
	"unkept-continue", "unread-answers", "leavers", "small-requests", "unsound-requests", "new-names"}

func (k HostileKind) String() string { return hostileNames[k] }

// flooding reports whether each client of the kind sends at full speed.
func (k HostileKind) flooding() bool {
	return k == SmallRequests || k == UnsoundRequests || k == NewNames || k == Leavers
}

// HostileGroup is a number of hostile clients of one kind.
type HostileGroup struct {
	Kind  HostileKind
	Count int
}

// ParseHostileGroup parses KIND:COUNT.
func ParseHostileGroup(text string) (HostileGroup, error) {
	name, number, _ := strings.Cut(text, ":")
	count, err := strconv.Atoi(number)
	if err != nil || count < 1 || count > maxHostileClients {
		return HostileGroup{}, fmt.Errorf("%q: want KIND:COUNT with a count from 1 to %d", text, maxHostileClients)
	}
	for kind, kindName := range hostileNames {
		if kindName == name {
			return HostileGroup{HostileKind(kind), count}, nil
		}
	}
	return HostileGroup{}, fmt.Errorf("%q is no kind of hostile client; there are %s", name, strings.Join(hostileNames[:], ", "))
}

const (
	maxHostileClients  = 2000
	hostileBodyBytes   = 64 << 10
	slowPieceBytes     = 4 << 10
	slowPieceInterval  = 200 * time.Millisecond
	maxHostileConnTime = 8 * time.Second
	hostileTimeout     = 2 * time.Second // Request-Timeout of hostile clients
	hostileRetryPause  = 50 * time.Millisecond
	floodBatch         = 20   // requests that are sent at once at full speed
	leaverFieldBytes   = 1000 // makes each request of a leaver 1.2 KB
	maxLeaverRequests  = 900
	maxFloodingClients = 40     // of a drawn group
	maxFloodRequests   = 20_000 // recorded requests of one flooding client
)

// hostileClients are the hostile clients of one scheduler.
type hostileClients struct {
	clients *Clients // encodes and numbers requests
	record  *Record
	address string
	shards  int
}

// run runs the clients of all groups until ctx is done.
func (h *hostileClients) run(ctx context.Context, groups []HostileGroup, seed uint64) {
	var tasks sync.WaitGroup
	for _, group := range groups {
		for i := range group.Count {
			rng := rand.New(rand.NewPCG(seed, uint64(group.Kind)<<32|uint64(i)))
			tasks.Go(func() { h.runOne(ctx, group.Kind, rng) })
		}
	}
	tasks.Wait()
}

// runOne opens one connection after the other, and behaves on each as the kind tells.
func (h *hostileClients) runOne(ctx context.Context, kind HostileKind, rng *rand.Rand) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", h.address, time.Second)
		if err == nil {
			h.record.addHostileConn(kind)
			conn.SetDeadline(time.Now().Add(maxHostileConnTime))
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			h.behave(ctx, kind, conn, rng)
			stop()
			conn.Close()
		}
		time.Sleep(time.Duration(rng.Float64() * float64(hostileRetryPause)))
	}
}

func (h *hostileClients) behave(ctx context.Context, kind HostileKind, conn net.Conn, rng *rand.Rand) {
	switch kind {
	case StoppedWrites:
		write := h.largeWrite("")
		conn.Write(write[:len(write)-1-rng.IntN(hostileBodyBytes*3/8)])
		readToEnd(conn)
	case SlowWrites:
		h.writeSlowly(conn)
	case ManyFields:
		conn.Write(fieldsHead(60+rng.IntN(2940), rng))
		readToEnd(conn)
	case EndlessLines:
		for conn.SetWriteDeadline(time.Now().Add(time.Second)); ; {
			if _, err := conn.Write(bytes.Repeat([]byte("GET /"), 200)); err != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		readToEnd(conn)
	case TinyChunks:
		conn.Write(h.tinyChunks(rng))
		readToEnd(conn)
	case UnkeptContinue:
		head, _, _ := bytes.Cut(h.largeWrite("Expect: 100-continue\r\n"), []byte("\r\n\r\n"))
		conn.Write(append(head, "\r\n\r\n"...))
		readToEnd(conn)
	case UnreadAnswers:
		h.sendUnread(conn, rng)
	case Leavers:
		h.sendAndLeave(conn, rng)
	case SmallRequests:
		flood(ctx, conn, bytes.Repeat([]byte("GET /up HTTP/1.1\r\n\r\n"), floodBatch))
	case UnsoundRequests:
		conn.Write([]byte("GET /card-read HTTP/1.1\r\nno field\r\n\r\n"))
		readToEnd(conn)
	case NewNames:
		h.readNewVolumes(ctx, conn, rng)
	}
}

// readToEnd reads until the connection ends.
func readToEnd(conn net.Conn) { io.Copy(io.Discard, conn) }

// newRequest records a request and returns its encoding with the extra field lines.
func (h *hostileClients) newRequest(class Class, volume uint64, rng *rand.Rand, fieldLines string) encodedRequest {
	request := &Request{ID: h.clients.nextID(), Scheduler: h.clients.scheduler, Class: class.Name, Timeout: class.Timeout, Hostile: true}
	raw := h.clients.encodeRequest(request, class, rng.IntN(h.shards), volume, rng.Uint64())
	return encodedRequest{request, bytes.Replace(raw, []byte("\r\n"), []byte("\r\n"+fieldLines), 1)}
}

// largeWrite returns a write of hostileBodyBytes that is never sent whole.
func (h *hostileClients) largeWrite(fieldLines string) []byte {
	class := classes[1]
	head := h.clients.encodeRequest(&Request{ID: h.clients.nextID(), Class: class.Name, Timeout: hostileTimeout}, class, 0, 1, 1)
	head, _, _ = bytes.Cut(head, []byte("Content-Length"))
	return fmt.Appendf(nil, "%s%sContent-Length: %d\r\n\r\n%s", head, fieldLines, hostileBodyBytes, bytes.Repeat([]byte("x"), hostileBodyBytes))
}

// writeSlowly sends a large write in pieces, but not its last byte.
func (h *hostileClients) writeSlowly(conn net.Conn) {
	write := h.largeWrite("")
	for write = write[:len(write)-1]; len(write) > 0; time.Sleep(slowPieceInterval) {
		n, err := conn.Write(write[:min(len(write), slowPieceBytes)])
		if err != nil {
			return
		}
		write = write[n:]
	}
	readToEnd(conn)
}

// fieldsHead returns an incomplete head with count fields of 3 to 6 bytes.
func fieldsHead(count int, rng *rand.Rand) []byte {
	head := []byte("GET /card-read/0000000000000001/0000000000000001 HTTP/1.1\r\n")
	for range count {
		head = append(head, "abcd"[:1+rng.IntN(4)]...)
		head = append(head, ":\r\n"...)
	}
	return head
}

// tinyChunks returns a write whose body comes in chunks of one byte, without its end.
func (h *hostileClients) tinyChunks(rng *rand.Rand) []byte {
	head, _, _ := bytes.Cut(h.largeWrite(""), []byte("Content-Length"))
	write := append(head, "Transfer-Encoding: chunked\r\n\r\n"...)
	for range 500 + rng.IntN(500) {
		write = append(write, "1;extension=value\r\nx\r\n"...)
	}
	return write
}

// sendUnread sends reads, and leaves after hostileTimeout without having read an answer.
func (h *hostileClients) sendUnread(conn net.Conn, rng *rand.Rand) {
	batch := h.newBatch(floodBatch, rng, "")
	for _, request := range batch {
		request.AnswerUnread = true
	}
	h.send(conn, batch)
	time.Sleep(hostileTimeout)
	h.leave(conn, batch)
}

// newBatch returns count reads.
func (h *hostileClients) newBatch(count int, rng *rand.Rand, fieldLines string) []encodedRequest {
	batch := make([]encodedRequest, count)
	for i := range batch {
		class := classes[2*rng.IntN(2)]
		batch[i] = h.newRequest(class, rng.Uint64()%volumeCount, rng, fieldLines)
	}
	return batch
}

// send records a batch and writes it.
func (h *hostileClients) send(conn net.Conn, batch []encodedRequest) error {
	var raw []byte
	now := h.record.Now()
	for _, request := range batch {
		request.SentAt = now
		h.record.addRequest(request.Request)
		raw = append(raw, request.raw...)
	}
	_, err := conn.Write(raw)
	h.record.mu.Lock()
	defer h.record.mu.Unlock()
	now = h.record.Now() // Request-Timeout counts from the last byte
	for _, request := range batch {
		request.SentAt = now
	}
	return err
}

// leave closes the connection and records that the client of each request has left.
func (h *hostileClients) leave(conn net.Conn, batch []encodedRequest) {
	conn.Close()
	h.record.mu.Lock()
	defer h.record.mu.Unlock()
	now := h.record.Now()
	for _, request := range batch {
		request.AbandonedAt = now
	}
}

// sendAndLeave sends a read with up to maxLeaverRequests behind it, and closes the connection
// before any answer is due. The writes end with the close.
func (h *hostileClients) sendAndLeave(conn net.Conn, rng *rand.Rand) {
	behind := []int{0, 20, 300, maxLeaverRequests}[rng.IntN(4)]
	batch := h.newBatch(1+behind, rng, "X-Filler: "+strings.Repeat("x", leaverFieldBytes)+"\r\n")
	stay := time.Duration(rng.Float64() * float64(300*time.Millisecond))
	conn.SetWriteDeadline(time.Now().Add(stay))
	until := time.Now().Add(stay)
	h.send(conn, batch)
	time.Sleep(time.Until(until))
	h.leave(conn, batch)
}

// flood sends raw again and again, and reads what comes, until the connection ends or ctx is done.
func flood(ctx context.Context, conn net.Conn, raw []byte) {
	go readToEnd(conn)
	for ctx.Err() == nil {
		conn.SetDeadline(time.Now().Add(maxHostileConnTime))
		if _, err := conn.Write(raw); err != nil {
			return
		}
	}
}

// readNewVolumes sends reads at full speed, each of a volume of its own, and reads the answers.
func (h *hostileClients) readNewVolumes(ctx context.Context, conn net.Conn, rng *rand.Rand) {
	go readToEnd(conn)
	for sent := 0; sent < maxFloodRequests && ctx.Err() == nil; sent += floodBatch {
		batch := make([]encodedRequest, floodBatch)
		for i := range batch {
			batch[i] = h.newRequest(classes[0], rng.Uint64(), rng, "")
			batch[i].AnswerUnread = true
		}
		conn.SetDeadline(time.Now().Add(maxHostileConnTime))
		if h.send(conn, batch) != nil {
			return
		}
	}
}
