package gateway_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"merlinhitch/internal/control/expect"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/simulation/standin"
)

// Each answer on routing must agree with the disk servers to which a running gateway sends.
func TestExpectationsMatchRouting(t *testing.T) {
	h := newHarness(t, nil)
	var lines []string
	for i := range h.settings.Volumes {
		volume := &h.settings.Volumes[i]
		var nodes []string
		shards := slices.Clone(volume.Layout)
		slices.Sort(shards)
		for _, shard := range slices.Compact(shards) {
			nodes = append(nodes, expect.NodeName(shard))
		}
		for _, op := range []string{"read", "write"} {
			lines = append(lines, fmt.Sprintf("volume %s %s goes to %s", volume.Name, op, strings.Join(nodes, ", ")))
		}
		lines = append(lines, fmt.Sprintf("volume %s read goes to %s when n0 draining, m0 ready at shard 0", volume.Name,
			strings.ReplaceAll(strings.Join(nodes, ", "), "n0", "m0")))
	}
	expectations, err := expect.Parse(strings.NewReader(strings.Join(lines, "\n")), h.settings)
	if err != nil {
		t.Fatal(err)
	}
	slices.SortStableFunc(expectations, func(a, b expect.Expectation) int { return len(a.NodeStates) - len(b.NodeStates) })
	diskServers := map[string]*standin.DiskServer{}
	for i, diskServer := range h.diskServers {
		diskServers[expect.NodeName(i)] = diskServer
	}
	for _, answer := range expect.Check(h.settings, expectations) {
		if len(answer.NodeStates) > 0 && diskServers["m0"] == nil {
			diskServers["m0"] = h.replaceDiskServer(0)
		}
		if !answer.Holds {
			t.Error(answer)
		}
		if got := h.serversReached(answer.Expectation, diskServers); got != answer.Found {
			t.Errorf("%s: found %s, want %s as sent by the gateway", answer.Text, answer.Found, got)
		}
	}
	t.Logf("%d expectations compared with the gateway's sends", len(expectations))
}

// replaceDiskServer lists the disk server of a shard as draining and starts another one for it.
func (h *harness) replaceDiskServer(shard int) *standin.DiskServer {
	machine := standin.NewMachine(fastMachineConfig(), 99, h.shardStores[shard], standin.NewDedupCache(6000), nil, uint32(shard), 0, false)
	replacement := &standin.DiskServer{Name: "successor", Zone: "hall-a", Rack: "r", Shard: shard}
	if err := standin.ServeDisk(h.environment, machine, replacement); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(replacement.Kill)
	h.inventory.ChangeNow(func(book *inventory.Book) {
		book.Health(h.diskServers[shard].Addr, inventory.Draining)
		book.Set(inventory.Node{Addr: replacement.Addr, Health: inventory.Ready, Shard: shard, Zone: "hall-a", Weight: 1, Incarnation: replacement.Started}, 0)
	})
	h.waitFor("the gateway lists the replacement", func() bool { return h.gateway.Status().Nodes == len(h.diskServers)+1 })
	return replacement
}

// serversReached sends the expectation's operation to one extent of each layout entry of its volume
// and returns the names of the disk servers that served any.
func (h *harness) serversReached(expectation expect.Expectation, diskServers map[string]*standin.DiskServer) string {
	servedBefore := map[string]int{}
	for node, diskServer := range diskServers {
		servedBefore[node] = diskServer.Served()
	}
	volumeIndex := slices.IndexFunc(h.settings.Volumes, func(volume settings.Volume) bool { return volume.Name == expectation.Volume })
	client := h.connect(volumeIndex, 1)
	volume := &h.settings.Volumes[volumeIndex]
	for extent := range volume.Layout {
		lba := uint64(extent * volume.ExtentBlocks)
		cdb, data := initiator.ReadCDB(lba, 1), []byte(nil)
		if expectation.Op == scsi.Write {
			cdb, data = initiator.WriteCDB(lba, 1), make([]byte, 4096)
		}
		result := h.execute(client, cdb, data, 4096)
		if result.Status != scsi.Good {
			h.t.Errorf("%s: got status %02x, want GOOD", expectation.Text, result.Status)
		}
	}
	client.Logout()
	var nodes []string
	for node, diskServer := range diskServers {
		if diskServer.Served() > servedBefore[node] {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return strings.Join(nodes, ", ")
}
