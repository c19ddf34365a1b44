package rules

import (
	"fmt"
	"math"
	"slices"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/verify/trail"
)

// AppliedSettings is settings as they were in force at a host: from a time after Asked and not
// after Taken, the begin and the end of the call that brought them, until the next came.
// Times are in us of the trail.
type AppliedSettings struct {
	Settings               *settings.Settings
	RequestedAt, AppliedBy int64
}

// VersionChecker judges from the sockets' trail whether each command was decided under one
// version of the settings, whole, and under one that was in force while it was taken. It
// shares nothing with the program's own bookkeeping but the number in each command to a
// disk server.
type VersionChecker struct {
	Commands       int // with an attempt, and so with a version
	WithoutAttempt int // that have none, judged by every version that they may have met
	Checks         int
	Violations     []string
	ViolationCount int

	applied    map[string]map[uint64]AppliedSettings
	replacedBy map[string]map[uint64]int64 // by host and version: when the next was surely in force
	blockSizes map[string]int
}

// decidedCommand is a command under way.
type decidedCommand struct {
	host, volume string
	op           scsi.Op
	blocks       uint32
	issuedAt     int64
	version      uint64 // 0: nothing was sent
	firstSentAt  int64  // when its first attempt was
}

// CheckVersions reads a trail. The versions are by host, without the number of its start.
func CheckVersions(m *trail.Meta, events []trail.Event, hosts map[string][]AppliedSettings) *VersionChecker {
	v := &VersionChecker{applied: map[string]map[uint64]AppliedSettings{}, replacedBy: map[string]map[uint64]int64{}, blockSizes: map[string]int{}}
	for i := range m.Settings.Volumes {
		v.blockSizes[m.Settings.Volumes[i].Name] = m.Settings.Volumes[i].BlockSize
	}
	for name, list := range hosts {
		v.applied[name], v.replacedBy[name] = map[uint64]AppliedSettings{}, map[uint64]int64{}
		for _, x := range list {
			v.applied[name][x.Settings.Version] = x
			if x.Settings.Version > 1 {
				v.replacedBy[name][x.Settings.Version-1] = x.AppliedBy
			}
		}
	}
	v.readEvents(events)
	return v
}

type commandKey struct {
	host    string
	session uint32
	tag     uint32
}

func (v *VersionChecker) readEvents(events []trail.Event) {
	open := map[commandKey]*decidedCommand{}
	volumes := map[uint32]string{}
	for i := range events {
		e := &events[i]
		switch {
		case e.Link == trail.LinkClient && e.Kind == trail.Login:
			volumes[e.Conn] = e.Volume
		case e.Link == trail.LinkClient && e.Kind == trail.Command:
			op := scsi.OpByName(e.Op)
			if op == 0 || volumes[e.Conn] == "" {
				continue
			}
			open[commandKey{e.Host, e.Session, e.Tag}] = &decidedCommand{host: e.Host, volume: volumes[e.Conn], op: op, blocks: e.Blocks, issuedAt: e.Time}
		case e.Link == trail.LinkClient && e.Kind == trail.Status:
			k := commandKey{e.Host, e.Session, e.Tag}
			if c := open[k]; c != nil {
				v.checkAnswer(c, e)
				delete(open, k)
			}
		case e.Link == trail.LinkDisk && e.Kind == trail.Do && e.RefTag|e.Session != 0:
			if c := open[commandKey{e.Host, e.Session, e.RefTag}]; c != nil && c.volume == e.Volume {
				v.checkAttempt(c, e)
			}
		}
	}
}

func (v *VersionChecker) violate(e *trail.Event, format string, args ...any) {
	v.ViolationCount++
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, fmt.Sprintf("%.3f s, %s: ", float64(e.Time)/1e6, e.Host)+fmt.Sprintf(format, args...))
	}
}

// checkAttempt holds one command to a disk server to the version that it names.
func (v *VersionChecker) checkAttempt(c *decidedCommand, e *trail.Event) {
	v.Checks++
	if c.version == 0 {
		c.version, c.firstSentAt = e.SettingsVersion, e.Time
		v.Commands++
	}
	host := trail.HostName(e.Host)
	x, known := v.applied[host][e.SettingsVersion]
	switch {
	case !known:
		v.violate(e, "attempt under version %d, which was never accepted", e.SettingsVersion)
		return
	case e.SettingsVersion != c.version:
		v.violate(e, "one part of a command under version %d, another under %d", c.version, e.SettingsVersion)
		return
	case x.RequestedAt > e.Time:
		v.violate(e, "attempt under version %d, which was asked for only at %.3f s", e.SettingsVersion, float64(x.RequestedAt)/1e6)
	}
	if next, superseded := v.replacedBy[host][e.SettingsVersion]; superseded && next < c.issuedAt-MaxRelayDelay {
		v.violate(e, "command of %.3f s under version %d, which another had replaced by %.3f s", float64(c.issuedAt)/1e6, e.SettingsVersion, float64(next)/1e6)
	}
	v.checkAgainst(c, e, x.Settings)
}

