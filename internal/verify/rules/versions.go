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
func CheckVersions(meta *trail.Meta, events []trail.Event, hosts map[string][]AppliedSettings) *VersionChecker {
	v := &VersionChecker{applied: map[string]map[uint64]AppliedSettings{}, replacedBy: map[string]map[uint64]int64{}, blockSizes: map[string]int{}}
	for i := range meta.Settings.Volumes {
		v.blockSizes[meta.Settings.Volumes[i].Name] = meta.Settings.Volumes[i].BlockSize
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
			key := commandKey{e.Host, e.Session, e.Tag}
			if cmd := open[key]; cmd != nil {
				v.checkAnswer(cmd, e)
				delete(open, key)
			}
		case e.Link == trail.LinkDisk && e.Kind == trail.Do && e.RefTag|e.Session != 0:
			if cmd := open[commandKey{e.Host, e.Session, e.RefTag}]; cmd != nil && cmd.volume == e.Volume {
				v.checkAttempt(cmd, e)
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
func (v *VersionChecker) checkAttempt(cmd *decidedCommand, e *trail.Event) {
	v.Checks++
	if cmd.version == 0 {
		cmd.version, cmd.firstSentAt = e.SettingsVersion, e.Time
		v.Commands++
	}
	host := trail.HostName(e.Host)
	applied, known := v.applied[host][e.SettingsVersion]
	switch {
	case !known:
		v.violate(e, "attempt under version %d, which was never accepted", e.SettingsVersion)
		return
	case e.SettingsVersion != cmd.version:
		v.violate(e, "one part of a command under version %d, another under %d", cmd.version, e.SettingsVersion)
		return
	case applied.RequestedAt > e.Time:
		v.violate(e, "attempt under version %d, which was asked for only at %.3f s", e.SettingsVersion, float64(applied.RequestedAt)/1e6)
	}
	if next, superseded := v.replacedBy[host][e.SettingsVersion]; superseded && next < cmd.issuedAt-MaxRelayDelay {
		v.violate(e, "command of %.3f s under version %d, which another had replaced by %.3f s", float64(cmd.issuedAt)/1e6, e.SettingsVersion, float64(next)/1e6)
	}
	v.checkAgainst(cmd, e, applied.Settings)
}

// checkAgainst compares what an attempt says with what its version says of the command.
func (v *VersionChecker) checkAgainst(cmd *decidedCommand, e *trail.Event, inForce *settings.Settings) {
	i := slices.IndexFunc(inForce.Volumes, func(x settings.Volume) bool { return x.Name == cmd.volume })
	if i < 0 {
		v.violate(e, "attempt for %s, which version %d does not have", cmd.volume, inForce.Version)
		return
	}
	volume := &inForce.Volumes[i]
	size := int(cmd.blocks) * v.blockSizes[cmd.volume]
	if cmd.op == scsi.Unmap {
		size = 0
	}
	class := inForce.Class(cmd.op, size, volume.Plan)
	if class == nil {
		v.violate(e, "attempt for %v of %s, which no class of version %d takes", cmd.op, cmd.volume, inForce.Version)
		return
	}
	if e.Plan != volume.Plan {
		v.violate(e, "attempt of plan %s, version %d has %s in %s", e.Plan, inForce.Version, cmd.volume, volume.Plan)
	}
	if want := map[string]int32{"unsafe": 0, "keyed": 1, "safe": 2}; e.Effect != want[class.Effect] {
		v.violate(e, "attempt of effect %d, class %s of version %d is %s", e.Effect, class.Name, inForce.Version, class.Effect)
	}
	if latest := cmd.firstSentAt + int64(class.Deadline*1000) + MaxRelayDelay; e.Deadline > latest {
		v.violate(e, "attempt that may begin until %.3f s, class %s of version %d ends by %.3f s", float64(e.Deadline)/1e6, class.Name, inForce.Version, float64(latest)/1e6)
	}
	if cmd.op == scsi.Read || cmd.op == scsi.Write {
		if want := inForce.Units(int(e.Blocks) * v.blockSizes[cmd.volume]); e.Units != want {
			v.violate(e, "attempt of %v units, version %d counts %v", e.Units, inForce.Version, want)
		}
	}
}

// checkAnswer holds a final checkAnswer to its command's version; one of which nothing was sent to
// the kindest of those that it may have been taken under.
func (v *VersionChecker) checkAnswer(cmd *decidedCommand, e *trail.Event) {
	v.Checks++
	host := trail.HostName(cmd.host)
	latest, found := int64(math.MinInt64), false
	for version, applied := range v.applied[host] {
		if cmd.version != 0 && version != cmd.version || applied.RequestedAt > e.Time {
			continue
		}
		if next, superseded := v.replacedBy[host][version]; cmd.version == 0 && superseded && next < cmd.issuedAt-MaxRelayDelay {
			continue
		}
		found = true
		latest = max(latest, v.answerDue(cmd, applied.Settings))
	}
	if cmd.version == 0 {
		v.WithoutAttempt++
	}
	if found && e.Time > latest+MaxRelayDelay {
		v.violate(e, "answer to a command of %.3f s that was due by %.3f s (version %d)", float64(cmd.issuedAt)/1e6, float64(latest)/1e6, cmd.version)
	}
}

// answerDue is when a command's answer is by some settings; what they have no class for is
// answered at once.
func (v *VersionChecker) answerDue(cmd *decidedCommand, inForce *settings.Settings) int64 {
	slack := int64(inForce.Rules.AnswerSlack * 1000)
	i := slices.IndexFunc(inForce.Volumes, func(x settings.Volume) bool { return x.Name == cmd.volume })
	if i < 0 {
		return cmd.issuedAt + slack
	}
	class := inForce.Class(cmd.op, int(cmd.blocks)*v.blockSizes[cmd.volume], inForce.Volumes[i].Plan)
	if class == nil {
		return cmd.issuedAt + slack
	}
	return cmd.issuedAt + int64(class.Deadline*1000) + slack
}

// Summary is what was judged, in a line.
func (v *VersionChecker) Summary() string {
	total := 0
	for _, list := range v.applied {
		total += len(list)
	}
	return fmt.Sprintf("%d commands each under one of %d versions at %d hosts, %d more answered unsent, %d checks, %d broken", v.Commands, total, len(v.applied), v.WithoutAttempt, v.Checks, v.ViolationCount)
}
