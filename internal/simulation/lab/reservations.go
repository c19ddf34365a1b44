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

// Reservations of one volume, asked for by several initiators through three hosts, with
// hosts that die and stand still, links that are cut and disk servers that lose power.
// What came of it is judged by a model written from SPC-4 alone, over the history that
// initiators saw and the writes as they took effect at the disk servers.

const (
	reservationHosts      = 3
	reservationInitiators = 4
	reservationShards     = 3
	// persistProbability is the part of the runs in which registrations outlive a loss of power.
	persistProbability = 0.5
)

// Kinds of steps.
const (
	stepRegister   = "register"
	stepUnregister = "unregister"
	stepReserve    = "reserve"
	stepRelease    = "release"
	stepClear      = "clear"
	stepPreempt    = "preempt"
	stepWrite      = "write"
	stepRead       = "read"
	stepPowerLoss  = "power lost" // of the server that keeps the state
)

// Outcomes of a step.
const (
	outcomeGood     = "good"
	outcomeConflict = "conflict"
	outcomeNoEffect = "nothing" // refused without effect
	outcomeUnknown  = "unknown"
)

// ReservationStep is one step of a history. Times are since the world began.
type ReservationStep struct {
	Initiator       int
	Kind            string
	ReservationType byte // of a reserve, release or pre-emption
	Preempted       int  // whose key is pre-empted
	Outcome         string
	Call            time.Duration
	Return          time.Duration
	Stamp           uint64 // of a write's block
}

// ReservationHistory is a run's.
type ReservationHistory struct {
	Persist bool
	Steps   []ReservationStep
	// AppliedWrites are the writes as disk servers carried them out, by their stamps.
	AppliedWrites map[uint64][]time.Duration
}

// RunReservations plays one run on loopback; unfenced with disk servers that keep no
// fence.
func RunReservations(ctx context.Context, seed uint64, steps int, unfenced bool) (*ReservationHistory, error) {
	w := env.NewReal()
	return runReservations(ctx, w, loopbackTestbed{Environment: w}, seed, steps, unfenced)
}

// maxReservationTime bounds a run's virtual time.
const maxReservationTime = 10 * time.Minute

// RunVirtualReservations is ReservationRun in a virtual world: the same at each play.
func RunVirtualReservations(ctx context.Context, seed uint64, steps int, unfenced bool) (h *ReservationHistory, err error) {
	w := world.New(seed)
	var failed error
	err = w.Run("lab", maxReservationTime, func(p *world.Process) {
		h, failed = runReservations(ctx, p, virtualTestbed{w}, seed, steps, unfenced)
	})
	return h, cmp.Or(err, failed)
}

func runReservations(ctx context.Context, w env.Environment, at testbed, seed uint64, steps int, unfenced bool) (*ReservationHistory, error) {
	r, err := newReservationRig(w, at, seed, unfenced)
	if err != nil {
		return nil, err
	}
	defer r.close()
	var all env.WaitGroup
	for i := range reservationInitiators {
		all.Go(w, func() { r.runInitiator(ctx, i, steps) })
	}
	var stop env.Gate
	var faults env.WaitGroup
	faults.Go(r.world, func() { r.injectFaults(&stop) })
	all.Wait(w)
	stop.Open()
	faults.Wait(r.world)
	r.mu.Lock()
	defer r.mu.Unlock()
	return &r.history, r.err
}

type reservationRig struct {
	world        env.Environment
	site         testbed
	rng          *rand.Rand // of the faults
	seed         uint64
	set          *settings.Settings
	inv          *standin.Inventory
	stores       []*standin.ShardStore
	disks        []*standin.DiskServer
	mu           sync.Mutex
	hosts        [reservationHosts]*gateway.Gateway
	environments [reservationHosts]*partitionEnvironment
	history      ReservationHistory
	err          error
	lastStamp    uint64
}

