package lab

import (
	"testing"
	"time"
)

// BenchmarkGateway is the gateway's cost for a 4 KiB read at 100 connections of 8
// outstanding, clients and servers included.
func BenchmarkGateway(b *testing.B) {
	gate, closeAll, err := startBenchGateway(nil)
	if err != nil {
		b.Fatal(err)
	}
	defer closeAll()
	for b.Loop() {
		p, err := measure(gate, 100, 8, 0, BenchOptions{PointTime: 2 * time.Second})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(p.Rate, "commands/s")
		b.ReportMetric(p.CPUMicros, "cpu-us/command")
		b.ReportMetric(p.AllocsPerOp, "allocs/command")
	}
}
