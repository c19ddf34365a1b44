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

func TestTimerQueueOrder(t *testing.T) {
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

// fakeScheduler is a module that does what a test says, and notes what it is told.
type fakeScheduler struct {
	events  []policy.Event
	respond func(policy.Event) []policy.Action
}

func (s *fakeScheduler) Handle(_ float64, ev policy.Event) []policy.Action {
	s.events = append(s.events, ev)
	if s.respond != nil {
		return s.respond(ev)
	}
	return nil
}

// fakeEffects is the effects of a core, as a test sees them.
type fakeEffects struct {
	attempts     []*attempt
	outcomes     []jobOutcome
	settledCount int
	retiredNodes []string
	timeoutCount int
}

func (n *fakeEffects) send(a *attempt)          { n.attempts = append(n.attempts, a) }
func (n *fakeEffects) cancel(*attempt)          {}
func (n *fakeEffects) attemptTimedOut(*attempt) { n.timeoutCount++ }
func (n *fakeEffects) jobEnded(_ *job, k jobOutcome, _ float64, _ *diskproto.Answer) {
	n.outcomes = append(n.outcomes, k)
}
func (n *fakeEffects) jobSettled(*job)     { n.settledCount++ }
func (n *fakeEffects) fetchList()          {}
func (n *fakeEffects) renewLease()         {}
func (n *fakeEffects) setLeaseEnd(float64) {}
func (n *fakeEffects) retire(node string)  { n.retiredNodes = append(n.retiredNodes, node) }
func (n *fakeEffects) warn(string)         {}

func newTestCore(then func(policy.Event) []policy.Action) (*core, *fakeScheduler, *fakeEffects) {
	n := &fakeEffects{}
	h := newCore(0, settings.Example(1, 1), 0, "", 1, n)
	s := &fakeScheduler{respond: then}
	h.scheduler = s
	return h, s, n
}

func sendOnRequest(ev policy.Event) []policy.Action {
	if r, ok := ev.(policy.Request); ok {
		return []policy.Action{policy.Send{ID: r.ID, Node: "n", TimeoutAt: 500}}
	}
	return nil
}

func lastOutcome(s *fakeScheduler) policy.Outcome {
	for i := len(s.events) - 1; i >= 0; i-- {
		if o, ok := s.events[i].(policy.Outcome); ok {
			return o
		}
	}
	return policy.Outcome{Result: -1}
}

// An attempt whose time is up while it waits for a connection has certainly not
// gone out, and can't go out any more; one that was claimed may have run.
func TestTimeoutResultDependsOnClaim(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		h, s, n := newTestCore(sendOnRequest)
		j := &job{req: policy.Request{Expires: 2000}}
		h.submit(100, j)
		a := n.attempts[0]
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
		told := len(s.events)
		h.receiveAnswer(600, a, &diskproto.Answer{Result: diskproto.OK})
		h.failAttempt(600, a, policy.ConnectionLost)
		if len(s.events) != told || len(n.outcomes) != 0 {
			t.Error("a late answer was told")
		}
	}
}

func TestServedJobEndsOnce(t *testing.T) {
	h, s, n := newTestCore(sendOnRequest)
	j := &job{req: policy.Request{Expires: 2000}}
	h.submit(100, j)
	n.attempts[0].claim()
	h.receiveAnswer(150, n.attempts[0], &diskproto.Answer{Result: diskproto.OK})
	if o := lastOutcome(s); o.Result != policy.Served || !o.Done {
		t.Errorf("%+v", o)
	}
	h.abort(160, j)
	h.perform(policy.Fail{ID: j.id})
	h.perform(policy.Send{ID: j.id, Node: "n"})
	if !slices.Equal(n.outcomes, []jobOutcome{jobServed}) || len(n.attempts) != 1 || len(h.jobs) != 0 || !math.IsInf(h.nextDue(), 1) {
		t.Errorf("ends %v, %d sends, %d jobs, next %v", n.outcomes, len(n.attempts), len(h.jobs), h.nextDue())
	}
}

// A job that its client ended is settled only when nothing of it can land: with
// an attempt lost, at that attempt's deadline.
func TestAbortedJobSettlesAtDeadline(t *testing.T) {
	h, s, n := newTestCore(sendOnRequest)
	j := &job{req: policy.Request{Expires: 2000}}
	h.submit(100, j)
	n.attempts[0].claim()
	h.abort(150, j)
	if _, ok := s.events[len(s.events)-1].(policy.ClientGone); !ok || n.settledCount != 0 {
		t.Fatalf("told %T, settled %d", s.events[len(s.events)-1], n.settledCount)
	}
	h.failAttempt(160, n.attempts[0], policy.ConnectionLost)
	if o := lastOutcome(s); o.Result != policy.ConnectionLost || !o.Done || n.settledCount != 0 {
		t.Fatalf("%+v, settled %d", o, n.settledCount)
	}
	h.runDue(499)
	if n.settledCount != 0 {
		t.Error("settled before the deadline")
	}
	h.runDue(500)
	if n.settledCount != 1 || !math.IsInf(h.nextDue(), 1) {
		t.Errorf("settled %d", n.settledCount)
	}
}

func TestCancelAttempt(t *testing.T) {
	h, s, n := newTestCore(sendOnRequest)
	j := &job{req: policy.Request{Expires: 2000}}
	h.submit(100, j)
	n.attempts[0].claim()
	h.perform(policy.CancelAttempt{ID: j.id, Attempt: 0})
	h.runDue(101)
	if o := lastOutcome(s); o.Result != policy.Cancelled || j.effectDeadline != 500 {
		t.Errorf("%+v, may land until %v", o, j.effectDeadline)
	}
}

// The same start is told again and again with another age; the module must take
// it for one start, and another incarnation for another.
func TestNodeStartTimes(t *testing.T) {
	h, s, n := newTestCore(nil)
	tell := func(now, age float64, inc uint64, health string) policy.Node {
		h.updateNodes(now, inventory.List{Kind: inventory.Delta, Nodes: []inventory.Node{{Addr: "n", Health: health, Incarnation: inc, AgeMS: age}}})
		return s.events[len(s.events)-1].(policy.NodeList).Nodes[0]
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
	if !slices.Equal(n.retiredNodes, []string{"n"}) || len(h.nodes) != 0 {
		t.Errorf("retired %v, %d nodes", n.retiredNodes, len(h.nodes))
	}
	h.updateNodes(5000, inventory.List{Kind: inventory.Failed})
	if _, ok := s.events[len(s.events)-1].(policy.ListFailed); !ok {
		t.Error("a failure was not told")
	}
}

func (s *fakeScheduler) View(float64) policy.View { return policy.View{} }
