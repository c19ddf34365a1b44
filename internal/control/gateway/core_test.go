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
	var queue timerQueue
	var pending []*timer
	for range 20000 {
		switch {
		case len(pending) == 0 || rng.IntN(3) > 0:
			entry := &timer{Due: float64(rng.IntN(50))}
			queue.Push(entry)
			pending = append(pending, entry)
		case rng.IntN(2) == 0:
			i := rng.IntN(len(pending))
			queue.Remove(pending[i])
			queue.Remove(pending[i]) // twice does no harm
			pending = slices.Delete(pending, i, i+1)
		default:
			// Of equals the first, which was set before the others.
			want := slices.MinFunc(pending, func(a, b *timer) int { return int(a.Due - b.Due) })
			if got := queue.First(); got != want {
				t.Fatalf("first is due at %v, want %v", got.Due, want.Due)
			}
			queue.Remove(want)
			pending = slices.DeleteFunc(pending, func(entry *timer) bool { return entry == want })
		}
		if len(queue.All()) != len(pending) {
			t.Fatalf("%d entries, want %d", len(queue.All()), len(pending))
		}
	}
}

// fakeScheduler is a module that does what a test says, and notes what it is told.
type fakeScheduler struct {
	events  []policy.Event
	respond func(policy.Event) []policy.Action
}

