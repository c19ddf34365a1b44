package soak

import (
	"fmt"
	"io"
	"os"
	"syscall"
	"time"
)

// Usage is what the schedulers of a run needed, each in the mean.
type Usage struct {
	CPU         time.Duration // of a process from its start to its end
	PeakMB      float64
	Descriptors float64 // most at once
	Connections float64 // made to disk servers
	ListBytes   float64 // of lists that discovery wrote
	Served      float64 // share of the requests
}

// usageEvery is how often open descriptors are counted.
const usageEvery = 100 * time.Millisecond

// countDescriptors keeps the most descriptors that the process has had open at once.
func (p *Process) countDescriptors() {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(usageEvery):
		}
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		p.mu.Lock()
		p.descriptors = max(p.descriptors, len(open))
		p.mu.Unlock()
	}
}

// usage is what an ended process needed.
func (p *Process) usage() (cpu time.Duration, peakMB float64) {
	state := p.cmd.ProcessState
	if u, ok := state.SysUsage().(*syscall.Rusage); ok {
		peakMB = float64(u.Maxrss) / 1024
	}
	return state.UserTime() + state.SystemTime(), peakMB
}

// Usage is what the schedulers needed, once the run is over.
func (r *Run) Usage() Usage {
	var u Usage
	each := float64(r.Options.Schedulers)
	for _, e := range r.Record.Ends {
		u.CPU += time.Duration(float64(e.CPU) / each)
		u.PeakMB = max(u.PeakMB, e.PeakMB)
		u.Descriptors = max(u.Descriptors, float64(e.Descriptors))
	}
	u.Connections = float64(r.Servers.accepted.Load()) / each
	u.ListBytes = float64(r.Record.listBytes.Load()) / each
	served := 0
	for _, q := range r.Record.Requests {
		if q.Status == 200 {
			served++
		}
	}
	u.Served = float64(served) / float64(max(len(r.Record.Requests), 1))
	return u
}

// Compare prints what a run needed beside the same with fewer disk servers, and what the
// platform lets it need. It tells whether all of that holds.
func Compare(w io.Writer, small, large *Run) bool {
	s, l := small.Usage(), large.Usage()
	thousands := float64(large.Options.Servers) / 1000
	ok := true
	row := func(name string, was, is, bound float64, least bool) {
		holds := is <= bound
		if least {
			holds = is >= bound
		}
		ok = ok && holds
		fmt.Fprintf(w, "  %-22s %12.3f %12.3f %12.3f  %v\n", name, was, is, bound, holds)
	}
	fmt.Fprintf(w, "  %-22s %12d %12d %12s\n", "disk servers", small.Options.Servers, large.Options.Servers, "bound")
	row("CPU seconds", s.CPU.Seconds(), l.CPU.Seconds(), 1.4*s.CPU.Seconds()+0.02+0.03*thousands, false)
	row("peak memory, MB", s.PeakMB, l.PeakMB, 1.5*s.PeakMB+8+4*thousands, false)
	row("descriptors", s.Descriptors, l.Descriptors, 2*s.Descriptors+40, false)
	row("connections made", s.Connections, l.Connections, 2.5*s.Connections+40, false)
	row("KB of lists", s.ListBytes/1024, l.ListBytes/1024, 2*s.ListBytes/1024+64+500*thousands, false)
	row("share served", s.Served, l.Served, 0.85*s.Served, true)
	return ok
}
