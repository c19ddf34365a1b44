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

func TestCalmDayOfTwoRegions(t *testing.T) {
	out, err := regionScene(1, 10).Play(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	t.Log(out.Failure, out.Goodput, out.Check.Checks, out.Steps, out.Took, out.Reads)
	_ = time.Second
}
