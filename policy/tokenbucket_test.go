package policy

import (
	"fmt"
	"slices"
	"testing"
)

// A limit's bucket starts empty on a host that has just started, since the host may have spent its
// tokens before a restart.
func TestNewLimitBucketStartsEmpty(t *testing.T) {
	h := newHarness(testSettings())
	sentUnits, start := 0.0, h.now
	for range 200 {
		h.submit("read", "low", "", 2)
		h.advance(10)
		for _, r := range slices.Clone(h.scheduler.shards[0].outstanding) {
			sentUnits += r.Units
			h.endAttempt(r.ID, Served)
		}
		// The bucket was at its floor when this host started.
		if maxUnits := 10 * (h.now - start) / 1000; sentUnits > maxUnits+1e-6 {
			t.Fatalf("sent %v units after %v ms, more than the limit allows", sentUnits, h.now-start)
		}
	}
	if sentUnits < 10 {
		t.Errorf("only %v units were sent, want at least 10", sentUnits)
	}
}

// The limit must hold where sends arrive: while the first ones after a pause are on their way, the
// bucket there is full and does not fill, and later ones may arrive up to arrivalSkew sooner.
func TestLimitHoldsWhereSendsArrive(t *testing.T) {
	s := testSettings()
	s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 100, 8, 4
	h := newHarness(s)
	h.advance(1000) // until the bucket has filled
	type sendEvent struct{ time, units float64 }
	var sends []sendEvent
	for range 1000 {
		h.submit("read", "low", "", 0.5)
		h.advance(1)
		for _, r := range slices.Clone(h.scheduler.shards[0].outstanding) {
			sends = append(sends, sendEvent{h.now, r.Units})
			h.endAttempt(r.ID, Served)
		}
	}
	level, time := s.Plans[0].Burst, 0.0
	for _, send := range sends {
		send.time = max(send.time, sends[0].time+arrivalSkew)
		level, time = min(level+s.Plans[0].Limit*(send.time-time)/1000, s.Plans[0].Burst)-send.units, send.time
		if level < -s.Plans[0].Overdraft-1e-6 {
			t.Fatalf("bucket level %.3f at %g ms, want at least %g", level, send.time, -s.Plans[0].Overdraft)
		}
	}
	if len(sends) < 100 {
		t.Errorf("only %d sends, want at least 100", len(sends))
	}
}

// A volume held back by its limit must not delay other volumes of its plan.
func TestLimitedVolumeDoesNotBlockOthers(t *testing.T) {
	h := newHarness(testSettings())
	submit := func(volume string) string {
		h.requestCount++
		id := fmt.Sprintf("%016x", h.requestCount)
		h.handle(Request{ID: id, Class: "write", Plan: "low", Volume: volume, Units: 2, Expires: h.now + 1000, Hosts: 1})
		return id
	}
	submit("spent")
	h.scheduler.volumes["spent"].limitLevel = -2
	limited := submit("spent")
	h.setNodes()
	other := submit("free")
	h.scheduler.volumes["free"].limitLevel = 8
	h.setNodes(Node{Addr: "n0", Health: Ready, Zone: "z"})
	if h.sendCount(limited) != 0 || h.sendCount(other) != 1 {
		t.Errorf("limited volume: %d sends, want 0; other volume: %d sends, want 1", h.sendCount(limited), h.sendCount(other))
	}
}

// All hosts of a volume together keep its limit, and each keeps its retry budget, whatever the
// number of hosts.
func TestLimitAndBudgetAcrossHosts(t *testing.T) {
	for _, hosts := range []int{1, 5, 50, 230} {
		s := testSettings()
		s.Hosts = hosts
		s.Rules.HasBudget, s.Rules.BudgetBase, s.Rules.BudgetRatio, s.Rules.BudgetWindow = true, 1, 0.25, 5000
		s.Plans[0].Burst = 2 * s.MaxUnits * float64(hosts)
		sentUnits, requests, start, end := 0.0, 0, 0.0, 0.0
		for host := range hosts {
			h := &harness{scheduler: newScheduler(s, uint64(host)), now: 1000, timers: map[string]float64{}}
			h.setNodes(Node{Addr: "n0", Health: Ready})
			retries := 0
			for k := range 40 {
				h.requestCount++
				id := fmt.Sprintf("%016x", h.requestCount)
				h.handle(Request{ID: id, Class: "write", Plan: "low", Volume: "v", Units: 2, Expires: h.now + 1000, Hosts: hosts})
				if h.sendCount(id) > 0 {
					sentUnits += 2
					h.endAttempt(id, Result(k%2)) // served, or a server error that is retried
					retries += h.sendCount(id) - 1
				}
				requests++
				h.advance(50)
			}
			if retries > 1+40/4 {
				t.Errorf("%d hosts: %d retries by one of them, want at most 11", hosts, retries)
			}
			start, end = 1000, h.now
		}
		if maxUnits := s.Plans[0].Limit*(end-start)/1000 + s.Plans[0].Burst + s.Plans[0].Overdraft; sentUnits > maxUnits {
			t.Errorf("%d hosts sent %v units of one volume, want at most %v", hosts, sentUnits, maxUnits)
		}
	}
}
