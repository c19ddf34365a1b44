package soak

import "testing"

// A scheduler that is sent to another agent while its own is down learns there what came back,
// and may use it from then on; what has drained meanwhile counts as told once it must have come.
func TestTakeOverWhileOldAgentIsDown(t *testing.T) {
	d := &Directory{entries: []DiscoveryEntry{
		{Host: hostName(0), Block: 0, Health: "leaving"}, {Host: hostName(1), Block: 1, Health: "active"},
	}}
	r := NewRecord()
	old, err := StartAgent(d, 0, false, false, r)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	old.SetDown(true)
	d.SetHealth([]int{0}, "active")
	d.SetHealth([]int{1}, "leaving")
	if n := len(r.HealthChanges); n != 0 {
		t.Fatalf("%d changes are told while discovery is down", n)
	}
	next, err := StartAgent(d, 0, false, false, r)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	next.TakeOver(old)
	now := r.Now()
	told := map[int]HealthChange{}
	for _, c := range r.HealthChanges {
		told[c.Server] = c
	}
	if c, ok := told[0]; !ok || c.Health != "active" || c.EffectiveAt > now {
		t.Errorf("what came back: %+v", c)
	}
	if c, ok := told[1]; !ok || c.Health != "leaving" || c.EffectiveAt < now+maxMoveTime/2 {
		t.Errorf("what has drained: %+v", c)
	}
	if next.version != 2 {
		t.Errorf("it knows version %d", next.version)
	}
}
