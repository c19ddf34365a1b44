package scheduler

import (
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// BenchmarkBytesPerConnection measures the bytes of heap and stacks that a client's connection holds, by
// what its client does; the client's own connection in this process is among them.
func BenchmarkBytesPerConnection(b *testing.B) {
	const connections = 400
	for _, kind := range []struct {
		name string
		send func(h *harness) string
	}{
		{"idle", func(*harness) string { return "GET /up HTTP/1.1\r\n\r\n" }},
		{"half a head", func(*harness) string { return "GET /up HTTP/1.1\r\nField: " + strings.Repeat("x", 10<<10) }},
		{"half a small write", func(h *harness) string {
			return strings.TrimSuffix(h.formatRequest("PUT", "txn-write", "00000000000000aa", "9.000", strings.Repeat("x", 1<<10), ""), "x")
		}},
		{"half a large write", func(h *harness) string {
			return h.formatRequest("PUT", "txn-write", "00000000000000aa", "9.000", strings.Repeat("x", 64<<10), "")[:40<<10]
		}},
		{"open, 20 behind it", func(h *harness) string {
			var requests strings.Builder
			for range 21 {
				requests.WriteString(strings.Replace(h.getRequest(), "0.480", "9.000", 1))
			}
			return requests.String()
		}},
	} {
		b.Run(kind.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesPerConnection(b, connections, kind.send), "B/conn")
			}
		})
	}
}

func bytesPerConnection(b *testing.B, connections int, send func(h *harness) string) float64 {
	environment := env.NewReal()
	diskServer, err := standin.ServeHTTPDiskServer(environment, func(standin.HTTPRequest) standin.HTTPResponse { return standin.HTTPResponse{} })
	if err != nil {
		b.Fatal(err)
	}
	defer diskServer.Close()
	list := fullListJSON(7, entryJSON("s0", diskServer.Addr, "active", 0))
	discovery, err := standin.ServeHTTPDiscovery(environment, list)
	if err != nil {
		b.Fatal(err)
	}
	defer discovery.Close()
	configJSON := strings.NewReplacer(`"memory_mb":64`, `"memory_mb":48`, `"sockets":64`, `"sockets":1024`).Replace(testConfig("127.0.0.1:0", discovery.Addr, list))
	config, err := ParseConfig([]byte(configJSON), func(string) string { return "" })
	if err != nil {
		b.Fatal(err)
	}
	scheduler, err := Start(environment, config, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	defer scheduler.Close()
	h := &harness{environment: environment, schedulerAddr: scheduler.frontend.listener.Addr().String()}
	scheduler.listReceived.Wait(environment)
	before := heldBytes()
	for range connections {
		client := h.connect()
		defer client.conn.Close()
		go io.WriteString(client.conn, send(h))
	}
	env.Sleep(environment, 500*time.Millisecond, nil) // until all is read; half requests end after 2.7 s
	return float64(heldBytes()-before) / float64(connections)
}

// heldBytes returns the bytes of heap and stacks in use after a collection.
func heldBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
