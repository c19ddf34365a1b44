// Package conform checks an iSCSI target against the standards: a table of checks, each with its
// clause, is run over a socket with the project's own initiator. The checks overwrite data on the
// logical unit under test, see OverwrittenBlocks. The package does not depend on the gateway and
// works with any target.
package conform

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
)

// OverwrittenBlocks is the number of blocks at the start of the unit that the checks overwrite. On a
// conforming target, other blocks are at most read.
const OverwrittenBlocks = 128

// Verdict is the outcome of a check.
type Verdict int

// The outcomes of a check. Pass includes checks that do not apply to the unit, such as limits that it
// does not state.
const (
	Pass Verdict = iota
	Fail
	NotOffered // the target does not list the operation codes that the check needs
)

var verdictNames = [...]string{"pass", "FAIL", "not offered"}

func (v Verdict) String() string { return verdictNames[v] }

// CheckResult is the outcome of one check. Detail describes a failure.
type CheckResult struct {
	Clause  string
	Name    string
	Verdict Verdict
	Detail  string
}

// check is a check of the table.
type check struct {
	clause, name string
	opcodes      []byte // operation codes without which the check is not run
	run          func(t *target) error
}

// target is the logical unit under test.
type target struct {
	ctx          context.Context
	session      *initiator.Client
	otherSession *initiator.Client // as another initiator
	blocks       uint64            // size of the unit
	blockSize    int               // bytes
	supported    map[[2]byte]bool  // by operation code and service action; service action 0 if any is supported
	blockLimits  blockLimits
}

// blockLimits are values of the Block Limits VPD page; 0: not stated.
type blockLimits struct {
	compareAndWrite, unmapBlocks, unmapDescriptors uint32
	transfer                                       uint32
	writeSame                                      uint64
	wsnz                                           bool
}

// checkTimeout is the time limit of one check.
const checkTimeout = 20 * time.Second

// Run runs all checks against a unit. dial opens a session as one of two initiators, 0 or 1; it is
// called again for initiator 0 when a check ended the session. An error means that a session or a
// command that the checks depend on failed, or that ctx ended; the results up to then are returned.
func Run(ctx context.Context, dial func(ctx context.Context, initiatorIndex int) (*initiator.Client, error)) ([]CheckResult, error) {
	t := &target{ctx: ctx}
	var err error
	if t.session, err = dial(ctx, 0); err != nil {
		return nil, err
	}
	defer func() { t.session.Close() }()
	if t.otherSession, err = dial(ctx, 1); err != nil {
		return nil, err
	}
	defer func() { t.otherSession.Close() }()
	if err := t.discover(); err != nil {
		return nil, err
	}
	var results []CheckResult
	for _, check := range checks {
		result := CheckResult{Clause: check.clause, Name: check.name}
		if !t.supportsAll(check.opcodes) {
			result.Verdict = NotOffered
			results = append(results, result)
			continue
		}
		checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
		t.ctx = checkCtx
		if err := check.run(t); err != nil {
			result.Verdict, result.Detail = Fail, err.Error()
		}
		cancel()
		results = append(results, result)
		if ctx.Err() != nil {
			return results, ctx.Err()
		}
		if t.session.Done().Opened() {
			if t.session, err = dial(ctx, 0); err != nil {
				return results, err
			}
		}
	}
	return results, nil
}

// supportsAll reports whether the target supports all the operation codes.
func (t *target) supportsAll(opcodes []byte) bool {
	for _, op := range opcodes {
		if !t.supported[[2]byte{op, 0}] {
			return false
		}
	}
	return true
}

// discover reads the properties of the unit that the checks use: size, limits and operation codes.
func (t *target) discover() error {
	for range 3 { // the first replies may be unit attentions
		if result, err := t.do(testUnitReadyCDB(), nil, 0); err != nil {
			return err
		} else if result.Status == scsi.Good {
			break
		}
	}
	result, err := t.do(readCapacity16CDB(32), nil, 32)
	if err != nil {
		return err
	}
	if result.Status != scsi.Good || len(result.Data) < 32 {
		return errors.New("conform: READ CAPACITY (16) failed or returned less than 32 bytes")
	}
	t.blocks, t.blockSize = binary.BigEndian.Uint64(result.Data)+1, int(binary.BigEndian.Uint32(result.Data[8:]))
	if t.blocks < 2*OverwrittenBlocks {
		return fmt.Errorf("conform: logical unit of %d blocks is too small, need %d", t.blocks, 2*OverwrittenBlocks)
	}
	if result, err = t.do(inquiryCDB(1, 0xb0, 255), nil, 255); err != nil {
		return err
	}
	if page := result.Data; result.Status == scsi.Good && len(page) >= 44 {
		be := binary.BigEndian
		t.blockLimits = blockLimits{compareAndWrite: uint32(page[5]), transfer: be.Uint32(page[8:]), unmapBlocks: be.Uint32(page[20:]), unmapDescriptors: be.Uint32(page[24:]), writeSame: be.Uint64(page[36:]), wsnz: page[4]&1 != 0}
	}
	return t.discoverOpcodes()
}

