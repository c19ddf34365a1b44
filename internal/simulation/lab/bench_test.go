package lab

import (
	"testing"
	"time"
)

// BenchmarkGateway is the gateway's cost for a 4 KiB read at 100 connections of 8
// outstanding, clients and servers included.
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
