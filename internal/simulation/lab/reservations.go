package lab

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/zap"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
)

// Test runs of SCSI persistent reservations: several initiators register, reserve, pre-empt,
// read and write on one volume through three hosts while hosts are killed and paused, links
// are cut and disk servers lose power. The history that the initiators saw and the writes that
// the disk servers applied are checked against a model of SPC-4.

const (
	reservationHosts      = 3
	reservationInitiators = 4
	reservationShards     = 3
	// persistProbability is the probability that the registrations of a run persist through power
	// loss (APTPL).
	persistProbability = 0.5
)

// Values of ReservationStep.Kind.
const (
	stepRegister   = "register"
	stepUnregister = "unregister"
	stepReserve    = "reserve"
	stepRelease    = "release"
	stepClear      = "clear"
	stepPreempt    = "preempt"
	stepWrite      = "write"
	stepRead       = "read"
	stepPowerLoss  = "power lost" // of the disk server that stores the reservation state, which is that of shard 0
)

// Values of ReservationStep.Outcome.
const (
	outcomeGood     = "good"
	outcomeConflict = "conflict"
	outcomeNoEffect = "nothing" // rejected without effect
	outcomeUnknown  = "unknown"
)

// ReservationStep is one command of an initiator or one power loss. Times are of the environment's clock.
type ReservationStep struct {
	Initiator       int
	Kind            string
	ReservationType byte // SPC-4 type code, 1 to 8, of a reserve, release or pre-emption
	Preempted       int  // index of the initiator whose key is pre-empted
	Outcome         string
	Call            time.Duration
	Return          time.Duration
	Stamp           uint64 // number in the block of a write, unique within the run
}

// ReservationHistory records the steps of a run and the writes that the disk servers applied.
type ReservationHistory struct {
	Persist bool // registrations set APTPL
	Steps   []ReservationStep
	// AppliedWrites has the times at which disk servers applied each write, by stamp.
	AppliedWrites map[uint64][]time.Duration
}

// RunReservations makes one run on loopback sockets, in which each initiator completes the given
// number of steps. If ignoreFences is set, the disk servers ignore fences, which a check must find.
func RunReservations(ctx context.Context, seed uint64, steps int, ignoreFences bool) (*ReservationHistory, error) {
	environment := env.NewReal()
	return runReservations(ctx, environment, loopbackTestbed{Environment: environment}, seed, steps, ignoreFences)
}

// maxReservationTime limits the virtual time of a run.
const maxReservationTime = 10 * time.Minute

// RunVirtualReservations is RunReservations in a virtual world, where a run is determined by its seed.
func RunVirtualReservations(ctx context.Context, seed uint64, steps int, ignoreFences bool) (h *ReservationHistory, err error) {
	virtualWorld := world.New(seed)
	var runErr error
	err = virtualWorld.Run("lab", maxReservationTime, func(process *world.Process) {
		h, runErr = runReservations(ctx, process, virtualTestbed{virtualWorld}, seed, steps, ignoreFences)
	})
	return h, cmp.Or(err, runErr)
}

func runReservations(ctx context.Context, environment env.Environment, bed testbed, seed uint64, steps int, ignoreFences bool) (*ReservationHistory, error) {
	rig, err := newReservationRig(environment, bed, seed, ignoreFences)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	var initiators env.WaitGroup
	for i := range reservationInitiators {
		initiators.Go(environment, func() { rig.runInitiator(ctx, i, steps) })
	}
	var stop env.Gate
	var faultInjector env.WaitGroup
	faultInjector.Go(rig.environment, func() { rig.injectFaults(&stop) })
	initiators.Wait(environment)
	stop.Open()
	faultInjector.Wait(rig.environment)
	rig.mu.Lock()
	defer rig.mu.Unlock()
	return &rig.history, rig.err
}

// reservationRig holds the inventory, disk servers and hosts of a run, and its history.
type reservationRig struct {
	environment      env.Environment
	testbed          testbed
	rng              *rand.Rand // draws the faults
	seed             uint64
	settings         *settings.Settings
	inventory        *standin.Inventory
	stores           []*standin.ShardStore
	disks            []*standin.DiskServer
	mu               sync.Mutex
	hosts            [reservationHosts]*gateway.Gateway
	hostEnvironments [reservationHosts]*partitionEnvironment
	history          ReservationHistory
	err              error
	lastStamp        uint64
}

