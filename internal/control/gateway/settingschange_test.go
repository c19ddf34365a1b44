package gateway_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
)

// changeSettings puts altered settings in force at the rig's gateway.
func (r *harness) changeSettings(f func(s *settings.Settings)) *settings.Settings {
	r.t.Helper()
	s := *r.gateway.Settings().Get()
	s.Classes, s.Plans, s.Volumes = slices.Clone(s.Classes), slices.Clone(s.Plans), slices.Clone(s.Volumes)
	f(&s)
	now, err := r.gateway.Settings().Put(&s)
	if err != nil {
		r.t.Fatal(err)
	}
	return now
}

// A class whose deadline shrinks and a limit of attempts that falls while a write is out:
// the write ends under what it was taken under, the next under the new.
func TestSettingsChangeDuringWrite(t *testing.T) {
	r := newHarness(t, useOneShard)
	first := make(chan *attemptConn, 1)
	a := r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) {
		if do.LBA == 0 && do.Attempt == 0 {
			first <- c
			return
		}
		c.answer(okAnswer(do))
	})
	c := r.connect(normalVolume, 1)
	got := make(chan iscsi.Result, 1)
	c.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(res iscsi.Result, _ error) { got <- res })
	s := <-first
	was := r.gateway.Settings().Get().Version
	r.changeSettings(func(s *settings.Settings) {
		s.Limits.MaxAttempts = 1
		for i := range s.Classes {
			s.Classes[i].Aim, s.Classes[i].Deadline = 10, 10
		}
	})
	s.conn.Close() // a second attempt is allowed by the settings that it was taken under
	if res := <-got; res.Status != scsi.Good {
		t.Errorf("status %02x sense %x", res.Status, res.Sense)
	}
	r.changeSettings(func(s *settings.Settings) {
		for i := range s.Classes {
			s.Classes[i].Deadline = 1000
		}
	})
	r.execute(c, initiator.ReadCDB(1, 1), nil, 4096)
	var under []uint64
	for _, d := range a.receivedRequests() {
		under = append(under, d.Under)
	}
	if !slices.Equal(under, []uint64{was, was, was + 2}) {
		t.Errorf("sent under %v, want twice %d and then %d", under, was, was+2)
	}
}

// A volume that is removed with a write outstanding: the write has its one answer, and
// what comes after is told that there is no such unit.
func TestVolumeRemovedDuringWrite(t *testing.T) {
	r := newHarness(t, useOneShard)
	out := make(chan *attemptConn, 1)
	r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) { out <- c })
	c := r.connect(normalVolume, 1)
	got := make(chan iscsi.Result, 1)
	c.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(res iscsi.Result, _ error) { got <- res })
	s := <-out
	r.changeSettings(func(s *settings.Settings) { s.Volumes = slices.Delete(s.Volumes, normalVolume, normalVolume+1) })
	for _, cdb := range [][]byte{initiator.ReadCDB(0, 1), make([]byte, 6)} {
		res := r.execute(c, cdb, nil, 4096)
		if sense, _ := scsi.ParseSense(res.Sense); res.Status != scsi.CheckCondition || sense != scsi.NoSuchLUN {
			t.Errorf("command %02x: status %02x, sense %v", cdb[0], res.Status, sense)
		}
	}
	s.answer(diskproto.Answer{Result: diskproto.OK})
	if res := <-got; res.Status != scsi.Good {
		t.Errorf("status %02x sense %x", res.Status, res.Sense)
	}
}

// A plan that is new, a volume that goes over to it, and a class that is new are there
// for the next command, without a restart.
func TestNewPlanAndClass(t *testing.T) {
	r := newHarness(t, useOneShard)
	a := r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) { c.answer(okAnswer(do)) })
	c := r.connect(normalVolume, 1)
	r.execute(c, initiator.ReadCDB(0, 1), nil, 4096)
	r.changeSettings(func(s *settings.Settings) {
		p := s.Plans[0]
		p.Name, p.Limit, p.Burst, p.Slack = "novo", 0, 0, 0
		s.Plans = append(s.Plans, p)
		s.Volumes[normalVolume].Plan = "novo"
		k := settings.Class{Name: "own", Match: settings.Match{Ops: []string{"write"}, Plans: []string{"novo"}}, Worth: 1, LateWorth: 0.1,
			Aim: 500, Deadline: 5000, Effect: "unsafe"}
		s.Classes = append([]settings.Class{k}, s.Classes...)
	})
	r.execute(c, initiator.WriteCDB(0, 1), make([]byte, 4096), 0)
	did := a.receivedRequests()
	if d := did[len(did)-1]; d.Plan != "novo" || d.Effect != diskproto.Unsafe {
		t.Errorf("plan %s, effect %d", d.Plan, d.Effect)
	}
}

// What can't change in flight is refused by path, and nothing of the change is in force.
func TestFixedSettingsAreRejected(t *testing.T) {
	r := newHarness(t, nil)
	for path, f := range map[string]func(s *settings.Settings){
		"target.prefix": func(s *settings.Settings) { s.Target.Prefix += "x" },
		fmt.Sprintf("volumes[%d].block_size", normalVolume): func(s *settings.Settings) {
			s.Volumes = slices.Clone(s.Volumes)
			s.Volumes[normalVolume].BlockSize = 512
		},
	} {
		s := *r.gateway.Settings().Get()
		f(&s)
		var faults *settings.FaultsError
		if _, err := r.gateway.Settings().Put(&s); !errors.As(err, &faults) || faults.Faults[0].Path != path {
			t.Errorf("%s: %v", path, err)
		}
	}
	if v := r.gateway.Settings().Get().Version; v != 1 {
		t.Errorf("version %d", v)
	}
}
