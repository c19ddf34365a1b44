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
func (h *harness) changeSettings(edit func(s *settings.Settings)) *settings.Settings {
	h.t.Helper()
	s := *h.gateway.Settings().Get()
	s.Classes, s.Plans, s.Volumes = slices.Clone(s.Classes), slices.Clone(s.Plans), slices.Clone(s.Volumes)
	edit(&s)
	changed, err := h.gateway.Settings().Put(&s)
	if err != nil {
		h.t.Fatal(err)
	}
	return changed
}

// A class whose deadline shrinks and a limit of attempts that falls while a write is out:
// the write ends under what it was taken under, the next under the new.
func TestSettingsChangeDuringWrite(t *testing.T) {
	h := newHarness(t, useOneShard)
	firstAttempt := make(chan *receivedAttempt, 1)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) {
		if request.LBA == 0 && request.Attempt == 0 {
			firstAttempt <- attempt
			return
		}
		attempt.answer(okAnswer(request))
	})
	client := h.connect(normalVolume, 1)
	results := make(chan iscsi.Result, 1)
	client.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(result iscsi.Result, _ error) { results <- result })
	attempt := <-firstAttempt
	oldVersion := h.gateway.Settings().Get().Version
	h.changeSettings(func(s *settings.Settings) {
		s.Limits.MaxAttempts = 1
		for i := range s.Classes {
			s.Classes[i].Aim, s.Classes[i].Deadline = 10, 10
		}
	})
	attempt.conn.Close() // a second attempt is allowed by the settings that it was taken under
	if result := <-results; result.Status != scsi.Good {
		t.Errorf("status %02x sense %x", result.Status, result.Sense)
	}
	h.changeSettings(func(s *settings.Settings) {
		for i := range s.Classes {
			s.Classes[i].Deadline = 1000
		}
	})
	h.execute(client, initiator.ReadCDB(1, 1), nil, 4096)
	var versions []uint64
	for _, request := range diskServer.receivedRequests() {
		versions = append(versions, request.Under)
	}
	if !slices.Equal(versions, []uint64{oldVersion, oldVersion, oldVersion + 2}) {
		t.Errorf("sent under %v, want twice %d and then %d", versions, oldVersion, oldVersion+2)
	}
}

// A volume that is removed with a write outstanding: the write has its one answer, and
// what comes after is told that there is no such unit.
func TestVolumeRemovedDuringWrite(t *testing.T) {
	h := newHarness(t, useOneShard)
	pending := make(chan *receivedAttempt, 1)
	h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { pending <- attempt })
	client := h.connect(normalVolume, 1)
	results := make(chan iscsi.Result, 1)
	client.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(result iscsi.Result, _ error) { results <- result })
	attempt := <-pending
	h.changeSettings(func(s *settings.Settings) { s.Volumes = slices.Delete(s.Volumes, normalVolume, normalVolume+1) })
	for _, cdb := range [][]byte{initiator.ReadCDB(0, 1), make([]byte, 6)} {
		result := h.execute(client, cdb, nil, 4096)
		if sense, _ := scsi.ParseSense(result.Sense); result.Status != scsi.CheckCondition || sense != scsi.NoSuchLUN {
			t.Errorf("command %02x: status %02x, sense %v", cdb[0], result.Status, sense)
		}
	}
	attempt.answer(diskproto.Answer{Result: diskproto.OK})
	if result := <-results; result.Status != scsi.Good {
		t.Errorf("status %02x sense %x", result.Status, result.Sense)
	}
}

// A plan that is new, a volume that goes over to it, and a class that is new are there
// for the next command, without a restart.
func TestNewPlanAndClass(t *testing.T) {
	h := newHarness(t, useOneShard)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { attempt.answer(okAnswer(request)) })
	client := h.connect(normalVolume, 1)
	h.execute(client, initiator.ReadCDB(0, 1), nil, 4096)
	h.changeSettings(func(s *settings.Settings) {
		plan := s.Plans[0]
		plan.Name, plan.Limit, plan.Burst, plan.Slack = "novo", 0, 0, 0
		s.Plans = append(s.Plans, plan)
		s.Volumes[normalVolume].Plan = "novo"
		class := settings.Class{Name: "own", Match: settings.Match{Ops: []string{"write"}, Plans: []string{"novo"}}, Worth: 1, LateWorth: 0.1,
			Aim: 500, Deadline: 5000, Effect: "unsafe"}
		s.Classes = append([]settings.Class{class}, s.Classes...)
	})
	h.execute(client, initiator.WriteCDB(0, 1), make([]byte, 4096), 0)
	requests := diskServer.receivedRequests()
	if last := requests[len(requests)-1]; last.Plan != "novo" || last.Effect != diskproto.Unsafe {
		t.Errorf("plan %s, effect %d", last.Plan, last.Effect)
	}
}

// What can't change in flight is refused by path, and nothing of the change is in force.
func TestFixedSettingsAreRejected(t *testing.T) {
	h := newHarness(t, nil)
	for path, edit := range map[string]func(s *settings.Settings){
		"target.prefix": func(s *settings.Settings) { s.Target.Prefix += "x" },
		fmt.Sprintf("volumes[%d].block_size", normalVolume): func(s *settings.Settings) {
			s.Volumes = slices.Clone(s.Volumes)
			s.Volumes[normalVolume].BlockSize = 512
		},
	} {
		s := *h.gateway.Settings().Get()
		edit(&s)
		var faults *settings.FaultsError
		if _, err := h.gateway.Settings().Put(&s); !errors.As(err, &faults) || faults.Faults[0].Path != path {
			t.Errorf("%s: %v", path, err)
		}
	}
	if version := h.gateway.Settings().Get().Version; version != 1 {
		t.Errorf("version %d", version)
	}
}