func newReservationRig(environment env.Environment, bed testbed, seed uint64, ignoreFences bool) (*reservationRig, error) {
	rig := &reservationRig{environment: environment, testbed: bed, rng: rand.New(rand.NewPCG(seed, 21)), seed: seed, settings: settings.Example(reservationHosts, reservationShards)}
	rig.history = ReservationHistory{Persist: rig.rng.Float64() < persistProbability, AppliedWrites: map[uint64][]time.Duration{}}
	volume := rig.settings.Volumes[5] // its plan has no limit
	volume.Layout, volume.Hosts, volume.Blocks = []int{0, 1, 2}, []int{0, 1, 2}, 4096
	rig.settings.Volumes = []settings.Volume{volume}
	for i := range rig.settings.Classes {
		rig.settings.Classes[i].Deadline = min(rig.settings.Classes[i].Deadline, 1500)
		rig.settings.Classes[i].LatencyTarget = min(rig.settings.Classes[i].LatencyTarget, 500)
	}
	rig.settings.Rules.ColdCapacity = 1
	var err error
	if rig.inventory, err = standin.ServeInventory(rig.environment, "127.0.0.1:0", 0); err != nil {
		return nil, err
	}
	for i := range reservationShards {
		store := standin.NewShardStore(func(string) int { return volume.BlockSize })
		store.OnExecute, store.IgnoreFences = rig.recordWrite, ignoreFences
		rig.stores, rig.disks = append(rig.stores, store), append(rig.disks, nil)
		if err := rig.startDisk(i); err != nil {
			return nil, err
		}
	}
	for i := range reservationHosts {
		rig.hostEnvironments[i] = newPartitionEnvironment(rig.testbed.startProcess(fmt.Sprint("h", i)))
		if err := rig.startHost(i); err != nil {
			return nil, err
		}
	}
	return rig, nil
}

// recordWrite records the time at which a disk server applies a write.
func (r *reservationRig) recordWrite(do *diskproto.Do) {
	if scsi.Op(do.Op) != scsi.Write || len(do.Data) < 8 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stamp := binary.BigEndian.Uint64(do.Data)
	r.history.AppliedWrites[stamp] = append(r.history.AppliedWrites[stamp], r.environment.Now())
}

// startDisk starts the disk server of a shard, or its successor with the same store, and enters it
// in the inventory.
func (r *reservationRig) startDisk(i int) error {
	machine := standin.NewMachine(standin.MachineConfig{Cores: 2, QueueLimit: 64, UnitWork: 1, WriteFactor: 1, ColdCapacity: 1, OverloadWindow: 1000, OverloadFactor: 2},
		r.seed*10+uint64(i), r.stores[i], standin.NewDedupCache(6000), nil, uint32(i), 0, false)
	server := &standin.DiskServer{Name: fmt.Sprint("d", i), Zone: Halls[i], Rack: fmt.Sprint("d", i), Shard: i}
	if err := standin.ServeDisk(r.testbed.startProcess(server.Name), machine, server); err != nil {
		return err
	}
	r.mu.Lock()
	old := r.disks[i]
	r.disks[i] = server
	r.mu.Unlock()
	r.inventory.ChangeNow(func(book *inventory.Book) {
		if old != nil {
			book.Health(old.Addr, inventory.Gone)
		}
		book.Set(inventory.Node{Addr: server.Addr, Health: inventory.Ready, Shard: i, Zone: server.Zone, Weight: 1, Incarnation: server.Started}, 0)
	})
	return nil
}

func (r *reservationRig) startHost(i int) error {
	host, err := gateway.Start(gateway.Config{Environment: r.hostEnvironments[i], Log: zap.NewNop(), Name: fmt.Sprint("h", i), HostIndex: i, Zone: Halls[i], Listen: "127.0.0.1:0", Inventory: r.inventory.Addr})
	if err != nil {
		return err
	}
	if _, err := host.Settings().Put(r.settings); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[i] = host
	return nil
}

func (r *reservationRig) close() {
	for _, g := range r.hosts {
		if g != nil {
			g.Kill()
		}
	}
	for _, d := range r.disks {
		if d != nil {
			d.Kill()
		}
	}
	r.inventory.Close()
}

