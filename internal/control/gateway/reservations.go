package gateway

import (
	"errors"
	"slices"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/storage/reserve"
	"merlinhitch/policy"
)

// reservationCache holds the last known state of persistent reservations of each volume. The
// authoritative state is the record at the disk server of a volume's first extent;
// docs/reservations.md describes the protocol. The cached state may be old: a command that it
// wrongly permits is stopped by the fence at the disk servers, and one that it forbids is
// refused only after the record was read again.
type reservationCache struct {
	frontend *frontend
	mu       locks.Mutex
	volumes  map[string]*volumeReservations // by name; a missing one is unreserved as far as is known
}

// volumeReservations is the cached state of one volume.
type volumeReservations struct {
	state       *reserve.State
	reading     bool           // a read of the record is in progress
	waiters     []*stateWaiter // for the read in progress
	nextWaiters []*stateWaiter // for the next read, since they came after the current one began
	polling     bool           // the record is read once per pollInterval
}

// stateWaiter waits for a state that is read after it began to wait. receive is called once, on any
// goroutine: when the read has ended, or at expires. A read may take longer than one of its waiters
// has time, since others have more, and a waiter may have to wait for the read before its own.
type stateWaiter struct {
	expires  float64
	receive  func(*reserve.State, error)
	timer    env.Timer
	answered bool // guarded by the cache's mu
}

// pollInterval is how often the record is read while initiators are registered, so that they learn
// of a preemption. Safety does not depend on it but on the fence.
const pollInterval = time.Second

// errReservationsUnavailable is returned if the record could not be read or the fence not raised.
var errReservationsUnavailable = errors.New("gateway: reservation record not read or fence not raised")

func newReservationCache(f *frontend) *reservationCache {
	return &reservationCache{frontend: f, volumes: map[string]*volumeReservations{}}
}

// entry returns the entry of a volume, adding it if need be. A new entry has the zero state, whose
// version is below every fence that was ever raised. The caller holds mu.
func (k *reservationCache) entry(volumeName string) *volumeReservations {
	entry := k.volumes[volumeName]
	if entry == nil {
		entry = &volumeReservations{state: &reserve.State{}}
		k.volumes[volumeName] = entry
	}
	return entry
}

// check reports whether the cached state permits a nexus to write or read, and the version of that
// state, which disk servers compare with their fence.
func (k *reservationCache) check(volumeName string, nexus reserve.Nexus, write bool) (fence uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	entry := k.volumes[volumeName]
	if entry == nil {
		return 0, true
	}
	return entry.state.Version, entry.state.May(nexus, write)
}

// refresh reads the record, in a read that begins after this call, raises the fence at every shard
// of the volume to its version, and then calls receive. At expires it calls receive with an error.
func (k *reservationCache) refresh(volume *settings.Volume, expires float64, receive func(*reserve.State, error)) {
	k.mu.Lock()
	entry := k.entry(volume.Name)
	w := k.newWaiter(expires, receive)
	if entry.reading {
		entry.nextWaiters = append(entry.nextWaiters, w)
		k.mu.Unlock()
		return
	}
	entry.waiters = append(entry.waiters, w)
	latestExpiry := entry.beginRead()
	k.mu.Unlock()
	k.read(volume, latestExpiry)
}

// newWaiter returns a waiter whose timer runs. The caller holds mu.
func (k *reservationCache) newWaiter(expires float64, receive func(*reserve.State, error)) *stateWaiter {
	environment := k.frontend.environment
	w := &stateWaiter{expires: expires, receive: receive}
	w.timer = environment.AfterFunc(env.Duration(max(expires-env.MS(environment.Now()), 0)), func() { k.answer(w, nil, errReservationsUnavailable) })
	return w
}

// answer passes a result to a waiter that has none yet.
func (k *reservationCache) answer(w *stateWaiter, state *reserve.State, err error) {
	k.mu.Lock()
	answered := w.answered
	w.answered = true
	k.mu.Unlock()
	if !answered {
		w.timer.Stop()
		w.receive(state, err)
	}
}

