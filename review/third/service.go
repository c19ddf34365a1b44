package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/runtime/env"
)

// gatewayProcess is a gateway with its addresses.
type gatewayProcess struct {
	*process
	portal, admin string
}

// startDisks starts one disk server a shard and the inventory that lists them, and returns its address.
func (r *run) startDisks(shards int, work string) (inventory string, err error) {
	if inventory, err = freeAddress(); err != nil {
		return "", err
	}
	arguments := []string{"inventory", "--listen", inventory}
	for shard := range shards {
		disk, err := r.start(fmt.Sprintf("disk%d", shard), "diskserver", "--shard", fmt.Sprint(shard), "--work", work)
		if err != nil {
			return "", err
		}
		address, err := disk.line()
		if err != nil {
			return "", err
		}
		arguments = append(arguments, fmt.Sprintf("%s=%d", address, shard))
	}
	if _, err := r.start("inventory", arguments...); err != nil {
		return "", err
	}
	return inventory, awaitListening(inventory)
}

// startGateway starts the gateway of a host, which then waits for settings.
func (r *run) startGateway(host int, inventory string) (*gatewayProcess, error) {
	portal, err := freeAddress()
	if err != nil {
		return nil, err
	}
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("gateway%d", host)
	p, err := r.start(name, "gateway", "--name", name, "--self", fmt.Sprint(host), "--listen", portal, "--admin", admin, "--inventory", inventory,
		"--snapshot", fmt.Sprintf("%s/%s.snap", r.folder, name))
	if err != nil {
		return nil, err
	}
	return &gatewayProcess{p, portal, admin}, awaitListening(admin)
}

// exampleSettings returns the project's example settings, as an operator edits them.
func (r *run) exampleSettings(hosts, shards int) (map[string]any, error) {
	text, err := r.do("", "settings", "example", "--hosts", fmt.Sprint(hosts), "--shards", fmt.Sprint(shards))
	if err != nil {
		return nil, err
	}
	var settings map[string]any
	return settings, json.Unmarshal([]byte(text), &settings)
}

// put submits settings, edited from the version that is in force at the gateway.
func (r *run) put(g *gatewayProcess, settings map[string]any, version int, why string) error {
	settings["version"] = version
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	_, err = r.do(string(text), "settings", "put", "-", "--admin", g.admin, "--why", why)
	return err
}

const loginTimeout = 5 * time.Second

// dial logs in to a volume at an address.
func dial(address, name, volume string, onAsk func()) (*initiator.Client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), loginTimeout)
	defer cancel()
	return initiator.Dial(ctx, initiator.Config{Environment: env.NewReal(), Addr: address, Name: "iqn.2026-11.example.client:" + name,
		Target: "iqn.2026-11.example.merlinhitch:" + volume, ISID: iscsi.ISID{0x80, 1}, Params: initiator.DefaultParams(), LoginTime: loginTimeout, OnAsk: onAsk})
}