// fail keeps the first error of the run.
func (r *reservationRig) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// injectFaults injects a random fault after each pause of 50 to 249 ms, until stop is open.
func (r *reservationRig) injectFaults(stop *env.Gate) {
	for env.Sleep(r.environment, time.Duration(50+r.rng.IntN(200))*time.Millisecond, stop) {
		hostIndex, diskIndex := r.rng.IntN(reservationHosts), r.rng.IntN(reservationShards)
		r.mu.Lock()
		host, addr := r.hosts[hostIndex], r.disks[diskIndex].Addr
		r.mu.Unlock()
		duration := time.Duration(50+r.rng.IntN(300)) * time.Millisecond
		switch r.rng.IntN(5) {
		case 0, 1: // cut the link between a host and a disk server
			r.hostEnvironments[hostIndex].partition(partitionKind(r.rng.IntN(2)), addr)
			env.Sleep(r.environment, duration, stop)
			r.hostEnvironments[hostIndex].heal(addr)
		case 2: // pause a host
			var resume env.Gate
			host.Freeze(&resume)
			env.Sleep(r.environment, duration, stop)
			resume.Open()
		case 3: // kill and restart a host
			host.Kill()
			if err := r.startHost(hostIndex); err != nil {
				r.fail(err)
				return
			}
		case 4: // power loss and restart of a disk server
			call := r.environment.Now()
			r.disks[diskIndex].Kill()
			r.stores[diskIndex].PowerLoss()
			if diskIndex == 0 {
				r.record(ReservationStep{Kind: stepPowerLoss, Outcome: outcomeGood, Call: call, Return: r.environment.Now()})
			}
			if err := r.startDisk(diskIndex); err != nil {
				r.fail(err)
				return
			}
		}
	}
}

func (r *reservationRig) record(step ReservationStep) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Steps = append(r.history.Steps, step)
}

// runInitiator sends random commands through one host until the given number of steps is
// recorded, and logs in again after a session fails.
func (r *reservationRig) runInitiator(ctx context.Context, index, steps int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(100+index)))
	var session *initiator.Client
	defer func() {
		if session != nil {
			session.Close()
		}
	}()
	kinds := []string{stepRegister, stepRegister, stepUnregister, stepReserve, stepReserve, stepRelease, stepClear, stepPreempt, stepPreempt,
		stepWrite, stepWrite, stepWrite, stepWrite, stepRead}
	types := []byte{1, 3, 5, 6, 7, 8}
	for completed := 0; completed < steps && ctx.Err() == nil; {
		for tries := 0; session == nil && tries < 200; tries++ {
			session = r.dial(ctx, index)
			if session == nil && !env.SleepContext(ctx, r.environment, 10*time.Millisecond) {
				return
			}
		}
		if session == nil {
			r.fail(errors.New("lab: initiator could not log in to its host"))
			return
		}
		// A random pause, so that steps overlap with faults and with steps of other initiators.
		env.SleepContext(ctx, r.environment, time.Duration(rng.IntN(40))*time.Millisecond)
		step := ReservationStep{Initiator: index, Kind: kinds[rng.IntN(len(kinds))], ReservationType: types[rng.IntN(len(types))], Preempted: rng.IntN(reservationInitiators)}
		if done, alive := r.execute(session, &step, rng); done {
			completed++
			r.record(step)
			if !alive {
				session.Close()
				session = nil
			}
		}
	}
}

// dial logs an initiator in through its host. It returns nil if that fails.
func (r *reservationRig) dial(ctx context.Context, index int) *initiator.Client {
	r.mu.Lock()
	host := r.hosts[index%reservationHosts]
	r.mu.Unlock()
	session, err := initiator.Dial(ctx, initiator.Config{Environment: r.environment, Addr: host.Addr().String(), Name: fmt.Sprint("iqn.2026-11.example.client:", index),
		Target: r.settings.TargetName(&r.settings.Volumes[0]), ISID: iscsi.ISID{0x80, 0, 0, 0, 0, byte(index)}, Params: initiator.DefaultParams(), LoginTime: time.Second})
	if err != nil {
		return nil
	}
	return session
}

