package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
)

// blockBytes is the block size of the volumes in the example settings.
const blockBytes = 4096

// startStoreServer starts the project's disk server for shard 0 and returns its address.
func (b *bench) startStoreServer(name string) (string, *process, error) {
	c, err := b.spawn(name, "exec bin/merlinhitch diskserver --shard 0")
	if err != nil {
		return "", nil, err
	}
	for range 200 {
		data, _ := os.ReadFile(filepath.Join(b.dir, name+".log"))
		for line := range strings.Lines(string(data)) {
			if line = strings.TrimSpace(line); strings.HasPrefix(line, "127.0.0.1:") {
				return line, c, nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "", nil, fmt.Errorf("%s tells no address", name)
}

// startInventory starts the project's inventory with one disk server of shard 0.
func (b *bench) startInventory(name, listen, server string) (*process, error) {
	return b.spawn(name, fmt.Sprintf("exec bin/merlinhitch inventory --listen %s %s=0", listen, server))
}

// startGateway starts a gateway and gives it the example settings. It returns the address for initiators.
func (b *bench) startGateway(name, inventory string) (string, error) {
	listen, admin := freePort(), freePort()
	if _, err := b.spawn(name, fmt.Sprintf("exec bin/merlinhitch gateway --name %s --listen %s --admin %s --inventory %s --snapshot %s",
		name, listen, admin, inventory, filepath.Join(b.dir, name+".snap"))); err != nil {
		return "", err
	}
	put := fmt.Sprintf("bin/merlinhitch settings example --hosts 1 --shards 1 | bin/merlinhitch settings put --admin %s -", admin)
	for range 50 {
		c := exec.Command("/bin/sh", "-c", put)
		c.Dir = b.root
		if out, err := c.CombinedOutput(); err == nil {
			b.logf("settings put at %s", name)
			return listen, nil
		} else if strings.Contains(string(out), "faults") {
			return "", fmt.Errorf("settings: %s", out)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", fmt.Errorf("%s takes no settings", name)
}

// login opens a session to a volume.
func login(portal, volume string, number byte) (*initiator.Client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		c, err := initiator.Dial(ctx, initiator.Config{Environment: env.NewReal(), Addr: portal, Name: "iqn.2026-11.example.client:review",
			Target: "iqn.2026-11.example.merlinhitch:" + volume, ISID: iscsi.ISID{0x80, number}, Params: initiator.DefaultParams(), LoginTime: 5 * time.Second})
		if err == nil {
			return c, nil
		}
		lastErr = err
		time.Sleep(100 * time.Millisecond)
	}
	return nil, lastErr
}

// fill returns blocks that hold nothing but one character.
func fill(character byte, blocks int) []byte {
	return []byte(strings.Repeat(string(character), blocks*blockBytes))
}

// outcome is how a command ended.
type outcome struct {
	status byte
	data   []byte
	err    error
	at     float64
}

func (o outcome) good() bool { return o.err == nil && o.status == scsi.Good }

func (o outcome) String() string {
	if o.err != nil {
		return o.err.Error()
	}
	return fmt.Sprintf("status %02x", o.status)
}

// submit sends a command without waiting; its outcome comes on the channel.
func (b *bench) submit(c *initiator.Client, name string, cdb, write []byte, read int) <-chan outcome {
	done := make(chan outcome, 1)
	b.logf("client sends %s", name)
	c.Submit(0, cdb, write, read, func(r iscsi.Result, err error) {
		o := outcome{r.Status, r.Data, err, b.since()}
		b.logf("client got for %s: %v", name, o)
		done <- o
	})
	return done
}

// await returns the outcome, or one that says that none came in time.
func await(done <-chan outcome, within time.Duration) outcome {
	select {
	case o := <-done:
		return o
	case <-time.After(within):
		return outcome{err: fmt.Errorf("no answer within %v", within)}
	}
}

// content tells what a block holds: its first character, or "mixed".
func content(data []byte) string {
	if len(data) == 0 {
		return "nothing"
	}
	for _, x := range data {
		if x != data[0] {
			return "mixed"
		}
	}
	if data[0] == 0 {
		return "zeros"
	}
	return string(data[:1])
}
