package conform

import (
	"encoding/binary"
	"errors"
	"fmt"

	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
)

// Reservation keys of the two initiators.
const (
	keyA uint64 = 0xa1
	keyB uint64 = 0xb2
)

func reserveInCDB(action byte, allocation uint16) []byte {
	return []byte{0x5e, action, 0, 0, 0, 0, 0, byte(allocation >> 8), byte(allocation), 0}
}

func reserveOutCDB(action, reservationType byte, key, serviceKey uint64, flags byte) (cdb, parameters []byte) {
	parameters = make([]byte, 24)
	binary.BigEndian.PutUint64(parameters, key)
	binary.BigEndian.PutUint64(parameters[8:], serviceKey)
	parameters[20] = flags
	return []byte{0x5f, action, reservationType, 0, 0, 0, 0, 0, 24, 0}, parameters
}

// Service actions of PERSISTENT RESERVE OUT.
const (
	actRegister byte = iota
	actReserve
	actRelease
	actClear
	actPreempt
	actPreemptAbort
	actRegisterAndIgnore
)

// doPastAttention runs a command on one of the two sessions, again for as long as it ends with a unit
// attention.
func (t *target) doPastAttention(session *initiator.Client, cdb, dataOut []byte, inLength int) (iscsi.Result, error) {
	for {
		result, err := session.Do(t.ctx, cdb, dataOut, inLength)
		if sense, ok := scsi.ParseSense(result.Sense); err == nil && ok && sense.Key == 6 {
			continue
		}
		return result, err
	}
}

// expectStatus runs a command that must end with that status.
func (t *target) expectStatus(session *initiator.Client, status byte, cdb, dataOut []byte) error {
	result, err := t.doPastAttention(session, cdb, dataOut, 0)
	if err == nil && result.Status != status {
		err = fmt.Errorf("%x: %s, want status %02x", cdb, describe(result), status)
	}
	return err
}

// expectReserveOut runs a PERSISTENT RESERVE OUT that must end with that status.
func (t *target) expectReserveOut(session *initiator.Client, status, action, reservationType byte, key, serviceKey uint64) error {
	cdb, parameters := reserveOutCDB(action, reservationType, key, serviceKey, 0)
	return t.expectStatus(session, status, cdb, parameters)
}

// clearRegistrations removes all registrations and the reservation.
func (t *target) clearRegistrations() error {
	if err := t.expectReserveOut(t.session, scsi.Good, actRegisterAndIgnore, 0, 0, keyA); err != nil {
		return err
	}
	return t.expectReserveOut(t.session, scsi.Good, actClear, 0, keyA, 0)
}

// registerBoth registers the two initiators and no other.
func (t *target) registerBoth() error {
	if err := t.clearRegistrations(); err != nil {
		return err
	}
	return errors.Join(t.expectReserveOut(t.session, scsi.Good, actRegister, 0, 0, keyA), t.expectReserveOut(t.otherSession, scsi.Good, actRegister, 0, 0, keyB))
}

func (t *target) readKeys() ([]uint64, error) {
	result, err := t.doPastAttention(t.session, reserveInCDB(0, 1024), nil, 1024)
	if err != nil || result.Status != scsi.Good || len(result.Data) < 8 {
		return nil, errors.Join(err, fmt.Errorf("READ KEYS: %s", describe(result)))
	}
	var keys []uint64
	for list := result.Data[8:]; len(list) >= 8; list = list[8:] {
		keys = append(keys, binary.BigEndian.Uint64(list))
	}
	return keys, nil
}

// readReservation returns the key and the type of the reservation, zeros if there is none.
func (t *target) readReservation() (key uint64, reservationType byte, err error) {
	result, err := t.doPastAttention(t.session, reserveInCDB(1, 64), nil, 64)
	if err != nil || result.Status != scsi.Good || len(result.Data) < 8 {
		return 0, 0, errors.Join(err, fmt.Errorf("READ RESERVATION: %s", describe(result)))
	}
	if len(result.Data) < 24 {
		return 0, 0, nil
	}
	return binary.BigEndian.Uint64(result.Data[8:]), result.Data[21] & 0xf, nil
}

// reservationTypes are the types, with whether any initiator may read and whether registrants have
// the access of the holder.
var reservationTypes = []struct {
	code                          byte
	name                          string
	othersRead, registrantsAccess bool
}{
	{1, "write exclusive", true, false}, {3, "exclusive access", false, false}, {5, "write exclusive, registrants only", true, true},
	{6, "exclusive access, registrants only", false, true}, {7, "write exclusive, all registrants", true, true}, {8, "exclusive access, all registrants", false, true},
}