// initiatorKey returns the reservation key of an initiator. It never changes, so that the key of a
// pre-emption identifies the initiator.
func initiatorKey(initiator int) uint64 { return uint64(initiator + 1) }

// execute sends the command of a step and records its outcome. done is false if the command ended
// with a unit attention and must be sent again; alive is false if the session failed.
func (r *reservationRig) execute(session *initiator.Client, step *ReservationStep, rng *rand.Rand) (done, alive bool) {
	block := make([]byte, r.settings.Volumes[0].BlockSize)
	lba := uint64(rng.IntN(96))
	cdb, dataOut, dataInLength := initiator.ReadCDB(lba, 1), []byte(nil), len(block)
	switch step.Kind {
	case stepRead:
	case stepWrite:
		r.mu.Lock()
		r.lastStamp++
		step.Stamp = r.lastStamp
		r.mu.Unlock()
		binary.BigEndian.PutUint64(block, step.Stamp)
		cdb, dataOut, dataInLength = initiator.WriteCDB(lba, 1), block, 0
	default:
		cdb, dataOut, dataInLength = r.reserveOutCDB(step), nil, 0
		dataOut = r.reserveOutParameters(step)
	}
	step.Call = r.environment.Now()
	res, err := r.submit(session, cdb, dataOut, dataInLength)
	step.Return = r.environment.Now()
	sense, _ := scsi.ParseSense(res.Sense)
	switch {
	case err != nil:
		step.Outcome = outcomeUnknown
		return true, false
	case res.Status == scsi.Good:
		step.Outcome = outcomeGood
	case res.Status == scsi.Conflict:
		step.Outcome = outcomeConflict
	case res.Status == scsi.Busy:
		step.Outcome = outcomeNoEffect
	case sense.Key == 6: // UNIT ATTENTION
		return false, true
	case sense.Key == 5: // ILLEGAL REQUEST, as for a release with another type
		step.Outcome = outcomeNoEffect
	default:
		step.Outcome = outcomeUnknown
	}
	return true, true
}

// submit sends a command and waits 8 s for its response, which only a lost command exceeds.
func (r *reservationRig) submit(session *initiator.Client, cdb, dataOut []byte, dataInLength int) (iscsi.Result, error) {
	pending := &completion{}
	session.Submit(0, cdb, dataOut, dataInLength, pending.set)
	if env.Sleep(r.environment, 8*time.Second, &pending.done) {
		pending.set(iscsi.Result{}, context.DeadlineExceeded)
	}
	return pending.result, pending.err
}

// serviceActions has the PERSISTENT RESERVE OUT service action of each kind of step.
var serviceActions = map[string]byte{stepRegister: 6, stepUnregister: 6, stepReserve: 1, stepRelease: 2, stepClear: 3, stepPreempt: 4}

func (r *reservationRig) reserveOutCDB(step *ReservationStep) []byte {
	return []byte{0x5f, serviceActions[step.Kind], step.ReservationType, 0, 0, 0, 0, 0, 24, 0}
}

func (r *reservationRig) reserveOutParameters(step *ReservationStep) []byte {
	parameters := make([]byte, 24)
	binary.BigEndian.PutUint64(parameters, initiatorKey(step.Initiator))
	switch step.Kind {
	case stepRegister:
		binary.BigEndian.PutUint64(parameters[8:], initiatorKey(step.Initiator))
	case stepPreempt:
		binary.BigEndian.PutUint64(parameters[8:], initiatorKey(step.Preempted))
	}
	if r.history.Persist {
		parameters[20] = 1
	}
	return parameters
}

// reservationState is the state of the model: the registrations, type and holder of SPC-4 for
// initiators with one key each. In types 7 and 8 (all registrants) every registrant is a holder.
type reservationState struct {
	registered [reservationInitiators]bool
	resType    byte // SPC-4 type code; 0: no reservation
	holder     int
	persist    bool // APTPL of the last registration or unregistration
}

func (s reservationState) isHolder(initiator int) bool {
	return s.resType != 0 && (s.resType >= 7 && s.registered[initiator] || s.resType < 7 && s.holder == initiator)
}

