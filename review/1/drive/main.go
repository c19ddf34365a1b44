// Program drive plays case 1: a write over two disk servers, one of which stands still, while another
// initiator registers a reservation key through another gateway.
package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"syscall"
	"time"

	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/review/harness"
)

const (
	target    = "iqn.2026-11.example.merlinhitch:vol-001" // plan normal: its extents of 32 blocks lie on shards 1 and 0 in turn
	blockSize = 4096
	// first is the last block of an extent on shard 1; the block behind it is on shard 0.
	first = 31
	// fillers is more than the module has out at one disk server (32).
	fillers = 40
	// The site's storage nodes stand still for 110 to 220 ms (BRIEF, 4.2).
	standStill    = 190 * time.Millisecond
	standStillMax = 220 * time.Millisecond
)

func main() { harness.Run(play) }

func play(c *harness.Case) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	var relays [2]*harness.DiskRelay
	var servers [2]*harness.Process
	for shard := range servers {
		name := fmt.Sprintf("disk%d", shard)
		servers[shard] = c.Start(name, nil, "diskserver", "--shard", fmt.Sprint(shard))
		relays[shard] = c.RelayDisk(name, servers[shard].Line(10*time.Second))
	}
	inventory := harness.FreePort()
	c.Start("inventory", nil, "inventory", "--listen", inventory, relays[0].Addr+"=0", relays[1].Addr+"=1")
	example, err := c.Tool(nil, "settings", "example", "--hosts", "2", "--shards", "2")
	harness.Must(err)
	var portals [2]string
	for host := range portals {
		name := fmt.Sprintf("gateway%d", host)
		portals[host] = harness.FreePort()
		admin := "unix:" + c.Dir + "/" + name + ".sock"
		c.Start(name, nil, "gateway", "--name", name, "--self", fmt.Sprint(host), "--listen", portals[host], "--inventory", inventory,
			"--admin", admin, "--snapshot", c.Dir+"/"+name+".snap")
		harness.Until(10*time.Second, "settings of "+name, func() bool {
			_, err := c.Tool(bytes.NewReader(example), "settings", "put", "-", "--admin", admin, "--why", "review")
			return err == nil
		})
	}
	billing := session(ctx, c, "billing", portals[0], 1)
	backup := session(ctx, c, "backup", portals[1], 2)
	for range 3 { // connections to both disk servers are open
		for _, s := range []*client{billing, backup} {
			s.read(ctx, first, 2)
		}
	}

	if c.Trouble {
		c.Log("disk0 stands still")
		servers[0].Signal(syscall.SIGSTOP)
	}
	stoppedAt := time.Now()
	resumed := make(chan time.Duration, 1)
	go func() {
		time.Sleep(standStill)
		c.Log("disk0 goes on")
		servers[0].Signal(syscall.SIGCONT)
		resumed <- time.Since(stoppedAt)
	}()
	var open sync.WaitGroup
	for i := range fillers { // reads of blocks on shard 0
		c.Go(&open, func() { billing.read(ctx, first+1+uint64(i%30), 1) })
	}
	time.Sleep(10 * time.Millisecond)
	var written iscsi.Result
	c.Go(&open, func() { written = billing.write(ctx, "W1", first, 2) })
	time.Sleep(20 * time.Millisecond)
	seen := backup.read(ctx, first, 1)
	overwritten := backup.write(ctx, "W2", first, 1)
	registered := backup.register(ctx, 0xb2)
	length := <-resumed
	open.Wait()
	c.Sound()
	after := backup.read(ctx, first, 1)
	c.Log("disk0 stood still for %s (0 without the disruption)", length)
	harness.Need(!c.Trouble || length <= standStillMax, "disk0 stood still for %s", length)
	harness.Need(registered.Status == scsi.Good && written.Status == scsi.Good && overwritten.Status == scsi.Good, "a command did not end GOOD")

	// Each command's origin names it: one command is one effect, of each of its blocks.
	type effect struct{ origin, lba uint64 }
	applied := map[effect]int{}
	for _, relay := range relays {
		for _, run := range relay.Runs() {
			if run.Op == byte(scsi.Write) && run.Applied() {
				applied[effect{run.Origin, run.LBA}]++
			}
		}
	}
	harness.Need(len(applied) >= 3, "the writes did not reach the disk servers")
	for of, times := range applied {
		c.Check(times == 1, "the write with origin %x of the blocks from %d on took effect %d times at its disk server", of.origin, of.lba, times)
	}
	if string(seen.Data[:2]) == "W1" {
		c.Check(string(after.Data[:2]) == "W2", "block %d: read W1, then W2 written and acknowledged, then read %s", first, after.Data[:2])
	}
}

// client is a session of an initiator.
type client struct {
	c       *harness.Case
	name    string
	session *initiator.Client
}

func session(ctx context.Context, c *harness.Case, name, portal string, id byte) *client {
	s := &client{c: c, name: name}
	harness.Until(10*time.Second, "login of "+name, func() bool {
		var err error
		s.session, err = initiator.Dial(ctx, initiator.Config{Environment: env.NewReal(), Addr: portal, Name: "iqn.2026-11.example.client:" + name,
			Target: target, ISID: iscsi.ISID{0x80, id}, Params: initiator.DefaultParams(), LoginTime: 5 * time.Second})
		return err == nil
	})
	return s
}

// do runs a command, and again as long as it ends with a unit attention or BUSY, with which nothing ran.
func (s *client) do(ctx context.Context, what string, cdb, out []byte, in int) iscsi.Result {
	for {
		s.c.Log("%s: %s", s.name, what)
		result, err := s.session.Do(ctx, cdb, out, in)
		harness.Must(err)
		s.c.Log("%s: %s: status %02x %x", s.name, what, result.Status, result.Sense)
		if sense, ok := scsi.ParseSense(result.Sense); ok && sense.Key == 6 {
			continue
		}
		if result.Status == scsi.Busy {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		return result
	}
}

func (s *client) read(ctx context.Context, lba uint64, blocks uint32) iscsi.Result {
	return s.do(ctx, fmt.Sprintf("read of %d blocks at %d", blocks, lba), initiator.ReadCDB(lba, blocks), nil, int(blocks)*blockSize)
}

// write writes blocks that hold the text.
func (s *client) write(ctx context.Context, text string, lba uint64, blocks uint32) iscsi.Result {
	data := bytes.Repeat([]byte(text), int(blocks)*blockSize/len(text))
	return s.do(ctx, fmt.Sprintf("write of %s to %d blocks at %d", text, blocks, lba), initiator.WriteCDB(lba, blocks), data, 0)
}

// register registers a reservation key: PERSISTENT RESERVE OUT, REGISTER. Nothing is reserved by it.
func (s *client) register(ctx context.Context, key uint64) iscsi.Result {
	list := make([]byte, 24)
	binary.BigEndian.PutUint64(list[8:], key)
	return s.do(ctx, "register a key", []byte{0x5f, 0, 0, 0, 0, 0, 0, 0, 24, 0}, list, 0)
}
