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

// Random reservation commands through three hosts give valid histories.
func TestReservationsOverThreeHosts(t *testing.T) {
	for seed := range uint64(3) {
		history, err := RunReservations(context.Background(), seed+1, 15, false)
		if err != nil {
			t.Fatal(err)
		}
		if violation := history.Check(); violation != "" {
			t.Errorf("seed %d: %s", seed+1, violation)
		}
	}
}

// The checker detects disk servers that keep no fence.
func TestMissingFenceIsDetected(t *testing.T) {
	for seed := range uint64(40) {
		history, err := RunReservations(context.Background(), seed+1, 15, true)
		if err != nil {
			t.Fatal(err)
		}
		if violation := history.Check(); violation != "" {
			t.Logf("seed %d: %s", seed+1, violation)
			return
		}
	}
	t.Error("missing fence not detected in 40 runs")
}

// validHistory returns a history of three registered initiators in which the second pre-empts the first
// one's write-exclusive reservation.
func validHistory() *ReservationHistory {
	interval := func(n int) (time.Duration, time.Duration) { return time.Duration(10 * n), time.Duration(10*n + 5) }
	history := &ReservationHistory{AppliedWrites: map[uint64][]time.Duration{1: {43}}}
	add := func(step ReservationStep) {
		step.Call, step.Return = interval(len(history.Steps))
		history.Steps = append(history.Steps, step)
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
	return history
}

// The checker rejects corrupted histories.
func TestInvalidHistoriesAreRejected(t *testing.T) {
	if violation := validHistory().Check(); violation != "" {
		t.Fatal(violation)
	}
	for name, corrupt := range map[string]func(*ReservationHistory){
		"write by a pre-empted holder":                 func(h *ReservationHistory) { h.Steps[7].Outcome = outcomeGood },
		"write by an initiator that is not the holder": func(h *ReservationHistory) { h.Steps[5].Outcome = outcomeGood },
		"conflict reported to the holder":              func(h *ReservationHistory) { h.Steps[8].Outcome = outcomeConflict },
		"two holders at once":                          func(h *ReservationHistory) { h.Steps[6].Kind = stepReserve },
		"pre-emption of an unregistered initiator":     func(h *ReservationHistory) { h.Steps[6].Preempted = 3 },
		"reservation without a key":                    func(h *ReservationHistory) { h.Steps[0].Kind = stepUnregister },
		"write applied after the pre-emption":          func(h *ReservationHistory) { h.applyWriteAfterPreemption() },
	} {
		history := validHistory()
		corrupt(history)
		if history.Check() == "" {
			t.Errorf("invalid history accepted: %s", name)
		}
	}
}

// applyWriteAfterPreemption changes the history so that a disk server applies the pre-empted
// initiator's write, whose outcome its client does not know, after the pre-emption was answered.
func (h *ReservationHistory) applyWriteAfterPreemption() {
	h.Steps[3] = ReservationStep{Initiator: 1, Kind: stepReserve, ReservationType: 5, Outcome: outcomeGood, Call: 30, Return: 35}
	h.Steps[4].Outcome, h.Steps[5].Outcome = outcomeUnknown, outcomeGood
	h.Steps[7].Outcome = outcomeConflict
	h.AppliedWrites[1] = []time.Duration{70}
}

// newTwoSessionRig returns a rig without faults, and a function that executes a step in the session of
// one of two initiators, through two hosts, and checks its outcome.
func newTwoSessionRig(t *testing.T) (*reservationRig, func(initiatorIndex int, kind string, reservationType byte, preempted int, want string)) {
	t.Helper()
	environment := env.NewReal()
	rig, err := newReservationRig(environment, loopbackTestbed{Environment: environment}, 1, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.close)
	rng := rand.New(rand.NewPCG(1, 1))
	var sessions [2]*initiator.Client
	for i := range sessions {
		for sessions[i] == nil {
			sessions[i] = rig.dial(context.Background(), i)
		}
		t.Cleanup(sessions[i].Close)
	}
	return rig, func(initiatorIndex int, kind string, reservationType byte, preempted int, want string) {
		t.Helper()
		for attempt := 0; ; attempt++ {
			step := ReservationStep{Initiator: initiatorIndex, Kind: kind, ReservationType: reservationType, Preempted: preempted}
			if done, _ := rig.execute(sessions[initiatorIndex], &step, rng); done {
				if step.Outcome == outcomeNoEffect && attempt < 500 { // a server is down: the step is repeated
					env.Sleep(rig.environment, 10*time.Millisecond, nil)
					continue
				}
				if step.Outcome != want {
					t.Fatalf("initiator %d, step %s: got outcome %s, want %s", initiatorIndex, kind, step.Outcome, want)
				}
				return
			}
		}
	}
}

// A pre-emption through another host fences the holder, whose own host has not seen it.
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

// When the server that stores reservations loses power, a reservation survives with APTPL and is gone
// without it.
func TestPowerLossWithAndWithoutAPTPL(t *testing.T) {
	for _, persist := range []bool{true, false} {
		rig, do := newTwoSessionRig(t)
		rig.history.Persist = persist
		do(0, stepRegister, 0, 0, outcomeGood)
		do(0, stepReserve, 3, 0, outcomeGood)
		do(1, stepRead, 0, 0, outcomeConflict)
		rig.disks[0].Kill()
		rig.stores[0].PowerLoss()
		if err := rig.startDisk(0); err != nil {
			t.Fatal(err)
		}
		want := outcomeGood
		if persist {
			want = outcomeConflict
		}
		do(1, stepWrite, 0, 0, want)
	}
}

// A reservation survives a drain of the server that stores it.
func TestReservationSurvivesDrain(t *testing.T) {
	rig, do := newTwoSessionRig(t)
	do(0, stepRegister, 0, 0, outcomeGood)
	do(0, stepReserve, 1, 0, outcomeGood)
	predecessor := rig.disks[0]
	predecessor.Drain()
	if err := rig.startDisk(0); err != nil {
		t.Fatal(err)
	}
	do(1, stepWrite, 0, 0, outcomeConflict)
	do(0, stepWrite, 0, 0, outcomeGood)
	predecessor.Kill()
}

// A write of the former holder that is still in transit when the pre-emption is answered takes no effect.
func TestPreemptionOvertakesAWrite(t *testing.T) {
	rig, do := newTwoSessionRig(t)
	do(0, stepRegister, 0, 0, outcomeGood)
	do(1, stepRegister, 0, 0, outcomeGood)
	do(0, stepReserve, 1, 0, outcomeGood)
	do(0, stepWrite, 0, 0, outcomeGood)
	var addrs []string
	for _, disk := range rig.disks {
		addrs = append(addrs, disk.Addr)
	}
	rig.hostEnvironments[0].partition(partitionDelay, addrs...)
	session := rig.dial(context.Background(), 0)
	if session == nil {
		t.Fatal("no session")
	}
	t.Cleanup(session.Close)
	step := ReservationStep{Initiator: 0, Kind: stepWrite}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for {
			if done, _ := rig.execute(session, &step, rand.New(rand.NewPCG(1, 1))); done {
				return
			}
		}
	}()
	for rig.hostEnvironments[0].delayedBytes() < rig.settings.Volumes[0].BlockSize { // until the write is in transit
		env.Sleep(rig.environment, time.Millisecond, nil)
	}
	do(1, stepPreempt, 1, 0, outcomeGood)
	rig.hostEnvironments[0].heal(addrs...)
	<-finished
	rig.mu.Lock()
	defer rig.mu.Unlock()
	if step.Outcome == outcomeGood || len(rig.history.AppliedWrites[step.Stamp]) > 0 {
		t.Errorf("overtaken write: got outcome %s and %d effects, want it refused without effect", step.Outcome, len(rig.history.AppliedWrites[step.Stamp]))
	}
}

