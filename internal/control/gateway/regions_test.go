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
	set := settings.Example(2, 1)
	set.Regions = &settings.Regions{Lease: 1000, Quiet: 500, Drift: 0.1, Hosts: []int{0, 1}}
	set.Plans[0].Copied = settings.AckBefore
	n := &fakeEffects{}
	h := newCore(0, set, 0, "", 1, n)
	s := &fakeScheduler{}
	ready := map[string]bool{}
	s.respond = func(ev policy.Event) (out []policy.Action) {
		switch ev := ev.(type) {
		case policy.NodeList:
			for _, x := range ev.Nodes {
				ready[x.Addr] = x.Health == policy.Ready
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
	h.scheduler = s
	h.updateNodes(0, inventory.List{Kind: inventory.Full, Nodes: []inventory.Node{{Addr: "a", Health: inventory.Ready}, {Addr: "b", Health: inventory.Ready, Region: 1}}})
	return h, s, n
}

func grantLease(h *core, now float64, rec region.Record) {
	h.advance(now)
	h.applyGrant(now, &region.Grant{Ask: h.regions.Ask(now), Lease: 1000, Record: rec})
}

func submitRequest(h *core, now float64, plan string) *job {
	j := &job{req: policy.Request{Expires: now + 4000, Plan: plan, Class: "claim-write", Volume: "v", Hosts: 2}, message: diskproto.Do{Effect: diskproto.Keyed}}
	h.submit(now, j)
	return j
}

// Without a lease nothing goes; with one, what goes carries the home's generation, goes to
// the home's node, and must begin before the lease ends. At its end all stops.
func TestSendsRequireLease(t *testing.T) {
	h, s, n := newRegionalCore()
	rec := region.Begin(0, []region.ID{1}, [][2]float64{{0.25, 0.75}, {}, {}})
	submitRequest(h, 10, "basico")
	if len(n.attempts) != 0 {
		t.Fatal("sent without a lease")
	}
	grantLease(h, 100, rec)
	j := submitRequest(h, 200, "basico")
	if len(n.attempts) != 1 || n.attempts[0].node != "b" || n.attempts[0].generation != 1 || n.attempts[0].answerBy != 1000 || j.message.Copied {
		t.Fatalf("%d sent: %+v", len(n.attempts), n.attempts)
	}
	if q := s.events[len(s.events)-1].(policy.Request); q.Fraction < 0.22 || q.Fraction > 0.225 || q.FractionSince != 100 {
		t.Errorf("a part of %v since %v", q.Fraction, q.FractionSince)
	}
	if j := submitRequest(h, 210, "normal"); !j.message.Copied {
		t.Error("a plan that says nothing is acknowledged before its copy")
	}
	h.runDue(1000) // its end: 100 ms at which it was asked for, and a lease less its drift
	submitRequest(h, 1001, "basico")
	if len(n.attempts) != 2 {
		t.Errorf("%d sent after the lease", len(n.attempts))
	}
}

// A shard that moves is sent to where it is at home, and what may have run before is not
// sent again there, unless it may be anywhere.
func TestNoRetryAcrossShardMove(t *testing.T) {
	for _, everywhere := range []bool{false, true} {
		h, s, n := newRegionalCore()
		if everywhere {
			h.dedupScopes["claim-write"] = policy.DedupAll
		}
		rec := region.Begin(0, []region.ID{0}, nil)
		grantLease(h, 0, rec)
		j := submitRequest(h, 10, "normal")
		h.failAttempt(20, n.attempts[0], policy.ConnectionLost)
		rec = rec.Clone()
		rec.Term, rec.Homes[0] = 9, region.Home{Region: 1, From: 1, Gen: 9, Moved: 9}
		grantLease(h, 100, rec)
		told := len(s.events)
		h.perform(policy.Send{ID: j.id, Node: "b"})
		h.runDue(100)
		if went := len(n.attempts) == 2; went != everywhere {
			t.Errorf("sent into the other region: %v", went)
		}
		if o := lastOutcome(s); !everywhere && (len(s.events) != told+1 || o.Result != policy.NotSent) {
			t.Errorf("the module was told %+v", o)
		}
		if submitRequest(h, 110, "normal"); n.attempts[len(n.attempts)-1].node != "b" || n.attempts[len(n.attempts)-1].generation != 9 {
			t.Error("what is new does not go to the new home")
		}
	}
}

// A server that knows a later generation has the shard let alone until this host knows it.
func TestStaleGenerationStopsSends(t *testing.T) {
	h, s, n := newRegionalCore()
	rec := region.Begin(0, []region.ID{0}, nil)
	grantLease(h, 0, rec)
	submitRequest(h, 10, "normal")
	n.attempts[0].claim()
	h.receiveAnswer(20, n.attempts[0], &diskproto.Answer{Result: diskproto.Stale})
	if o := lastOutcome(s); o.Result != policy.NotSent {
		t.Errorf("%+v", o)
	}
	if submitRequest(h, 30, "normal"); len(n.attempts) != 1 {
		t.Error("sent again under the generation that was refused")
	}
	rec = rec.Clone()
	rec.Term, rec.Homes[0].Gen = 5, 5
	grantLease(h, 40, rec)
	if submitRequest(h, 50, "normal"); len(n.attempts) != 2 || n.attempts[1].generation != 5 {
		t.Error("not sent under the later generation")
	}
}
