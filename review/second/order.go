package main

import (
	"fmt"
	"syscall"
	"time"

	"merlinhitch/internal/protocol/initiator"
)

func init() { cases["overlapping-writes"] = overlappingWrites }

// longestStop is the longest time, s, for which the pages have a disk server stand still.
const longestStop = 0.220

// overlappingWrites: a disk server stands still for 0.2 s, every 2.5 s. While it does, a client of a
// volume whose writes are of an ordered class sends three: A to one extent, B that reaches from this
// extent into the next, C to the next extent. B was taken before C, so where both wrote C has to stay.
func overlappingWrites(b *bench) (result, error) {
	const rounds, extent = 10, 32
	address, server, err := b.startStoreServer("disk")
	if err != nil {
		return failed, err
	}
	inventory := freePort()
	if _, err := b.startInventory("inventory", inventory, address); err != nil {
		return failed, err
	}
	portal, err := b.startGateway("gateway", inventory)
	if err != nil {
		return failed, err
	}
	c, err := login(portal, "vol-000", 1)
	if err != nil {
		return failed, err
	}
	defer c.Close()
	time.Sleep(2 * time.Second) // the limit's store of a gateway that has just started is empty
	judged, wrong := 0, 0
	for round := range rounds {
		began := time.Now()
		lba := uint64(round * 2 * extent)
		stoppedAt := b.since()
		if b.trouble {
			b.logf("the disk server stands still")
			server.Process.Signal(syscall.SIGSTOP)
		}
		name := func(s string) string { return fmt.Sprintf("write %s of round %d", s, round) }
		first := b.submit(c, name("A"), initiator.WriteCDB(lba+extent-1, 1), fill('A', 1), 0)
		time.Sleep(40 * time.Millisecond)
		second := b.submit(c, name("B"), initiator.WriteCDB(lba+extent-1, 2), fill('B', 2), 0)
		time.Sleep(40 * time.Millisecond)
		third := b.submit(c, name("C"), initiator.WriteCDB(lba+extent, 1), fill('C', 1), 0)
		time.Sleep(time.Until(began.Add(200 * time.Millisecond)))
		if b.trouble {
			server.Process.Signal(syscall.SIGCONT)
			b.logf("the disk server goes on")
		}
		stood := b.since() - stoppedAt
		a, bb, cc := await(first, 5*time.Second), await(second, 5*time.Second), await(third, 5*time.Second)
		read := await(b.submit(c, fmt.Sprintf("read of round %d", round), initiator.ReadCDB(lba+extent-1, 2), nil, 2*blockBytes), 5*time.Second)
		if stood > longestStop {
			b.logf("round %d is not judged: the disk server stood still for %.3f s", round, stood)
		} else if a.good() && bb.good() && cc.good() && read.good() && len(read.data) == 2*blockBytes {
			judged++
			left, right := content(read.data[:blockBytes]), content(read.data[blockBytes:])
			b.logf("round %d: the last block of the first extent holds %s, the first of the next %s", round, left, right)
			if left != "B" || right != "C" {
				wrong++
			}
		}
		time.Sleep(time.Until(began.Add(2500 * time.Millisecond)))
	}
	b.say("%d rounds of %d in which all was answered GOOD; in %d of them the older write B stands where the newer write C was acknowledged", judged, rounds, wrong)
	if judged == 0 {
		return failed, fmt.Errorf("no round was answered whole")
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
