package lab

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
)

func TestReservationsOverThreeHosts(t *testing.T) {
	for seed := range uint64(3) {
		h, err := RunReservations(context.Background(), seed+1, 15, false)
		if err != nil {
			t.Fatal(err)
		}
		if bad := h.Check(); bad != "" {
			t.Errorf("seed %d: %s", seed+1, bad)
		}
	}
}

// Disk servers that keep no fence are found out.
func TestMissingFenceIsDetected(t *testing.T) {
	for seed := range uint64(40) {
		h, err := RunReservations(context.Background(), seed+1, 15, true)
		if err != nil {
			t.Fatal(err)
		}
		if bad := h.Check(); bad != "" {
			t.Logf("seed %d: %s", seed+1, bad)
			return
		}
	}
	t.Error("forty runs without fences were all taken for good")
}

// validHistory has three initiators registered, the first holding a write exclusive
// reservation that the second pre-empts.
func validHistory() *ReservationHistory {
	at := func(n int) (time.Duration, time.Duration) { return time.Duration(10 * n), time.Duration(10*n + 5) }
	h := &ReservationHistory{AppliedWrites: map[uint64][]time.Duration{1: {43}}}
	add := func(s ReservationStep) {
		s.Call, s.Return = at(len(h.Steps))
		h.Steps = append(h.Steps, s)
	}
	add(ReservationStep{Initiator: 0, Kind: stepRegister, Outcome: outcomeGood})
	add(ReservationStep{Initiator: 1, Kind: stepRegister, Outcome: outcomeGood})
	add(ReservationStep{Initiator: 2, Kind: stepRegister, Outcome: outcomeGood})
	add(ReservationStep{Initiator: 0, Kind: stepReserve, ReservationType: 1, Outcome: outcomeGood})
	add(ReservationStep{Initiator: 0, Kind: stepWrite, Stamp: 1, Outcome: outcomeGood})
	add(ReservationStep{Initiator: 2, Kind: stepWrite, Stamp: 2, Outcome: outcomeConflict})
	add(ReservationStep{Initiator: 1, Kind: stepPreempt, Preempted: 0, ReservationType: 1, Outcome: outcomeGood})
	add(ReservationStep{Initiator: 0, Kind: stepWrite, Stamp: 3, Outcome: outcomeConflict})
	add(ReservationStep{Initiator: 1, Kind: stepWrite, Stamp: 4, Outcome: outcomeGood})
	return h
}

func TestInvalidHistoriesAreRejected(t *testing.T) {
	if bad := validHistory().Check(); bad != "" {
		t.Fatal(bad)
	}
	for name, spoil := range map[string]func(*ReservationHistory){
		"a pre-empted holder writes":          func(h *ReservationHistory) { h.Steps[7].Outcome = outcomeGood },
		"a stranger writes":                   func(h *ReservationHistory) { h.Steps[5].Outcome = outcomeGood },
		"the holder meets a conflict":         func(h *ReservationHistory) { h.Steps[8].Outcome = outcomeConflict },
		"two hold at once":                    func(h *ReservationHistory) { h.Steps[6].Kind = stepReserve },
		"a pre-emption of who is not there":   func(h *ReservationHistory) { h.Steps[6].Preempted = 3 },
		"a reservation without a key":         func(h *ReservationHistory) { h.Steps[0].Kind = stepUnregister },
		"a write lands after its pre-emption": func(h *ReservationHistory) { h.applyWriteAfterPreemption() },
	} {
		h := validHistory()
		spoil(h)
		if h.Check() == "" {
			t.Errorf("%s: taken for good", name)
		}
	}
}

// applyWriteAfterPreemption has the pre-empted write land at a disk server long after the answer: it had
// been sent before, and its client never heard.
func (h *ReservationHistory) applyWriteAfterPreemption() {
	h.Steps[3] = ReservationStep{Initiator: 1, Kind: stepReserve, ReservationType: 5, Outcome: outcomeGood, Call: 30, Return: 35}
	h.Steps[4].Outcome, h.Steps[5].Outcome = outcomeUnknown, outcomeGood
	h.Steps[7].Outcome = outcomeConflict
	h.AppliedWrites[1] = []time.Duration{70}
}

