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
	Step: func(state, in, _ any) []any {
		op, held := in.(blockOp), state.(uint64)
		switch {
		case op.write && op.indeterminate:
			return []any{held, op.writeID}
		case op.write:
			return []any{op.writeID}
		case op.writeID == held:
			return []any{held}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a.(uint64) == b.(uint64) },
}).ToModel()

// blockCheckTimeout bounds the check of one block's history.
const blockCheckTimeout = 2 * time.Second

// CheckLinearizable checks that each block's history can be put in one order. It returns how many
// blocks it judged, how many it could not judge in time, and what is wrong.
func (l *BlockHistory) CheckLinearizable() (judged, unknown int, wrong []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reads := map[blockAddr][]*readRecord{}
	for i := range l.reads {
		reads[l.reads[i].addr] = append(reads[l.reads[i].addr], &l.reads[i])
	}
	places := make([]blockAddr, 0, len(l.blocks))
	for at := range l.blocks {
		places = append(places, at)
	}
	slices.SortFunc(places, func(a, b blockAddr) int { return cmp.Or(cmp.Compare(a.volume, b.volume), cmp.Compare(a.lba, b.lba)) })
	for _, at := range places {
		if l.AsyncVolumes[at.volume] {
			continue
		}
		judged++
		switch porcupine.CheckOperationsTimeout(blockModel, l.operations(at, reads[at]), blockCheckTimeout) {
		case porcupine.Illegal:
			wrong = append(wrong, fmt.Sprintf("block %d of %s: its %d writes and %d reads can't be put in one order", at.lba, at.volume, len(l.blocks[at]), len(reads[at])))
		case porcupine.Unknown:
			unknown++
		}
	}
	return judged, unknown, wrong
}

// operations is one block's. A write of which nothing is known may take effect at any time.
func (l *BlockHistory) operations(at blockAddr, reads []*readRecord) (ops []porcupine.Operation) {
	read := map[uint64]bool{}
	for _, r := range reads {
		read[r.writeID] = true
		ops = append(ops, porcupine.Operation{Input: blockOp{writeID: r.writeID}, Call: int64(r.begin), Return: int64(r.end)})
	}
	for _, w := range l.blocks[at] {
		if w.outcome == WriteNotApplied || w.outcome != WriteAcked && !read[w.id] {
			continue // no effect, or none that anyone saw
		}
		op := porcupine.Operation{Input: blockOp{write: true, indeterminate: w.outcome != WriteAcked, writeID: w.id}, Call: int64(w.begin), Return: int64(w.end)}
		if w.outcome != WriteAcked {
			op.Return = math.MaxInt64
		}
		ops = append(ops, op)
	}
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	return ops
}
