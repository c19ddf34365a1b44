package gateway

import (
	"testing"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/policy"
)

// newRegionalCore is a host core of region 0 of a service over two, with a node of shard 0 in
// each, and a module that sends each request to the node that it is told is ready.
func newRegionalCore() (*core, *fakeScheduler, *fakeEffects) {
	s := settings.Example(2, 1)
	s.Regions = &settings.Regions{Lease: 1000, Quiet: 500, Drift: 0.1, Hosts: []int{0, 1}}
	s.Plans[0].Copied = settings.AckBefore
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

func grantLease(k *core, now float64, record region.Record) {
	k.advance(now)
	k.applyGrant(now, &region.Grant{Ask: k.regions.Ask(now), Lease: 1000, Record: record})
}

func submitRequest(k *core, now float64, plan string) *job {
	j := &job{req: policy.Request{Expires: now + 4000, Plan: plan, Class: "claim-write", Volume: "v", Hosts: 2}, message: diskproto.Do{Effect: diskproto.Keyed}}
	k.submit(now, j)
	return j
}

// Without a lease nothing goes; with one, what goes carries the home's generation, goes to
// the home's node, and must begin before the lease ends. At its end all stops.
func TestSendsRequireLease(t *testing.T) {
	k, scheduler, effects := newRegionalCore()
	record := region.Begin(0, []region.ID{1}, [][2]float64{{0.25, 0.75}, {}, {}})
	submitRequest(k, 10, "basico")
	if len(effects.attempts) != 0 {
		t.Fatal("sent without a lease")
	}
	grantLease(k, 100, record)
	j := submitRequest(k, 200, "basico")
	if len(effects.attempts) != 1 || effects.attempts[0].node != "b" || effects.attempts[0].generation != 1 || effects.attempts[0].answerBy != 1000 || j.message.Copied {
		t.Fatalf("%d sent: %+v", len(effects.attempts), effects.attempts)
	}
	if request := scheduler.events[len(scheduler.events)-1].(policy.Request); request.Fraction < 0.22 || request.Fraction > 0.225 || request.FractionSince != 100 {
		t.Errorf("a part of %v since %v", request.Fraction, request.FractionSince)
	}
	if j := submitRequest(k, 210, "normal"); !j.message.Copied {
		t.Error("a plan that says nothing is acknowledged before its copy")
	}
	k.runDue(1000) // its end: 100 ms at which it was asked for, and a lease less its drift
	submitRequest(k, 1001, "basico")
	if len(effects.attempts) != 2 {
		t.Errorf("%d sent after the lease", len(effects.attempts))
	}
}

// A shard that moves is sent to where it is at home, and what may have run before is not
// sent again there, unless it may be anywhere.
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
			t.Errorf("sent into the other region: %v", sent)
		}
		if outcome := lastOutcome(scheduler); !dedupEverywhere && (len(scheduler.events) != eventCount+1 || outcome.Result != policy.NotSent) {
			t.Errorf("the module was told %+v", outcome)
		}
		if submitRequest(k, 110, "normal"); effects.attempts[len(effects.attempts)-1].node != "b" || effects.attempts[len(effects.attempts)-1].generation != 9 {
			t.Error("what is new does not go to the new home")
		}
	}
}

// A server that knows a later generation has the shard let alone until this host knows it.
func TestStaleGenerationStopsSends(t *testing.T) {
	k, scheduler, effects := newRegionalCore()
	record := region.Begin(0, []region.ID{0}, nil)
	grantLease(k, 0, record)
	submitRequest(k, 10, "normal")
	effects.attempts[0].claim()
	k.receiveAnswer(20, effects.attempts[0], &diskproto.Answer{Result: diskproto.Stale})
	if outcome := lastOutcome(scheduler); outcome.Result != policy.NotSent {
		t.Errorf("%+v", outcome)
	}
	if submitRequest(k, 30, "normal"); len(effects.attempts) != 1 {
		t.Error("sent again under the generation that was refused")
	}
	record = record.Clone()
	record.Term, record.Homes[0].Gen = 5, 5
	grantLease(k, 40, record)
	if submitRequest(k, 50, "normal"); len(effects.attempts) != 2 || effects.attempts[1].generation != 5 {
		t.Error("not sent under the later generation")
	}
}
