package lab

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// blockOp is the operation of one command on one block.
type blockOp struct {
	write         bool
	indeterminate bool // the write may have had no effect
	writeID       uint64
}

// blockModel models a block as a register that holds the ID of the last write.
var blockModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, _ any) []any {
		op, current := input.(blockOp), state.(uint64)
		switch {
		case op.write && op.indeterminate:
			return []any{current, op.writeID}
		case op.write:
			return []any{op.writeID}
		case op.writeID == current:
			return []any{current}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a.(uint64) == b.(uint64) },
}).ToModel()

// blockCheckTimeout limits the check of one block's history.
const blockCheckTimeout = 2 * time.Second

// CheckLinearizable checks that the history of each block is linearizable, except on AsyncVolumes. It
// returns the number of blocks checked, how many of these timed out, and a description of each
// violation.
func (history *BlockHistory) CheckLinearizable() (checked, unknown int, anomalies []string) {
	history.mu.Lock()
	defer history.mu.Unlock()
	reads := map[blockAddr][]*readRecord{}
	for i := range history.reads {
		reads[history.reads[i].addr] = append(reads[history.reads[i].addr], &history.reads[i])
	}
	addrs := make([]blockAddr, 0, len(history.blocks))
	for addr := range history.blocks {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, func(a, b blockAddr) int { return cmp.Or(cmp.Compare(a.volume, b.volume), cmp.Compare(a.lba, b.lba)) })
	for _, addr := range addrs {
		if history.AsyncVolumes[addr.volume] {
			continue
		}
		checked++
		switch porcupine.CheckOperationsTimeout(blockModel, history.operations(addr, reads[addr]), blockCheckTimeout) {
		case porcupine.Illegal:
			anomalies = append(anomalies, fmt.Sprintf("block %d of %s: %d writes and %d reads are not linearizable", addr.lba, addr.volume, len(history.blocks[addr]), len(reads[addr])))
		case porcupine.Unknown:
			unknown++
		}
	}
	return checked, unknown, anomalies
}

// operations returns the history of one block. A write with an unknown outcome may take effect at
// any time after it was sent.
func (history *BlockHistory) operations(addr blockAddr, reads []*readRecord) (operations []porcupine.Operation) {
	wasRead := map[uint64]bool{}
	for _, read := range reads {
		wasRead[read.writeID] = true
		operations = append(operations, porcupine.Operation{Input: blockOp{writeID: read.writeID}, Call: int64(read.begin), Return: int64(read.end)})
	}
	for _, write := range history.blocks[addr] {
		if write.outcome == WriteNotApplied || write.outcome != WriteAcked && !wasRead[write.id] {
			continue // no effect, or none that a read observed
		}
		operation := porcupine.Operation{Input: blockOp{write: true, indeterminate: write.outcome != WriteAcked, writeID: write.id}, Call: int64(write.begin), Return: int64(write.end)}
		if write.outcome != WriteAcked {
			operation.Return = math.MaxInt64
		}
		operations = append(operations, operation)
	}
	slices.SortFunc(operations, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	return operations
}