// beginRead marks a read for the current waiters as in progress and returns the latest of their
// expiries. The caller holds the cache's mu, and calls read once it has released it.
func (entry *volumeReservations) beginRead() (latestExpiry float64) {
	entry.reading = true
	for _, w := range entry.waiters {
		latestExpiry = max(latestExpiry, w.expires)
	}
	return latestExpiry
}

// read reads the record for the waiters of a read that beginRead began. The caller must not hold mu:
// read waits for frontend.settingsMu, whose holders call check.
func (k *reservationCache) read(volume *settings.Volume, expires float64) {
	k.frontend.accessRecord(volume, diskproto.OpRecord, scsi.Read, nil, 0, expires, func(answer *diskproto.Answer) {
		state, err := parseRecord(answer)
		if err != nil {
			k.finishRead(volume, nil, err)
			return
		}
		k.update(volume, state, expires, func(err error) { k.finishRead(volume, state, err) })
	})
}

func parseRecord(answer *diskproto.Answer) (*reserve.State, error) {
	if answer == nil {
		return nil, errReservationsUnavailable
	}
	var record diskproto.Record
	if err := record.Parse(answer.Data); err != nil {
		return nil, err
	}
	state, err := reserve.Parse(record.Bytes)
	if err != nil {
		return nil, err
	}
	state.Version = record.Version
	return state, nil
}

// finishRead passes the result to the waiters and starts the next read if there are more.
func (k *reservationCache) finishRead(volume *settings.Volume, state *reserve.State, err error) {
	k.mu.Lock()
	entry := k.entry(volume.Name)
	finished := entry.waiters
	entry.waiters, entry.nextWaiters, entry.reading = entry.nextWaiters, nil, false
	readAgain, latestExpiry := len(entry.waiters) > 0, 0.0
	if readAgain {
		latestExpiry = entry.beginRead()
	}
	k.mu.Unlock()
	if readAgain {
		k.read(volume, latestExpiry)
	}
	for _, w := range finished {
		k.answer(w, state, err)
	}
}

// update installs a state that is newer than the cached one. First its fence is raised at every
// shard, so that disk servers refuse requests that rely on an older state.
func (k *reservationCache) update(volume *settings.Volume, state *reserve.State, expires float64, done func(error)) {
	k.mu.Lock()
	old := k.entry(volume.Name).state
	k.mu.Unlock()
	if state.Version <= old.Version {
		done(nil)
		return
	}
	k.frontend.raiseFence(volume, state.Version, expires, func(ok bool) {
		if !ok {
			done(errReservationsUnavailable)
			return
		}
		k.install(volume, state)
		done(nil)
	})
}

// install replaces the cached state unless that is as new, sets the unit attention of sessions that
// the change concerns, and starts polling once an initiator is registered.
func (k *reservationCache) install(volume *settings.Volume, state *reserve.State) {
	k.mu.Lock()
	entry := k.entry(volume.Name)
	old := entry.state
	if state.Version <= old.Version {
		k.mu.Unlock()
		return
	}
	entry.state = state
	startPolling := !entry.polling && len(state.Registrations) > 0
	entry.polling = entry.polling || startPolling
	k.mu.Unlock()
	k.frontend.setAttention(volume.Name, reserve.Notices(old, state))
	if startPolling {
		k.poll(volume)
	}
}

// poll reads the record once per pollInterval while any initiator is registered.
func (k *reservationCache) poll(volume *settings.Volume) {
	k.frontend.environment.AfterFunc(pollInterval, func() {
		if k.frontend.isStopping() {
			return
		}
		k.refresh(volume, env.MS(k.frontend.environment.Now()+pollInterval), func(*reserve.State, error) {
			k.mu.Lock()
			entry := k.entry(volume.Name)
			entry.polling = len(entry.state.Registrations) > 0
			continuePolling := entry.polling
			k.mu.Unlock()
			if continuePolling {
				k.poll(volume)
			}
		})
	})
}

// internalRequest is the owner of a job that belongs to no command. done gets the answer, nil if
// the job was not served.
type internalRequest struct{ done func(*diskproto.Answer) }

func (e *internalRequest) jobEnded(_ *job, outcome jobOutcome, _ float64, answer *diskproto.Answer) {
	if outcome != jobServed {
		answer = nil
	}
	e.done(answer)
}

