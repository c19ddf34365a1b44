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

// keeper knows what this host has been told of its volumes' reservations. The truth is
// the record at the disk server of a volume's first extent; docs/reservations.md has
// the protocol. What is allowed by an old state is stopped by the fence at the disk
// servers; what an old state forbids is looked up anew before it is said.
type keeper struct {
	front *front
	mu    sync.Mutex
	known map[string]*guard // volumes of which a record was seen
}

// guard is one volume's.
type guard struct {
	state   *reserve.State
	reading bool
	now     []waiter // of the read that is under way
	later   []waiter // that came while it was: they need one begun after them
	polled  bool
}

// waiter hears of a state read after it began to wait, on no particular goroutine.
type waiter struct {
	expires float64
	tell    func(*reserve.State, error)
}

// Lease is how old the state that a host acts on may be while it has registered
// initiators: so late at most do they hear of a pre-emption. Nothing relies on it for
// safety: the fence does that.
const lease = time.Second

// errUnknown ends what needs a state that could not be read, or a fence that could not
// be raised: nothing was done, and the client may try again.
var errUnknown = errors.New("gateway: the volume's reservations can't be read now")

func newKeeper(f *front) *keeper { return &keeper{front: f, known: map[string]*guard{}} }

// guard returns a volume's; unseen it is the zero state, which every fence that was
// ever raised refuses. Held: mu.
func (k *keeper) guard(volume string) *guard {
	g := k.known[volume]
	if g == nil {
		g = &guard{state: &reserve.State{}}
		k.known[volume] = g
	}
	return g
}

// judge tells whether a nexus may write or read, as far as this host knows, and the
// version by which disk servers hold it to that.
func (k *keeper) judge(volume string, n reserve.Nexus, write bool) (fence uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.known[volume]
	if g == nil {
		return 0, true
	}
	return g.state.Version, g.state.May(n, write)
}

// fresh reads the record, in a read that begins after this call, has every shard of
// the volume refuse what is older, and then tells.
func (k *keeper) fresh(vol *settings.Volume, expires float64, tell func(*reserve.State, error)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.guard(vol.Name)
	w := waiter{expires, tell}
	if g.reading {
		g.later = append(g.later, w)
		return
	}
	g.now = append(g.now, w)
	k.read(vol, g)
}

// read begins a read for those that wait. Held: mu.
func (k *keeper) read(vol *settings.Volume, g *guard) {
	g.reading = true
	latest := 0.0
	for _, w := range g.now {
		latest = max(latest, w.expires)
	}
	k.front.record(vol, diskproto.OpRecord, scsi.Read, nil, 0, latest, func(ans *diskproto.Answer) {
		s, err := parseRecord(ans)
		if err != nil {
			k.told(vol, nil, err)
			return
		}
		k.learn(vol, s, latest, func(err error) { k.told(vol, s, err) })
	})
}

func parseRecord(ans *diskproto.Answer) (*reserve.State, error) {
	if ans == nil {
		return nil, errUnknown
	}
	var r diskproto.Record
	if err := r.Parse(ans.Data); err != nil {
		return nil, err
	}
	s, err := reserve.Parse(r.Bytes)
	if err != nil {
		return nil, err
	}
	s.Version = r.Version
	return s, nil
}

// told ends a read, and begins the next where some still wait.
func (k *keeper) told(vol *settings.Volume, s *reserve.State, err error) {
	k.mu.Lock()
	g := k.guard(vol.Name)
	now := g.now
	g.now, g.later, g.reading = g.later, nil, false
	if len(g.now) > 0 {
		k.read(vol, g)
	}
	k.mu.Unlock()
	for _, w := range now {
		w.tell(s, err)
	}
}

// learn takes a state that is newer than the one known: first its fence is raised at
// every shard, so that nobody acts on an older one any more, then it counts here, and
// initiators hear of what concerns them.
func (k *keeper) learn(vol *settings.Volume, s *reserve.State, expires float64, then func(error)) {
	k.mu.Lock()
	old := k.guard(vol.Name).state
	k.mu.Unlock()
	if s.Version <= old.Version {
		then(nil)
		return
	}
	k.front.fence(vol, s.Version, expires, func(ok bool) {
		if !ok {
			then(errUnknown)
			return
		}
		k.install(vol, s)
		then(nil)
	})
}

