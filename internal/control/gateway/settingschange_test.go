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

// changeSettings applies settings edited from the current ones and returns them with their new
// version.
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

// A write that is outstanding when settings change must end under its old deadline and limit of
// attempts. The next command must use the new settings.
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
			s.Classes[i].LatencyTarget, s.Classes[i].Deadline = 10, 10
		}
	})
	attempt.conn.Close() // the old settings allow a second attempt
	if result := <-results; result.Status != scsi.Good {
		t.Errorf("write under the old settings: got status %02x, sense %x, want GOOD", result.Status, result.Sense)
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
		t.Errorf("settings versions of the attempts: got %v, want %d twice and then %d", versions, oldVersion, oldVersion+2)
	}
}

// A write that is outstanding when its volume is removed must be answered. Later commands must fail
// as to a logical unit that does not exist.
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
			t.Errorf("command %02x: got status %02x, sense %v, want CHECK CONDITION for an unknown LUN", cdb[0], result.Status, sense)
		}
	}
	attempt.answer(diskproto.Answer{Result: diskproto.OK})
	if result := <-results; result.Status != scsi.Good {
		t.Errorf("outstanding write: got status %02x, sense %x, want GOOD", result.Status, result.Sense)
	}
}

// A new plan, a volume's change to it and a new class must apply to the next command.
func TestNewPlanAndClass(t *testing.T) {
	h := newHarness(t, useOneShard)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { attempt.answer(okAnswer(request)) })
	client := h.connect(normalVolume, 1)
	h.execute(client, initiator.ReadCDB(0, 1), nil, 4096)
	h.changeSettings(func(s *settings.Settings) {
		plan := s.Plans[0]
		plan.Name, plan.Limit, plan.Burst, plan.Overdraft = "novo", 0, 0, 0
		s.Plans = append(s.Plans, plan)
		s.Volumes[normalVolume].Plan = "novo"
		class := settings.Class{Name: "own", Match: settings.Match{Ops: []string{"write"}, Plans: []string{"novo"}}, Value: 1, LateValue: 0.1,
			LatencyTarget: 500, Deadline: 5000, Effect: "unsafe"}
		s.Classes = append([]settings.Class{class}, s.Classes...)
	})
	h.execute(client, initiator.WriteCDB(0, 1), make([]byte, 4096), 0)
	requests := diskServer.receivedRequests()
	if last := requests[len(requests)-1]; last.Plan != "novo" || last.Effect != diskproto.Unsafe {
		t.Errorf("write after the change: got plan %s, effect %d, want novo and unsafe", last.Plan, last.Effect)
	}
}

// Settings that cannot change at run time must be rejected with their path, and not be applied.
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
			t.Errorf("%s: got error %v, want a fault of that path", path, err)
		}
	}
	if version := h.gateway.Settings().Get().Version; version != 1 {
		t.Errorf("settings version: got %d, want 1", version)
	}
}