// checkAgainst compares what an attempt says with what its version says of the command.
func (v *VersionChecker) checkAgainst(c *decidedCommand, e *trail.Event, set *settings.Settings) {
	i := slices.IndexFunc(set.Volumes, func(x settings.Volume) bool { return x.Name == c.volume })
	if i < 0 {
		v.violate(e, "attempt for %s, which version %d does not have", c.volume, set.Version)
		return
	}
	vol := &set.Volumes[i]
	size := int(c.blocks) * v.blockSizes[c.volume]
	if c.op == scsi.Unmap {
		size = 0
	}
	k := set.Class(c.op, size, vol.Plan)
	if k == nil {
		v.violate(e, "attempt for %v of %s, which no class of version %d takes", c.op, c.volume, set.Version)
		return
	}
	if e.Plan != vol.Plan {
		v.violate(e, "attempt of plan %s, version %d has %s in %s", e.Plan, set.Version, c.volume, vol.Plan)
	}
	if want := map[string]int32{"unsafe": 0, "keyed": 1, "safe": 2}; e.Effect != want[k.Effect] {
		v.violate(e, "attempt of effect %d, class %s of version %d is %s", e.Effect, k.Name, set.Version, k.Effect)
	}
	if most := c.firstSentAt + int64(k.Deadline*1000) + MaxRelayDelay; e.Deadline > most {
		v.violate(e, "attempt that may begin until %.3f s, class %s of version %d ends by %.3f s", float64(e.Deadline)/1e6, k.Name, set.Version, float64(most)/1e6)
	}
	if c.op == scsi.Read || c.op == scsi.Write {
		if want := set.Units(int(e.Blocks) * v.blockSizes[c.volume]); e.Units != want {
			v.violate(e, "attempt of %v units, version %d counts %v", e.Units, set.Version, want)
		}
	}
}

// checkAnswer holds a final checkAnswer to its command's version; one of which nothing was sent to
// the kindest of those that it may have been taken under.
func (v *VersionChecker) checkAnswer(c *decidedCommand, e *trail.Event) {
	v.Checks++
	host := trail.HostName(c.host)
	most, found := int64(math.MinInt64), false
	for n, x := range v.applied[host] {
		if c.version != 0 && n != c.version || x.RequestedAt > e.Time {
			continue
		}
		if next, superseded := v.replacedBy[host][n]; c.version == 0 && superseded && next < c.issuedAt-MaxRelayDelay {
			continue
		}
		found = true
		most = max(most, v.answerDue(c, x.Settings))
	}
	if c.version == 0 {
		v.WithoutAttempt++
	}
	if found && e.Time > most+MaxRelayDelay {
		v.violate(e, "answer to a command of %.3f s that was due by %.3f s (version %d)", float64(c.issuedAt)/1e6, float64(most)/1e6, c.version)
	}
}

// answerDue is when a command's answer is by some settings; what they have no class for is
// answered at once.
func (v *VersionChecker) answerDue(c *decidedCommand, set *settings.Settings) int64 {
	slack := int64(set.Rules.AnswerSlack * 1000)
	i := slices.IndexFunc(set.Volumes, func(x settings.Volume) bool { return x.Name == c.volume })
	if i < 0 {
		return c.issuedAt + slack
	}
	k := set.Class(c.op, int(c.blocks)*v.blockSizes[c.volume], set.Volumes[i].Plan)
	if k == nil {
		return c.issuedAt + slack
	}
	return c.issuedAt + int64(k.Deadline*1000) + slack
}

// Summary is what was judged, in a line.
func (v *VersionChecker) Summary() string {
	total := 0
	for _, list := range v.applied {
		total += len(list)
	}
	return fmt.Sprintf("%d commands each under one of %d versions at %d hosts, %d more answered unsent, %d checks, %d broken", v.Commands, total, len(v.applied), v.WithoutAttempt, v.Checks, v.ViolationCount)
}