func newReservationRig(w env.Environment, at testbed, seed uint64, unfenced bool) (*reservationRig, error) {
	r := &reservationRig{world: w, site: at, rng: rand.New(rand.NewPCG(seed, 21)), seed: seed, set: settings.Example(reservationHosts, reservationShards)}
	r.history = ReservationHistory{Persist: r.rng.Float64() < persistProbability, AppliedWrites: map[uint64][]time.Duration{}}
	v := r.set.Volumes[5] // of a plan without a limit
	v.Layout, v.Hosts, v.Blocks = []int{0, 1, 2}, []int{0, 1, 2}, 4096
	r.set.Volumes = []settings.Volume{v}
	for i := range r.set.Classes {
		r.set.Classes[i].Deadline = min(r.set.Classes[i].Deadline, 1500)
		r.set.Classes[i].LatencyTarget = min(r.set.Classes[i].LatencyTarget, 500)
	}
	r.set.Rules.ColdCapacity = 1
	var err error
	if r.inv, err = standin.ServeInventory(r.world, "127.0.0.1:0", 0); err != nil {
		return nil, err
	}
	for i := range reservationShards {
		cell := standin.NewShardStore(func(string) int { return v.BlockSize })
		cell.OnExecute, cell.IgnoreFences = r.recordWrite, unfenced
		r.stores, r.disks = append(r.stores, cell), append(r.disks, nil)
		if err := r.startDisk(i); err != nil {
			return nil, err
		}
	}
	for i := range reservationHosts {
		r.environments[i] = newPartitionEnvironment(r.site.startProcess(fmt.Sprint("h", i)))
		if err := r.startHost(i); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// recordWrite notes a write as it changes blocks.
func (r *reservationRig) recordWrite(d *diskproto.Do) {
	if scsi.Op(d.Op) != scsi.Write || len(d.Data) < 8 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := binary.BigEndian.Uint64(d.Data)
	r.history.AppliedWrites[s] = append(r.history.AppliedWrites[s], r.world.Now())
}

func (r *reservationRig) startDisk(i int) error {
	m := standin.NewMachine(standin.MachineConfig{Cores: 2, QueueLimit: 64, UnitWork: 1, WriteFactor: 1, ColdCapacity: 1, OverloadWindow: 1000, OverloadFactor: 2},
		r.seed*10+uint64(i), r.stores[i], standin.NewDedupCache(6000), nil, uint32(i), 0, false)
	d := &standin.DiskServer{Name: fmt.Sprint("d", i), Zone: Halls[i], Rack: fmt.Sprint("d", i), Shard: i}
	if err := standin.ServeDisk(r.site.startProcess(d.Name), m, d); err != nil {
		return err
	}
	r.mu.Lock()
	old := r.disks[i]
	r.disks[i] = d
	r.mu.Unlock()
	r.inv.ChangeNow(func(b *inventory.Book) {
		if old != nil {
			b.Health(old.Addr, inventory.Gone)
		}
		b.Set(inventory.Node{Addr: d.Addr, Health: inventory.Ready, Shard: i, Zone: d.Zone, Weight: 1, Incarnation: d.Started}, 0)
	})
	return nil
}

func (r *reservationRig) startHost(i int) error {
	g, err := gateway.Start(gateway.Config{Environment: r.environments[i], Log: zap.NewNop(), Name: fmt.Sprint("h", i), HostIndex: i, Zone: Halls[i], Listen: "127.0.0.1:0", Inventory: r.inv.Addr})
	if err != nil {
		return err
	}
	if _, err := g.Settings().Put(r.set); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[i] = g
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
	r.inv.Close()
}

func (r *reservationRig) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// injectFaults strikes now and then until stop is open.
func (r *reservationRig) injectFaults(stop *env.Gate) {
	for env.Sleep(r.world, time.Duration(50+r.rng.IntN(200))*time.Millisecond, stop) {
		h, d := r.rng.IntN(reservationHosts), r.rng.IntN(reservationShards)
		r.mu.Lock()
		g, addr := r.hosts[h], r.disks[d].Addr
		r.mu.Unlock()
		lasts := time.Duration(50+r.rng.IntN(300)) * time.Millisecond
		switch r.rng.IntN(5) {
		case 0, 1: // a link
			r.environments[h].partition(partitionKind(r.rng.IntN(2)), addr)
			env.Sleep(r.world, lasts, stop)
			r.environments[h].heal(addr)
		case 2: // a pause of a host
			var until env.Gate
			g.Freeze(&until)
			env.Sleep(r.world, lasts, stop)
			until.Open()
		case 3: // a host
			g.Kill()
			if err := r.startHost(h); err != nil {
				r.fail(err)
				return
			}
		case 4: // a disk server, by loss of power
			call := r.world.Now()
			r.disks[d].Kill()
			r.stores[d].PowerLoss()
			if d == 0 {
				r.record(ReservationStep{Kind: stepPowerLoss, Outcome: outcomeGood, Call: call, Return: r.world.Now()})
			}
			if err := r.startDisk(d); err != nil {
				r.fail(err)
				return
			}
		}
	}
}

func (r *reservationRig) record(s ReservationStep) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Steps = append(r.history.Steps, s)
}

// runInitiator is one initiator: it asks for this and that through one host.
func (r *reservationRig) runInitiator(ctx context.Context, who, steps int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(100+who)))
	var s *initiator.Client
	defer func() {
		if s != nil {
			s.Close()
		}
	}()
	kinds := []string{stepRegister, stepRegister, stepUnregister, stepReserve, stepReserve, stepRelease, stepClear, stepPreempt, stepPreempt,
		stepWrite, stepWrite, stepWrite, stepWrite, stepRead}
	types := []byte{1, 3, 5, 6, 7, 8}
	for n := 0; n < steps && ctx.Err() == nil; {
		for tries := 0; s == nil && tries < 200; tries++ {
			s = r.dial(ctx, who)
			if s == nil && !env.SleepContext(ctx, r.world, 10*time.Millisecond) {
				return
			}
		}
		if s == nil {
			r.fail(errors.New("lab: no host takes a session"))
			return
		}
		// Time for a fault to strike in between, and for others to be in the midst of theirs.
		env.SleepContext(ctx, r.world, time.Duration(rng.IntN(40))*time.Millisecond)
		step := ReservationStep{Initiator: who, Kind: kinds[rng.IntN(len(kinds))], ReservationType: types[rng.IntN(len(types))], Preempted: rng.IntN(reservationInitiators)}
		if done, alive := r.execute(s, &step, rng); done {
			n++
			r.record(step)
			if !alive {
				s.Close()
				s = nil
			}
		}
	}
}