func (e *internalRequest) jobSettled() {}

// classFor returns the class of an operation on one block, under which internal requests run.
func (f *frontend) classFor(volume *settings.Volume, classOp scsi.Op) *settings.Class {
	active := f.settings.Load()
	return active.Class(classOp, volume.BlockSize, volume.Plan)
}

// accessRecord submits an operation on a volume's reservation record, which is at the disk server
// of its first extent. done gets the answer, nil if there is none.
func (f *frontend) accessRecord(volume *settings.Volume, op byte, classOp scsi.Op, data []byte, fence uint64, expires float64, done func(*diskproto.Answer)) {
	f.submitInternal(volume, volume.Layout[0], op, classOp, data, fence, expires, done)
}

// submitInternal submits an internal request to the policy. It does not call done itself but has
// another goroutine do so, since the caller may hold a lock that done takes.
func (f *frontend) submitInternal(volume *settings.Volume, shard int, op byte, classOp scsi.Op, data []byte, fence uint64, expires float64, done func(*diskproto.Answer)) {
	f.settingsMu.RLock()
	defer f.settingsMu.RUnlock()
	class := f.classFor(volume, classOp)
	if class == nil {
		f.environment.AfterFunc(0, func() { done(nil) })
		return
	}
	const keySuffix = "/reservations"
	j := &job{}
	j.req = policy.Request{Class: class.Name, Plan: volume.Plan, Volume: volume.Name, Shard: shard, Units: 1, Key: volume.Name + keySuffix,
		Hosts: f.settings.Load().hostCounts[volume.Name], Write: classOp.Writes(), Expires: expires, Internal: true}
	j.message = diskproto.Do{Op: op, Effect: diskEffects[class.Effect], Shard: uint32(shard), Host: f.host.pool.hostID, Units: 1, Plan: volume.Plan,
		Volume: volume.Name, Key: j.req.Key, Fence: fence, Data: data}
	f.openRequests.Add(1)
	j.owner = &internalRequest{func(answer *diskproto.Answer) { f.openRequests.Add(-1); done(answer) }}
	if !f.host.post(event{kind: eventSubmit, job: j}) {
		f.openRequests.Add(-1)
		f.environment.AfterFunc(0, func() { done(nil) })
	}
}

// raiseFence raises the fence at every shard of a volume. done gets whether all shards answered.
func (f *frontend) raiseFence(volume *settings.Volume, version uint64, expires float64, done func(ok bool)) {
	shards := slices.Clone(volume.Layout)
	slices.Sort(shards)
	shards = slices.Compact(shards)
	var mu locks.Mutex
	remaining, allRaised := len(shards), true
	for _, shard := range shards {
		f.submitInternal(volume, shard, diskproto.OpFence, scsi.Read, nil, version, expires, func(answer *diskproto.Answer) {
			mu.Lock()
			remaining--
			allRaised = allRaised && answer != nil
			isLast, succeeded := remaining == 0, allRaised
			mu.Unlock()
			if isLast {
				done(succeeded)
			}
		})
	}
}

// isStopping reports whether the frontend no longer accepts connections.
func (f *frontend) isStopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

// noticeSense maps notices to unit attention conditions.
var noticeSense = map[reserve.Notice]*scsi.Sense{
	reserve.Preempted: &scsi.ReservationsPreempted, reserve.Released: &scsi.ReservationsReleased, reserve.RegistrationPreempted: &scsi.RegistrationsPreempted,
}

// setAttention sets the unit attention of a volume's sessions whose nexus has a notice.
func (f *frontend) setAttention(volumeName string, notices map[reserve.Nexus]reserve.Notice) {
	if len(notices) == 0 {
		return
	}
	for _, c := range f.allConns() {
		c.mu.Lock()
		if c.logicalUnit != nil && c.logicalUnit.volume.Name == volumeName && !c.closed {
			if notice, ok := notices[c.nexus()]; ok {
				c.unitAttention = noticeSense[notice]
			}
		}
		c.mu.Unlock()
	}
}

