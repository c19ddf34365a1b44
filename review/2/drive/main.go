// Program drive plays case 2: some answers of a disk server are spoilt, their length does not fit.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/review/harness"
)

const (
	requests    = 100
	spoiltEach  = 4 // one answer of so many is spoilt
	work        = 30 * time.Millisecond
	bufferBytes = 4 << 10              // the disk server writes its answers in buffers of this size
	bufferGap   = 3 * time.Millisecond // between two of its writes
)

func main() { harness.Run(play) }

// body is the answer that a disk server makes for a request, two buffers long: its id, over and over.
func body(id string) []byte { return bytes.Repeat([]byte(id), 2*bufferBytes/len(id)) }

func play(c *harness.Case) {
	var answers, spoilt atomic.Int64
	disk, err := standin.ServeHTTPDiskServer(env.NewReal(), func(r standin.HTTPRequest) standin.HTTPResponse {
		id := r.Fields.Get("request-id")
		whole := body(id)
		length := len(whole)
		if n := answers.Add(1); c.Trouble && n%spoiltEach == 0 {
			spoilt.Add(1)
			length = bufferBytes // the length of the first buffer alone
		}
		c.Log("disk0 connection %d: request %s runs; its answer has %d bytes, the length says %d", r.Conn, id, len(whole), length)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
		return standin.HTTPResponse{Delay: work, Raw: append([]byte(head), whole[:bufferBytes]...), Extra: whole[bufferBytes:], ExtraDelay: bufferGap}
	})
	harness.Must(err)
	d := c.ServeDiscovery([]harness.Entry{{Host: "s-0", Dial: disk.Addr, Site: "hall-a", Class: "std-2c", Health: "active", Share: 1}})
	s := c.StartScheduler(d, 1)
	conn, err := net.Dial("tcp", s.Addr)
	harness.Must(err)
	in := bufio.NewReader(conn)
	served, wrong := 0, 0
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
			wrong++
		}
	}
	harness.Need(served > 0 && (!c.Trouble || spoilt.Load() > 0), "%d requests served, %d answers spoilt", served, spoilt.Load())
	c.Check(wrong == 0, "%d of %d requests that were served got something that no disk server made for them (%d answers were spoilt)", wrong, served, spoilt.Load())
}
