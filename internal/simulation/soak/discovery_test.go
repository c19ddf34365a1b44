package soak

import "testing"

// A scheduler that is sent to another agent while its own is down learns there what came back,
// and may use it from then on; what has drained meanwhile counts as told once it must have come.
func TestAMoveWhileDiscoveryIsDown(t *testing.T) {
	d := &Directory{entries: []Entry{
		{Host: hostName(0), Block: 0, Health: "leaving"}, {Host: hostName(1), Block: 1, Health: "active"},
	}}
	r := NewRecord()
	old, err := StartAgent(d, 0, false, false, r)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	old.SetDown(true)
	d.Change([]int{0}, "active")
	d.Change([]int{1}, "leaving")
	if n := len(r.Changes); n != 0 {
		t.Fatalf("%d changes are told while discovery is down", n)
	}
	next, err := StartAgent(d, 0, false, false, r)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	next.Follow(old)
	now := r.Now()
	told := map[int]Change{}
	for _, c := range r.Changes {
		told[c.Server] = c
	}
	if c, ok := told[0]; !ok || c.Health != "active" || c.At > now {
		t.Errorf("what came back: %+v", c)
	}
	if c, ok := told[1]; !ok || c.Health != "leaving" || c.At < now+movedCounts/2 {
		t.Errorf("what has drained: %+v", c)
	}
	if next.knows != 2 {
		t.Errorf("it knows version %d", next.knows)
	}
}
