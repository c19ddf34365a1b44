package soak

import "testing"

// A scheduler is moved to another agent while its own is down: servers that became active meanwhile
// may be used at once, those that drain take effect after maxMoveTime.
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
		t.Fatalf("%d changes recorded while the agent is down, want 0", n)
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
		t.Errorf("server that became active: %+v", change)
	}
	if change, ok := changes[1]; !ok || change.Health != "leaving" || change.EffectiveAt < now+maxMoveTime/2 {
		t.Errorf("server that drains: %+v", change)
	}
	if next.version != 2 {
		t.Errorf("version %d, want 2", next.version)
	}
}
