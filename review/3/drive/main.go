// Program drive plays case 3: some answers of a disk server are spoilt, their length does not fit.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/review/harness"
)

const (
	requests    = 100
	spoiltEach  = 4 // one answer of so many is spoilt, in the two ways in turn
	work        = 30 * time.Millisecond
	bufferBytes = 4 << 10              // of the disk server's writer
	bufferGap   = 3 * time.Millisecond // between two writes of an answer that comes in pieces
)

func main() { harness.Run(play) }

// body is the answer that a disk server makes for a request, two buffers long: its id, over and over.
func body(id string) []byte { return bytes.Repeat([]byte(id), 2*bufferBytes/len(id)) }

// answers are the ways in which the disk server answers.
const (
	sound    = "whole, in one write"
	together = "length too short, in one write"
	pieces   = "length too short, in two writes"
)

func head(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
}

// answer returns the bytes of an answer: of the first write and of the second.
func answer(way, id string) (first, second []byte) {
	whole := body(id)
	switch way {
	case together: // the length is such that head and body as said fill one buffer
		length := bufferBytes - len(head(bufferBytes))
		return append([]byte(head(length)), whole...), nil
	case pieces: // the length is that of the first buffer
		return append([]byte(head(bufferBytes)), whole[:bufferBytes]...), whole[bufferBytes:]
	}
	return append([]byte(head(len(whole))), whole...), nil
}

func play(c *harness.Case) {
	var mu sync.Mutex
	ways := map[string]string{} // of the last answer to each request
	count, spoilt := 0, map[string]int{}
	disk, err := standin.ServeHTTPDiskServer(env.NewReal(), func(r standin.HTTPRequest) standin.HTTPResponse {
		id := r.Fields.Get("request-id")
		mu.Lock()
		defer mu.Unlock()
		way := sound
		if count++; c.Trouble && count%spoiltEach == 0 {
			if way = together; count%(2*spoiltEach) == 0 {
				way = pieces
			}
			spoilt[way]++
		}
		ways[id] = way
		first, second := answer(way, id)
		c.Log("disk0 connection %d: request %s runs, its answer: %s, %.32q..", r.Conn, id, way, first)
		return standin.HTTPResponse{Delay: work, Raw: first, Extra: second, ExtraDelay: bufferGap}
	})
	harness.Must(err)
	d := c.ServeDiscovery([]harness.Entry{{Host: "s-0", Dial: disk.Addr, Site: "hall-a", Class: "std-2c", Health: "active", Share: 1}})
	s := c.StartScheduler(d, 1)
	conn, err := net.Dial("tcp", s.Addr)
	harness.Must(err)
	in := bufio.NewReader(conn)
	served, wrong := 0, map[string]int{}
	for i := range requests {
		r := harness.Request{ID: fmt.Sprintf("%016x", 0x5ca1ab1e0000+i), Class: "card-read", Volume: "00000003b4d60021", Object: fmt.Sprintf("%016x", i), Timeout: 2 * time.Second, Units: 1}
		_, err := conn.Write(r.Bytes())
		harness.Must(err)
		a, err := harness.ReadAnswer(in)
		harness.Must(err)
		c.Log("client: request %s: status %d, whole answer of %d bytes", r.ID, a.Status, len(a.Body))
		if a.Status != 200 {
			continue // failed or refused, which a spoilt answer may lead to
		}
		if served++; !bytes.Equal(a.Body, body(r.ID)) {
			mu.Lock()
			wrong[ways[r.ID]]++
			mu.Unlock()
		}
	}
	mu.Lock()
	defer mu.Unlock()
	harness.Need(served > 0 && (!c.Trouble || spoilt[together] > 0 && spoilt[pieces] > 0), "%d requests served, answers spoilt: %v", served, spoilt)
	for _, way := range []string{sound, together, pieces} {
		c.Check(wrong[way] == 0, "answers %q: %d requests were served with 200 and something that no disk server made for them (%d such answers were spoilt)", way, wrong[way], spoilt[way])
	}
}
