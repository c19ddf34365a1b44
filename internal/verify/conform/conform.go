// Package conform holds a target to the standards: a table of checks, each with its
// clause, run through the project's own initiator over a socket. It writes to the unit
// that it is pointed at: see Blocks. It knows nothing of the gateway's code, and is run
// against any target.
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

// OverwrittenBlocks is the number of blocks, from the first of the unit, that the checks
// overwrite; the last blocks are read only.
const OverwrittenBlocks = 128

// Verdict is what came of a check.
type Verdict int

// The verdicts.
const (
	Pass Verdict = iota
	Fail
	NotOffered // the target does not list what the check needs
)

var verdictNames = [...]string{"pass", "FAIL", "not offered"}

func (v Verdict) String() string { return verdictNames[v] }

// CheckResult is a check and its result.
type CheckResult struct {
	Clause  string
	Name    string
	Verdict Verdict
	Detail  string
}

// check is a row of the table.
type check struct {
	clause, name string
	opcodes      []byte // operation codes without which the target is not asked
	run          func(t *target) error
}

// target is a unit under test.
type target struct {
	ctx          context.Context
	session      *initiator.Client
	otherSession *initiator.Client // of another initiator
	blocks       uint64
	blockSize    int
	supported    map[[2]byte]bool // opcode and service action
	blockLimits  blockLimits
}

// blockLimits are those of the Block Limits page; 0: none stated.
type blockLimits struct {
	compareAndWrite, unmapBlocks, unmapDescriptors uint32
	transfer                                       uint32
	writeSame                                      uint64
	wsnz                                           bool
}

// checkTimeout is the time that one check gets.
const checkTimeout = 20 * time.Second

// Run runs the table against a unit; dial opens a session of one of two initiators, 0
// or 1, and is called again where a check has cost the one before. An error is of what
// the table needs to begin with.
func Run(ctx context.Context, dial func(ctx context.Context, who int) (*initiator.Client, error)) ([]CheckResult, error) {
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
	var rows []CheckResult
	for _, c := range checks {
		row := CheckResult{Clause: c.clause, Name: c.name}
		if !t.supportsAll(c.opcodes) {
			row.Verdict = NotOffered
			rows = append(rows, row)
			continue
		}
		within, cancel := context.WithTimeout(ctx, checkTimeout)
		t.ctx = within
		if err := c.run(t); err != nil {
			row.Verdict, row.Detail = Fail, err.Error()
		}
		cancel()
		rows = append(rows, row)
		if ctx.Err() != nil {
			return rows, ctx.Err()
		}
		if t.session.Done().Opened() {
			if t.session, err = dial(ctx, 0); err != nil {
				return rows, err
			}
		}
	}
	return rows, nil
}

func (t *target) supportsAll(ops []byte) bool {
	for _, op := range ops {
		if !t.supported[[2]byte{op, 0}] {
			return false
		}
	}
	return true
}

// discover asks for what the checks are made for: size, limits, operation codes.
func (t *target) discover() error {
	for range 3 { // a unit attention may come first
		if r, err := t.do(testUnitReadyCDB(), nil, 0); err != nil {
			return err
		} else if r.Status == scsi.Good {
			break
		}
	}
	r, err := t.do(readCapacity16CDB(32), nil, 32)
	if err != nil {
		return err
	}
	if r.Status != scsi.Good || len(r.Data) < 32 {
		return errors.New("conform: READ CAPACITY (16) gives no size")
	}
	t.blocks, t.blockSize = binary.BigEndian.Uint64(r.Data)+1, int(binary.BigEndian.Uint32(r.Data[8:]))
	if t.blocks < 2*OverwrittenBlocks {
		return fmt.Errorf("conform: a unit of %d blocks is too small, %d are needed", t.blocks, 2*OverwrittenBlocks)
	}
	if r, err = t.do(inquiryCDB(1, 0xb0, 255), nil, 255); err != nil {
		return err
	}
	if b := r.Data; r.Status == scsi.Good && len(b) >= 44 {
		be := binary.BigEndian
		t.blockLimits = blockLimits{compareAndWrite: uint32(b[5]), transfer: be.Uint32(b[8:]), unmapBlocks: be.Uint32(b[20:]), unmapDescriptors: be.Uint32(b[24:]), writeSame: be.Uint64(b[36:]), wsnz: b[4]&1 != 0}
	}
	return t.discoverOpcodes()
}

func (t *target) discoverOpcodes() error {
	t.supported = map[[2]byte]bool{}
	r, err := t.do(supportedOpcodesCDB(0, 0, 0, 1<<16), nil, 1<<16)
	if err != nil {
		return err
	}
	if r.Status != scsi.Good || len(r.Data) < 4 {
		return errors.New("conform: REPORT SUPPORTED OPERATION CODES is not offered: what is, is not known")
	}
	for b := r.Data[4:]; len(b) >= 8; {
		k := [2]byte{b[0], 0}
		if b[5]&1 != 0 {
			k[1] = b[3]
			t.supported[[2]byte{b[0], 0}] = true
		}
		t.supported[k] = true
		n := 8
		if b[5]&2 != 0 {
			n += 12
		}
		b = b[min(n, len(b)):]
	}
	return nil
}

func (t *target) do(cdb, out []byte, in int) (iscsi.Result, error) {
	return t.session.Do(t.ctx, cdb, out, in)
}

// expectGood asks for GOOD and returns the data.
func (t *target) expectGood(cdb, out []byte, in int) ([]byte, error) {
	r, err := t.do(cdb, out, in)
	if err != nil {
		return nil, err
	}
	if r.Status != scsi.Good {
		return nil, fmt.Errorf("%x: %s", cdb, describe(r))
	}
	return r.Data, nil
}

// expectSense asks for CHECK CONDITION with that sense.
func (t *target) expectSense(want scsi.Sense, cdb, out []byte, in int) error {
	r, err := t.do(cdb, out, in)
	if err != nil {
		return err
	}
	if s, ok := scsi.ParseSense(r.Sense); r.Status != scsi.CheckCondition || !ok || s != want {
		return fmt.Errorf("%x: %s, want %v", cdb, describe(r), want)
	}
	return nil
}

func describe(r iscsi.Result) string {
	if s, ok := scsi.ParseSense(r.Sense); ok {
		return fmt.Sprintf("status %02x, %v", r.Status, s)
	}
	return fmt.Sprintf("status %02x", r.Status)
}

// writePattern writes a pattern to the first blocks and returns it.
func (t *target) writePattern(seed byte, blocks int) ([]byte, error) {
	b := pattern(seed, blocks*t.blockSize)
	_, err := t.expectGood(blockCDB(0x8a, 0, uint32(blocks)), b, 0)
	return b, err
}

func pattern(seed byte, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = seed + byte(i) ^ byte(i>>8)*7
	}
	return b
}

// expectData reads blocks back.
func (t *target) expectData(lba uint64, want []byte) error {
	got, err := t.expectGood(blockCDB(0x88, lba, uint32(len(want)/t.blockSize)), nil, len(want))
	if err != nil {
		return err
	}
	if !bytes.Equal(got, want) {
		return fmt.Errorf("block %d on: not what should be there", lba)
	}
	return nil
}

// Print writes the table for people.
func Print(w io.Writer, rows []CheckResult) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	count := [3]int{}
	for _, r := range rows {
		count[r.Verdict]++
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", r.Verdict, r.Clause, r.Name, r.Detail)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d checks: %d pass, %d fail, %d not offered\n", len(rows), count[Pass], count[Fail], count[NotOffered])
	return err
}