func (k *keeper) install(vol *settings.Volume, s *reserve.State) {
	k.mu.Lock()
	g := k.guard(vol.Name)
	old := g.state
	if s.Version <= old.Version {
		k.mu.Unlock()
		return
	}
	g.state = s
	poll := !g.polled && len(s.Registrations) > 0
	g.polled = g.polled || poll
	k.mu.Unlock()
	k.front.attend(vol.Name, reserve.Notices(old, s))
	if poll {
		k.poll(vol)
	}
}

// poll reads the record once a lease while anybody is registered.
func (k *keeper) poll(vol *settings.Volume) {
	k.front.world.AfterFunc(lease, func() {
		if k.front.over() {
			return
		}
		k.fresh(vol, env.MS(k.front.world.Now()+lease), func(*reserve.State, error) {
			k.mu.Lock()
			g := k.guard(vol.Name)
			g.polled = len(g.state.Registrations) > 0
			again := g.polled
			k.mu.Unlock()
			if again {
				k.poll(vol)
			}
		})
	})
}

// errand is a request of the keeper's own at a disk server.
type errand struct{ end func(*diskproto.Answer) }

func (e *errand) partDone(_ *job, how endKind, _ float64, ans *diskproto.Answer) {
	if how != endServed {
		ans = nil
	}
	e.end(ans)
}

func (e *errand) partSettled() {}

// classAs is the class that a keeper's request runs under: that of the operation on
// blocks which it is most like.
func (f *front) classAs(vol *settings.Volume, like scsi.Op) *settings.Class {
	v := f.view.Load()
	return v.Class(like, vol.BlockSize, vol.Plan)
}

// record does something with a volume's record at the disk server of its first extent,
// through the module like any request. end is told the answer, nil if there is none.
func (f *front) record(vol *settings.Volume, op byte, like scsi.Op, data []byte, fence uint64, expires float64, end func(*diskproto.Answer)) {
	f.errand(vol, vol.Layout[0], op, like, data, fence, expires, end)
}

func (f *front) errand(vol *settings.Volume, shard int, op byte, like scsi.Op, data []byte, fence uint64, expires float64, end func(*diskproto.Answer)) {
	f.taking.RLock()
	defer f.taking.RUnlock()
	class := f.classAs(vol, like)
	if class == nil {
		f.world.AfterFunc(0, func() { end(nil) }) // the caller may hold a lock
		return
	}
	const name = "/reservations"
	j := &job{}
	j.req = policy.Request{Class: class.Name, Plan: vol.Plan, Volume: vol.Name, Shard: shard, Units: 1, Key: vol.Name + name,
		Hosts: f.view.Load().hosts[vol.Name], Write: like.Writes(), Expires: expires}
	j.do = diskproto.Do{Op: op, Effect: wireEffect[class.Effect], Shard: uint32(shard), Host: f.host.back.id, Units: 1, Plan: vol.Plan,
		Volume: vol.Name, Key: j.req.Key, Fence: fence, Data: data}
	f.open.Add(1)
	j.owner = &errand{func(ans *diskproto.Answer) { f.open.Add(-1); end(ans) }}
	if !f.host.post(event{kind: evTake, job: j}) {
		f.open.Add(-1)
		f.world.AfterFunc(0, func() { end(nil) })
	}
}

// fence raises the fence at every shard of a volume.
func (f *front) fence(vol *settings.Volume, version uint64, expires float64, end func(ok bool)) {
	shards := slices.Clone(vol.Layout)
	slices.Sort(shards)
	shards = slices.Compact(shards)
	var mu sync.Mutex
	left, all := len(shards), true
	for _, sh := range shards {
		f.errand(vol, sh, diskproto.OpFence, scsi.Read, nil, version, expires, func(ans *diskproto.Answer) {
			mu.Lock()
			left--
			all = all && ans != nil
			last, ok := left == 0, all
			mu.Unlock()
			if last {
				end(ok)
			}
		})
	}
}

