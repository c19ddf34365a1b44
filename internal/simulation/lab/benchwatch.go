package lab

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// scrapeInterval is how often a watched gateway's /metrics is read: fifteen times as often as
// is usual.
const scrapeInterval = time.Second

// BenchMonitoring measures what an operator's view costs: a gateway that keeps a history and
// whose /metrics two readers fetch every second, and one without, in turn and in one run.
// Both count.
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
