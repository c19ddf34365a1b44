package gateway

import (
	"errors"
	"slices"
	"sync"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/storage/reserve"
	"merlinhitch/policy"
)

// reservationCache knows what this host has been told of its volumes' reservations. The truth is
// the record at the disk server of a volume's first extent; docs/reservations.md has
// the protocol. What is allowed by an old state is stopped by the fence at the disk
// servers; what an old state forbids is looked up anew before it is said.
type reservationCache struct {
	front   *frontend
	mu      sync.Mutex
	volumes map[string]*volumeReservations // volumes of which a record was seen
}

// volumeReservations is one volume's.
type volumeReservations struct {
	state       *reserve.State
	reading     bool
	waiters     []stateWaiter // of the read that is under way
	nextWaiters []stateWaiter // that came while it was: they need one begun after them
	polling     bool
}

// stateWaiter hears of a state read after it began to wait, on no particular goroutine.
type stateWaiter struct {
	expires float64
	receive func(*reserve.State, error)
}

// Lease is how old the state that a host acts on may be while it has registered
// initiators: so late at most do they hear of a pre-emption. Nothing relies on it for
// safety: the fence does that.
const pollInterval = time.Second

// errReservationsUnavailable ends what needs a state that could not be read, or a fence that could not
// be raised: nothing was done, and the client may try again.
var errReservationsUnavailable = errors.New("gateway: the volume's reservations can't be read now")

func newReservationCache(f *frontend) *reservationCache {
	return &reservationCache{front: f, volumes: map[string]*volumeReservations{}}
}

// volume returns a volume's; unseen it is the zero state, which every fence that was
// ever raised refuses. Held: mu.
func (k *reservationCache) volume(volume string) *volumeReservations {
	g := k.volumes[volume]
	if g == nil {
		g = &volumeReservations{state: &reserve.State{}}
		k.volumes[volume] = g
	}
	return g
}

// check tells whether a nexus may write or read, as far as this host knows, and the
// version by which disk servers hold it to that.
func (k *reservationCache) check(volume string, n reserve.Nexus, write bool) (fence uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.volumes[volume]
	if g == nil {
		return 0, true
	}
	return g.state.Version, g.state.May(n, write)
}

// refresh reads the record, in a read that begins after this call, has every shard of
// the volume refuse what is older, and then tells.
func (k *reservationCache) refresh(vol *settings.Volume, expires float64, receive func(*reserve.State, error)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.volume(vol.Name)
	w := stateWaiter{expires, receive}
	if g.reading {
		g.nextWaiters = append(g.nextWaiters, w)
		return
	}
	g.waiters = append(g.waiters, w)
	k.startRead(vol, g)
}

