// Program drive plays case 2: operators change settings while initiators read blocks and reservation keys.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/review/harness"
)

const (
	target    = "iqn.2026-11.example.merlinhitch:vol-001"
	blockSize = 4096
	readers   = 4 // sessions that read blocks, and so many that read the keys of reservations
	depth     = 8 // commands that a session of the first kind has open
	keyDepth  = 4
	operators = 2
	playFor   = 85 * time.Second // at most
	// overdue is when a command without an answer counts as lost. The longest deadline of a class of the
	// settings is 5 s.
	overdue = 10 * time.Second
)

func main() { harness.Run(play) }

// load is what the initiators did.
type load struct {
	c       *harness.Case
	stop    atomic.Bool
	workers sync.WaitGroup

	mu       sync.Mutex
	open     map[int]command // by number
	sent     int
	answered int
	good     int
}

type command struct {
	what   string
	sentAt time.Time
}

func play(c *harness.Case) {
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	var disks []string
	for shard := range 2 {
		disk := c.Start(fmt.Sprintf("disk%d", shard), nil, "diskserver", "--shard", fmt.Sprint(shard), "--work", "0.01")
		disks = append(disks, fmt.Sprintf("%s=%d", disk.Line(10*time.Second), shard))
	}
	inventory := harness.FreePort()
	c.Start("inventory", nil, append([]string{"inventory", "--listen", inventory}, disks...)...)
	example, err := c.Tool(nil, "settings", "example", "--hosts", "1", "--shards", "2")
	harness.Must(err)
	portal, admin := harness.FreePort(), harness.FreePort()
	gateway := c.Start("gateway", nil, "gateway", "--listen", portal, "--inventory", inventory, "--admin", admin, "--snapshot", c.Dir+"/settings.snap")
	harness.Until(10*time.Second, "settings", func() bool {
		_, err := c.Tool(bytes.NewReader(example), "settings", "put", "-", "--admin", admin, "--why", "review")
		return err == nil
	})
	l := &load{c: c, open: map[int]command{}}
	for i := range 2 * readers {
		l.session(ctx, portal, i)
	}
	var accepted, stale atomic.Int64
	if c.Trouble {
		for operator := range operators {
			go change(ctx, operator, admin, &accepted, &stale)
		}
	}
	hung := false
	for begin, next := time.Now(), time.Now(); time.Since(begin) < playFor && !hung; time.Sleep(100 * time.Millisecond) {
		if time.Since(next) >= 0 {
			l.log(accepted.Load(), stale.Load())
			next = next.Add(time.Second)
		}
		hung = len(l.lost()) > 0
	}
	l.stop.Store(true)
	if hung {
		examine(c, gateway, portal, admin)
	}
	l.log(accepted.Load(), stale.Load())
	lost := l.lost()
	for _, o := range lost {
		c.Log("no answer: %s, sent %s ago", o.what, time.Since(o.sentAt))
	}
	harness.Need(l.good > 0 && (!c.Trouble || accepted.Load() > 0), "%d commands were GOOD, %d changes accepted", l.good, accepted.Load())
	c.Check(len(lost) == 0, "%d of %d commands had no answer %s after they were sent, on open connections, and the last came before that (%d changes of settings were accepted)", len(lost), l.sent, overdue, accepted.Load())
}

// change is an operator who sets the limit of plan basico, to 40 and 50 in turn, each change once the
// one before is answered, from the version in force.
func change(ctx context.Context, operator int, admin string, accepted, stale *atomic.Int64) {
	api := settings.NewAPI(admin)
	for n := 0; ctx.Err() == nil; n++ {
		s, err := api.Get(ctx)
		if err == nil {
			s.Plans[0].Limit = float64(40 + 10*(n%2))
			_, err = api.Put(ctx, s, settings.ChangeOptions{Why: "review", Who: fmt.Sprint("operator", operator)})
		}
		if err == nil {
			accepted.Add(1)
		} else {
			stale.Add(1) // the other operator's change came first
		}
	}
}

// session logs in and keeps commands open: reads of blocks, or PERSISTENT RESERVE IN, READ KEYS.
func (l *load) session(ctx context.Context, portal string, number int) {
	var s *initiator.Client
	harness.Until(10*time.Second, "login", func() bool {
		var err error
		s, err = initiator.Dial(ctx, initiator.Config{Environment: env.NewReal(), Addr: portal, Name: fmt.Sprintf("iqn.2026-11.example.client:c%d", number),
			Target: target, ISID: iscsi.ISID{0x80, byte(number + 1)}, Params: initiator.DefaultParams(), LoginTime: 5 * time.Second})
		return err == nil
	})
	width, what, cdb, size := depth, "READ", initiator.ReadCDB(uint64(number), 1), blockSize
	if number%2 == 1 {
		width, what, cdb, size = keyDepth, "READ KEYS", []byte{0x5e, 0, 0, 0, 0, 0, 0, 0, 255, 0}, 255
	}
	for range width {
		l.workers.Go(func() {
			for !l.stop.Load() {
				id := l.begin(fmt.Sprintf("%s of session %d", what, number))
				result, err := s.Do(ctx, cdb, nil, size)
				if err != nil {
					l.closed(id, err)
					return
				}
				l.end(id, result.Status)
				if result.Status == scsi.Busy {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
}

func (l *load) begin(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.open[l.sent] = command{what, time.Now()}
	return l.sent
}

func (l *load) end(id int, status byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, id)
	l.answered++
	if status == scsi.Good {
		l.good++
	}
}

// closed forgets a command whose connection has ended: only those on open connections are judged.
func (l *load) closed(id int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.Log("not judged: %s: %v", l.open[id].what, err)
	delete(l.open, id)
}

// lost returns the commands that are overdue.
func (l *load) lost() (overdueCommands []command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.open {
		if time.Since(o.sentAt) > overdue {
			overdueCommands = append(overdueCommands, o)
		}
	}
	return overdueCommands
}

func (l *load) log(accepted, stale int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.Log("commands: %d sent, %d answered, %d of them GOOD; changes of settings: %d accepted, %d stale", l.sent, l.answered, l.good, accepted, stale)
}

// examine records what an operator sees of a gateway that hangs. It is not judged.
func examine(c *harness.Case, gateway *harness.Process, portal, admin string) {
	client := &http.Client{Timeout: 2 * time.Second}
	for _, path := range []string{"/healthz", "/settings", "/status"} {
		answer, err := client.Get("http://" + admin + path)
		if err != nil {
			c.Log("GET %s: no answer in 2 s", path)
			continue
		}
		text, _ := io.ReadAll(answer.Body)
		c.Log("GET %s: %d %.40q", path, answer.StatusCode, text)
		answer.Body.Close()
	}
	conn, err := net.DialTimeout("tcp", portal, time.Second)
	c.Log("a new connection to its portal: error %v", err)
	if err == nil {
		conn.Close()
	}
	gateway.Signal(syscall.SIGTERM)
	c.Log("SIGTERM: it ended in 10 s: %v", gateway.WaitEnded(10*time.Second))
}
