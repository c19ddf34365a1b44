package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// waitForSignal returns at the first SIGINT or SIGTERM, with a context that ends at
// the second.
func waitForSignal() context.Context {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-signals; cancel() }()
	return ctx
}

// onSIGHUP calls f at each SIGHUP.
func onSIGHUP(f func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			f()
		}
	}()
}

type gatewayCmd struct {
	Name      string `default:"host" help:"Name told to disk servers and in logs."`
	Self      int    `default:"0" help:"This host's number in the service, from 0."`
	Zone      string `help:"Hall that the host stands in."`
	Listen    string `default:"127.0.0.1:3260" help:"Address for initiators."`
	Inventory string `required:"" help:"Address of the node list."`
	Admin     string `default:"${admin}" help:"Address of the admin API: HOST:PORT or unix:PATH."`
	Keys      string `help:"Folder of the host's keys: for the admin API and towards disk servers; SIGHUP reads it again." placeholder:"DIR"`
	Snapshot  string `help:"File of the saved settings; their record lies beside it." placeholder:"FILE"`
	History   string `help:"Folder for what the host counted, second by second." placeholder:"DIR"`
	KeyFile   string `help:"Key that seals secrets in them: 32 bytes or more that nobody can guess." placeholder:"FILE"`
	RouterID  string `help:"BGP identifier, in the form of an IPv4 address; needed where the settings announce." placeholder:"A.B.C.D"`
	Hop4      string `help:"Next hop told for IPv4 addresses." placeholder:"ADDRESS"`
	Hop6      string `help:"Next hop told for IPv6 addresses." placeholder:"ADDRESS"`
	BGPListen string `help:"Address for routers that dial." placeholder:"HOST:PORT"`
}

// config turns the arguments into a gateway's.
func (c *gatewayCmd) config(log *zap.Logger) (gateway.Config, error) {
	cfg := gateway.Config{Environment: env.NewReal(), Log: log, Name: c.Name, Self: c.Self, Zone: c.Zone,
		Listen: c.Listen, Inventory: c.Inventory, Admin: c.Admin, Snapshot: c.Snapshot, History: c.History, BGPListen: c.BGPListen}
	var err error
	if c.Keys != "" {
		if cfg.Keys, err = keys.Hold(c.Keys, time.Now); err != nil {
			return cfg, err
		}
	}
	if c.KeyFile != "" {
		if cfg.Key, err = settings.ReadKey(c.KeyFile); err != nil {
			return cfg, err
		}
	}
	if c.RouterID != "" {
		id, err := netip.ParseAddr(c.RouterID)
		if err != nil || !id.Is4() || id.IsUnspecified() {
			return cfg, fmt.Errorf("gateway: router id %q is no IPv4 address", c.RouterID)
		}
		idBytes := id.As4()
		cfg.RouterID = binary.BigEndian.Uint32(idBytes[:])
	}
	if c.Hop4 != "" {
		if cfg.Hop4, err = netip.ParseAddr(c.Hop4); err != nil || !cfg.Hop4.Is4() {
			return cfg, fmt.Errorf("gateway: next hop %q is no IPv4 address", c.Hop4)
		}
	}
	if c.Hop6 != "" {
		if cfg.Hop6, err = netip.ParseAddr(c.Hop6); err != nil || !cfg.Hop6.Is6() {
			return cfg, fmt.Errorf("gateway: next hop %q is no IPv6 address", c.Hop6)
		}
	}
	return cfg, nil
}

func (c *gatewayCmd) Run(log *zap.Logger) error {
	cfg, err := c.config(log)
	if err != nil {
		return err
	}
	if err := createSocketDir(c.Admin); err != nil {
		return err
	}
	instance, err := gateway.Start(cfg)
	if err != nil {
		return err
	}
	if c.Keys != "" {
		onSIGHUP(func() {
			if err := instance.ReloadKeys(); err != nil {
				log.Error("keys not reloaded", zap.Error(err))
			}
		})
	}
	ctx := waitForSignal()
	log.Info("stopping: what was taken is answered; a second signal ends at once")
	instance.Stop(ctx)
	return nil
}

type diskserverCmd struct {
	Shard int     `required:"" help:"Shard that it holds."`
	Zone  string  `help:"Hall that it stands in."`
	Work  float64 `default:"1" help:"Milliseconds that a unit takes on a core."`
	Cores int     `default:"2" help:"Cores."`
	Block int     `default:"4096" help:"Block size of the volumes."`
	Keys  string  `help:"Folder of the server's keys; SIGHUP reads it again." placeholder:"DIR"`
}

func (c *diskserverCmd) Run(log *zap.Logger) error {
	environment := env.NewReal()
	machine := standin.NewMachine(standin.MachineConfig{Cores: c.Cores, Queue: 120, UnitWork: c.Work, WriteX: 1.5, ColdFrom: 1, FallTime: 1000, FallMultiple: 2},
		environment.RandomUint64(), standin.NewCell(func(string) int { return c.Block }), standin.NewRack(6000), nil, uint32(c.Shard), 0, false)
	diskServer := &standin.DiskServer{Name: fmt.Sprintf("d%d", c.Shard), Zone: c.Zone, Rack: fmt.Sprintf("d%d", c.Shard), Shard: c.Shard}
	if c.Keys != "" {
		var err error
		if diskServer.Keys, err = keys.Hold(c.Keys, time.Now); err != nil {
			return err
		}
		onSIGHUP(func() {
			if err := diskServer.Keys.Reload(); err != nil {
				log.Error("keys not reloaded", zap.Error(err))
			}
		})
	}
	if err := standin.ServeDisk(environment, machine, diskServer); err != nil {
		return err
	}
	fmt.Printf("%s\n", diskServer.Addr) // for scripts that enter it in the inventory
	log.Info("stand-in disk server", zap.String("listen", diskServer.Addr), zap.Int("shard", c.Shard))
	waitForSignal()
	diskServer.Kill()
	return nil
}

