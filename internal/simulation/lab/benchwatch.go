package lab

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// scrapeEvery is how often a watched gateway's /metrics is read: fifteen times as often as
// is usual.
const scrapeEvery = time.Second

// BenchWatch measures what an operator's view costs: a gateway that keeps a history and
// whose /metrics two readers fetch every second, and one without, in turn and in one run.
// Both count.
func BenchWatch(opt BenchOptions, out io.Writer) error {
	dir, err := os.MkdirTemp("", "bench-history-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	plain, closePlain, err := benchGateway(nil)
	if err != nil {
		return err
	}
	defer closePlain()
	watched, closeWatched, err := benchGateway(&benchSetup{history: dir, admin: "127.0.0.1:0"})
	if err != nil {
		return err
	}
	defer closeWatched()
	plain.name, watched.name = "unwatched", "watched"
	var over env.Gate
	var readers sync.WaitGroup
	w := env.NewReal()
	for range 2 {
		readers.Go(func() {
			for env.Sleep(w, scrapeEvery, &over) {
				if resp, err := http.Get("http://" + watched.admin + "/metrics"); err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
		})
	}
	err = benchPairs(opt, plain, watched, out)
	over.Open()
	readers.Wait()
	return err
}
