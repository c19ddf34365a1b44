package lab

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// blockOp is what one command did to one block.
type blockOp struct {
	write         bool
	indeterminate bool // it may have had no effect
	writeID       uint64
}

// blockModel is a register that holds the number of the write that it was last given.
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

// blockCheckTimeout bounds the check of one block's history.
const blockCheckTimeout = 2 * time.Second

// CheckLinearizable checks that each block's history can be put in one order. It returns how many
// blocks it judged, how many it could not judge in time, and what is wrong.
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
			anomalies = append(anomalies, fmt.Sprintf("block %d of %s: its %d writes and %d reads can't be put in one order", addr.lba, addr.volume, len(history.blocks[addr]), len(reads[addr])))
		case porcupine.Unknown:
			unknown++
		}
	}
	return checked, unknown, anomalies
}

// operations is one block's. A write of which nothing is known may take effect at any time.
func (history *BlockHistory) operations(addr blockAddr, reads []*readRecord) (operations []porcupine.Operation) {
	wasRead := map[uint64]bool{}
	for _, read := range reads {
		wasRead[read.writeID] = true
		operations = append(operations, porcupine.Operation{Input: blockOp{writeID: read.writeID}, Call: int64(read.begin), Return: int64(read.end)})
	}
	for _, write := range history.blocks[addr] {
		if write.outcome == WriteNotApplied || write.outcome != WriteAcked && !wasRead[write.id] {
			continue // no effect, or none that anyone saw
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
