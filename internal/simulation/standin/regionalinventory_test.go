package standin

import (
	"testing"
	"time"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/world"
)

// Inventories of two regions must go on to hear each other over a link that is slow, as long as an echo comes
// within the time for which it is of use: a beat was given up after 0.3 of that time and sent anew, so that the
// region that does not lead granted nothing any more.
func TestBeatsOverASlowLink(t *testing.T) {
	config := region.Config{Lease: 3000, Quiet: 1500, Drift: 0.01}
	for _, roundTrip := range []time.Duration{0, 200, 400, 500, 800, 1100} {
		roundTrip *= time.Millisecond
		t.Run(roundTrip.String(), func(t *testing.T) {
			sim := world.New(1)
			err := sim.Run("main", time.Hour, func(process *world.Process) {
				names := []string{"inventory-0", "inventory-1"}
				for i := range names {
					sim.Link(names[i], names[1-i]).Delay = roundTrip / 2
				}
				var inventories [2]*Inventory
				record := region.Begin(0, []region.ID{0}, nil)
				for i := range inventories {
					var err error
					peerAddress := func() string { return inventories[1-i].Addr }
					inventories[i], err = ServeRegion(sim.StartProcess(names[i]), "127.0.0.1:0", 0, config, region.ID(i), 1, &InventoryState{Record: record}, peerAddress)
					if err != nil {
						panic(err)
					}
				}
				follower := inventories[1]
				env.Sleep(process, 5*time.Second, nil) // connections take a round trip each
				for range 300 {
					env.Sleep(process, 100*time.Millisecond, nil)
					follower.mu.Lock()
					grants := follower.regional.source.Grants(follower.now())
					follower.mu.Unlock()
					if !grants {
						t.Fatalf("the region that does not lead grants nothing at %s", process.Now())
					}
				}
				for _, v := range inventories {
					v.Close()
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}
