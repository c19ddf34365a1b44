package top

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"merlinhitch/internal/fleet/roll"
	"merlinhitch/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func state(f roll.Figures, v policy.View) *State {
	s := &State{Serves: true, Version: 3, Module: v}
	s.Status.Figures = f
	return s
}

// 170 hosts of which 40 do not answer: the rest are summed up within the time of one, and
// the silent are named.
func TestSilentHostsKeepNobodyWaiting(t *testing.T) {
	var sources []Source
	for i := range 170 {
		sources = append(sources, Source{fmt.Sprintf("h%03d", i), func(ctx context.Context) (*State, error) {
			if i%17 < 4 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return state(roll.Figures{Taken: 100, Served: 90, InAim: 80, Refused: 10}, policy.View{Budget: -1}), nil
		}})
	}
	at := time.Duration(0)
	clock := func() time.Duration { at += time.Second; return at }
	before := Take(context.Background(), sources, 20*time.Millisecond, clock)
	f := Sum(sources, Sample{Hosts: make([]Reading, 170)}, before)
	if f.Silent != 40 || len(f.Hosts) != 170 || f.Served != 130*90 || f.Refused != 0.1 {
		t.Errorf("%d silent of %d, %v served, %v refused", f.Silent, len(f.Hosts), f.Served, f.Refused)
	}
	var b bytes.Buffer
	if err := f.Print(&b, 50); err != nil || strings.Count(b.String(), "silent: ") != 40 || !strings.Contains(b.String(), "and 120 more") {
		t.Errorf("%v\n%s", err, b.String())
	}
}

func TestWhatHoldsAHostBack(t *testing.T) {
	one := Source{Name: "a"}
	for want, v := range map[string]policy.View{
		"shard 2 has no node, 4 wait":    {Budget: -1, Shards: []policy.ShardView{{Shard: 2, Waiting: 4}}},
		"the budget of repeats is spent": {Budget: 0.5},
		"shard 1: 6 wait, 30 ms": {Budget: -1, Shards: []policy.ShardView{{Shard: 0, Node: "x", Waiting: 9, Service: 1, Depth: 9},
			{Shard: 1, Node: "y", Waiting: 6, Service: 10, Depth: 2}}},
	} {
		f := Sum([]Source{one}, Sample{Hosts: make([]Reading, 1)}, Sample{At: time.Second, Hosts: []Reading{{State: state(roll.Figures{}, v)}}})
		if f.Hosts[0].Worst != want {
			t.Errorf("%q, want %q", f.Hosts[0].Worst, want)
		}
	}
	v := policy.View{Budget: -1, Nodes: []policy.NodeView{{Addr: "n1", HeldFor: 5}, {Addr: "n0", Suspect: true}, {Addr: "n2", Off: true, Suspect: true}},
		Limited: []policy.LimitView{{Volume: "v1", Left: 3}, {Volume: "v0", Left: 0.5}}}
	f := Sum([]Source{one, {Name: "b"}}, Sample{Hosts: make([]Reading, 2)}, Sample{Hosts: []Reading{{State: state(roll.Figures{}, v)}, {Err: errors.New("refused")}}})
	if f.Node != "n0: held off by 1 hosts" || f.Volume != "v0: 0.5 units left" || f.Hosts[0].Name != "b" || f.Silent != 1 {
		t.Errorf("%+v", f)
	}
}