func (r *reservationRig) dial(ctx context.Context, who int) *initiator.Client {
	r.mu.Lock()
	g := r.hosts[who%reservationHosts]
	r.mu.Unlock()
	s, err := initiator.Dial(ctx, initiator.Config{Environment: r.world, Addr: g.Addr().String(), Name: fmt.Sprint("iqn.2026-11.example.client:", who),
		Target: r.set.TargetName(&r.set.Volumes[0]), ISID: iscsi.ISID{0x80, 0, 0, 0, 0, byte(who)}, Params: initiator.DefaultParams(), LoginTime: time.Second})
	if err != nil {
		return nil
	}
	return s
}

// initiatorKey is an initiator's; it never changes, so that who is pre-empted is known.
func initiatorKey(who int) uint64 { return uint64(who + 1) }

// execute asks for one thing; done is false where it was only told a unit attention.
func (r *reservationRig) execute(s *initiator.Client, st *ReservationStep, rng *rand.Rand) (done, alive bool) {
	block := make([]byte, r.set.Volumes[0].BlockSize)
	lba := uint64(rng.IntN(96))
	cdb, out, in := initiator.ReadCDB(lba, 1), []byte(nil), len(block)
	switch st.Kind {
	case stepRead:
	case stepWrite:
		r.mu.Lock()
		r.lastStamp++
		st.Stamp = r.lastStamp
		r.mu.Unlock()
		binary.BigEndian.PutUint64(block, st.Stamp)
		cdb, out, in = initiator.WriteCDB(lba, 1), block, 0
	default:
		cdb, out, in = r.reserveOutCDB(st), nil, 0
		out = r.reserveOutParameters(st)
	}
	st.Call = r.world.Now()
	res, err := r.submit(s, cdb, out, in)
	st.Return = r.world.Now()
	sense, _ := scsi.ParseSense(res.Sense)
	switch {
	case err != nil:
		st.Outcome = outcomeUnknown
		return true, false
	case res.Status == scsi.Good:
		st.Outcome = outcomeGood
	case res.Status == scsi.Conflict:
		st.Outcome = outcomeConflict
	case res.Status == scsi.Busy:
		st.Outcome = outcomeNoEffect
	case sense.Key == 6:
		return false, true
	case sense.Key == 5: // a pre-emption with the key 0, a release of another type
		st.Outcome = outcomeNoEffect
	default:
		st.Outcome = outcomeUnknown
	}
	return true, true
}

// submit gives a command so long that only a lost one does not end.
func (r *reservationRig) submit(s *initiator.Client, cdb, out []byte, in int) (iscsi.Result, error) {
	end := &completion{}
	s.Submit(0, cdb, out, in, end.set)
	if env.Sleep(r.world, 8*time.Second, &end.done) {
		end.set(iscsi.Result{}, context.DeadlineExceeded)
	}
	return end.result, end.err
}

var serviceActions = map[string]byte{stepRegister: 6, stepUnregister: 6, stepReserve: 1, stepRelease: 2, stepClear: 3, stepPreempt: 4}