// mayAccess reports whether the reservation allows an initiator to write or read. Types 5 to 8 admit
// all registrants; types 1, 5 and 7 exclude others from writes only.
func (s reservationState) mayAccess(initiator int, write bool) bool {
	switch {
	case s.resType == 0 || s.isHolder(initiator) || s.resType >= 5 && s.registered[initiator]:
		return true
	}
	return !write && (s.resType == 1 || s.resType == 5 || s.resType == 7)
}

// unregister removes a registration, and the reservation with its holder or last registrant.
func (s reservationState) unregister(initiator int) reservationState {
	s.registered[initiator] = false
	if s.resType >= 7 && s.registered == [reservationInitiators]bool{} || s.resType != 0 && s.resType < 7 && s.holder == initiator {
		s.resType, s.holder = 0, 0
	}
	return s
}

// apply returns the state after a step with status GOOD, and whether that status is allowed.
func (s reservationState) apply(step *ReservationStep, persist bool) (reservationState, bool) {
	switch step.Kind {
	case stepPowerLoss:
		if !s.persist {
			return reservationState{}, true
		}
		return s, true
	case stepWrite, stepRead:
		return s, s.mayAccess(step.Initiator, step.Kind == stepWrite)
	case stepRegister:
		s.registered[step.Initiator], s.persist = true, persist
		return s, true
	case stepUnregister:
		if s.registered[step.Initiator] {
			s.persist = persist
			s = s.unregister(step.Initiator)
		}
		return s, true
	}
	if !s.registered[step.Initiator] {
		return s, false
	}
	switch step.Kind {
	case stepReserve:
		if s.resType != 0 {
			return s, s.isHolder(step.Initiator) && s.resType == step.ReservationType
		}
		if s.resType = step.ReservationType; step.ReservationType < 7 {
			s.holder = step.Initiator
		}
		return s, true
	case stepRelease:
		if s.isHolder(step.Initiator) {
			if s.resType != step.ReservationType {
				return s, false // ILLEGAL REQUEST rather than a conflict
			}
			s.resType, s.holder = 0, 0
		}
		return s, true
	case stepClear:
		return reservationState{persist: s.persist}, true
	}
	return s.preempt(step)
}

func (s reservationState) preempt(step *ReservationStep) (reservationState, bool) {
	takesOver := s.resType != 0 && s.resType < 7 && s.holder == step.Preempted
	if !s.registered[step.Preempted] {
		return s, false
	}
	if step.Preempted != step.Initiator {
		s.registered[step.Preempted] = false
	}
	if takesOver {
		if s.resType, s.holder = step.ReservationType, step.Initiator; step.ReservationType >= 7 {
			s.holder = 0
		}
	}
	return s, true
}

// reservationModel returns the model for the linearizability check. It is nondeterministic where
// the outcome of a step is unknown.
func reservationModel(persist bool) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{reservationState{}} },
		Step: func(state, in, _ any) []any {
			current, step := state.(reservationState), in.(ReservationStep)
			next, allowed := current.apply(&step, persist)
			switch step.Outcome {
			case outcomeGood:
				if allowed {
					return []any{next}
				}
				return nil
			case outcomeConflict:
				if allowed {
					return nil
				}
				return []any{current}
			case outcomeUnknown:
				if allowed && next != current {
					return []any{current, next}
				}
			}
			return []any{current}
		},
		Equal: func(a, b any) bool { return a.(reservationState) == b.(reservationState) },
	}
	return model.ToModel()
}

// searchTimeout limits the search for a linearization of one history.
const searchTimeout = 60 * time.Second

// Check returns a description of what violates the model in a history, or "".
func (h *ReservationHistory) Check() string {
	var ops []porcupine.Operation
	for i, step := range h.Steps {
		returned := step.Return
		if step.Outcome == outcomeUnknown {
			if step.Kind == stepWrite || step.Kind == stepRead {
				continue // does not change the reservation state
			}
			returned = math.MaxInt64 // may take effect at any later time
		}
		if step.Outcome == outcomeNoEffect {
			continue
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: step, Call: int64(step.Call), Return: int64(returned)})
	}
	switch porcupine.CheckOperationsTimeout(reservationModel(h.Persist), ops, searchTimeout) {
	case porcupine.Illegal:
		return "history is not linearizable: no order of the steps explains their outcomes"
	case porcupine.Unknown:
		return "undecided: the search for an order of the steps timed out"
	}
	return h.checkAppliedWrites()
}

