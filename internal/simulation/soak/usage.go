package soak

import (
	"fmt"
	"io"
	"os"
	"syscall"
	"time"
)

// Usage is the resource use of a run's schedulers: CPU time, connections and bytes as means over
// the schedulers, memory and descriptors as the maximum over all processes.
type Usage struct {
	CPUTime           time.Duration
	PeakMemoryMB      float64
	MaxDescriptors    float64 // highest sampled number of open descriptors
	ServerConnections float64 // accepted by disk servers
	DiscoveryBytes    float64 // written by discovery
	ServedFraction    float64 // requests answered 200
}

// descriptorSampleInterval is the time between two counts of open descriptors.
const descriptorSampleInterval = 100 * time.Millisecond

// sampleDescriptors records the highest number of open descriptors until the process exits.
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

// resourceUsage returns the CPU time and the peak memory of a process that has exited.
func (p *Process) resourceUsage() (cpuTime time.Duration, peakMB float64) {
	state := p.cmd.ProcessState
	if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
		peakMB = float64(usage.Maxrss) / 1024
	}
	return state.UserTime() + state.SystemTime(), peakMB
}

// Usage returns the resource use of the schedulers after the run.
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

// CompareUsage prints the resource use of two runs that differ in the number of disk servers, with
// the platform's bounds for the larger one. It returns whether all bounds hold.
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