func (t *target) discoverOpcodes() error {
	t.supported = map[[2]byte]bool{}
	result, err := t.do(supportedOpcodesCDB(0, 0, 0, 1<<16), nil, 1<<16)
	if err != nil {
		return err
	}
	if result.Status != scsi.Good || len(result.Data) < 4 {
		return errors.New("conform: REPORT SUPPORTED OPERATION CODES failed: supported commands are unknown")
	}
	for descriptors := result.Data[4:]; len(descriptors) >= 8; {
		key := [2]byte{descriptors[0], 0}
		if descriptors[5]&1 != 0 {
			key[1] = descriptors[3]
			t.supported[[2]byte{descriptors[0], 0}] = true
		}
		t.supported[key] = true
		size := 8
		if descriptors[5]&2 != 0 {
			size += 12
		}
		descriptors = descriptors[min(size, len(descriptors)):]
	}
	return nil
}

func (t *target) do(cdb, dataOut []byte, inLength int) (iscsi.Result, error) {
	return t.session.Do(t.ctx, cdb, dataOut, inLength)
}

// expectGood runs a command that must end GOOD and returns its data.
func (t *target) expectGood(cdb, dataOut []byte, inLength int) ([]byte, error) {
	result, err := t.do(cdb, dataOut, inLength)
	if err != nil {
		return nil, err
	}
	if result.Status != scsi.Good {
		return nil, fmt.Errorf("%x: %s", cdb, describe(result))
	}
	return result.Data, nil
}

// expectSense runs a command that must end with CHECK CONDITION and the given sense.
func (t *target) expectSense(want scsi.Sense, cdb, dataOut []byte, inLength int) error {
	result, err := t.do(cdb, dataOut, inLength)
	if err != nil {
		return err
	}
	if sense, ok := scsi.ParseSense(result.Sense); result.Status != scsi.CheckCondition || !ok || sense != want {
		return fmt.Errorf("%x: %s, want %v", cdb, describe(result), want)
	}
	return nil
}

// describe returns a text of the status and sense of a result.
func describe(result iscsi.Result) string {
	if sense, ok := scsi.ParseSense(result.Sense); ok {
		return fmt.Sprintf("status %02x, %v", result.Status, sense)
	}
	return fmt.Sprintf("status %02x", result.Status)
}

// writePattern writes a pattern to the first blocks of the unit and returns it.
func (t *target) writePattern(seed byte, blocks int) ([]byte, error) {
	data := pattern(seed, blocks*t.blockSize)
	_, err := t.expectGood(blockCDB(0x8a, 0, uint32(blocks)), data, 0)
	return data, err
}

func pattern(seed byte, length int) []byte {
	data := make([]byte, length)
	for i := range data {
		data[i] = seed + byte(i) ^ byte(i>>8)*7
	}
	return data
}

// expectData reads the blocks from lba on, which must hold want.
func (t *target) expectData(lba uint64, want []byte) error {
	got, err := t.expectGood(blockCDB(0x88, lba, uint32(len(want)/t.blockSize)), nil, len(want))
	if err != nil {
		return err
	}
	if !bytes.Equal(got, want) {
		return fmt.Errorf("data from block %d on differs from the data expected", lba)
	}
	return nil
}

// Print writes a table of the results and their counts.
func Print(w io.Writer, results []CheckResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	counts := [3]int{}
	for _, result := range results {
		counts[result.Verdict]++
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", result.Verdict, result.Clause, result.Name, result.Detail)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d checks: %d pass, %d fail, %d not offered\n", len(results), counts[Pass], counts[Fail], counts[NotOffered])
	return err
}