// checkAppliedWrites checks that no disk server applied a write after its initiator was
// pre-empted with a GOOD response, unless the reservation may have ended or the initiator may have
// registered again by then.
func (h *ReservationHistory) checkAppliedWrites() string {
	initiatorByStamp := map[uint64]int{}
	for _, step := range h.Steps {
		if step.Kind == stepWrite {
			initiatorByStamp[step.Stamp] = step.Initiator
		}
	}
	for _, preemption := range h.Steps {
		if preemption.Kind != stepPreempt || preemption.Outcome != outcomeGood || preemption.Preempted == preemption.Initiator {
			continue
		}
		for stamp, times := range h.AppliedWrites {
			if initiator, known := initiatorByStamp[stamp]; !known || initiator != preemption.Preempted {
				continue
			}
			for _, appliedAt := range times {
				if appliedAt > preemption.Return && h.heldReservation(&preemption, appliedAt) && !h.mayBeRegistered(&preemption, appliedAt) {
					return fmt.Sprintf("a write of initiator %d took effect %v after the response to its pre-emption", preemption.Preempted, appliedAt-preemption.Return)
				}
			}
		}
	}
	return ""
}

// heldReservation reports whether the initiator of a pre-emption certainly holds a reservation
// from the response to it until the given time: it reserved before with a GOOD response and no
// step since may have ended the reservation. Every type keeps the unregistered from writing.
func (h *ReservationHistory) heldReservation(preemption *ReservationStep, until time.Duration) bool {
	var reservation *ReservationStep
	for i := range h.Steps {
		step := &h.Steps[i]
		if step.Initiator == preemption.Initiator && step.Kind == stepReserve && step.Outcome == outcomeGood && step.Return < preemption.Call && (reservation == nil || step.Return > reservation.Return) {
			reservation = step
		}
	}
	if reservation == nil {
		return false
	}
	return !slices.ContainsFunc(h.Steps, func(step ReservationStep) bool {
		mayEnd := step.Kind == stepRelease || step.Kind == stepClear || step.Kind == stepUnregister || step.Kind == stepPowerLoss || step.Kind == stepPreempt && step != *preemption || step.Kind == stepReserve && step != *reservation
		return mayEnd && step.Outcome != outcomeConflict && step.Outcome != outcomeNoEffect && step.Call < until && (step.Return > reservation.Call || step.Outcome == outcomeUnknown)
	})
}

// mayBeRegistered reports whether the pre-empted initiator may be registered again by the given time.
func (h *ReservationHistory) mayBeRegistered(preemption *ReservationStep, until time.Duration) bool {
	return slices.ContainsFunc(h.Steps, func(step ReservationStep) bool {
		return step.Initiator == preemption.Preempted && step.Kind == stepRegister && step.Outcome != outcomeConflict && step.Call < until && (step.Return > preemption.Call || step.Outcome == outcomeUnknown)
	})
}

// CheckReservations makes and checks runs with the seeds 1 to runs, parallel of them at a time, prints
// the violations and the counts of steps by outcome, and returns the number of runs with violations.
func CheckReservations(ctx context.Context, virtual bool, runs, steps, parallel int, out io.Writer, progress io.Writer) (broken int, err error) {
	counts := map[string]int{}
	appliedWrites, total := 0, 0
	err = runSeeds(1, runs, parallel, progress, func(_ int, seed uint64) (string, func(), error) {
		run := RunReservations
		if virtual {
			run = RunVirtualReservations
		}
		history, err := run(ctx, seed, steps, false)
		if err != nil {
			return "reservations", nil, err
		}
		violation := history.Check()
		return "reservations", func() {
			for _, step := range history.Steps {
				counts[step.Kind+" "+step.Outcome]++
				total++
			}
			appliedWrites += len(history.AppliedWrites)
			if violation != "" {
				broken++
				fmt.Fprintf(out, "seed %d: %s\n", seed, violation)
			}
		}, nil
	})
	var keys []string
	for key := range counts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	fmt.Fprintf(out, "%d runs, %d steps, %d writes took effect, %d runs broken\n", runs, total, appliedWrites, broken)
	for _, key := range keys {
		fmt.Fprintf(out, "  %-24s %d\n", key, counts[key])
	}
	return broken, err
}
