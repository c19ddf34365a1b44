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
		descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		p.mu.Lock()
		p.maxDescriptors = max(p.maxDescriptors, len(descriptors))
		p.mu.Unlock()
	}
}

// resourceUsage is what an ended process needed.
func (p *Process) resourceUsage() (cpuTime time.Duration, peakMB float64) {
	state := p.cmd.ProcessState
	if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
		peakMB = float64(usage.Maxrss) / 1024
	}
	return state.UserTime() + state.SystemTime(), peakMB
}

// Usage is what the schedulers needed, once the run is over.
func (r *Run) Usage() Usage {
	var usage Usage
	schedulers := float64(r.Options.Schedulers)
	for _, exit := range r.Record.Exits {
		usage.CPUTime += time.Duration(float64(exit.CPUTime) / schedulers)
		usage.PeakMemoryMB = max(usage.PeakMemoryMB, exit.PeakMemoryMB)
		usage.MaxDescriptors = max(usage.MaxDescriptors, float64(exit.MaxDescriptors))
	}
	usage.ServerConnections = float64(r.Servers.acceptedConns.Load()) / schedulers
	usage.DiscoveryBytes = float64(r.Record.discoveryBytes.Load()) / schedulers
	served := 0
	for _, request := range r.Record.Requests {
		if request.Status == 200 {
			served++
		}
	}
	usage.ServedFraction = float64(served) / float64(max(len(r.Record.Requests), 1))
	return usage
}

// CompareUsage prints what a run needed beside the same with fewer disk servers, and what the
// platform lets it need. It tells whether all of that holds.
func CompareUsage(w io.Writer, small, large *Run) bool {
	smallUsage, largeUsage := small.Usage(), large.Usage()
	thousands := float64(large.Options.Servers) / 1000
	withinBounds := true
	compareRow := func(name string, smallValue, largeValue, bound float64, isMinimum bool) {
		holds := largeValue <= bound
		if isMinimum {
			holds = largeValue >= bound
		}
		withinBounds = withinBounds && holds
		fmt.Fprintf(w, "  %-22s %12.3f %12.3f %12.3f  %v\n", name, smallValue, largeValue, bound, holds)
	}
	fmt.Fprintf(w, "  %-22s %12d %12d %12s\n", "disk servers", small.Options.Servers, large.Options.Servers, "bound")
	compareRow("CPU seconds", smallUsage.CPUTime.Seconds(), largeUsage.CPUTime.Seconds(), 1.4*smallUsage.CPUTime.Seconds()+0.02+0.03*thousands, false)
	compareRow("peak memory, MB", smallUsage.PeakMemoryMB, largeUsage.PeakMemoryMB, 1.5*smallUsage.PeakMemoryMB+8+4*thousands, false)
	compareRow("descriptors", smallUsage.MaxDescriptors, largeUsage.MaxDescriptors, 2*smallUsage.MaxDescriptors+40, false)
	compareRow("connections made", smallUsage.ServerConnections, largeUsage.ServerConnections, 2.5*smallUsage.ServerConnections+40, false)
	compareRow("KB of lists", smallUsage.DiscoveryBytes/1024, largeUsage.DiscoveryBytes/1024, 2*smallUsage.DiscoveryBytes/1024+64+500*thousands, false)
	compareRow("share served", smallUsage.ServedFraction, largeUsage.ServedFraction, 0.85*smallUsage.ServedFraction, true)
	return withinBounds
}
