package rules

import (
	"fmt"
	"math"
	"slices"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/verify/trail"
)

// AppliedSettings is a version of the settings at a host. It came into force between RequestedAt
// and AppliedBy, the start and the end of the call that set it, and stayed until the next version.
// Times are in us since the run began.
type AppliedSettings struct {
	Settings               *settings.Settings
	RequestedAt, AppliedBy int64
}

// VersionChecker checks on a trail that each command was handled under a single version of the
// settings, one that was in force when the command arrived. The only statement of the gateway that
// it relies on is the version number in each request to a disk server.
type VersionChecker struct {
	Commands       int // commands with an attempt, which names the version
	WithoutAttempt int // answered commands without one, checked against all versions possible then
	Checks         int
	Violations     []string
	ViolationCount int

	applied    map[string]map[uint64]AppliedSettings
	replacedBy map[string]map[uint64]int64 // by host and version: AppliedBy of the next version
	blockSizes map[string]int
}

// decidedCommand is an open command.
type decidedCommand struct {
	host, volume string
	op           scsi.Op
	blocks       uint32
	issuedAt     int64
	version      uint64 // 0: nothing was sent
	firstSentAt  int64  // time of its first attempt
}

// CheckVersions checks a complete trail. The keys of hosts are names as trail.HostName returns them.
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

// checkAttempt checks a request to a disk server against the version that it names.
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
		v.violate(e, "one part of a command under version %d, another under version %d", cmd.version, e.SettingsVersion)
		return
	case applied.RequestedAt > e.Time:
		v.violate(e, "attempt under version %d, which was not requested before %.3f s", e.SettingsVersion, float64(applied.RequestedAt)/1e6)
	}
	if next, superseded := v.replacedBy[host][e.SettingsVersion]; superseded && next < cmd.issuedAt-MaxRelayDelay {
		v.violate(e, "command issued at %.3f s handled under version %d, which was replaced by %.3f s", float64(cmd.issuedAt)/1e6, e.SettingsVersion, float64(next)/1e6)
	}
	v.checkAgainst(cmd, e, applied.Settings)
}

// checkAgainst compares an attempt's plan, effect, deadline and units with those of its version.
func (v *VersionChecker) checkAgainst(cmd *decidedCommand, e *trail.Event, inForce *settings.Settings) {
	i := slices.IndexFunc(inForce.Volumes, func(x settings.Volume) bool { return x.Name == cmd.volume })
	if i < 0 {
		v.violate(e, "attempt on volume %s, which version %d does not have", cmd.volume, inForce.Version)
		return
	}
	volume := &inForce.Volumes[i]
	size := int(cmd.blocks) * v.blockSizes[cmd.volume]
	if cmd.op == scsi.Unmap {
		size = 0
	}
	class := inForce.Class(cmd.op, size, volume.Plan)
	if class == nil {
		v.violate(e, "attempt of a %v on %s, which matches no class of version %d", cmd.op, cmd.volume, inForce.Version)
		return
	}
	if e.Plan != volume.Plan {
		v.violate(e, "attempt under plan %s, version %d has %s under plan %s", e.Plan, inForce.Version, cmd.volume, volume.Plan)
	}
	if want := map[string]int32{"unsafe": 0, "keyed": 1, "safe": 2}; e.Effect != want[class.Effect] {
		v.violate(e, "attempt with effect %d, class %s of version %d is %s", e.Effect, class.Name, inForce.Version, class.Effect)
	}
	if latest := cmd.firstSentAt + int64(class.Deadline*1000) + MaxRelayDelay; e.Deadline > latest {
		v.violate(e, "attempt with deadline %.3f s, class %s of version %d allows at most %.3f s", float64(e.Deadline)/1e6, class.Name, inForce.Version, float64(latest)/1e6)
	}
	if cmd.op == scsi.Read || cmd.op == scsi.Write {
		if want := inForce.Units(int(e.Blocks) * v.blockSizes[cmd.volume]); e.Units != want {
			v.violate(e, "attempt with %v units, version %d counts %v", e.Units, inForce.Version, want)
		}
	}
}

// checkAnswer checks that a command was answered in time under its version or, if it has no
// attempt, under the version with the latest due time among those that may have been in force.
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
		v.violate(e, "command issued at %.3f s answered after its answer was due at %.3f s (version %d)", float64(cmd.issuedAt)/1e6, float64(latest)/1e6, cmd.version)
	}
}

// answerDue returns by when the settings require the answer to cmd, in us. Commands that match no
// class are due at once, plus the answer slack.
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

// Summary returns the counts of the check in one line.
func (v *VersionChecker) Summary() string {
	total := 0
	for _, list := range v.applied {
		total += len(list)
	}
	return fmt.Sprintf("%d commands with attempts, %d versions at %d hosts, %d commands answered without an attempt, %d checks, %d violations", v.Commands, total, len(v.applied), v.WithoutAttempt, v.Checks, v.ViolationCount)
}