// nexus returns the session's nexus: its initiator port and this host.
func (c *conn) nexus() reserve.Nexus { return c.initiatorPort }

// nexusOf returns the nexus of a session at a host. Its host number is one above the index.
func nexusOf(key sessionKey, host int) reserve.Nexus {
	const hex = "0123456789abcdef"
	name := append([]byte(key.initiator), ",i,0x"...)
	for _, b := range key.isid {
		name = append(name, hex[b>>4], hex[b&15])
	}
	return reserve.Nexus{Initiator: string(name), Host: uint16(host + 1)}
}

// handleReservation executes a PERSISTENT RESERVE command. The caller holds conn.mu.
func (c *conn) handleReservation(active *activeSettings, task *iscsi.Task, reservation *scsi.Reservation) {
	volume := c.currentUnit(active).volume
	class := c.frontend.classFor(volume, scsi.CompareAndWrite)
	if class == nil {
		c.respond(task, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.InvalidOpcode.Fixed()})
		return
	}
	command := &reservationCommand{conn: c, task: task, volume: volume, expires: task.At + class.Deadline}
	task.User = command
	if reservation.In {
		c.frontend.reservations.refresh(volume, command.expires, func(state *reserve.State, err error) { command.respondIn(state, err, reservation) })
		return
	}
	req, known, err := reserve.ParseOut(task.CDB, reservation.List)
	if !known || err != nil {
		sense := scsi.InvalidField
		if err != nil {
			sense = reserveErrorSense[err]
		}
		command.ended = true
		c.respond(task, iscsi.Answer{Status: scsi.CheckCondition, Sense: sense.Fixed()})
		return
	}
	req.Nexus = c.nexus()
	for _, h := range volume.Hosts {
		req.Hosts = append(req.Hosts, uint16(h+1))
	}
	command.req, command.parameterBytes = req, len(reservation.List)
	command.stamp = c.frontend.environment.RandomUint64()
	c.frontend.reservations.refresh(volume, command.expires, command.tryChange)
}

// reserveErrorSense maps errors of package reserve to sense data.
var reserveErrorSense = map[error]scsi.Sense{
	reserve.ErrRelease: scsi.InvalidRelease, reserve.ErrParameter: scsi.InvalidParameter, reserve.ErrLength: scsi.ParamLength,
	reserve.ErrRoom: scsi.RegistrationResources, reserve.ErrAction: scsi.InvalidField,
}

// reservationCommand is a PERSISTENT RESERVE command in progress. A change is made by comparing
// and swapping the record.
type reservationCommand struct {
	conn           *conn
	task           *iscsi.Task
	volume         *settings.Volume
	expires        float64
	req            reserve.Request
	parameterBytes int    // length of the parameter list
	stamp          uint64 // random; identifies this command's change in a state
	swaps          int    // attempted so far
	mayBeApplied   bool   // a swap may have taken effect, or may still do so
	baseVersion    uint64 // version that this swap replaces
	// Guarded by conn.mu:
	ended     bool
	abortWait *abortWait // of an abort that waits for the end; nil: none
}

// abandon makes an abort wait until the command has ended, since its change can't be withdrawn.
func (p *reservationCommand) abandon(wait *abortWait) {
	p.abortWait = wait
	if p.ended {
		p.notifyAbort()
	}
}

// notifyAbort notifies a waiting abort that the command has ended. It does so on another goroutine,
// since the caller holds conn.mu, which may be the lock of the abort too.
func (p *reservationCommand) notifyAbort() {
	if wait := p.abortWait; wait != nil {
		p.abortWait = nil
		p.conn.frontend.environment.AfterFunc(0, func() {
			wait.conn.mu.Lock()
			defer wait.conn.mu.Unlock()
			wait.commandDone()
		})
	}
}

// maxSwaps bounds the swaps of a command, each of which may lose against a concurrent change. If 64
// initiators register at once, each loses at most 63 times.
const maxSwaps = 128

func (p *reservationCommand) respond(answer iscsi.Answer) {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	p.ended = true
	p.notifyAbort()
	if !p.conn.closed {
		p.conn.respond(p.task, answer)
	}
}

