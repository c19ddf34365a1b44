package gateway

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/storage/history"
)

// recorder writes a gateway's request counters to its history once a second.
type recorder struct {
	gateway  *Gateway
	mu       locks.Mutex
	store    *history.Store                 // guarded by mu
	previous map[history.Key]history.Counts // totals as of the previous second
	stopped  env.Gate
	tasks    env.WaitGroup
}

// flushIntervalSeconds bounds the seconds of history that a crash loses.
const flushIntervalSeconds = 10

func startRecorder(g *Gateway, dir string) (*recorder, error) {
	store, err := history.Open(dir)
	if err != nil {
		return nil, err
	}
	r := &recorder{gateway: g, store: store, previous: map[history.Key]history.Counts{}}
	r.tasks.Go(g.config.Environment, r.run)
	return r, nil
}

func (r *recorder) run() {
	environment := r.gateway.config.Environment
	for n := 1; env.Sleep(environment, time.Second, &r.stopped); n++ {
		r.recordSecond(environment.Deadline(0).Unix(), n%flushIntervalSeconds == 0)
	}
	r.recordSecond(environment.Deadline(0).Unix(), true)
}

// recordSecond adds the counts since the previous call to the history.
func (r *recorder) recordSecond(unixSeconds int64, flush bool) {
	state, ok := r.gateway.readState()
	if !ok {
		return
	}
	var rows []history.Row
	for i := range state.Ends {
		ends := &state.Ends[i]
		counts := history.Counts{Taken: ends.Taken, Served: ends.Served, InAim: ends.InAim, Refused: ends.Refused, Failed: ends.Failed, Latency: ends.Times[:], Reasons: ends.Reasons[:]}
		key := history.Key{Class: ends.Class, Plan: ends.Plan}
		previous := r.previous[key]
		r.previous[key] = counts
		rows = append(rows, history.Row{At: unixSeconds, Span: 1, Key: key, Counts: counts.Since(&previous)})
	}
	history.Sort(rows)
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.store.Add(rows)
	if flush {
		if flushErr := r.store.Flush(); err == nil {
			err = flushErr
		}
	}
	if err != nil {
		r.gateway.config.Log.Warn("history not written", zap.Error(err), zap.Int("failed", r.store.Failed), zap.Int("lost", r.store.Lost))
	}
}

// readRows returns the history from one time to before another, in seconds since 1970.
func (r *recorder) readRows(from, to int64) ([]history.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Read(from, to)
}

func (r *recorder) close() {
	r.stopped.Open()
	r.tasks.Wait(r.gateway.config.Environment)
}

// serveHistory serves /history?from=&to=, with times in seconds since 1970.
func (g *Gateway) serveHistory(w http.ResponseWriter, r *http.Request) {
	if g.recorder == nil {
		settings.WriteJSON(w, http.StatusNotFound, "no history is kept")
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	to, toErr := strconv.ParseInt(r.URL.Query().Get("to"), 10, 64)
	if err != nil || toErr != nil || to < from {
		settings.WriteJSON(w, http.StatusUnprocessableEntity, "from and to must be seconds since 1970, in order")
		return
	}
	rows, err := g.recorder.readRows(from, to)
	if err != nil {
		w.Header().Set("Warning", `199 - "`+err.Error()+`"`) // RFC 9111 section 5.5; the rows of undamaged files are still returned
	}
	settings.WriteJSON(w, http.StatusOK, rows)
}