// An abort of a registration in progress is answered only once the registration has either taken effect
// or can no longer do so.
func TestAbortOfARegistration(t *testing.T) {
	rig, do := newTwoSessionRig(t)
	do(0, stepRegister, 0, 0, outcomeGood)
	var addrs []string
	for _, disk := range rig.disks {
		addrs = append(addrs, disk.Addr)
	}
	session := rig.dial(context.Background(), 3) // through the same host
	t.Cleanup(session.Close)
	if _, err := session.Do(context.Background(), make([]byte, 6), nil, 0); err != nil { // clears a pending unit attention
		t.Fatal(err)
	}
	rig.hostEnvironments[0].partition(partitionDelay, addrs...)
	handle := session.Submit(0, []byte{0x5f, 6, 0, 0, 0, 0, 0, 0, 24, 0}, append(make([]byte, 15), 9, 0, 0, 0, 0, 0, 0, 0, 0), 0, func(iscsi.Result, error) {})
	for rig.hostEnvironments[0].delayedBytes() == 0 {
		env.Sleep(rig.environment, time.Millisecond, nil)
	}
	answered := make(chan byte, 1)
	session.Abort(handle, func(code byte) { answered <- code })
	env.Sleep(rig.environment, 100*time.Millisecond, nil)
	select {
	case <-answered:
		t.Error("abort answered while the registration may still take effect")
	default:
	}
	rig.hostEnvironments[0].heal(addrs...)
	if code := <-answered; code != iscsi.FunctionComplete {
		t.Errorf("abort response: got %d, want function complete", code)
	}
}

