package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/storage/history"
)

// recorder keeps a host's counters as history, once a second.
type recorder struct {
	g     *Gateway
	mu    sync.Mutex
	store *history.Store
	was   map[history.Key]history.Counts
	over  env.Gate
	tasks env.WaitGroup
}

// flushEvery is how many seconds may be lost in a crash.
const flushEvery = 10

func startRecorder(g *Gateway, dir string) (*recorder, error) {
	st, err := history.Open(dir)
	if err != nil {
		return nil, err
	}
	r := &recorder{g: g, store: st, was: map[history.Key]history.Counts{}}
	r.tasks.Go(g.cfg.Environment, r.run)
	return r, nil
}

func (r *recorder) run() {
	w := r.g.cfg.Environment
	for n := 1; env.Sleep(w, time.Second, &r.over); n++ {
		r.second(w.Deadline(0).Unix(), n%flushEvery == 0)
	}
	r.second(w.Deadline(0).Unix(), true)
}

// second adds what was counted since the last.
func (r *recorder) second(at int64, flush bool) {
	now, ok := r.g.read()
	if !ok {
		return
	}
	var rows []history.Row
	for i := range now.Ends {
		e := &now.Ends[i]
		c := history.Counts{Taken: e.Taken, Served: e.Served, InAim: e.InAim, Refused: e.Refused, Failed: e.Failed, Latency: e.Times[:], Reasons: e.Reasons[:]}
		k := history.Key{Class: e.Class, Plan: e.Plan}
		was := r.was[k]
		r.was[k] = c
		rows = append(rows, history.Row{At: at, Span: 1, Key: k, Counts: c.Since(&was)})
	}
	history.Sort(rows)
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.store.Add(rows)
	if flush {
		if e := r.store.Flush(); err == nil {
			err = e
		}
	}
	if err != nil {
		r.g.cfg.Log.Warn("history not written", zap.Error(err), zap.Int("failed", r.store.Failed), zap.Int("lost", r.store.Lost))
	}
}

// read returns rows from what is written.
func (r *recorder) read(from, to int64) ([]history.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Read(from, to)
}

func (r *recorder) close() {
	r.over.Open()
	r.tasks.Wait(r.g.cfg.Environment)
}

// history serves /history?from=&to=, in seconds since 1970.
func (g *Gateway) history(w http.ResponseWriter, r *http.Request) {
	if g.recorder == nil {
		settings.Reply(w, http.StatusNotFound, "no history is kept")
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	to, e := strconv.ParseInt(r.URL.Query().Get("to"), 10, 64)
	if err != nil || e != nil || to < from {
		settings.Reply(w, http.StatusUnprocessableEntity, "from and to must be seconds since 1970, in order")
		return
	}
	rows, err := g.recorder.read(from, to)
	if err != nil {
		w.Header().Set("Warning", `199 - "`+err.Error()+`"`) // RFC 9111 section 5.5: rows of the sound files
	}
	settings.Reply(w, http.StatusOK, rows)
}
