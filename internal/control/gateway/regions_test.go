package gateway

import (
	"testing"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/policy"
)

// newRegionalCore returns a core of region 0 of a service with two regions. Shard 0 has node a in
// region 0 and node b in region 1. The policy sends each request to the nodes listed as ready.
func newRegionalCore() (*core, *fakeScheduler, *fakeEffects) {
	s := settings.Example(2, 1)
	s.Regions = &settings.Regions{LeaseTime: 1000, PeerTimeout: 500, Drift: 0.1, Hosts: []int{0, 1}}
	s.Plans[0].WriteAck = settings.AckBeforeCopy
	effects := &fakeEffects{}
	k := newCore(0, s, 0, "", 1, effects)
	scheduler := &fakeScheduler{}
	ready := map[string]bool{}
	scheduler.respond = func(ev policy.Event) (out []policy.Action) {
		switch ev := ev.(type) {
		case policy.NodeList:
			for _, node := range ev.Nodes {
				ready[node.Addr] = node.Health == policy.Ready
			}
		case policy.Request:
			for _, addr := range []string{"a", "b"} {
				if ready[addr] {
					out = append(out, policy.Send{ID: ev.ID, Node: addr})
				}
			}
		}
		return out
	}
	k.scheduler = scheduler
	k.updateNodes(0, inventory.List{Kind: inventory.Full, Nodes: []inventory.Node{{Addr: "a", Health: inventory.Ready}, {Addr: "b", Health: inventory.Ready, Region: 1}}})
	return k, scheduler, effects
}

// grantLease applies a lease of 1000 ms, requested at now, with a region record.
func grantLease(k *core, now float64, record region.Record) {
	k.advance(now)
	k.applyGrant(now, &region.Grant{Ask: k.regions.Ask(now), Lease: 1000, Record: record})
}

// submitRequest submits a keyed write of class claim-write that expires 4000 ms after now.
func submitRequest(k *core, now float64, plan string) *job {
	j := &job{req: policy.Request{Expires: now + 4000, Plan: plan, Class: "claim-write", Volume: "v", Hosts: 2}, message: diskproto.Do{Effect: diskproto.Keyed}}
	k.submit(now, j)
	return j
}

// Attempts must be sent only under a lease, to the node of the shard's home region, with the home's
// generation and a deadline no later than the lease's end.
func TestSendsRequireLease(t *testing.T) {
	k, scheduler, effects := newRegionalCore()
	record := region.Begin(0, []region.ID{1}, [][2]float64{{0.25, 0.75}, {}, {}})
	submitRequest(k, 10, "basico")
	if len(effects.attempts) != 0 {
		t.Fatal("attempt sent without a lease")
	}
	grantLease(k, 100, record)
	j := submitRequest(k, 200, "basico")
	if len(effects.attempts) != 1 || effects.attempts[0].node != "b" || effects.attempts[0].generation != 1 || effects.attempts[0].answerBy != 1000 || j.message.Copied {
		t.Fatalf("under the lease: got %d attempts %+v, want one to node b with generation 1, due at 1000", len(effects.attempts), effects.attempts)
	}
	if request := scheduler.events[len(scheduler.events)-1].(policy.Request); request.Fraction < 0.22 || request.Fraction > 0.225 || request.FractionSince != 100 {
		t.Errorf("share of the limit: got %v since %v, want 0.22 to 0.225 since 100", request.Fraction, request.FractionSince)
	}
	if j := submitRequest(k, 210, "normal"); !j.message.Copied {
		t.Error("write of a plan without the setting copied is acknowledged before its copy, want after it")
	}
	k.runDue(1000) // the lease ends: requested at 100 ms, 1000 ms less the drift of 0.1
	submitRequest(k, 1001, "basico")
	if len(effects.attempts) != 2 {
		t.Errorf("after the lease: got %d attempts, want still 2", len(effects.attempts))
	}
}

// After a shard moved, an attempt that may have run in the old region must not be retried in the
// new one unless deduplication covers all regions. New requests must go to the new home.
func TestNoRetryAcrossShardMove(t *testing.T) {
	for _, dedupEverywhere := range []bool{false, true} {
		k, scheduler, effects := newRegionalCore()
		if dedupEverywhere {
			k.dedupScopes["claim-write"] = policy.DedupAll
		}
		record := region.Begin(0, []region.ID{0}, nil)
		grantLease(k, 0, record)
		j := submitRequest(k, 10, "normal")
		k.failAttempt(20, effects.attempts[0], policy.ConnectionLost)
		record = record.Clone()
		record.Term, record.Homes[0] = 9, region.Home{Region: 1, From: 1, Gen: 9, Moved: 9}
		grantLease(k, 100, record)
		eventCount := len(scheduler.events)
		k.perform(policy.Send{ID: j.id, Node: "b"})
		k.runDue(100)
		if sent := len(effects.attempts) == 2; sent != dedupEverywhere {
			t.Errorf("retry sent to the new region: got %v, want the opposite", sent)
		}
		if outcome := lastOutcome(scheduler); !dedupEverywhere && (len(scheduler.events) != eventCount+1 || outcome.Result != policy.NotSent) {
			t.Errorf("refused retry: got %+v, want one outcome, not sent", outcome)
		}
		if submitRequest(k, 110, "normal"); effects.attempts[len(effects.attempts)-1].node != "b" || effects.attempts[len(effects.attempts)-1].generation != 9 {
			t.Error("new request was not sent to node b with generation 9")
		}
	}
}

// After a disk server rejected a generation as stale, nothing may be sent to the shard until a
// lease brings a later one.
func TestStaleGenerationStopsSends(t *testing.T) {
	k, scheduler, effects := newRegionalCore()
	record := region.Begin(0, []region.ID{0}, nil)
	grantLease(k, 0, record)
	submitRequest(k, 10, "normal")
	effects.attempts[0].claim()
	k.receiveAnswer(20, effects.attempts[0], &diskproto.Answer{Result: diskproto.Stale})
	if outcome := lastOutcome(scheduler); outcome.Result != policy.NotSent {
		t.Errorf("attempt rejected as stale: got %+v, want not sent", outcome)
	}
	if submitRequest(k, 30, "normal"); len(effects.attempts) != 1 {
		t.Error("attempt sent under the generation that was rejected as stale")
	}
	record = record.Clone()
	record.Term, record.Homes[0].Gen = 5, 5
	grantLease(k, 40, record)
	if submitRequest(k, 50, "normal"); len(effects.attempts) != 2 || effects.attempts[1].generation != 5 {
		t.Error("no attempt sent under the later generation")
	}
}