func reservationChecks() (list []check) {
	opcodes := []byte{0x5e, 0x5f}
	add := func(name string, run func(t *target) error) {
		list = append(list, check{"SPC-4 PERSISTENT RESERVE", name, opcodes, func(t *target) error {
			return errors.Join(run(t), t.clearRegistrations())
		}})
	}
	add("REPORT CAPABILITIES returns 8 bytes with TMV set", func(t *target) error {
		r, err := t.doPastAttention(t.session, reserveInCDB(2, 64), nil, 64)
		if err == nil && (len(r.Data) != 8 || r.Data[1] != 8 || r.Data[3]&0x80 == 0) {
			err = fmt.Errorf("%s %x", describe(r), r.Data)
		}
		return err
	})
	add("an unknown service action is refused", func(t *target) error {
		return errors.Join(t.expectSense(scsi.InvalidField, reserveInCDB(0x1f, 64), nil, 64), t.expectSense(scsi.InvalidField, []byte{0x5f, 0x1f, 0, 0, 0, 0, 0, 0, 24, 0}, make([]byte, 24), 0))
	})
	add("a parameter list length other than 24 is refused", func(t *target) error {
		cdb, parameters := reserveOutCDB(actRegister, 0, 0, keyA, 0)
		cdb[8] = 16
		return t.expectSense(scsi.ParamLength, cdb, parameters[:16], 0)
	})
	add("READ KEYS returns the keys of both initiators", func(t *target) error {
		if err := t.registerBoth(); err != nil {
			return err
		}
		keys, err := t.readKeys()
		if err == nil && (len(keys) != 2 || keys[0]+keys[1] != keyA+keyB) {
			err = fmt.Errorf("registered keys %x", keys)
		}
		return err
	})
	add("REGISTER with a wrong key is a conflict", func(t *target) error {
		return errors.Join(t.registerBoth(), t.expectReserveOut(t.otherSession, scsi.Conflict, actRegister, 0, keyA, 7))
	})
	add("REGISTER with a key by an unregistered initiator is a conflict", func(t *target) error {
		return errors.Join(t.clearRegistrations(), t.expectReserveOut(t.otherSession, scsi.Conflict, actRegister, 0, keyB, keyB))
	})
	add("REGISTER AND IGNORE EXISTING KEY replaces any key", func(t *target) error {
		if err := errors.Join(t.registerBoth(), t.expectReserveOut(t.otherSession, scsi.Good, actRegisterAndIgnore, 0, 0, 7)); err != nil {
			return err
		}
		return errors.Join(t.expectReserveOut(t.otherSession, scsi.Good, actRegister, 0, 7, 0))
	})
	add("RESERVE by an unregistered initiator is a conflict", func(t *target) error {
		return errors.Join(t.clearRegistrations(), t.expectReserveOut(t.otherSession, scsi.Conflict, actReserve, 1, keyB, 0))
	})
	add("RESERVE with an unknown type is refused", func(t *target) error {
		if err := t.registerBoth(); err != nil {
			return err
		}
		cdb, parameters := reserveOutCDB(actReserve, 2, keyA, 0, 0)
		return t.expectSense(scsi.InvalidField, cdb, parameters, 0)
	})
	add("repeated RESERVE with the same type is GOOD, with another type a conflict", func(t *target) error {
		return errors.Join(t.registerBoth(), t.expectReserveOut(t.session, scsi.Good, actReserve, 1, keyA, 0), t.expectReserveOut(t.session, scsi.Good, actReserve, 1, keyA, 0), t.expectReserveOut(t.session, scsi.Conflict, actReserve, 3, keyA, 0))
	})
	add("RELEASE with another type is refused, by another I_T nexus has no effect", func(t *target) error {
		if err := errors.Join(t.registerBoth(), t.expectReserveOut(t.session, scsi.Good, actReserve, 1, keyA, 0), t.expectReserveOut(t.otherSession, scsi.Good, actRelease, 1, keyB, 0)); err != nil {
			return err
		}
		if _, reservationType, err := t.readReservation(); err != nil || reservationType != 1 {
			return errors.Join(err, errors.New("reservation released by another initiator"))
		}
		cdb, parameters := reserveOutCDB(actRelease, 3, keyA, 0, 0)
		return t.expectSense(scsi.InvalidRelease, cdb, parameters, 0)
	})
	for _, kind := range reservationTypes {
		add(kind.name+": read and write access of holder, registrant and others", func(t *target) error { return t.checkAccess(kind.code, kind.othersRead, kind.registrantsAccess) })
	}
	add("CLEAR removes all registrations and notifies the other initiator", func(t *target) error {
		if err := errors.Join(t.registerBoth(), t.expectReserveOut(t.session, scsi.Good, actReserve, 1, keyA, 0), t.expectReserveOut(t.session, scsi.Good, actClear, 0, keyA, 0)); err != nil {
			return err
		}
		if keys, err := t.readKeys(); err != nil || len(keys) != 0 {
			return errors.Join(err, fmt.Errorf("keys %x are still registered", keys))
		}
		return t.expectAttention(scsi.ReservationsPreempted)
	})
	for _, action := range []byte{actPreempt, actPreemptAbort} {
		add(fmt.Sprintf("PREEMPT (action %d) takes over the reservation and notifies the other initiator", action), func(t *target) error {
			if err := errors.Join(t.registerBoth(), t.expectReserveOut(t.otherSession, scsi.Good, actReserve, 1, keyB, 0), t.expectReserveOut(t.session, scsi.Good, action, 3, keyA, keyB)); err != nil {
				return err
			}
			key, reservationType, err := t.readReservation()
			if err != nil || key != keyA || reservationType != 3 {
				return errors.Join(err, fmt.Errorf("reservation has key %x, type %d", key, reservationType))
			}
			if err := t.expectAttention(scsi.RegistrationsPreempted); err != nil {
				return err
			}
			return t.expectStatus(t.otherSession, scsi.Conflict, blockCDB(0x88, 0, 1), nil)
		})
	}
	add("PREEMPT of a key that is not registered is a conflict", func(t *target) error {
		return errors.Join(t.registerBoth(), t.expectReserveOut(t.session, scsi.Conflict, actPreempt, 1, keyA, 0x77))
	})
	add("unregistering the holder releases the reservation", func(t *target) error {
		if err := errors.Join(t.registerBoth(), t.expectReserveOut(t.otherSession, scsi.Good, actReserve, 3, keyB, 0), t.expectReserveOut(t.otherSession, scsi.Good, actRegister, 0, keyB, 0)); err != nil {
			return err
		}
		_, reservationType, err := t.readReservation()
		if err == nil && reservationType != 0 {
			err = fmt.Errorf("reservation of type %d still exists", reservationType)
		}
		return err
	})
	add("READ FULL STATUS reports both registrations and one holder", func(t *target) error {
		if err := errors.Join(t.registerBoth(), t.expectReserveOut(t.session, scsi.Good, actReserve, 1, keyA, 0)); err != nil {
			return err
		}
		r, err := t.doPastAttention(t.session, reserveInCDB(3, 4096), nil, 4096)
		if err != nil || len(r.Data) < 8 {
			return errors.Join(err, errors.New(describe(r)))
		}
		holders, registrations := 0, 0
		for descriptors := r.Data[8:]; len(descriptors) >= 24; registrations++ {
			if descriptors[12]&1 != 0 {
				holders++
			}
			descriptors = descriptors[min(24+int(binary.BigEndian.Uint32(descriptors[20:])), len(descriptors)):]
		}
		if registrations != 2 || holders != 1 {
			return fmt.Errorf("got %d registrations with %d holders, want 2 with 1", registrations, holders)
		}
		return nil
	})
	return list
}

