package lab

import (
	"testing"
	"time"
)

// BenchmarkGateway measures the rate, CPU time and allocations of 4 KiB reads over 100 connections with 8
// outstanding commands each, clients and disk servers included.
func BenchmarkGateway(b *testing.B) {
	gatewayAddr, closeAll, err := startBenchGateway(nil)
	if err != nil {
		b.Fatal(err)
	}
	defer closeAll()
	for b.Loop() {
		point, err := measure(gatewayAddr, 100, 8, 0, BenchOptions{PointTime: 2 * time.Second})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(point.Rate, "commands/s")
		b.ReportMetric(point.CPUMicros, "cpu-us/command")
		b.ReportMetric(point.AllocsPerOp, "allocs/command")
	}
}
