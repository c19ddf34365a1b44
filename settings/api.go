package settings

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// Handler serves the settings at /settings: GET returns those in force, PUT takes
// new ones, made from the version that they carry. A stale version is answered
// 409, faulty settings 422 with the list of faults.
func Handler(st *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /settings", func(w http.ResponseWriter, r *http.Request) {
		s := st.Get()
		if s == nil {
			Reply(w, http.StatusNotFound, refusal{Error: "no settings yet"})
			return
		}
		Reply(w, http.StatusOK, s)
	})
	mux.HandleFunc("PUT /settings", func(w http.ResponseWriter, r *http.Request) {
		s, err := Parse(r.Body)
		if err == nil {
			s, err = st.Put(s)
		}
		var faults *FaultsError
		var stale *StaleError
		switch {
		case errors.As(err, &faults):
			Reply(w, http.StatusUnprocessableEntity, refusal{Error: "faulty settings", Faults: faults.Faults})
		case errors.As(err, &stale):
			Reply(w, http.StatusConflict, refusal{Error: err.Error(), Stale: stale})
		case err != nil:
			Reply(w, http.StatusInternalServerError, refusal{Error: err.Error()})
		default:
			Reply(w, http.StatusOK, s)
		}
	})
	return mux
}

type refusal struct {
	Error  string      `json:"error"`
	Faults []Fault     `json:"faults,omitempty"`
	Stale  *StaleError `json:"stale,omitempty"`
}

// Reply answers a call of the admin API with JSON.
func Reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	e.Encode(v) // a client that has left needs no answer
}

// API is a client of a gateway's admin address: host:port, or unix:PATH.
type API struct {
	base   string
	client *http.Client
}

// NewAPI returns a client of that address.
func NewAPI(addr string) *API {
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		t := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", path)
		}}
		return &API{"http://gateway", &http.Client{Transport: t}}
	}
	return &API{"http://" + addr, &http.Client{Transport: &http.Transport{}}}
}

// Get returns the settings in force.
func (a *API) Get(ctx context.Context) (*Settings, error) {
	s := &Settings{}
	return s, a.call(ctx, http.MethodGet, "/settings", nil, s)
}

// Put hands in new settings and returns them as they are in force.
func (a *API) Put(ctx context.Context, s *Settings) (*Settings, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	now := &Settings{}
	return now, a.call(ctx, http.MethodPut, "/settings", b, now)
}

// Read fetches another page of the API, such as /rates, into a value.
func (a *API) Read(ctx context.Context, path string, into any) error {
	return a.call(ctx, http.MethodGet, path, nil, into)
}

// Close lets go of idle connections.
func (a *API) Close() { a.client.CloseIdleConnections() }

// call makes one call. A refused change is a *FaultsError or a *StaleError.
func (a *API) call(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, a.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxSize))
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(b, into)
	}
	var r refusal
	switch json.Unmarshal(b, &r); {
	case len(r.Faults) > 0:
		return &FaultsError{r.Faults}
	case r.Stale != nil:
		return r.Stale
	}
	return fmt.Errorf("settings: %s: %s", resp.Status, r.Error)
}
