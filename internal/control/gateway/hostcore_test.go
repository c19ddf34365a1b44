package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/policy"
)

func TestDuesComeInOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var h timerQueue
	var live []*timer
	for range 20000 {
		switch {
		case len(live) == 0 || rng.IntN(3) > 0:
			d := &timer{Due: float64(rng.IntN(50))}
			h.Push(d)
			live = append(live, d)
		case rng.IntN(2) == 0:
			i := rng.IntN(len(live))
			h.Remove(live[i])
			h.Remove(live[i]) // twice does no harm
			live = slices.Delete(live, i, i+1)
		default:
			// Of equals the first, which was set before the others.
			want := slices.MinFunc(live, func(a, b *timer) int { return int(a.Due - b.Due) })
			if got := h.First(); got != want {
				t.Fatalf("first is due at %v, want %v", got.Due, want.Due)
			}
			h.Remove(want)
			live = slices.DeleteFunc(live, func(d *timer) bool { return d == want })
		}
		if len(h.All()) != len(live) {
			t.Fatalf("%d entries, want %d", len(h.All()), len(live))
		}
	}
}

// script is a module that does what a test says, and notes what it is told.
type script struct {
	told []policy.Event
	then func(policy.Event) []policy.Action
}

func (s *script) Handle(_ float64, ev policy.Event) []policy.Action {
	s.told = append(s.told, ev)
	if s.then != nil {
		return s.then(ev)
	}
	return nil
}

// noted is the effects of a core, as a test sees them.
type noted struct {
	sent    []*attempt
	ends    []jobOutcome
	settle  int
	retired []string
	forgot  int
}

func (n *noted) send(a *attempt)          { n.sent = append(n.sent, a) }
func (n *noted) cancel(*attempt)          {}
func (n *noted) attemptTimedOut(*attempt) { n.forgot++ }
func (n *noted) jobEnded(_ *job, k jobOutcome, _ float64, _ *diskproto.Answer) {
	n.ends = append(n.ends, k)
}
func (n *noted) jobSettled(*job)     { n.settle++ }
func (n *noted) fetchList()          {}
func (n *noted) renewLease()         {}
func (n *noted) setLeaseEnd(float64) {}
func (n *noted) retire(node string)  { n.retired = append(n.retired, node) }
func (n *noted) warn(string)         {}

func newScripted(then func(policy.Event) []policy.Action) (*core, *script, *noted) {
	n := &noted{}
	h := newCore(0, settings.Example(1, 1), 0, "", 1, n)
	s := &script{then: then}
	h.scheduler = s
	return h, s, n
}

func sendAll(ev policy.Event) []policy.Action {
	if r, ok := ev.(policy.Request); ok {
		return []policy.Action{policy.Send{ID: r.ID, Node: "n", TimeoutAt: 500}}
	}
	return nil
}

func lastOutcome(s *script) policy.Outcome {
	for i := len(s.told) - 1; i >= 0; i-- {
		if o, ok := s.told[i].(policy.Outcome); ok {
			return o
		}
	}
	return policy.Outcome{Result: -1}
}

// An attempt whose time is up while it waits for a connection has certainly not
// gone out, and can't go out any more; one that was claimed may have run.
func TestTimeOutProves(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		h, s, n := newScripted(sendAll)
		j := &job{req: policy.Request{Expires: 2000}}
		h.submit(100, j)
		a := n.sent[0]
		if claimed && !a.claim() {
			t.Fatal("not to be claimed")
		}
		if h.nextDue() != 500 {
			t.Fatalf("next at %v", h.nextDue())
		}
		h.runDue(499)
		h.runDue(500)
		want := policy.NoConnection
		if claimed {
			want = policy.NoAnswer
		}
		if o := lastOutcome(s); o.Result != want || o.Done || o.Elapsed != 400 {
			t.Errorf("claimed %v: %+v", claimed, o)
		}
		if a.claim() {
			t.Error("claimed after its time")
		}
		told := len(s.told)
		h.receiveAnswer(600, a, &diskproto.Answer{Result: diskproto.OK})
		h.failAttempt(600, a, policy.ConnectionLost)
		if len(s.told) != told || len(n.ends) != 0 {
			t.Error("a late answer was told")
		}
	}
}

