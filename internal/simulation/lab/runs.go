package lab

import "slices"

type run struct {
	lba    uint64
	blocks uint32
}

// runs joins neighbouring blocks into runs of at most that many.
func runs(lbas []uint64, most uint32) (out []run) {
	slices.Sort(lbas)
	for _, l := range slices.Compact(lbas) {
		if k := len(out) - 1; k >= 0 && out[k].lba+uint64(out[k].blocks) == l && out[k].blocks < most {
			out[k].blocks++
		} else {
			out = append(out, run{l, 1})
		}
	}
	return out
}
