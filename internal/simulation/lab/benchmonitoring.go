package lab

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// scrapeInterval is the interval between reads of a monitored gateway's /metrics by each reader.
const scrapeInterval = time.Second

// BenchMonitoring measures the cost of monitoring: it measures two gateways alternately in one
// process, one without and one with a history and two readers that fetch its /metrics every second.
func BenchMonitoring(options BenchOptions, out io.Writer) error {
	dir, err := os.MkdirTemp("", "bench-history-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	plain, closePlain, err := startBenchGateway(nil)
	if err != nil {
		return err
	}
	defer closePlain()
	watched, closeWatched, err := startBenchGateway(&benchGatewayOptions{historyDir: dir, adminAddr: "127.0.0.1:0"})
	if err != nil {
		return err
	}
	defer closeWatched()
	plain.name, watched.name = "unwatched", "watched"
	var stop env.Gate
	var readers sync.WaitGroup
	environment := env.NewReal()
	for range 2 {
		readers.Go(func() {
			for env.Sleep(environment, scrapeInterval, &stop) {
				if resp, err := http.Get("http://" + watched.adminAddr + "/metrics"); err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
		})
	}
	err = compareGateways(options, plain, watched, out)
	stop.Open()
	readers.Wait()
	return err
}
