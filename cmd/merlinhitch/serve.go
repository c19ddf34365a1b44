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

// untilSignal returns at the first SIGINT or SIGTERM, with a context that ends at
// the second.
func untilSignal() context.Context {
	c := make(chan os.Signal, 2)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	<-c
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-c; cancel() }()
	return ctx
}

// onHangUp calls f at each SIGHUP.
func onHangUp(f func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	go func() {
		for range c {
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
		b := id.As4()
		cfg.RouterID = binary.BigEndian.Uint32(b[:])
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
	if err := socketFolder(c.Admin); err != nil {
		return err
	}
	g, err := gateway.Start(cfg)
	if err != nil {
		return err
	}
	if c.Keys != "" {
		onHangUp(func() {
			if err := g.ReloadKeys(); err != nil {
				log.Error("keys not reloaded", zap.Error(err))
			}
		})
	}
	ctx := untilSignal()
	log.Info("stopping: what was taken is answered; a second signal ends at once")
	g.Stop(ctx)
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
	w := env.NewReal()
	m := standin.NewMachine(standin.MachineConfig{Cores: c.Cores, Queue: 120, UnitWork: c.Work, WriteX: 1.5, ColdFrom: 1, FallTime: 1000, FallMultiple: 2},
		w.RandomUint64(), standin.NewCell(func(string) int { return c.Block }), standin.NewRack(6000), nil, uint32(c.Shard), 0, false)
	d := &standin.DiskServer{Name: fmt.Sprintf("d%d", c.Shard), Zone: c.Zone, Rack: fmt.Sprintf("d%d", c.Shard), Shard: c.Shard}
	if c.Keys != "" {
		var err error
		if d.Keys, err = keys.Hold(c.Keys, time.Now); err != nil {
			return err
		}
		onHangUp(func() {
			if err := d.Keys.Reload(); err != nil {
				log.Error("keys not reloaded", zap.Error(err))
			}
		})
	}
	if err := standin.ServeDisk(w, m, d); err != nil {
		return err
	}
	fmt.Printf("%s\n", d.Addr) // for scripts that enter it in the inventory
	log.Info("stand-in disk server", zap.String("listen", d.Addr), zap.Int("shard", c.Shard))
	untilSignal()
	d.Kill()
	return nil
}

type inventoryCmd struct {
	Listen string   `default:"127.0.0.1:8630" help:"Address for hosts."`
	Late   float64  `default:"0" help:"Milliseconds by which changes are told late."`
	Nodes  []string `arg:"" help:"The list: ADDRESS=SHARD or ADDRESS=SHARD@ZONE." placeholder:"NODE"`
}

func (c *inventoryCmd) Run(log *zap.Logger) error {
	v, err := standin.ServeInventory(env.NewReal(), c.Listen, c.Late)
	if err != nil {
		return err
	}
	for i, n := range c.Nodes {
		addr, where, ok := strings.Cut(n, "=")
		shard, zone, _ := strings.Cut(where, "@")
		var id int
		if _, err := fmt.Sscanf(shard, "%d", &id); err != nil || !ok || id < 0 {
			v.Close()
			return fmt.Errorf("inventory: %q is not ADDRESS=SHARD or ADDRESS=SHARD@ZONE", n)
		}
		v.ChangeNow(func(b *inventory.Book) {
			b.Set(inventory.Node{Addr: addr, Health: inventory.Ready, Shard: id, Zone: zone, Weight: 1, Incarnation: uint64(i + 1)}, 0)
		})
	}
	log.Info("stand-in inventory", zap.String("listen", v.Addr), zap.Int("nodes", len(c.Nodes)))
	untilSignal()
	v.Close()
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
	s, err := initiator.Dial(ctx, cfg)
	if err != nil {
		return err
	}
	defer s.Logout()
	if c.Target == "" {
		targets, err := s.Targets(ctx)
		for t, at := range targets {
			fmt.Println(t, at)
		}
		return err
	}
	if c.Write != "" {
		return c.write(ctx, s)
	}
	size, err := blockSize(ctx, s)
	if err != nil {
		return err
	}
	r, err := s.Do(ctx, initiator.ReadCDB(c.Lba, c.Blocks), nil, int(c.Blocks)*size)
	if err != nil {
		return err
	}
	if err := statusError(r); err != nil {
		return err
	}
	_, err = os.Stdout.Write(r.Data)
	return err
}

func (c *ioCmd) write(ctx context.Context, s *initiator.Client) error {
	b, err := readInput(c.Write)
	if err != nil {
		return err
	}
	size, err := blockSize(ctx, s)
	if err != nil {
		return err
	}
	if len(b) == 0 || len(b)%size != 0 {
		return fmt.Errorf("io: %d bytes do not fill whole blocks of %d", len(b), size)
	}
	r, err := s.Do(ctx, initiator.WriteCDB(c.Lba, uint32(len(b)/size)), b, 0)
	if err != nil {
		return err
	}
	return statusError(r)
}

func readInput(file string) ([]byte, error) {
	const most = scsi.MaxBlocks * 4096
	if file == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, most))
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, most))
}

// blockSize asks by READ CAPACITY (10).
func blockSize(ctx context.Context, s *initiator.Client) (int, error) {
	r, err := s.Do(ctx, append([]byte{0x25}, make([]byte, 9)...), nil, 8)
	if err != nil {
		return 0, err
	}
	if err := statusError(r); err != nil {
		return 0, err
	}
	if len(r.Data) != 8 {
		return 0, errors.New("io: short answer to READ CAPACITY")
	}
	return int(r.Data[6])<<8 | int(r.Data[7]), nil
}

func statusError(r iscsi.Result) error {
	switch r.Status {
	case scsi.Good:
		return nil
	case scsi.Busy:
		return fmt.Errorf("refused: busy, nothing was done; again in %d ms", int(r.Qualifier)*100)
	}
	if s, ok := scsi.ParseSense(r.Sense); ok {
		return s
	}
	return fmt.Errorf("status %02x, sense %s", r.Status, bytes.TrimSpace(r.Sense))
}
