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

// First must return the earliest timer, and of timers due at the same time the one pushed first.
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
			queue.Remove(pending[i]) // no effect
			pending = slices.Delete(pending, i, i+1)
		default:
			// Of equal times MinFunc returns the first, which was pushed first.
			want := slices.MinFunc(pending, func(a, b *timer) int { return int(a.Due - b.Due) })
			if got := queue.First(); got != want {
				t.Fatalf("First: got a timer due at %v, want the first pushed of those due at %v", got.Due, want.Due)
			}
			queue.Remove(want)
			pending = slices.DeleteFunc(pending, func(entry *timer) bool { return entry == want })
		}
		if len(queue.All()) != len(pending) {
			t.Fatalf("got %d timers, want %d", len(queue.All()), len(pending))
		}
	}
}

// fakeScheduler is a policy.Scheduler that records events and returns the actions of respond, if
// not nil.
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

// fakeEffects is an effectHandler that records the effects of a core under test.
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

// newTestCore returns a core under example settings for one host, whose policy answers events with
// the actions of respond.
func newTestCore(respond func(policy.Event) []policy.Action) (*core, *fakeScheduler, *fakeEffects) {
	effects := &fakeEffects{}
	k := newCore(0, settings.Example(1, 1), 0, "", 1, effects)
	scheduler := &fakeScheduler{respond: respond}
	k.scheduler = scheduler
	return k, scheduler, effects
}

// sendOnRequest sends each request to node n with a timeout at 500 ms.
func sendOnRequest(event policy.Event) []policy.Action {
	if request, ok := event.(policy.Request); ok {
		return []policy.Action{policy.Send{ID: request.ID, Node: "n", TimeoutAt: 500}}
	}
	return nil
}

// lastOutcome returns the last outcome reported to the policy; its result is -1 if there is none.
func lastOutcome(scheduler *fakeScheduler) policy.Outcome {
	for i := len(scheduler.events) - 1; i >= 0; i-- {
		if outcome, ok := scheduler.events[i].(policy.Outcome); ok {
			return outcome
		}
	}
	return policy.Outcome{Result: -1}
}

// An attempt that times out while it waits for a connection must be reported as never sent, and one
// that was claimed as without an answer. Neither may be claimed or have another outcome afterwards.
func TestTimeoutResultDependsOnClaim(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		k, scheduler, effects := newTestCore(sendOnRequest)
		j := &job{req: policy.Request{Expires: 2000}}
		k.submit(100, j)
		a := effects.attempts[0]
		if claimed && !a.claim() {
			t.Fatal("claim of a waiting attempt: got false")
		}
		if k.nextDue() != 500 {
			t.Fatalf("next timer: got %v ms, want 500", k.nextDue())
		}
		k.runDue(499)
		k.runDue(500)
		want := policy.NoConnection
		if claimed {
			want = policy.NoAnswer
		}
		if outcome := lastOutcome(scheduler); outcome.Result != want || outcome.Done || outcome.Elapsed != 400 {
			t.Errorf("claimed %v: got %+v, want one timeout after 400 ms", claimed, outcome)
		}
		if a.claim() {
			t.Error("attempt could be claimed after its timeout")
		}
		eventCount := len(scheduler.events)
		k.receiveAnswer(600, a, &diskproto.Answer{Result: diskproto.OK})
		k.failAttempt(600, a, policy.ConnectionLost)
		if len(scheduler.events) != eventCount || len(effects.outcomes) != 0 {
			t.Error("an answer or failure after the timeout was reported")
		}
	}
}

// A served job must ignore later aborts, failures and sends, and leave no timer.
func TestServedJobEndsOnce(t *testing.T) {
	k, scheduler, effects := newTestCore(sendOnRequest)
	j := &job{req: policy.Request{Expires: 2000}}
	k.submit(100, j)
	effects.attempts[0].claim()
	k.receiveAnswer(150, effects.attempts[0], &diskproto.Answer{Result: diskproto.OK})
	if outcome := lastOutcome(scheduler); outcome.Result != policy.Served || !outcome.Done {
		t.Errorf("outcome: got %+v, want served and done", outcome)
	}
	k.abort(160, j)
	k.perform(policy.Fail{ID: j.id})
	k.perform(policy.Send{ID: j.id, Node: "n"})
	if !slices.Equal(effects.outcomes, []jobOutcome{jobServed}) || len(effects.attempts) != 1 || len(k.jobs) != 0 || !math.IsInf(k.nextDue(), 1) {
		t.Errorf("got job outcomes %v, %d attempts, %d open jobs, next timer %v, want [served], 1, 0, none", effects.outcomes, len(effects.attempts), len(k.jobs), k.nextDue())
	}
}

