package lab

import "slices"

type blockRange struct {
	lba    uint64
	blocks uint32
}

// mergeBlocks merges adjacent blocks into ranges of at most maxBlocks. It sorts lbas.
func mergeBlocks(lbas []uint64, maxBlocks uint32) (ranges []blockRange) {
	slices.Sort(lbas)
	for _, lba := range slices.Compact(lbas) {
		if last := len(ranges) - 1; last >= 0 && ranges[last].lba+uint64(ranges[last].blocks) == lba && ranges[last].blocks < maxBlocks {
			ranges[last].blocks++
		} else {
			ranges = append(ranges, blockRange{lba, 1})
		}
	}
	return ranges
}
