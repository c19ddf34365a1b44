package lab

import (
	"context"
	"testing"
	"time"
)

func regionScene(seed uint64, seconds int, script ...Strike) Scene {
	s := strike(seed, seconds, script...)
	s.Regions, s.Hosts, s.Servers = true, 4, 8
	return s
}

// leaderWithoutHosts is a day on which the leader takes over just as its hosts come back:
// with no lease of its own to wait for, it relies on the bounds of clocks alone.
func leaderWithoutHosts(seed uint64) Scene {
	s := regionScene(seed, 16, Strike{Kind: "region_cut", At: 5 * time.Second, Len: 9 * time.Second},
		Strike{Kind: "region_hosts", At: 5 * time.Second, Len: time.Duration(3800+seed%7*100) * time.Millisecond})
	s.Rate, s.Commands = 300, 16*300
	return s
}

func TestCalmDayOfTwoRegions(t *testing.T) {
	out, err := regionScene(1, 10).Play(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	t.Log(out.Failure, out.Goodput, out.Check.Checks, out.Steps, out.Took, out.Reads)
	_ = time.Second
}
