package soak

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
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

// sampleUsage records the highest number of open descriptors and the peak of the resident memory
// until the process exits.
func (p *Process) sampleUsage() {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(descriptorSampleInterval):
		}
		// Without an error of its own, a process that has just exited has no entries.
		descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		memoryMB := peakMemoryMB(p.cmd.Process.Pid)
		p.mu.Lock()
		p.maxDescriptors, p.peakMemoryMB = max(p.maxDescriptors, len(descriptors)), max(p.peakMemoryMB, memoryMB)
		p.mu.Unlock()
	}
}

// peakMemoryMB returns the peak of a process's resident memory, files among it; 0 if it has exited.
// The kernel's figure after the exit (ru_maxrss) counts the parent too, from before the exec.
func peakMemoryMB(pid int) float64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, line, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseFloat(fields[0], 64)
	return kilobytes / 1024
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
	service := r.Service()
	usage.ServedFraction = float64(service.Served) / float64(max(service.Requests, 1))
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