// newTwoSessionRig is a rig without faults, with a session of each of two initiators, through two
// hosts.
func newTwoSessionRig(t *testing.T) (*reservationRig, func(who int, kind string, typ byte, whom int, want string)) {
	t.Helper()
	w := env.NewReal()
	r, err := newReservationRig(w, loopbackTestbed{Environment: w}, 1, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	rng := rand.New(rand.NewPCG(1, 1))
	var s [2]*initiator.Client
	for i := range s {
		for s[i] == nil {
			s[i] = r.dial(context.Background(), i)
		}
		t.Cleanup(s[i].Close)
	}
	return r, func(who int, kind string, typ byte, whom int, want string) {
		t.Helper()
		for tries := 0; ; tries++ {
			st := ReservationStep{Initiator: who, Kind: kind, ReservationType: typ, Preempted: whom}
			if done, _ := r.execute(s[who], &st, rng); done {
				if st.Outcome == outcomeNoEffect && tries < 500 { // a server is away: what is refused is asked again
					env.Sleep(r.environment, 10*time.Millisecond, nil)
					continue
				}
				if st.Outcome != want {
					t.Fatalf("initiator %d, %s: %s, want %s", who, kind, st.Outcome, want)
				}
				return
			}
		}
	}
}

// The holder's host has not heard of the pre-emption, which came through another.
func TestPreemptionThroughAnotherHost(t *testing.T) {
	_, do := newTwoSessionRig(t)
	do(0, stepRegister, 0, 0, outcomeGood)
	do(1, stepRegister, 0, 0, outcomeGood)
	do(0, stepReserve, 1, 0, outcomeGood)
	do(0, stepWrite, 0, 0, outcomeGood)
	do(1, stepWrite, 0, 0, outcomeConflict)
	do(1, stepPreempt, 1, 0, outcomeGood)
	do(0, stepWrite, 0, 0, outcomeConflict)
	do(0, stepReserve, 1, 0, outcomeConflict)
	do(1, stepWrite, 0, 0, outcomeGood)
}

// The server that keeps the state loses power: with APTPL the reservation stands, without
// it is gone, and either way nobody acts on what was before.
func TestPowerLossWithAndWithoutAPTPL(t *testing.T) {
	for _, persist := range []bool{true, false} {
		r, do := newTwoSessionRig(t)
		r.history.Persist = persist
		do(0, stepRegister, 0, 0, outcomeGood)
		do(0, stepReserve, 3, 0, outcomeGood)
		do(1, stepRead, 0, 0, outcomeConflict)
		r.disks[0].Kill()
		r.stores[0].PowerLoss()
		if err := r.startDisk(0); err != nil {
			t.Fatal(err)
		}
		want := outcomeGood
		if persist {
			want = outcomeConflict
		}
		do(1, stepWrite, 0, 0, want)
	}
}

// The server that keeps the state is drained and its successor takes over.
func TestReservationSurvivesDrain(t *testing.T) {
	r, do := newTwoSessionRig(t)
	do(0, stepRegister, 0, 0, outcomeGood)
	do(0, stepReserve, 1, 0, outcomeGood)
	old := r.disks[0]
	old.Drain()
	if err := r.startDisk(0); err != nil {
		t.Fatal(err)
	}
	do(1, stepWrite, 0, 0, outcomeConflict)
	do(0, stepWrite, 0, 0, outcomeGood)
	old.Kill()
}

// The holder's write is on its way to the disk server when its host's pre-emption is
// answered: it comes too late there.
func TestPreemptionOvertakesAWrite(t *testing.T) {
	r, do := newTwoSessionRig(t)
	do(0, stepRegister, 0, 0, outcomeGood)
	do(1, stepRegister, 0, 0, outcomeGood)
	do(0, stepReserve, 1, 0, outcomeGood)
	do(0, stepWrite, 0, 0, outcomeGood)
	var addrs []string
	for _, d := range r.disks {
		addrs = append(addrs, d.Addr)
	}
	r.hostEnvironments[0].partition(partitionDelay, addrs...)
	s := r.dial(context.Background(), 0)
	if s == nil {
		t.Fatal("no session")
	}
	t.Cleanup(s.Close)
	st := ReservationStep{Initiator: 0, Kind: stepWrite}
	over := make(chan struct{})
	go func() {
		defer close(over)
		for {
			if done, _ := r.execute(s, &st, rand.New(rand.NewPCG(1, 1))); done {
				return
			}
		}
	}()
	for r.hostEnvironments[0].delayedBytes() < r.settings.Volumes[0].BlockSize { // the write is in the link
		env.Sleep(r.environment, time.Millisecond, nil)
	}
	do(1, stepPreempt, 1, 0, outcomeGood)
	r.hostEnvironments[0].heal(addrs...)
	<-over
	r.mu.Lock()
	defer r.mu.Unlock()
	if st.Outcome == outcomeGood || len(r.history.AppliedWrites[st.Stamp]) > 0 {
		t.Errorf("%s, %d effects", st.Outcome, len(r.history.AppliedWrites[st.Stamp]))
	}
}

// An abort of a registration under way is answered once the registration is made, or
// certainly is not.
func TestAbortOfARegistration(t *testing.T) {
	r, do := newTwoSessionRig(t)
	do(0, stepRegister, 0, 0, outcomeGood)
	var addrs []string
	for _, d := range r.disks {
		addrs = append(addrs, d.Addr)
	}
	s := r.dial(context.Background(), 3) // through the same host
	t.Cleanup(s.Close)
	if _, err := s.Do(context.Background(), make([]byte, 6), nil, 0); err != nil { // takes a unit attention, if any
		t.Fatal(err)
	}
	r.hostEnvironments[0].partition(partitionDelay, addrs...)
	h := s.Submit(0, []byte{0x5f, 6, 0, 0, 0, 0, 0, 0, 24, 0}, append(make([]byte, 15), 9, 0, 0, 0, 0, 0, 0, 0, 0), 0, func(iscsi.Result, error) {})
	for r.hostEnvironments[0].delayedBytes() == 0 {
		env.Sleep(r.environment, time.Millisecond, nil)
	}
	answered := make(chan byte, 1)
	s.Abort(h, func(code byte) { answered <- code })
	env.Sleep(r.environment, 100*time.Millisecond, nil)
	select {
	case <-answered:
		t.Error("answered while it may still be made")
	default:
	}
	r.hostEnvironments[0].heal(addrs...)
	if code := <-answered; code != iscsi.FunctionComplete {
		t.Errorf("response %d", code)
	}
}

// A host stands still for longer than its lease while the reservation passes on.
func TestHostPausedPastItsLease(t *testing.T) {
	r, do := newTwoSessionRig(t)
	do(0, stepRegister, 0, 0, outcomeGood)
	do(1, stepRegister, 0, 0, outcomeGood)
	do(0, stepReserve, 1, 0, outcomeGood)
	var until env.Gate
	r.hosts[0].Freeze(&until)
	do(1, stepPreempt, 1, 0, outcomeGood)
	env.Sleep(r.environment, 1200*time.Millisecond, nil) // past the lease, which is a time of the product's own
	until.Open()
	do(0, stepWrite, 0, 0, outcomeConflict)
	do(1, stepWrite, 0, 0, outcomeGood)
}

// delayedBytes is the number of bytes that are held on their way.
func (environment *partitionEnvironment) delayedBytes() (n int) {
	environment.mu.Lock()
	defer environment.mu.Unlock()
	for c := range environment.conns {
		c.mu.Lock()
		n += len(c.delayed)
		c.mu.Unlock()
	}
	return n
}

// registerKeys registers so many initiators with a key each, some at once, and returns the keys
// that are read back.
func registerKeys(t *testing.T, n, atOnce int) int {
	t.Helper()
	w := env.NewReal()
	r, err := newReservationRig(w, loopbackTestbed{Environment: w}, 1, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	slots := make(chan struct{}, atOnce)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var s *initiator.Client
			for s == nil {
				s = r.dial(context.Background(), i)
			}
			t.Cleanup(s.Close)
			for {
				st := ReservationStep{Initiator: i, Kind: stepRegister}
				done, alive := r.execute(s, &st, rand.New(rand.NewPCG(1, 1)))
				if done && st.Outcome == outcomeGood {
					return
				}
				if !alive {
					t.Error("a session is over")
					return
				}
			}
		})
	}
	all.Wait()
	s := r.dial(context.Background(), n)
	defer s.Close()
	res, err := s.Do(context.Background(), []byte{0x5e, 0, 0, 0, 0, 0, 0, 0x40, 0, 0}, nil, 0x4000)
	if err != nil || res.Status != scsi.Good {
		t.Fatal(res.Status, err)
	}
	return (len(res.Data) - 8) / 8
}