func (r *reservationRig) reserveOutCDB(st *ReservationStep) []byte {
	return []byte{0x5f, serviceActions[st.Kind], st.ReservationType, 0, 0, 0, 0, 0, 24, 0}
}

func (r *reservationRig) reserveOutParameters(st *ReservationStep) []byte {
	b := make([]byte, 24)
	binary.BigEndian.PutUint64(b, initiatorKey(st.Initiator))
	switch st.Kind {
	case stepRegister:
		binary.BigEndian.PutUint64(b[8:], initiatorKey(st.Initiator))
	case stepPreempt:
		binary.BigEndian.PutUint64(b[8:], initiatorKey(st.Preempted))
	}
	if r.history.Persist {
		b[20] = 1
	}
	return b
}

// The model: registrations, type and holder, as SPC-4 has them, for initiators of one
// key each.

type reservationState struct {
	registered [reservationInitiators]bool
	resType    byte
	holder     int
	persist    bool // as the last registration said
}

func (s reservationState) isHolder(who int) bool {
	return s.resType != 0 && (s.resType >= 7 && s.registered[who] || s.resType < 7 && s.holder == who)
}

func (s reservationState) mayAccess(who int, write bool) bool {
	switch {
	case s.resType == 0 || s.isHolder(who) || s.resType >= 5 && s.registered[who]:
		return true
	}
	return !write && (s.resType == 1 || s.resType == 5 || s.resType == 7)
}

func (s reservationState) unregister(who int) reservationState {
	s.registered[who] = false
	if s.resType >= 7 && s.registered == [reservationInitiators]bool{} || s.resType != 0 && s.resType < 7 && s.holder == who {
		s.resType, s.holder = 0, 0
	}
	return s
}

// apply is what the step does to the state if it is GOOD, and whether it may be.
func (s reservationState) apply(st *ReservationStep, persist bool) (reservationState, bool) {
	switch st.Kind {
	case stepPowerLoss:
		if !s.persist {
			return reservationState{}, true
		}
		return s, true
	case stepWrite, stepRead:
		return s, s.mayAccess(st.Initiator, st.Kind == stepWrite)
	case stepRegister:
		s.registered[st.Initiator], s.persist = true, persist
		return s, true
	case stepUnregister:
		if s.registered[st.Initiator] {
			s.persist = persist
			s = s.unregister(st.Initiator)
		}
		return s, true
	}
	if !s.registered[st.Initiator] {
		return s, false
	}
	switch st.Kind {
	case stepReserve:
		if s.resType != 0 {
			return s, s.isHolder(st.Initiator) && s.resType == st.ReservationType
		}
		if s.resType = st.ReservationType; st.ReservationType < 7 {
			s.holder = st.Initiator
		}
		return s, true
	case stepRelease:
		if s.isHolder(st.Initiator) {
			if s.resType != st.ReservationType {
				return s, false // refused, and not as a conflict
			}
			s.resType, s.holder = 0, 0
		}
		return s, true
	case stepClear:
		return reservationState{persist: s.persist}, true
	}
	return s.preempt(st)
}

func (s reservationState) preempt(st *ReservationStep) (reservationState, bool) {
	takes := s.resType != 0 && s.resType < 7 && s.holder == st.Preempted
	if !s.registered[st.Preempted] {
		return s, false
	}
	if st.Preempted != st.Initiator {
		s.registered[st.Preempted] = false
	}
	if takes {
		if s.resType, s.holder = st.ReservationType, st.Initiator; st.ReservationType >= 7 {
			s.holder = 0
		}
	}
	return s, true
}

// reservationModel is nondeterministic where the outcome of a step is not known.
func reservationModel(persist bool) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{reservationState{}} },
		Step: func(state, in, _ any) []any {
			s, st := state.(reservationState), in.(ReservationStep)
			next, good := s.apply(&st, persist)
			switch st.Outcome {
			case outcomeGood:
				if good {
					return []any{next}
				}
				return nil
			case outcomeConflict:
				if good {
					return nil
				}
				return []any{s}
			case outcomeUnknown:
				if good && next != s {
					return []any{s, next}
				}
			}
			return []any{s}
		},
		Equal: func(a, b any) bool { return a.(reservationState) == b.(reservationState) },
	}
	return m.ToModel()
}

// searchTimeout bounds the search for an order of one history.
const searchTimeout = 60 * time.Second