// checkAccess checks what the holder, another registrant and an unregistered initiator may do.
func (t *target) checkAccess(reservationType byte, othersRead, registrantsAccess bool) error {
	if err := errors.Join(t.registerBoth(), t.expectReserveOut(t.session, scsi.Good, actReserve, reservationType, keyA, 0)); err != nil {
		return err
	}
	data := pattern(reservationType, t.blockSize)
	status := func(allowed bool) byte {
		if allowed {
			return scsi.Good
		}
		return scsi.Conflict
	}
	return errors.Join(
		t.expectStatus(t.session, scsi.Good, blockCDB(0x8a, 0, 1), data),
		t.expectStatus(t.otherSession, status(registrantsAccess), blockCDB(0x8a, 0, 1), data),
		t.expectStatus(t.otherSession, status(othersRead || registrantsAccess), blockCDB(0x88, 0, 1), nil),
		t.expectReserveOut(t.otherSession, scsi.Good, actRegister, 0, keyB, 0),
		t.expectStatus(t.otherSession, scsi.Conflict, blockCDB(0x8a, 0, 1), data),
		t.expectStatus(t.otherSession, status(othersRead), blockCDB(0x88, 0, 1), nil),
		t.expectStatus(t.otherSession, scsi.Good, testUnitReadyCDB(), nil))
}

// expectAttention checks that the other initiator gets a unit attention with that sense within three
// commands, since other unit attentions may come first.
func (t *target) expectAttention(want scsi.Sense) error {
	for range 3 {
		result, err := t.otherSession.Do(t.ctx, testUnitReadyCDB(), nil, 0)
		if err != nil {
			return err
		}
		if sense, ok := scsi.ParseSense(result.Sense); ok && sense == want {
			return nil
		}
	}
	return fmt.Errorf("no unit attention %v", want)
}