// A host that was suspended past its lease refuses the former holder's write after a pre-emption.
func TestHostPausedPastItsLease(t *testing.T) {
	rig, do := newTwoSessionRig(t)
	do(0, stepRegister, 0, 0, outcomeGood)
	do(1, stepRegister, 0, 0, outcomeGood)
	do(0, stepReserve, 1, 0, outcomeGood)
	var resume env.Gate
	rig.hosts[0].Freeze(&resume)
	do(1, stepPreempt, 1, 0, outcomeGood)
	env.Sleep(rig.environment, 1200*time.Millisecond, nil) // past the lease
	resume.Open()
	do(0, stepWrite, 0, 0, outcomeConflict)
	do(1, stepWrite, 0, 0, outcomeGood)
}

// delayedBytes returns the number of bytes that the partition holds in transit.
func (environment *partitionEnvironment) delayedBytes() (total int) {
	environment.mu.Lock()
	defer environment.mu.Unlock()
	for conn := range environment.conns {
		conn.mu.Lock()
		total += len(conn.delayed)
		conn.mu.Unlock()
	}
	return total
}

// registerKeys registers n initiators with a key each, a bounded number in parallel, and returns the
// number of keys that are read back.
func registerKeys(t *testing.T, n, parallel int) int {
	t.Helper()
	environment := env.NewReal()
	rig, err := newReservationRig(environment, loopbackTestbed{Environment: environment}, 1, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.close)
	slots := make(chan struct{}, parallel)
	var registrations sync.WaitGroup
	for i := range n {
		registrations.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var session *initiator.Client
			for session == nil {
				session = rig.dial(context.Background(), i)
			}
			t.Cleanup(session.Close)
			for {
				step := ReservationStep{Initiator: i, Kind: stepRegister}
				done, alive := rig.execute(session, &step, rand.New(rand.NewPCG(1, 1)))
				if done && step.Outcome == outcomeGood {
					return
				}
				if !alive {
					t.Error("session ended during registration")
					return
				}
			}
		})
	}
	registrations.Wait()
	reader := rig.dial(context.Background(), n)
	defer reader.Close()
	res, err := reader.Do(context.Background(), []byte{0x5e, 0, 0, 0, 0, 0, 0, 0x40, 0, 0}, nil, 0x4000)
	if err != nil || res.Status != scsi.Good {
		t.Fatal(res.Status, err)
	}
	return (len(res.Data) - 8) / 8
}

func TestBurstOfRegistrations(t *testing.T) {
	if got := registerKeys(t, 64, 64); got != 64 {
		t.Errorf("got %d registered keys, want 64", got)
	}
}

func TestThousandRegisteredSessions(t *testing.T) {
	if testing.Short() {
		t.Skip("long test")
	}
	if got := registerKeys(t, 1000, 16); got != 1000 {
		t.Errorf("got %d registered keys, want 1000", got)
	}
}

// Two nexuses that register the same key through two hosts at once are separate registrations.
func TestSameKeyThroughTwoHosts(t *testing.T) {
	rig, do := newTwoSessionRig(t)
	var registrations sync.WaitGroup
	for _, initiatorIndex := range []int{0, 1} {
		session := rig.dial(context.Background(), 10+initiatorIndex) // initiators 10 and 11 both register key 0x77
		t.Cleanup(session.Close)
		registrations.Go(func() {
			parameters := make([]byte, 24)
			parameters[15] = 0x77
			for {
				res, err := session.Do(context.Background(), []byte{0x5f, 6, 0, 0, 0, 0, 0, 0, 24, 0}, parameters, 0)
				if err != nil || res.Status == scsi.Good {
					return
				}
			}
		})
	}
	registrations.Wait()
	do(0, stepRegister, 0, 0, outcomeGood)
	reader := rig.dial(context.Background(), 12)
	defer reader.Close()
	res, err := reader.Do(context.Background(), []byte{0x5e, 0, 0, 0, 0, 0, 0, 1, 0, 0}, nil, 256)
	if err != nil || len(res.Data) != 8+3*8 {
		t.Fatalf("registered keys: got %x and error %v, want 3 keys", res.Data, err)
	}
}