// over tells whether the front has ended.
func (f *front) over() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

// noticeSense is the unit attention of a notice.
var noticeSense = map[reserve.Notice]*scsi.Sense{
	reserve.Preempted: &scsi.ReservationsPreempted, reserve.Released: &scsi.ReservationsReleased, reserve.RegistrationPreempted: &scsi.RegistrationsPreempted,
}

// attend tells the sessions of a volume what became of their nexus.
func (f *front) attend(volume string, notices map[reserve.Nexus]reserve.Notice) {
	if len(notices) == 0 {
		return
	}
	for _, c := range f.all() {
		c.mu.Lock()
		if c.unit != nil && c.unit.vol.Name == volume && !c.closed {
			if n, ok := notices[c.nexus()]; ok {
				c.attention = noticeSense[n]
			}
		}
		c.mu.Unlock()
	}
}

// nexus is the session's: its initiator port and this host.
func (c *conn) nexus() reserve.Nexus { return c.port }

// portOf is the nexus of a session's key at a host.
func portOf(key sessionKey, host int) reserve.Nexus {
	const hex = "0123456789abcdef"
	name := append([]byte(key.initiator), ",i,0x"...)
	for _, b := range key.isid {
		name = append(name, hex[b>>4], hex[b&15])
	}
	return reserve.Nexus{Initiator: string(name), Host: uint16(host + 1)}
}

// reservation carries out a PERSISTENT RESERVE command. Held: conn.mu.
func (c *conn) reservation(v *view, t *iscsi.Task, r *scsi.Reservation) {
	vol := c.at(v).vol
	class := c.front.classAs(vol, scsi.CompareAndWrite)
	if class == nil {
		c.respond(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.InvalidOpcode.Fixed()})
		return
	}
	p := &reserving{c: c, t: t, vol: vol, expires: t.At + class.Deadline}
	t.User = p
	if r.In {
		c.front.keeper.fresh(vol, p.expires, func(s *reserve.State, err error) { p.show(s, err, r) })
		return
	}
	req, known, err := reserve.ParseOut(t.CDB, r.List)
	if !known || err != nil {
		sense := scsi.InvalidField
		if err != nil {
			sense = outSense[err]
		}
		p.over = true
		c.respond(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: sense.Fixed()})
		return
	}
	req.Nexus = c.nexus()
	for _, h := range vol.Hosts {
		req.Hosts = append(req.Hosts, uint16(h+1))
	}
	p.req, p.out = req, len(r.List)
	p.stamp = c.front.world.RandomUint64()
	c.front.keeper.fresh(vol, p.expires, p.try)
}

// outSense is how errors of package reserve are answered.
var outSense = map[error]scsi.Sense{
	reserve.ErrRelease: scsi.InvalidRelease, reserve.ErrParameter: scsi.InvalidParameter, reserve.ErrLength: scsi.ParamLength,
	reserve.ErrRoom: scsi.RegistrationResources, reserve.ErrAction: scsi.InvalidField,
}

// reserving is a PERSISTENT RESERVE command under way.
type reserving struct {
	c       *conn
	t       *iscsi.Task
	vol     *settings.Volume
	expires float64
	req     reserve.Request
	out     int
	stamp   uint64
	tries   int
	maybe   bool   // an own change may have been made, or may still be,
	from    uint64 // to this version
	// Guarded by c.mu:
	over  bool
	group *abortion // that waits for the end
}

// abandon has an abort wait until the change is made, or certainly is not.
func (p *reserving) abandon(g *abortion) {
	p.group = g
	if p.over {
		p.tellGroup()
	}
}

