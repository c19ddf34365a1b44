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

// waitForSignal blocks until the first SIGINT or SIGTERM and returns a context that the
// second one cancels.
func waitForSignal() context.Context {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-signals; cancel() }()
	return ctx
}

// onSIGHUP starts a goroutine that calls f on each SIGHUP.
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
	Name      string `default:"host" help:"Host name sent to disk servers and written to logs."`
	Self      int    `default:"0" help:"Index of this host in the service, from 0."`
	Zone      string `help:"Hall where the host is."`
	Listen    string `default:"127.0.0.1:3260" help:"Address on which initiators connect."`
	Inventory string `required:"" help:"Address of the inventory that serves the node list."`
	Admin     string `default:"${admin}" help:"Address of the admin API: HOST:PORT or unix:PATH."`
	Keys      string `help:"Directory with the host's key and certificates, for TLS on the admin API and to disk servers; SIGHUP reloads it." placeholder:"DIR"`
	Snapshot  string `help:"File for the saved settings; the audit record is kept beside it." placeholder:"FILE"`
	History   string `help:"Directory for the history of the host's counters, one row per second." placeholder:"DIR"`
	KeyFile   string `help:"File with the key that encrypts secrets in the saved settings: at least 32 random bytes." placeholder:"FILE"`
	RouterID  string `help:"BGP identifier in the form of an IPv4 address; required if the settings announce routes." placeholder:"A.B.C.D"`
	Hop4      string `help:"Next hop announced for IPv4 prefixes." placeholder:"ADDRESS"`
	Hop6      string `help:"Next hop announced for IPv6 prefixes." placeholder:"ADDRESS"`
	BGPListen string `help:"Address on which to accept BGP sessions from routers." placeholder:"HOST:PORT"`
}

// config builds the gateway's configuration from the arguments.
func (c *gatewayCmd) config(log *zap.Logger) (gateway.Config, error) {
	cfg := gateway.Config{Environment: env.NewReal(), Log: log, Name: c.Name, HostIndex: c.Self, Zone: c.Zone,
		Listen: c.Listen, Inventory: c.Inventory, Admin: c.Admin, Snapshot: c.Snapshot, History: c.History, BGPListen: c.BGPListen}
	var err error
	if c.Keys != "" {
		if cfg.Keys, err = keys.LoadCredentials(c.Keys, time.Now); err != nil {
			return cfg, err
		}
	}
	if c.KeyFile != "" {
		if cfg.SettingsKey, err = settings.ReadKey(c.KeyFile); err != nil {
			return cfg, err
		}
	}
	if c.RouterID != "" {
		id, err := netip.ParseAddr(c.RouterID)
		if err != nil || !id.Is4() || id.IsUnspecified() {
			return cfg, fmt.Errorf("gateway: router id %q is not an IPv4 address other than 0.0.0.0", c.RouterID)
		}
		idBytes := id.As4()
		cfg.RouterID = binary.BigEndian.Uint32(idBytes[:])
	}
	if c.Hop4 != "" {
		if cfg.NextHop4, err = netip.ParseAddr(c.Hop4); err != nil || !cfg.NextHop4.Is4() {
			return cfg, fmt.Errorf("gateway: next hop %q is not an IPv4 address", c.Hop4)
		}
	}
	if c.Hop6 != "" {
		if cfg.NextHop6, err = netip.ParseAddr(c.Hop6); err != nil || !cfg.NextHop6.Is6() {
			return cfg, fmt.Errorf("gateway: next hop %q is not an IPv6 address", c.Hop6)
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
	Shard int     `required:"" help:"Shard that the server stores."`
	Zone  string  `help:"Hall where the server is."`
	Work  float64 `default:"1" help:"Core time per unit of a read, in milliseconds."`
	Cores int     `default:"2" help:"Number of cores to simulate."`
	Block int     `default:"4096" help:"Block size of the volumes in bytes."`
	Keys  string  `help:"Directory with the server's key and certificates; SIGHUP reloads it." placeholder:"DIR"`
}

func (c *diskserverCmd) Run(log *zap.Logger) error {
	environment := env.NewReal()
	machine := standin.NewMachine(standin.MachineConfig{Cores: c.Cores, QueueLimit: 120, UnitWork: c.Work, WriteFactor: 1.5, ColdCapacity: 1, OverloadWindow: 1000, OverloadFactor: 2},
		environment.RandomUint64(), standin.NewShardStore(func(string) int { return c.Block }), standin.NewDedupCache(6000), nil, uint32(c.Shard), 0, false)
	diskServer := &standin.DiskServer{Name: fmt.Sprintf("d%d", c.Shard), Zone: c.Zone, Rack: fmt.Sprintf("d%d", c.Shard), Shard: c.Shard}
	if c.Keys != "" {
		var err error
		if diskServer.Credentials, err = keys.LoadCredentials(c.Keys, time.Now); err != nil {
			return err
		}
		onSIGHUP(func() {
			if err := diskServer.Credentials.Reload(); err != nil {
				log.Error("keys not reloaded", zap.Error(err))
			}
		})
	}
	if err := standin.ServeDisk(environment, machine, diskServer); err != nil {
		return err
	}
	fmt.Printf("%s\n", diskServer.Addr) // scripts read the address and add it to the inventory
	log.Info("stand-in disk server", zap.String("listen", diskServer.Addr), zap.Int("shard", c.Shard))
	waitForSignal()
	diskServer.Kill()
	return nil
}

type inventoryCmd struct {
	Listen string   `default:"127.0.0.1:8630" help:"Address on which hosts connect."`
	Late   float64  `default:"0" help:"Delay in milliseconds before changes are sent to hosts."`
	Nodes  []string `arg:"" help:"Nodes to list, each as ADDRESS=SHARD or ADDRESS=SHARD@ZONE." placeholder:"NODE"`
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
			return fmt.Errorf("inventory: node %q does not have the form ADDRESS=SHARD or ADDRESS=SHARD@ZONE", node)
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
	Target string        `help:"Target name; if empty, the targets are listed."`
	Lba    uint64        `help:"Address of the first block."`
	Blocks uint32        `default:"1" help:"Number of blocks to read."`
	Write  string        `help:"File to write, or - for standard input; its size must be a multiple of the block size." placeholder:"FILE"`
	User   string        `help:"CHAP name."`
	Secret string        `env:"MERLINHITCH_SECRET" help:"CHAP secret."`
	Within time.Duration `default:"10s" help:"Timeout of the whole command."`
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
		return fmt.Errorf("io: input of %d bytes is not a positive multiple of the block size, %d bytes", len(data), size)
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

// blockSize returns the block size in bytes that READ CAPACITY (10) reports.
func blockSize(ctx context.Context, client *initiator.Client) (int, error) {
	result, err := client.Do(ctx, append([]byte{0x25}, make([]byte, 9)...), nil, 8)
	if err != nil {
		return 0, err
	}
	if err := statusError(result); err != nil {
		return 0, err
	}
	if len(result.Data) != 8 {
		return 0, errors.New("io: wrong length of the READ CAPACITY (10) data")
	}
	return int(result.Data[6])<<8 | int(result.Data[7]), nil
}

func statusError(result iscsi.Result) error {
	switch result.Status {
	case scsi.Good:
		return nil
	case scsi.Busy:
		return fmt.Errorf("target is busy and did not execute the command; retry after %d ms", int(result.Qualifier)*100)
	}
	if sense, ok := scsi.ParseSense(result.Sense); ok {
		return sense
	}
	return fmt.Errorf("command failed with SCSI status %02x, sense data %s", result.Status, bytes.TrimSpace(result.Sense))
}