func TestServedEndsOnce(t *testing.T) {
	h, s, n := newScripted(sendAll)
	j := &job{req: policy.Request{Expires: 2000}}
	h.submit(100, j)
	n.sent[0].claim()
	h.receiveAnswer(150, n.sent[0], &diskproto.Answer{Result: diskproto.OK})
	if o := lastOutcome(s); o.Result != policy.Served || !o.Done {
		t.Errorf("%+v", o)
	}
	h.abort(160, j)
	h.perform(policy.Fail{ID: j.id})
	h.perform(policy.Send{ID: j.id, Node: "n"})
	if !slices.Equal(n.ends, []jobOutcome{jobServed}) || len(n.sent) != 1 || len(h.jobs) != 0 || !math.IsInf(h.nextDue(), 1) {
		t.Errorf("ends %v, %d sends, %d jobs, next %v", n.ends, len(n.sent), len(h.jobs), h.nextDue())
	}
}

// A job that its client ended is settled only when nothing of it can land: with
// an attempt lost, at that attempt's deadline.
func TestSettledAtTheDeadline(t *testing.T) {
	h, s, n := newScripted(sendAll)
	j := &job{req: policy.Request{Expires: 2000}}
	h.submit(100, j)
	n.sent[0].claim()
	h.abort(150, j)
	if _, ok := s.told[len(s.told)-1].(policy.ClientGone); !ok || n.settle != 0 {
		t.Fatalf("told %T, settled %d", s.told[len(s.told)-1], n.settle)
	}
	h.failAttempt(160, n.sent[0], policy.ConnectionLost)
	if o := lastOutcome(s); o.Result != policy.ConnectionLost || !o.Done || n.settle != 0 {
		t.Fatalf("%+v, settled %d", o, n.settle)
	}
	h.runDue(499)
	if n.settle != 0 {
		t.Error("settled before the deadline")
	}
	h.runDue(500)
	if n.settle != 1 || !math.IsInf(h.nextDue(), 1) {
		t.Errorf("settled %d", n.settle)
	}
}

func TestCancel(t *testing.T) {
	h, s, n := newScripted(sendAll)
	j := &job{req: policy.Request{Expires: 2000}}
	h.submit(100, j)
	n.sent[0].claim()
	h.perform(policy.CancelAttempt{ID: j.id, Attempt: 0})
	h.runDue(101)
	if o := lastOutcome(s); o.Result != policy.Cancelled || j.effectDeadline != 500 {
		t.Errorf("%+v, may land until %v", o, j.effectDeadline)
	}
}

// The same start is told again and again with another age; the module must take
// it for one start, and another incarnation for another.
func TestStartOfANode(t *testing.T) {
	h, s, n := newScripted(nil)
	tell := func(now, age float64, inc uint64, health string) policy.Node {
		h.updateNodes(now, inventory.List{Kind: inventory.Delta, Nodes: []inventory.Node{{Addr: "n", Health: health, Incarnation: inc, AgeMS: age}}})
		return s.told[len(s.told)-1].(policy.NodeList).Nodes[0]
	}
	first := tell(1000, 300, 1, inventory.Ready).Started
	if again := tell(2000, 1290, 1, inventory.Draining).Started; first != 700 || again != first {
		t.Errorf("started at %v, then %v", first, again)
	}
	if other := tell(3000, 10, 2, inventory.Ready).Started; other != 2990 {
		t.Errorf("the next start at %v", other)
	}
	if long := tell(3000, 0, 3, inventory.Ready).Started; long != 0 {
		t.Errorf("long ago is %v", long)
	}
	tell(4000, 0, 3, inventory.Gone)
	if !slices.Equal(n.retired, []string{"n"}) || len(h.nodes) != 0 {
		t.Errorf("retired %v, %d nodes", n.retired, len(h.nodes))
	}
	h.updateNodes(5000, inventory.List{Kind: inventory.Failed})
	if _, ok := s.told[len(s.told)-1].(policy.ListFailed); !ok {
		t.Error("a failure was not told")
	}
}

func (s *script) View(float64) policy.View { return policy.View{} }
