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
	CPUTime           time.Duration // of a process from its start to its end
	PeakMemoryMB      float64
	MaxDescriptors    float64 // most at once
	ServerConnections float64 // made to disk servers
	DiscoveryBytes    float64 // of lists that discovery wrote
	ServedFraction    float64 // share of the requests
}

// descriptorSampleInterval is how often open descriptors are counted.
const descriptorSampleInterval = 100 * time.Millisecond

// sampleDescriptors keeps the most descriptors that the process has had open at once.
func (p *Process) sampleDescriptors() {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(descriptorSampleInterval):
		}
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		p.mu.Lock()
		p.maxDescriptors = max(p.maxDescriptors, len(open))
		p.mu.Unlock()
	}
}

// resourceUsage is what an ended process needed.
func (p *Process) resourceUsage() (cpu time.Duration, peakMB float64) {
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
	for _, e := range r.Record.Exits {
		u.CPUTime += time.Duration(float64(e.CPUTime) / each)
		u.PeakMemoryMB = max(u.PeakMemoryMB, e.PeakMemoryMB)
		u.MaxDescriptors = max(u.MaxDescriptors, float64(e.MaxDescriptors))
	}
	u.ServerConnections = float64(r.Servers.acceptedConns.Load()) / each
	u.DiscoveryBytes = float64(r.Record.discoveryBytes.Load()) / each
	served := 0
	for _, q := range r.Record.Requests {
		if q.Status == 200 {
			served++
		}
	}
	u.ServedFraction = float64(served) / float64(max(len(r.Record.Requests), 1))
	return u
}

// CompareUsage prints what a run needed beside the same with fewer disk servers, and what the
// platform lets it need. It tells whether all of that holds.
func CompareUsage(w io.Writer, small, large *Run) bool {
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
	row("CPU seconds", s.CPUTime.Seconds(), l.CPUTime.Seconds(), 1.4*s.CPUTime.Seconds()+0.02+0.03*thousands, false)
	row("peak memory, MB", s.PeakMemoryMB, l.PeakMemoryMB, 1.5*s.PeakMemoryMB+8+4*thousands, false)
	row("descriptors", s.MaxDescriptors, l.MaxDescriptors, 2*s.MaxDescriptors+40, false)
	row("connections made", s.ServerConnections, l.ServerConnections, 2.5*s.ServerConnections+40, false)
	row("KB of lists", s.DiscoveryBytes/1024, l.DiscoveryBytes/1024, 2*s.DiscoveryBytes/1024+64+500*thousands, false)
	row("share served", s.ServedFraction, l.ServedFraction, 0.85*s.ServedFraction, true)
	return ok
}
