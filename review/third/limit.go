package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/scsi"
)

const (
	limitVolume  = "vol-000" // of plan basico
	limitBlocks  = 4         // of a read: 16 KiB, one unit
	limitWorkers = 8
	limitPause   = 25 * time.Millisecond // between two reads of a worker: eight times the limit
	limitRest    = 3 * time.Second       // before the clients come: the volume's store fills
	limitBefore  = 4 * time.Second
	limitAfter   = 4 * time.Second
)

// taken is a request's first attempt as it came to the disk server.
type taken struct {
	at      time.Time
	units   float64
	gateway string
}

// meter leads connections to a disk server, and notes the first attempts of the limited volume.
type meter struct {
	mu    sync.Mutex
	taken []taken
	names map[uint64]string // of hosts, by the number in their Hello
}

func (m *meter) listen(disk string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go m.lead(near, disk)
		}
	}()
	return listener.Addr().String(), nil
}

func (m *meter) lead(near net.Conn, disk string) {
	defer near.Close()
	far, err := net.Dial("tcp", disk)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		io.Copy(near, far)
		near.Close()
	}()
	copied, writer := io.Pipe()
	go m.readFrames(copied)
	io.Copy(io.MultiWriter(far, writer), near)
	writer.Close()
}

func (m *meter) readFrames(r io.Reader) {
	defer io.Copy(io.Discard, r)
	reader := diskproto.NewReader(bufio.NewReader(r))
	for {
		frame, err := reader.Next()
		if err != nil {
			return
		}
		m.note(frame, time.Now())
	}
}

func (m *meter) note(frame diskproto.Frame, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch frame.Kind {
	case diskproto.KindHello:
		var hello diskproto.Hello
		if hello.Parse(frame.Body) == nil {
			m.names[hello.Host] = hello.Name
		}
	case diskproto.KindDo:
		var do diskproto.Do
		if do.Parse(frame.Body) == nil && do.Volume == limitVolume && do.Attempt == 0 {
			m.taken = append(m.taken, taken{at, do.Units, m.names[do.Host]})
		}
	}
}

// playLimit has a volume of a limited plan move from one gateway to another, by a change of the settings of
// both, while its clients ask for eight times its limit.
func playLimit(r *run) (string, error) {
	m := &meter{names: map[uint64]string{}}
	disk, err := r.start("disk0", "diskserver", "--shard", "0", "--work", "0.5")
	if err != nil {
		return "", err
	}
	diskAddress, err := disk.line()
	if err != nil {
		return "", err
	}
	metered, err := m.listen(diskAddress)
	if err != nil {
		return "", err
	}
	inventory, err := freeAddress()
	if err != nil {
		return "", err
	}
	if _, err := r.start("inventory", "inventory", "--listen", inventory, metered+"=0"); err != nil {
		return "", err
	}
	if err := awaitListening(inventory); err != nil {
		return "", err
	}
	settings, err := r.exampleSettings(2, 1)
	if err != nil {
		return "", err
	}
	var gateways [2]*gatewayProcess
	for i := range gateways {
		if gateways[i], err = r.startGateway(i, inventory); err != nil {
			return "", err
		}
		if err := r.put(gateways[i], settings, 0, "first settings"); err != nil {
			return "", err
		}
		if err := awaitListening(gateways[i].portal); err != nil {
			return "", err
		}
	}
	plan := settings["plans"].([]any)[0].(map[string]any)
	limit, burst, slack := plan["limit"].(float64), plan["burst"].(float64), plan["slack"].(float64)
	time.Sleep(limitRest)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var workers sync.WaitGroup
	for i := range limitWorkers {
		workers.Add(1)
		go func() { defer workers.Done(); r.limitWorker(ctx, i, gateways) }()
	}
	time.Sleep(limitBefore)
	if r.trouble {
		volume := settings["volumes"].([]any)[0].(map[string]any)
		volume["hosts"] = []int{1}
		for i := range gateways { // first the one that gives the volume up
			if err := r.put(gateways[i], settings, 1, "volume moves to host 1"); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(limitAfter)
	cancel()
	workers.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.judgeLimit(m.taken, limit, burst, slack)
}

// judgeLimit fills a store at the limit's rate up to its burst, and takes from it what came. The page's slack
// grows by what the limit allows in 150 ms.
func (r *run) judgeLimit(all []taken, limit, burst, slack float64) (string, error) {
	allowed := slack + 0.15*limit
	level, least := burst, burst
	var last time.Time
	var leastAt time.Time
	count := map[string]float64{}
	for _, t := range all {
		if !last.IsZero() {
			level = min(level+limit*t.at.Sub(last).Seconds(), burst)
		}
		last = t.at
		level -= t.units
		count[t.gateway] += t.units
		if level < least {
			least, leastAt = level, t.at
		}
		r.notef("disk server: at %.3f %s sent %g units, %.1f left", t.at.Sub(r.started).Seconds(), t.gateway, t.units, level)
	}
	r.notef("limit %g units a second, store %g, slack %g and %g for 150 ms; units sent %v; least left %.1f at %.3f", limit, burst, slack, 0.15*limit, count, least, leastAt.Sub(r.started).Seconds())
	if len(count) == 0 {
		return "", errors.New("nothing was sent")
	}
	if -least > allowed {
		return fmt.Sprintf("the gateways together passed the limit by %.1f units, where %.1f are allowed", -least, allowed), nil
	}
	return "", nil
}

// limitWorker reads one unit after the other, at the gateway that serves the volume.
func (r *run) limitWorker(ctx context.Context, number int, gateways [2]*gatewayProcess) {
	host := 0
	for ctx.Err() == nil {
		client, err := dial(gateways[host].portal, fmt.Sprintf("w%d", number), limitVolume, nil)
		if err != nil {
			host = 1 - host
			time.Sleep(pollInterval)
			continue
		}
		for ctx.Err() == nil {
			result, err := client.Do(ctx, initiator.ReadCDB(uint64(number*limitBlocks), limitBlocks), nil, limitBlocks*stopBlockSize)
			if err != nil {
				break
			}
			if sense, ok := scsi.ParseSense(result.Sense); result.Status == scsi.CheckCondition && ok && sense == scsi.NoSuchLUN {
				break
			}
			time.Sleep(limitPause)
		}
		client.Close()
	}
}