// tellGroup tells an abort that waits, from a goroutine that holds no lock.
func (p *reserving) tellGroup() {
	if g := p.group; g != nil {
		p.group = nil
		p.c.front.world.AfterFunc(0, func() {
			g.conn.mu.Lock()
			defer g.conn.mu.Unlock()
			g.one()
		})
	}
}

// mostTries bounds how often a change that lost against another is made anew: 64
// initiators that register at once lose 63 times at most.
const mostTries = 128

func (p *reserving) answer(a iscsi.Answer) {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.over = true
	p.tellGroup()
	if !p.c.closed {
		p.c.respond(p.t, a)
	}
}

// lost ends the command without a result that is known.
func (p *reserving) lost() {
	if p.maybe {
		p.answer(iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()})
		return
	}
	p.answer(iscsi.Answer{Status: scsi.Busy})
}

func (p *reserving) show(s *reserve.State, err error, r *scsi.Reservation) {
	if err != nil {
		p.lost()
		return
	}
	b, ok := s.In(r.Action)
	if !ok {
		p.answer(iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.InvalidField.Fixed()})
		return
	}
	p.answer(iscsi.Answer{Data: b[:min(len(b), r.Alloc)]})
}

// try makes the change on a state that was just read.
func (p *reserving) try(s *reserve.State, err error) {
	if err != nil {
		p.lost()
		return
	}
	switch {
	case p.maybe && s.Stamp == p.stamp:
		p.done()
		return
	case p.maybe && s.Version != p.from:
		// Others have changed it since: whether this change came before theirs can't be
		// told, and their state says nothing of it.
		p.lost()
		return
	}
	next, err := s.Apply(p.req)
	switch {
	case errors.Is(err, reserve.ErrConflict):
		p.answer(iscsi.Answer{Status: scsi.Conflict})
		return
	case err != nil:
		p.answer(iscsi.Answer{Status: scsi.CheckCondition, Sense: outSense[err].Fixed()})
		return
	case next == nil:
		p.done()
		return
	}
	if p.tries++; p.tries > mostTries {
		p.lost()
		return
	}
	next.Stamp = p.stamp
	swap := &diskproto.Swap{Expected: s.Version, Persist: next.Persist, New: diskproto.Record{Version: next.Version, Bytes: next.Append(nil)}}
	p.c.front.record(p.vol, diskproto.OpSwapRecord, scsi.CompareAndWrite, swap.Append(nil), next.Version, p.expires, func(ans *diskproto.Answer) {
		p.swapped(s.Version, next, ans)
	})
}

func (p *reserving) swapped(from uint64, next *reserve.State, ans *diskproto.Answer) {
	k := p.c.front.keeper
	switch {
	case ans == nil: // refused, failed or lost: it may have been made, or still be
		p.maybe, p.from = true, from
		fallthrough
	case ans.Result != diskproto.OK:
		k.fresh(p.vol, p.expires, p.try)
		return
	}
	p.maybe = true
	k.learn(p.vol, next, p.expires, func(err error) {
		if err != nil {
			p.lost()
			return
		}
		p.done()
	})
}

// done answers GOOD: every shard refuses by now what the change forbids. Tasks of
// pre-empted nexus at this host end with it where that was asked for.
func (p *reserving) done() {
	if p.req.Action == reserve.PreemptAbort {
		p.c.front.endTasks(p.vol.Name, p.c)
	}
	p.answer(iscsi.Answer{Out: p.out})
}

// endTasks ends the tasks of sessions that lost their registration.
func (f *front) endTasks(volume string, by *conn) {
	f.keeper.mu.Lock()
	state := f.keeper.guard(volume).state
	f.keeper.mu.Unlock()
	for _, o := range f.all() {
		o.mu.Lock()
		hit := o != by && o.unit != nil && o.unit.vol.Name == volume && o.attention == &scsi.RegistrationsPreempted
		if _, registered := state.Key(o.nexus()); hit && !registered && o.sess != nil && !o.closed {
			for _, t := range o.sess.Reset() {
				if u, ok := t.User.(underway); ok {
					u.abandon(nil)
				}
			}
		}
		o.mu.Unlock()
	}
}