// startRead begins a startRead for those that wait. Held: mu.
func (k *reservationCache) startRead(vol *settings.Volume, g *volumeReservations) {
	g.reading = true
	latest := 0.0
	for _, w := range g.waiters {
		latest = max(latest, w.expires)
	}
	k.front.accessRecord(vol, diskproto.OpRecord, scsi.Read, nil, 0, latest, func(answer *diskproto.Answer) {
		state, err := parseRecord(answer)
		if err != nil {
			k.finishRead(vol, nil, err)
			return
		}
		k.update(vol, state, latest, func(err error) { k.finishRead(vol, state, err) })
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

// finishRead ends a read, and begins the next where some still wait.
func (k *reservationCache) finishRead(vol *settings.Volume, state *reserve.State, err error) {
	k.mu.Lock()
	g := k.volume(vol.Name)
	waiting := g.waiters
	g.waiters, g.nextWaiters, g.reading = g.nextWaiters, nil, false
	if len(g.waiters) > 0 {
		k.startRead(vol, g)
	}
	k.mu.Unlock()
	for _, w := range waiting {
		w.receive(state, err)
	}
}

// update takes a state that is newer than the one known: first its fence is raised at
// every shard, so that nobody acts on an older one any more, then it counts here, and
// initiators hear of what concerns them.
func (k *reservationCache) update(vol *settings.Volume, state *reserve.State, expires float64, done func(error)) {
	k.mu.Lock()
	old := k.volume(vol.Name).state
	k.mu.Unlock()
	if state.Version <= old.Version {
		done(nil)
		return
	}
	k.front.raiseFence(vol, state.Version, expires, func(ok bool) {
		if !ok {
			done(errReservationsUnavailable)
			return
		}
		k.install(vol, state)
		done(nil)
	})
}

func (k *reservationCache) install(vol *settings.Volume, state *reserve.State) {
	k.mu.Lock()
	g := k.volume(vol.Name)
	old := g.state
	if state.Version <= old.Version {
		k.mu.Unlock()
		return
	}
	g.state = state
	startPolling := !g.polling && len(state.Registrations) > 0
	g.polling = g.polling || startPolling
	k.mu.Unlock()
	k.front.setAttention(vol.Name, reserve.Notices(old, state))
	if startPolling {
		k.poll(vol)
	}
}

// poll reads the record once a lease while anybody is registered.
func (k *reservationCache) poll(vol *settings.Volume) {
	k.front.environment.AfterFunc(pollInterval, func() {
		if k.front.isStopping() {
			return
		}
		k.refresh(vol, env.MS(k.front.environment.Now()+pollInterval), func(*reserve.State, error) {
			k.mu.Lock()
			g := k.volume(vol.Name)
			g.polling = len(g.state.Registrations) > 0
			continuePolling := g.polling
			k.mu.Unlock()
			if continuePolling {
				k.poll(vol)
			}
		})
	})
}

// internalRequest is a request of the keeper's own at a disk server.
type internalRequest struct{ done func(*diskproto.Answer) }

func (e *internalRequest) jobEnded(_ *job, outcome jobOutcome, _ float64, answer *diskproto.Answer) {
	if outcome != jobServed {
		answer = nil
	}
	e.done(answer)
}

func (e *internalRequest) jobSettled() {}

// classFor is the class that a keeper's request runs under: that of the operation on
// blocks which it is most like.
func (f *frontend) classFor(vol *settings.Volume, classOp scsi.Op) *settings.Class {
	v := f.settings.Load()
	return v.Class(classOp, vol.BlockSize, vol.Plan)
}

// accessRecord does something with a volume's accessRecord at the disk server of its first extent,
// through the module like any request. end is told the answer, nil if there is none.
func (f *frontend) accessRecord(vol *settings.Volume, op byte, classOp scsi.Op, data []byte, fence uint64, expires float64, done func(*diskproto.Answer)) {
	f.submitInternal(vol, vol.Layout[0], op, classOp, data, fence, expires, done)
}

func (f *frontend) submitInternal(vol *settings.Volume, shard int, op byte, classOp scsi.Op, data []byte, fence uint64, expires float64, done func(*diskproto.Answer)) {
	f.settingsMu.RLock()
	defer f.settingsMu.RUnlock()
	class := f.classFor(vol, classOp)
	if class == nil {
		f.environment.AfterFunc(0, func() { done(nil) }) // the caller may hold a lock
		return
	}
	const keySuffix = "/reservations"
	j := &job{}
	j.req = policy.Request{Class: class.Name, Plan: vol.Plan, Volume: vol.Name, Shard: shard, Units: 1, Key: vol.Name + keySuffix,
		Hosts: f.settings.Load().hostCounts[vol.Name], Write: classOp.Writes(), Expires: expires}
	j.message = diskproto.Do{Op: op, Effect: diskEffects[class.Effect], Shard: uint32(shard), Host: f.host.pool.hostID, Units: 1, Plan: vol.Plan,
		Volume: vol.Name, Key: j.req.Key, Fence: fence, Data: data}
	f.openRequests.Add(1)
	j.owner = &internalRequest{func(answer *diskproto.Answer) { f.openRequests.Add(-1); done(answer) }}
	if !f.host.post(event{kind: eventSubmit, job: j}) {
		f.openRequests.Add(-1)
		f.environment.AfterFunc(0, func() { done(nil) })
	}
}

// raiseFence raises the raiseFence at every shard of a volume.
func (f *frontend) raiseFence(vol *settings.Volume, version uint64, expires float64, done func(ok bool)) {
	shards := slices.Clone(vol.Layout)
	slices.Sort(shards)
	shards = slices.Compact(shards)
	var mu sync.Mutex
	remaining, allRaised := len(shards), true
	for _, shard := range shards {
		f.submitInternal(vol, shard, diskproto.OpFence, scsi.Read, nil, version, expires, func(answer *diskproto.Answer) {
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

// isStopping tells whether the front has ended.
func (f *frontend) isStopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

// noticeSense is the unit attention of a notice.
var noticeSense = map[reserve.Notice]*scsi.Sense{
	reserve.Preempted: &scsi.ReservationsPreempted, reserve.Released: &scsi.ReservationsReleased, reserve.RegistrationPreempted: &scsi.RegistrationsPreempted,
}

// setAttention tells the sessions of a volume what became of their nexus.
func (f *frontend) setAttention(volume string, notices map[reserve.Nexus]reserve.Notice) {
	if len(notices) == 0 {
		return
	}
	for _, c := range f.allConns() {
		c.mu.Lock()
		if c.logicalUnit != nil && c.logicalUnit.volume.Name == volume && !c.closed {
			if n, ok := notices[c.nexus()]; ok {
				c.unitAttention = noticeSense[n]
			}
		}
		c.mu.Unlock()
	}
}

// nexus is the session's: its initiator port and this host.
func (c *conn) nexus() reserve.Nexus { return c.initiatorPort }

// nexusOf is the nexus of a session's key at a host.
func nexusOf(key sessionKey, host int) reserve.Nexus {
	const hex = "0123456789abcdef"
	name := append([]byte(key.initiator), ",i,0x"...)
	for _, b := range key.isid {
		name = append(name, hex[b>>4], hex[b&15])
	}
	return reserve.Nexus{Initiator: string(name), Host: uint16(host + 1)}
}

// handleReservation carries out a PERSISTENT RESERVE command. Held: conn.mu.
func (c *conn) handleReservation(v *activeSettings, t *iscsi.Task, r *scsi.Reservation) {
	vol := c.currentUnit(v).volume
	class := c.frontend.classFor(vol, scsi.CompareAndWrite)
	if class == nil {
		c.respond(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.InvalidOpcode.Fixed()})
		return
	}
	command := &reservationCommand{conn: c, task: t, vol: vol, expires: t.At + class.Deadline}
	t.User = command
	if r.In {
		c.frontend.reservations.refresh(vol, command.expires, func(state *reserve.State, err error) { command.respondIn(state, err, r) })
		return
	}
	req, known, err := reserve.ParseOut(t.CDB, r.List)
	if !known || err != nil {
		sense := scsi.InvalidField
		if err != nil {
			sense = reserveErrorSense[err]
		}
		command.ended = true
		c.respond(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: sense.Fixed()})
		return
	}
	req.Nexus = c.nexus()
	for _, h := range vol.Hosts {
		req.Hosts = append(req.Hosts, uint16(h+1))
	}
	command.req, command.parameterBytes = req, len(r.List)
	command.stamp = c.frontend.environment.RandomUint64()
	c.frontend.reservations.refresh(vol, command.expires, command.tryChange)
}

// reserveErrorSense is how errors of package reserve are answered.
var reserveErrorSense = map[error]scsi.Sense{
	reserve.ErrRelease: scsi.InvalidRelease, reserve.ErrParameter: scsi.InvalidParameter, reserve.ErrLength: scsi.ParamLength,
	reserve.ErrRoom: scsi.RegistrationResources, reserve.ErrAction: scsi.InvalidField,
}

// reservationCommand is a PERSISTENT RESERVE command under way.
type reservationCommand struct {
	conn           *conn
	task           *iscsi.Task
	vol            *settings.Volume
	expires        float64
	req            reserve.Request
	parameterBytes int
	stamp          uint64
	swaps          int
	mayBeApplied   bool   // an own change may have been made, or may still be,
	baseVersion    uint64 // to this version
	// Guarded by c.mu:
	ended     bool
	abortWait *abortWait // that waits for the end
}

// abandon has an abort wait until the change is made, or certainly is not.
func (p *reservationCommand) abandon(wait *abortWait) {
	p.abortWait = wait
	if p.ended {
		p.notifyAbort()
	}
}

// notifyAbort tells an abort that waits, from a goroutine that holds no lock.
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

// maxSwaps bounds how often a change that lost against another is made anew: 64
// initiators that register at once lose 63 times at most.
const maxSwaps = 128

func (p *reservationCommand) respond(a iscsi.Answer) {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	p.ended = true
	p.notifyAbort()
	if !p.conn.closed {
		p.conn.respond(p.task, a)
	}
}

// fail ends the command without a result that is known.
func (p *reservationCommand) fail() {
	if p.mayBeApplied {
		p.respond(iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()})
		return
	}
	p.respond(iscsi.Answer{Status: scsi.Busy})
}

func (p *reservationCommand) respondIn(state *reserve.State, err error, r *scsi.Reservation) {
	if err != nil {
		p.fail()
		return
	}
	data, ok := state.In(r.Action)
	if !ok {
		p.respond(iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.InvalidField.Fixed()})
		return
	}
	p.respond(iscsi.Answer{Data: data[:min(len(data), r.Alloc)]})
}

// tryChange makes the change on a state that was just read.
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
		// Others have changed it since: whether this change came before theirs can't be
		// told, and their state says nothing of it.
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
	p.conn.frontend.accessRecord(p.vol, diskproto.OpSwapRecord, scsi.CompareAndWrite, swap.Append(nil), next.Version, p.expires, func(answer *diskproto.Answer) {
		p.swapDone(state.Version, next, answer)
	})
}

func (p *reservationCommand) swapDone(fromVersion uint64, next *reserve.State, answer *diskproto.Answer) {
	cache := p.conn.frontend.reservations
	switch {
	case answer == nil: // refused, failed or lost: it may have been made, or still be
		p.mayBeApplied, p.baseVersion = true, fromVersion
		fallthrough
	case answer.Result != diskproto.OK:
		cache.refresh(p.vol, p.expires, p.tryChange)
		return
	}
	p.mayBeApplied = true
	cache.update(p.vol, next, p.expires, func(err error) {
		if err != nil {
			p.fail()
			return
		}
		p.succeed()
	})
}

// succeed answers GOOD: every shard refuses by now what the change forbids. Tasks of
// pre-empted nexus at this host end with it where that was asked for.
func (p *reservationCommand) succeed() {
	if p.req.Action == reserve.PreemptAbort {
		p.conn.frontend.abortPreempted(p.vol.Name, p.conn)
	}
	p.respond(iscsi.Answer{Out: p.parameterBytes})
}

// abortPreempted ends the tasks of sessions that lost their registration.
func (f *frontend) abortPreempted(volume string, preemptor *conn) {
	f.reservations.mu.Lock()
	state := f.reservations.volume(volume).state
	f.reservations.mu.Unlock()
	for _, other := range f.allConns() {
		other.mu.Lock()
		preempted := other != preemptor && other.logicalUnit != nil && other.logicalUnit.volume.Name == volume && other.unitAttention == &scsi.RegistrationsPreempted
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
