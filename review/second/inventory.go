package main

import (
	"fmt"
	"time"

	"merlinhitch/internal/protocol/initiator"
)

func init() { cases["replaced-server"] = replacedServer }

// replacedServer: the inventory is started anew with a list that has another disk server in the place
// of the first. A gateway that follows it must send to the new one. A gateway that starts afterwards
// shows what other hosts see.
func replacedServer(b *bench) (result, error) {
	old, _, err := b.startStoreServer("disk-old")
	if err != nil {
		return failed, err
	}
	next, _, err := b.startStoreServer("disk-new")
	if err != nil {
		return failed, err
	}
	listen := freePort()
	inventory, err := b.startInventory("inventory", listen, old)
	if err != nil {
		return failed, err
	}
	portal, err := b.startGateway("gateway", listen)
	if err != nil {
		return failed, err
	}
	c, err := login(portal, "vol-001", 1)
	if err != nil {
		return failed, err
	}
	defer c.Close()
	write := func(character byte, lba uint64) outcome {
		return await(b.submit(c, fmt.Sprintf("write %c", character), initiator.WriteCDB(lba, 1), fill(character, 1), 0), 6*time.Second)
	}
	if o := write('A', 0); !o.good() {
		return failed, fmt.Errorf("first write: %v", o)
	}
	if b.trouble {
		b.logf("the inventory is started anew with the new disk server")
		inventory.stop()
		if _, err := b.startInventory("inventory-2", listen, next); err != nil {
			return failed, err
		}
	}
	time.Sleep(15 * time.Second)
	second := write('B', 1)
	portal2, err := b.startGateway("gateway-2", listen)
	if err != nil {
		return failed, err
	}
	c2, err := login(portal2, "vol-001", 2)
	if err != nil {
		return failed, err
	}
	defer c2.Close()
	read := await(b.submit(c2, "read through the second gateway", initiator.ReadCDB(1, 1), nil, blockBytes), 6*time.Second)
	b.say("write B, 15 s after the change: %v; read through a second gateway: %v, it holds %s", second, read, content(read.data))
	if !read.good() {
		return failed, fmt.Errorf("nothing was read")
	}
	if second.good() && content(read.data) != "B" {
		return broken, nil
	}
	return held, nil
}