// An aborted job must settle only when none of its attempts can take effect: at the deadline of an
// attempt whose connection was lost.
func TestAbortedJobSettlesAtDeadline(t *testing.T) {
	k, scheduler, effects := newTestCore(sendOnRequest)
	j := &job{req: policy.Request{Expires: 2000}}
	k.submit(100, j)
	effects.attempts[0].claim()
	k.abort(150, j)
	if _, ok := scheduler.events[len(scheduler.events)-1].(policy.ClientGone); !ok || effects.settledCount != 0 {
		t.Fatalf("after the abort: got event %T, settled %d times, want policy.ClientGone and 0", scheduler.events[len(scheduler.events)-1], effects.settledCount)
	}
	k.failAttempt(160, effects.attempts[0], policy.ConnectionLost)
	if outcome := lastOutcome(scheduler); outcome.Result != policy.ConnectionLost || !outcome.Done || effects.settledCount != 0 {
		t.Fatalf("lost connection: got %+v, settled %d times, want done with connection lost and 0", outcome, effects.settledCount)
	}
	k.runDue(499)
	if effects.settledCount != 0 {
		t.Error("settled before the deadline")
	}
	k.runDue(500)
	if effects.settledCount != 1 || !math.IsInf(k.nextDue(), 1) {
		t.Errorf("at the deadline: settled %d times, want once and no timer left", effects.settledCount)
	}
}

// A cancelled attempt must be reported as such, and may take effect until its deadline.
func TestCancelAttempt(t *testing.T) {
	k, scheduler, effects := newTestCore(sendOnRequest)
	j := &job{req: policy.Request{Expires: 2000}}
	k.submit(100, j)
	effects.attempts[0].claim()
	k.perform(policy.CancelAttempt{ID: j.id, Attempt: 0})
	k.runDue(101)
	if outcome := lastOutcome(scheduler); outcome.Result != policy.Cancelled || j.effectDeadline != 500 {
		t.Errorf("got %+v, may take effect until %v, want cancelled and 500", outcome, j.effectDeadline)
	}
}

// A node's start must stay the same when its age is reported again, and change with its
// incarnation.
func TestNodeStartTimes(t *testing.T) {
	k, scheduler, effects := newTestCore(nil)
	updateNode := func(now, age float64, incarnation uint64, health string) policy.Node {
		k.updateNodes(now, inventory.List{Kind: inventory.Delta, Nodes: []inventory.Node{{Addr: "n", Health: health, Incarnation: incarnation, AgeMS: age}}})
		return scheduler.events[len(scheduler.events)-1].(policy.NodeList).Nodes[0]
	}
	first := updateNode(1000, 300, 1, inventory.Ready).Started
	if again := updateNode(2000, 1290, 1, inventory.Draining).Started; first != 700 || again != first {
		t.Errorf("start of one incarnation: got %v, then %v, want 700 both times", first, again)
	}
	if restarted := updateNode(3000, 10, 2, inventory.Ready).Started; restarted != 2990 {
		t.Errorf("start of the next incarnation: got %v, want 2990", restarted)
	}
	if unknown := updateNode(3000, 0, 3, inventory.Ready).Started; unknown != 0 {
		t.Errorf("start with age 0: got %v, want 0", unknown)
	}
	updateNode(4000, 0, 3, inventory.Gone)
	if !slices.Equal(effects.retiredNodes, []string{"n"}) || len(k.nodes) != 0 {
		t.Errorf("after the node's removal: got retired %v, %d nodes, want [n] and 0", effects.retiredNodes, len(k.nodes))
	}
	k.updateNodes(5000, inventory.List{Kind: inventory.Failed})
	if _, ok := scheduler.events[len(scheduler.events)-1].(policy.ListFailed); !ok {
		t.Error("a failed list was not reported to the policy")
	}
}

func (f *fakeScheduler) View(float64) policy.View { return policy.View{} }