func TestBurstOfRegistrations(t *testing.T) {
	if got := registerKeys(t, 64, 64); got != 64 {
		t.Errorf("%d keys of 64", got)
	}
}

func TestThousandRegisteredSessions(t *testing.T) {
	if testing.Short() {
		t.Skip("a thousand sessions")
	}
	if got := registerKeys(t, 1000, 16); got != 1000 {
		t.Errorf("%d keys of 1000", got)
	}
}

// Two hosts register the same key at once: both nexus have it, and each is its own.
func TestSameKeyThroughTwoHosts(t *testing.T) {
	r, do := newTwoSessionRig(t)
	var all sync.WaitGroup
	for _, who := range []int{0, 1} {
		s := r.dial(context.Background(), 10+who) // of keys of their own, changed to one
		t.Cleanup(s.Close)
		all.Go(func() {
			list := make([]byte, 24)
			list[15] = 0x77
			for {
				res, err := s.Do(context.Background(), []byte{0x5f, 6, 0, 0, 0, 0, 0, 0, 24, 0}, list, 0)
				if err != nil || res.Status == scsi.Good {
					return
				}
			}
		})
	}
	all.Wait()
	do(0, stepRegister, 0, 0, outcomeGood)
	s := r.dial(context.Background(), 12)
	defer s.Close()
	res, err := s.Do(context.Background(), []byte{0x5e, 0, 0, 0, 0, 0, 0, 1, 0, 0}, nil, 256)
	if err != nil || len(res.Data) != 8+3*8 {
		t.Fatalf("%x %v", res.Data, err)
	}
}
