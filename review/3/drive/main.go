// Program drive plays case 3: a client sends many requests at once.
package main

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/review/harness"
)

const (
	bulkReads = 150 // then cardReads behind them, on the same connection
	cardReads = 10
	work      = 90 * time.Millisecond // bulk-read: 67 to 110 ms in the mean
	// A final answer may come so long after its request's time (FLEET: half a second; PROTOCOL: every
	// time limit is 50 ms longer).
	lateBy = 550 * time.Millisecond
)

func main() { harness.Run(play) }

func play(c *harness.Case) {
	disk, err := standin.ServeHTTPDiskServer(env.NewReal(), func(r standin.HTTPRequest) standin.HTTPResponse {
		c.Log("disk0 connection %d: request %s runs", r.Conn, r.Fields.Get("request-id"))
		return standin.HTTPResponse{Delay: work, Raw: []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")}
	})
	harness.Must(err)
	d := c.ServeDiscovery([]harness.Entry{{Host: "s-0", Dial: disk.Addr, Site: "hall-a", Class: "std-2c", Health: "active", Share: 1}})
	s := c.StartScheduler(d, 1)
	conn, err := net.Dial("tcp", s.Addr)
	harness.Must(err)
	in := bufio.NewReader(conn)
	var all []harness.Request
	var together []byte
	for i := range bulkReads + cardReads {
		r := harness.Request{ID: fmt.Sprintf("%016x", 0x5ca1ab1e0000+i), Class: "bulk-read", Volume: "00000003b4d60021", Object: fmt.Sprintf("%016x", i), Timeout: 5 * time.Second, Units: 1}
		if i >= bulkReads {
			r.Class, r.Timeout = "card-read", 2*time.Second
		}
		all = append(all, r)
		together = append(together, r.Bytes()...)
	}
	sentAt := time.Now()
	if c.Trouble {
		c.Log("client: %d requests at once, %d bytes", len(all), len(together))
		_, err := conn.Write(together)
		harness.Must(err)
	}
	served, lost, latest := 0, 0, time.Duration(0)
	for _, r := range all {
		if !c.Trouble { // each once the one before is answered
			sentAt = time.Now()
			_, err := conn.Write(r.Bytes())
			harness.Must(err)
		}
		a, err := harness.ReadAnswer(in)
		harness.Must(err)
		late := a.At.Sub(sentAt) - r.Timeout
		c.Log("client: %s %s: status %d, %.3f s after it was sent with %.3f s to go", r.Class, r.ID, a.Status, a.At.Sub(sentAt).Seconds(), r.Timeout.Seconds())
		if a.Status == 200 {
			served++
		}
		if late > lateBy {
			lost++
			latest = max(latest, late)
		}
	}
	harness.Need(served > 0, "nothing was served")
	c.Check(lost == 0, "%d of %d requests got their final answer later than %s after their time, the last %s after it", lost, len(all), lateBy, latest)
}