// fail ends the command with COMMAND ABORTED if its change may have been made, else with BUSY.
func (p *reservationCommand) fail() {
	if p.mayBeApplied {
		p.respond(iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()})
		return
	}
	p.respond(iscsi.Answer{Status: scsi.Busy})
}

// respondIn answers PERSISTENT RESERVE IN from a state that was just read.
func (p *reservationCommand) respondIn(state *reserve.State, err error, reservation *scsi.Reservation) {
	if err != nil {
		p.fail()
		return
	}
	data, ok := state.In(reservation.Action)
	if !ok {
		p.respond(iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.InvalidField.Fixed()})
		return
	}
	p.respond(iscsi.Answer{Data: data[:min(len(data), reservation.Alloc)]})
}

// tryChange applies the change to a state that was just read and swaps the record. If the result of an
// earlier swap is unknown, the stamp or the unchanged version of the state shows whether it took effect.
func (p *reservationCommand) tryChange(state *reserve.State, err error) {
	if err != nil {
		p.fail()
		return
	}
	switch {
	case p.mayBeApplied && state.Stamp == p.stamp:
		p.succeed()
		return
	case p.mayBeApplied && state.Version != p.baseVersion:
		// Another change was made since. The state does not show whether this one
		// came before it.
		p.fail()
		return
	}
	next, err := state.Apply(p.req)
	switch {
	case errors.Is(err, reserve.ErrConflict):
		p.respond(iscsi.Answer{Status: scsi.Conflict})
		return
	case err != nil:
		p.respond(iscsi.Answer{Status: scsi.CheckCondition, Sense: reserveErrorSense[err].Fixed()})
		return
	case next == nil:
		p.succeed()
		return
	}
	if p.swaps++; p.swaps > maxSwaps {
		p.fail()
		return
	}
	next.Stamp = p.stamp
	swap := &diskproto.Swap{Expected: state.Version, Persist: next.Persist, New: diskproto.Record{Version: next.Version, Bytes: next.Append(nil)}}
	p.conn.frontend.accessRecord(p.volume, diskproto.OpSwapRecord, scsi.CompareAndWrite, swap.Append(nil), next.Version, p.expires, func(answer *diskproto.Answer) {
		p.swapDone(state.Version, next, answer)
	})
}

// swapDone handles the answer to a swap of the record at fromVersion.
func (p *reservationCommand) swapDone(fromVersion uint64, next *reserve.State, answer *diskproto.Answer) {
	cache := p.conn.frontend.reservations
	switch {
	case answer == nil: // it may have taken effect, or may still do so
		p.mayBeApplied, p.baseVersion = true, fromVersion
		fallthrough
	case answer.Result != diskproto.OK:
		cache.refresh(p.volume, p.expires, p.tryChange)
		return
	}
	p.mayBeApplied = true
	cache.update(p.volume, next, p.expires, func(err error) {
		if err != nil {
			p.fail()
			return
		}
		p.succeed()
	})
}

// succeed answers GOOD. By now every shard refuses what the change forbids. PREEMPT AND ABORT also
// ends the tasks of preempted sessions at this host.
func (p *reservationCommand) succeed() {
	if p.req.Action == reserve.PreemptAbort {
		p.conn.frontend.abortPreempted(p.volume.Name, p.conn)
	}
	p.respond(iscsi.Answer{Out: p.parameterBytes})
}

// abortPreempted ends the tasks of a volume's sessions whose registration was preempted.
func (f *frontend) abortPreempted(volumeName string, preemptor *conn) {
	f.reservations.mu.Lock()
	state := f.reservations.entry(volumeName).state
	f.reservations.mu.Unlock()
	for _, other := range f.allConns() {
		other.mu.Lock()
		preempted := other != preemptor && other.logicalUnit != nil && other.logicalUnit.volume.Name == volumeName && other.unitAttention == &scsi.RegistrationsPreempted
		if _, registered := state.Key(other.nexus()); preempted && !registered && other.session != nil && !other.closed {
			for _, t := range other.session.Reset() {
				if u, ok := t.User.(abandonable); ok {
					u.abandon(nil)
				}
			}
		}
		other.mu.Unlock()
	}
}
