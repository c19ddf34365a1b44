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

// What is answered of routing is where a running gateway then sends: every expectation is
// also played.
func TestExpectationsMatchRouting(t *testing.T) {
	r := newHarness(t, nil)
	var lines []string
	for i := range r.settings.Volumes {
		v := &r.settings.Volumes[i]
		var to []string
		shards := slices.Clone(v.Layout)
		slices.Sort(shards)
		for _, sh := range slices.Compact(shards) {
			to = append(to, expect.NodeOf(sh))
		}
		for _, op := range []string{"read", "write"} {
			lines = append(lines, fmt.Sprintf("volume %s %s goes to %s", v.Name, op, strings.Join(to, ", ")))
		}
		lines = append(lines, fmt.Sprintf("volume %s read goes to %s when n0 draining, m0 ready at shard 0", v.Name,
			strings.ReplaceAll(strings.Join(to, ", "), "n0", "m0")))
	}
	list, err := expect.Parse(strings.NewReader(strings.Join(lines, "\n")), r.settings)
	if err != nil {
		t.Fatal(err)
	}
	slices.SortStableFunc(list, func(a, b expect.Expectation) int { return len(a.When) - len(b.When) })
	disks := map[string]*standin.DiskServer{}
	for i, d := range r.diskServers {
		disks[expect.NodeOf(i)] = d
	}
	for _, a := range expect.Check(r.settings, list) {
		if len(a.When) > 0 && disks["m0"] == nil {
			disks["m0"] = r.replaceDiskServer(0)
		}
		if !a.Held {
			t.Error(a)
		}
		if got := r.serversReached(a.Expectation, disks); got != a.Found {
			t.Errorf("%s: answered %s, the gateway sent to %s", a.Text, a.Found, got)
		}
	}
	t.Logf("%d expectations were played", len(list))
}

// replaceDiskServer drains the server of a shard and puts another in its place.
func (r *harness) replaceDiskServer(shard int) *standin.DiskServer {
	m := standin.NewMachine(fastMachineConfig(), 99, r.cells[shard], standin.NewRack(6000), nil, uint32(shard), 0, false)
	d := &standin.DiskServer{Name: "successor", Zone: "hall-a", Rack: "r", Shard: shard}
	if err := standin.ServeDisk(r.environment, m, d); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(d.Kill)
	r.inventory.ChangeNow(func(b *inventory.Book) {
		b.Health(r.diskServers[shard].Addr, inventory.Draining)
		b.Set(inventory.Node{Addr: d.Addr, Health: inventory.Ready, Shard: shard, Zone: "hall-a", Weight: 1, Incarnation: d.Started}, 0)
	})
	r.waitFor("the successor", func() bool { return r.gateway.Status().Nodes == len(r.diskServers)+1 })
	return d
}

// serversReached does one operation on an extent of each entry of the volume's layout and names
// the servers that served one.
func (r *harness) serversReached(e expect.Expectation, disks map[string]*standin.DiskServer) string {
	before := map[string]int{}
	for n, d := range disks {
		before[n] = d.Served()
	}
	i := slices.IndexFunc(r.settings.Volumes, func(v settings.Volume) bool { return v.Name == e.Volume })
	c := r.connect(i, 1)
	v := &r.settings.Volumes[i]
	for k := range v.Layout {
		lba := uint64(k * v.Extent)
		cdb, data := initiator.ReadCDB(lba, 1), []byte(nil)
		if e.Op == scsi.Write {
			cdb, data = initiator.WriteCDB(lba, 1), make([]byte, 4096)
		}
		res := r.execute(c, cdb, data, 4096)
		if res.Status != scsi.Good {
			r.t.Errorf("%s: status %02x", e.Text, res.Status)
		}
	}
	c.Logout()
	var to []string
	for n, d := range disks {
		if d.Served() > before[n] {
			to = append(to, n)
		}
	}
	slices.Sort(to)
	return strings.Join(to, ", ")
}
