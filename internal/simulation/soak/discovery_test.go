package soak

import "testing"

// A scheduler that is sent to another agent while its own is down learns there what came back,
// and may use it from then on; what has drained meanwhile counts as told once it must have come.
func TestTakeOverWhileOldAgentIsDown(t *testing.T) {
	directory := &Directory{entries: []DiscoveryEntry{
		{Host: hostName(0), Block: 0, Health: "leaving"}, {Host: hostName(1), Block: 1, Health: "active"},
	}}
	record := NewRecord()
	previous, err := StartAgent(directory, 0, false, false, record)
	if err != nil {
		t.Fatal(err)
	}
	defer previous.Close()
	previous.SetDown(true)
	directory.SetHealth([]int{0}, "active")
	directory.SetHealth([]int{1}, "leaving")
	if n := len(record.HealthChanges); n != 0 {
		t.Fatalf("%d changes are told while discovery is down", n)
	}
	next, err := StartAgent(directory, 0, false, false, record)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	next.TakeOver(previous)
	now := record.Now()
	changes := map[int]HealthChange{}
	for _, change := range record.HealthChanges {
		changes[change.Server] = change
	}
	if change, ok := changes[0]; !ok || change.Health != "active" || change.EffectiveAt > now {
		t.Errorf("what came back: %+v", change)
	}
	if change, ok := changes[1]; !ok || change.Health != "leaving" || change.EffectiveAt < now+maxMoveTime/2 {
		t.Errorf("what has drained: %+v", change)
	}
	if next.version != 2 {
		t.Errorf("it knows version %d", next.version)
	}
}