func (f *fakeScheduler) Handle(_ float64, event policy.Event) []policy.Action {
	f.events = append(f.events, event)
	if f.respond != nil {
		return f.respond(event)
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

func (e *fakeEffects) send(a *attempt)          { e.attempts = append(e.attempts, a) }
func (e *fakeEffects) cancel(*attempt)          {}
func (e *fakeEffects) attemptTimedOut(*attempt) { e.timeoutCount++ }
func (e *fakeEffects) jobEnded(_ *job, outcome jobOutcome, _ float64, _ *diskproto.Answer) {
	e.outcomes = append(e.outcomes, outcome)
}
func (e *fakeEffects) jobSettled(*job)     { e.settledCount++ }
func (e *fakeEffects) fetchList()          {}
func (e *fakeEffects) renewLease()         {}
func (e *fakeEffects) setLeaseEnd(float64) {}
func (e *fakeEffects) retire(node string)  { e.retiredNodes = append(e.retiredNodes, node) }
func (e *fakeEffects) warn(string)         {}

func newTestCore(respond func(policy.Event) []policy.Action) (*core, *fakeScheduler, *fakeEffects) {
	effects := &fakeEffects{}
	k := newCore(0, settings.Example(1, 1), 0, "", 1, effects)
	scheduler := &fakeScheduler{respond: respond}
	k.scheduler = scheduler
	return k, scheduler, effects
}

func sendOnRequest(event policy.Event) []policy.Action {
	if request, ok := event.(policy.Request); ok {
		return []policy.Action{policy.Send{ID: request.ID, Node: "n", TimeoutAt: 500}}
	}
	return nil
}

func lastOutcome(scheduler *fakeScheduler) policy.Outcome {
	for i := len(scheduler.events) - 1; i >= 0; i-- {
		if outcome, ok := scheduler.events[i].(policy.Outcome); ok {
			return outcome
		}
	}
	return policy.Outcome{Result: -1}
}

// An attempt whose time is up while it waits for a connection has certainly not
// gone out, and can't go out any more; one that was claimed may have run.
func TestTimeoutResultDependsOnClaim(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		k, scheduler, effects := newTestCore(sendOnRequest)
		j := &job{req: policy.Request{Expires: 2000}}
		k.submit(100, j)
		a := effects.attempts[0]
		if claimed && !a.claim() {
			t.Fatal("not to be claimed")
		}
		if k.nextDue() != 500 {
			t.Fatalf("next at %v", k.nextDue())
		}
		k.runDue(499)
		k.runDue(500)
		want := policy.NoConnection
		if claimed {
			want = policy.NoAnswer
		}
		if outcome := lastOutcome(scheduler); outcome.Result != want || outcome.Done || outcome.Elapsed != 400 {
			t.Errorf("claimed %v: %+v", claimed, outcome)
		}
		if a.claim() {
			t.Error("claimed after its time")
		}
		eventCount := len(scheduler.events)
		k.receiveAnswer(600, a, &diskproto.Answer{Result: diskproto.OK})
		k.failAttempt(600, a, policy.ConnectionLost)
		if len(scheduler.events) != eventCount || len(effects.outcomes) != 0 {
			t.Error("a late answer was told")
		}
	}
}

func TestServedJobEndsOnce(t *testing.T) {
	k, scheduler, effects := newTestCore(sendOnRequest)
	j := &job{req: policy.Request{Expires: 2000}}
	k.submit(100, j)
	effects.attempts[0].claim()
	k.receiveAnswer(150, effects.attempts[0], &diskproto.Answer{Result: diskproto.OK})
	if outcome := lastOutcome(scheduler); outcome.Result != policy.Served || !outcome.Done {
		t.Errorf("%+v", outcome)
	}
	k.abort(160, j)
	k.perform(policy.Fail{ID: j.id})
	k.perform(policy.Send{ID: j.id, Node: "n"})
	if !slices.Equal(effects.outcomes, []jobOutcome{jobServed}) || len(effects.attempts) != 1 || len(k.jobs) != 0 || !math.IsInf(k.nextDue(), 1) {
		t.Errorf("ends %v, %d sends, %d jobs, next %v", effects.outcomes, len(effects.attempts), len(k.jobs), k.nextDue())
	}
}

// A job that its client ended is settled only when nothing of it can land: with
// an attempt lost, at that attempt's deadline.
func TestAbortedJobSettlesAtDeadline(t *testing.T) {
	k, scheduler, effects := newTestCore(sendOnRequest)
	j := &job{req: policy.Request{Expires: 2000}}
	k.submit(100, j)
	effects.attempts[0].claim()
	k.abort(150, j)
	if _, ok := scheduler.events[len(scheduler.events)-1].(policy.ClientGone); !ok || effects.settledCount != 0 {
		t.Fatalf("told %T, settled %d", scheduler.events[len(scheduler.events)-1], effects.settledCount)
	}
	k.failAttempt(160, effects.attempts[0], policy.ConnectionLost)
	if outcome := lastOutcome(scheduler); outcome.Result != policy.ConnectionLost || !outcome.Done || effects.settledCount != 0 {
		t.Fatalf("%+v, settled %d", outcome, effects.settledCount)
	}
	k.runDue(499)
	if effects.settledCount != 0 {
		t.Error("settled before the deadline")
	}
	k.runDue(500)
	if effects.settledCount != 1 || !math.IsInf(k.nextDue(), 1) {
		t.Errorf("settled %d", effects.settledCount)
	}
}

func TestCancelAttempt(t *testing.T) {
	k, scheduler, effects := newTestCore(sendOnRequest)
	j := &job{req: policy.Request{Expires: 2000}}
	k.submit(100, j)
	effects.attempts[0].claim()
	k.perform(policy.CancelAttempt{ID: j.id, Attempt: 0})
	k.runDue(101)
	if outcome := lastOutcome(scheduler); outcome.Result != policy.Cancelled || j.effectDeadline != 500 {
		t.Errorf("%+v, may land until %v", outcome, j.effectDeadline)
	}
}

// The same start is told again and again with another age; the module must take
// it for one start, and another incarnation for another.
func TestNodeStartTimes(t *testing.T) {
	k, scheduler, effects := newTestCore(nil)
	updateNode := func(now, age float64, incarnation uint64, health string) policy.Node {
		k.updateNodes(now, inventory.List{Kind: inventory.Delta, Nodes: []inventory.Node{{Addr: "n", Health: health, Incarnation: incarnation, AgeMS: age}}})
		return scheduler.events[len(scheduler.events)-1].(policy.NodeList).Nodes[0]
	}
	first := updateNode(1000, 300, 1, inventory.Ready).Started
	if again := updateNode(2000, 1290, 1, inventory.Draining).Started; first != 700 || again != first {
		t.Errorf("started at %v, then %v", first, again)
	}
	if restarted := updateNode(3000, 10, 2, inventory.Ready).Started; restarted != 2990 {
		t.Errorf("the next start at %v", restarted)
	}
	if unknown := updateNode(3000, 0, 3, inventory.Ready).Started; unknown != 0 {
		t.Errorf("long ago is %v", unknown)
	}
	updateNode(4000, 0, 3, inventory.Gone)
	if !slices.Equal(effects.retiredNodes, []string{"n"}) || len(k.nodes) != 0 {
		t.Errorf("retired %v, %d nodes", effects.retiredNodes, len(k.nodes))
	}
	k.updateNodes(5000, inventory.List{Kind: inventory.Failed})
	if _, ok := scheduler.events[len(scheduler.events)-1].(policy.ListFailed); !ok {
		t.Error("a failure was not told")
	}
}

func (f *fakeScheduler) View(float64) policy.View { return policy.View{} }