type inventoryCmd struct {
	Listen string   `default:"127.0.0.1:8630" help:"Address for hosts."`
	Late   float64  `default:"0" help:"Milliseconds by which changes are told late."`
	Nodes  []string `arg:"" help:"The list: ADDRESS=SHARD or ADDRESS=SHARD@ZONE." placeholder:"NODE"`
}

func (c *inventoryCmd) Run(log *zap.Logger) error {
	list, err := standin.ServeInventory(env.NewReal(), c.Listen, c.Late)
	if err != nil {
		return err
	}
	for i, node := range c.Nodes {
		addr, location, ok := strings.Cut(node, "=")
		shard, zone, _ := strings.Cut(location, "@")
		var shardNumber int
		if _, err := fmt.Sscanf(shard, "%d", &shardNumber); err != nil || !ok || shardNumber < 0 {
			list.Close()
			return fmt.Errorf("inventory: %q is not ADDRESS=SHARD or ADDRESS=SHARD@ZONE", node)
		}
		list.ChangeNow(func(b *inventory.Book) {
			b.Set(inventory.Node{Addr: addr, Health: inventory.Ready, Shard: shardNumber, Zone: zone, Weight: 1, Incarnation: uint64(i + 1)}, 0)
		})
	}
	log.Info("stand-in inventory", zap.String("listen", list.Addr), zap.Int("nodes", len(c.Nodes)))
	waitForSignal()
	list.Close()
	return nil
}

type ioCmd struct {
	Portal string        `default:"127.0.0.1:3260" help:"Address of the gateway."`
	Name   string        `default:"iqn.2026-11.example.client:io" help:"Initiator name."`
	Target string        `help:"Target name; without one the targets are listed."`
	Lba    uint64        `help:"First block."`
	Blocks uint32        `default:"1" help:"Blocks to read."`
	Write  string        `help:"File whose bytes to write, - for standard input; it must fill whole blocks." placeholder:"FILE"`
	User   string        `help:"CHAP name."`
	Secret string        `env:"MERLINHITCH_SECRET" help:"CHAP secret."`
	Within time.Duration `default:"10s" help:"How long to wait."`
}

func (c *ioCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	cfg := initiator.Config{Environment: env.NewReal(), Addr: c.Portal, Name: c.Name, Target: c.Target, Discovery: c.Target == "",
		ISID: iscsi.ISID{0x80, 1}, Params: initiator.DefaultParams(), LoginTime: c.Within}
	if c.User != "" {
		cfg.Chap = &iscsi.Credentials{User: c.User, Secret: c.Secret}
	}
	client, err := initiator.Dial(ctx, cfg)
	if err != nil {
		return err
	}
	defer client.Logout()
	if c.Target == "" {
		targets, err := client.Targets(ctx)
		for target, portals := range targets {
			fmt.Println(target, portals)
		}
		return err
	}
	if c.Write != "" {
		return c.write(ctx, client)
	}
	size, err := blockSize(ctx, client)
	if err != nil {
		return err
	}
	result, err := client.Do(ctx, initiator.ReadCDB(c.Lba, c.Blocks), nil, int(c.Blocks)*size)
	if err != nil {
		return err
	}
	if err := statusError(result); err != nil {
		return err
	}
	_, err = os.Stdout.Write(result.Data)
	return err
}

func (c *ioCmd) write(ctx context.Context, client *initiator.Client) error {
	data, err := readInput(c.Write)
	if err != nil {
		return err
	}
	size, err := blockSize(ctx, client)
	if err != nil {
		return err
	}
	if len(data) == 0 || len(data)%size != 0 {
		return fmt.Errorf("io: %d bytes do not fill whole blocks of %d", len(data), size)
	}
	result, err := client.Do(ctx, initiator.WriteCDB(c.Lba, uint32(len(data)/size)), data, 0)
	if err != nil {
		return err
	}
	return statusError(result)
}

func readInput(file string) ([]byte, error) {
	const maxBytes = scsi.MaxBlocks * 4096
	if file == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, maxBytes))
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxBytes))
}

// blockSize asks by READ CAPACITY (10).
func blockSize(ctx context.Context, client *initiator.Client) (int, error) {
	result, err := client.Do(ctx, append([]byte{0x25}, make([]byte, 9)...), nil, 8)
	if err != nil {
		return 0, err
	}
	if err := statusError(result); err != nil {
		return 0, err
	}
	if len(result.Data) != 8 {
		return 0, errors.New("io: short answer to READ CAPACITY")
	}
	return int(result.Data[6])<<8 | int(result.Data[7]), nil
}

func statusError(result iscsi.Result) error {
	switch result.Status {
	case scsi.Good:
		return nil
	case scsi.Busy:
		return fmt.Errorf("refused: busy, nothing was done; again in %d ms", int(result.Qualifier)*100)
	}
	if sense, ok := scsi.ParseSense(result.Sense); ok {
		return sense
	}
	return fmt.Errorf("status %02x, sense %s", result.Status, bytes.TrimSpace(result.Sense))
}
