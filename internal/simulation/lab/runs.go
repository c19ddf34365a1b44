package lab

import "slices"

type blockRange struct {
	lba    uint64
	blocks uint32
}

// mergeBlocks joins neighbouring blocks into mergeBlocks of at most that many.
func mergeBlocks(lbas []uint64, most uint32) (out []blockRange) {
	slices.Sort(lbas)
	for _, l := range slices.Compact(lbas) {
		if k := len(out) - 1; k >= 0 && out[k].lba+uint64(out[k].blocks) == l && out[k].blocks < most {
			out[k].blocks++
		} else {
			out = append(out, blockRange{l, 1})
		}
	}
	return out
}