// Check tells what is wrong with a history, "" if nothing.
func (h *ReservationHistory) Check() string {
	var ops []porcupine.Operation
	for i, s := range h.Steps {
		end := s.Return
		if s.Outcome == outcomeUnknown {
			if s.Kind == stepWrite || s.Kind == stepRead {
				continue // it changes no reservation
			}
			end = math.MaxInt64 // it may yet be carried out
		}
		if s.Outcome == outcomeNoEffect {
			continue
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: s, Call: int64(s.Call), Return: int64(end)})
	}
	switch porcupine.CheckOperationsTimeout(reservationModel(h.Persist), ops, searchTimeout) {
	case porcupine.Illegal:
		return "no order of the steps explains their outcomes"
	case porcupine.Unknown:
		return "undecided: no order was found in time"
	}
	return h.checkAppliedWrites()
}

// checkAppliedWrites looks at each write as a disk server carried it out: after a pre-emption
// of its initiator was answered, and until anything else may have given it leave again,
// it may not have been.
func (h *ReservationHistory) checkAppliedWrites() string {
	writer := map[uint64]int{}
	for _, s := range h.Steps {
		if s.Kind == stepWrite {
			writer[s.Stamp] = s.Initiator
		}
	}
	for _, p := range h.Steps {
		if p.Kind != stepPreempt || p.Outcome != outcomeGood || p.Preempted == p.Initiator {
			continue
		}
		for stamp, times := range h.AppliedWrites {
			if who, known := writer[stamp]; !known || who != p.Preempted {
				continue
			}
			for _, at := range times {
				if at > p.Return && h.heldReservation(&p, at) && !h.mayBeRegistered(&p, at) {
					return fmt.Sprintf("a write of initiator %d took effect %v after the answer to its pre-emption", p.Preempted, at-p.Return)
				}
			}
		}
	}
	return ""
}

// heldReservation tells whether the pre-emptor certainly held a reservation against all others
// than registrants from its answer to that time: it heldReservation before with a GOOD answer
// and nothing since may have ended it.
func (h *ReservationHistory) heldReservation(p *ReservationStep, at time.Duration) bool {
	var last *ReservationStep
	for i := range h.Steps {
		s := &h.Steps[i]
		if s.Initiator == p.Initiator && s.Kind == stepReserve && s.Outcome == outcomeGood && s.Return < p.Call && (last == nil || s.Return > last.Return) {
			last = s
		}
	}
	if last == nil {
		return false
	}
	return !slices.ContainsFunc(h.Steps, func(s ReservationStep) bool {
		ends := s.Kind == stepRelease || s.Kind == stepClear || s.Kind == stepUnregister || s.Kind == stepPowerLoss || s.Kind == stepPreempt && s != *p || s.Kind == stepReserve && s != *last
		return ends && s.Outcome != outcomeConflict && s.Outcome != outcomeNoEffect && s.Call < at && (s.Return > last.Call || s.Outcome == outcomeUnknown)
	})
}

// mayBeRegistered tells whether the pre-empted may have been registered again by then.
func (h *ReservationHistory) mayBeRegistered(p *ReservationStep, at time.Duration) bool {
	return slices.ContainsFunc(h.Steps, func(s ReservationStep) bool {
		return s.Initiator == p.Preempted && s.Kind == stepRegister && s.Outcome != outcomeConflict && s.Call < at && (s.Return > p.Call || s.Outcome == outcomeUnknown)
	})
}

// CheckReservations plays and judges so many runs, several at once.
func CheckReservations(ctx context.Context, virtual bool, runs, steps, parallel int, out io.Writer, progress io.Writer) (bad int, err error) {
	said := map[string]int{}
	effects, total := 0, 0
	err = runSeeds(1, runs, parallel, progress, func(_ int, seed uint64) (string, func(), error) {
		play := RunReservations
		if virtual {
			play = RunVirtualReservations
		}
		h, err := play(ctx, seed, steps, false)
		if err != nil {
			return "reservations", nil, err
		}
		verdict := h.Check()
		return "reservations", func() {
			for _, s := range h.Steps {
				said[s.Kind+" "+s.Outcome]++
				total++
			}
			effects += len(h.AppliedWrites)
			if verdict != "" {
				bad++
				fmt.Fprintf(out, "seed %d: %s\n", seed, verdict)
			}
		}, nil
	})
	var kinds []string
	for k := range said {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	fmt.Fprintf(out, "%d runs, %d steps, %d writes took effect, %d runs broken\n", runs, total, effects, bad)
	for _, k := range kinds {
		fmt.Fprintf(out, "  %-24s %d\n", k, said[k])
	}
	return bad, err
}
