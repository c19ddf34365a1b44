package soak

import (
	"bufio"
	"net"
	"testing"
	"time"

	"merlinhitch/internal/protocol/http1"
)

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

// A change at an agent that answers calls late, and has no open watch, must take effect after
// maxSilenceDetection, and at once when a call is answered.
func TestChangeAtASlowAgent(t *testing.T) {
	directory := &Directory{entries: []DiscoveryEntry{{Host: hostName(0), Block: 0, Health: "active"}}}
	record := NewRecord()
	agent, err := StartAgent(directory, 0, false, false, record)
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	agent.SetAnswerDelay(time.Millisecond)
	directory.SetHealth([]int{0}, "leaving")
	if change := record.HealthChanges[0]; change.EffectiveAt < maxSilenceDetection || change.EffectiveAt > record.Now()+maxSilenceDetection {
		t.Errorf("without an answered call: change %+v, want it effective in %s", change, maxSilenceDetection)
	}
	conn, err := net.Dial("tcp", agent.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	if _, err := http1.ReadResponse(in, messageLimits); err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadByte(); err != nil { // the change is recorded before its message is written
		t.Fatal(err)
	}
	record.mu.Lock()
	defer record.mu.Unlock()
	last := record.HealthChanges[len(record.HealthChanges)-1]
	if len(record.HealthChanges) != 2 || last.EffectiveAt > record.Now() || record.DiscoveryFaults[lateHead] != 1 {
		t.Errorf("after an answered call: changes %+v and faults %v, want the last change effective and one late head", record.HealthChanges, record.DiscoveryFaults)
	}
}
