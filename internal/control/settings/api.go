package settings

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"merlinhitch/internal/storage/audit"
)

// Handler serves the settings API. GET /settings returns the settings in force; PUT
// /settings submits settings that were edited from the version which they carry, with
// ?merge=1 to merge them with changes accepted since and ?why= for the audit log. A stale
// version is answered with 409, faulty settings with 422 and the list of faults. GET
// /settings/log, /settings/at, /settings/diff and /settings/verify and POST
// /settings/revert use the audit log. authorOf returns the author of a request and now the
// wall clock in ms since 1970. No answer contains a secret.
func Handler(store *Store, authorOf func(*http.Request) Author, now func() int64) http.Handler {
	h := &handler{store, authorOf, now}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /settings", func(w http.ResponseWriter, r *http.Request) {
		s := store.Get()
		if s == nil {
			WriteJSON(w, http.StatusNotFound, errorResponse{Error: "no settings yet"})
			return
		}
		WriteJSON(w, http.StatusOK, s.Redacted())
	})
	mux.HandleFunc("PUT /settings", h.put)
	mux.HandleFunc("POST /settings/revert", h.revert)
	mux.HandleFunc("GET /settings/log", h.log)
	mux.HandleFunc("GET /settings/at", h.at)
	mux.HandleFunc("GET /settings/diff", h.diff)
	mux.HandleFunc("GET /settings/verify", h.verify)
	return mux
}

type handler struct {
	store    *Store
	authorOf func(*http.Request) Author
	now      func() int64
}

func (h *handler) author(r *http.Request) Author {
	a := h.authorOf(r)
	a.Why, a.TimeMS = r.URL.Query().Get("why"), h.now()
	return a
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	s, err := Parse(r.Body)
	if err == nil {
		s, err = h.store.Change(s, h.author(r), r.URL.Query().Get("merge") == "1")
	}
	writeResult(w, err, func() any { return s.Redacted() })
}

// queryUint returns a numeric parameter of the query, none if it is absent.
func queryUint(r *http.Request, name string, absent uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &FaultsError{[]Fault{{name, fmt.Sprintf("%.40q is not a number", text)}}}
	}
	return n, nil
}

func (h *handler) revert(w http.ResponseWriter, r *http.Request) {
	to, err := queryUint(r, "to", 0)
	var s *Settings
	if err == nil {
		s, err = h.store.Revert(to, h.author(r))
	}
	writeResult(w, err, func() any { return s.Redacted() })
}

// maxLogRecords bounds the audit records of one answer.
const maxLogRecords = 1000

func (h *handler) log(w http.ResponseWriter, r *http.Request) {
	from, err := queryUint(r, "from", 1)
	var records []*audit.Record
	if err == nil {
		records, err = h.store.Log(from, maxLogRecords)
	}
	writeResult(w, err, func() any { return records })
}

func (h *handler) at(w http.ResponseWriter, r *http.Request) {
	version, err := queryUint(r, "version", 0)
	var s *Settings
	if err == nil {
		s, err = h.store.AtVersion(version)
	}
	writeResult(w, err, func() any { return s.Redacted() })
}

func (h *handler) diff(w http.ResponseWriter, r *http.Request) {
	from, err := queryUint(r, "from", 0)
	var to uint64
	if err == nil {
		to, err = queryUint(r, "to", 0)
	}
	var changes []audit.Change
	if err == nil {
		changes, err = h.store.DiffVersions(from, to)
	}
	writeResult(w, err, func() any { return changes })
}

// Verification is the result of verifying an intact audit log.
type Verification struct {
	Records        uint64     `json:"records"`
	Version        uint64     `json:"version"`
	Head           audit.Hash `json:"head"`
	ClockStepsBack int        `json:"clock_stepped_back"`
	// SnapshotBehind is why the snapshot is behind the audit log, "" if it is not.
	SnapshotBehind string `json:"snapshot_behind,omitempty"`
}

// NewVerification returns the result for the end of an intact chain of records.
func NewVerification(c audit.Chain) Verification {
	return Verification{Records: c.Seq, Version: c.Version, Head: c.Hash, ClockStepsBack: c.Back}
}

func (h *handler) verify(w http.ResponseWriter, r *http.Request) {
	c, err := h.store.Verify()
	writeResult(w, err, func() any {
		v := NewVerification(c)
		if persistErr := h.store.PersistError(); persistErr != nil {
			v.SnapshotBehind = persistErr.Error()
		}
		return v
	})
}

// writeResult writes the value of a successful call, or an error with its HTTP status.
func writeResult(w http.ResponseWriter, err error, value func() any) {
	var faults *FaultsError
	var stale *StaleError
	var unknown *UnknownVersionError
	var broken *audit.BrokenError
	var forbidden *ForbiddenError
	switch {
	case errors.As(err, &forbidden):
		WriteJSON(w, http.StatusForbidden, errorResponse{Error: err.Error()})
	case errors.As(err, &faults):
		WriteJSON(w, http.StatusUnprocessableEntity, errorResponse{Error: "faulty settings", Faults: faults.Faults})
	case errors.As(err, &stale):
		WriteJSON(w, http.StatusConflict, errorResponse{Error: "stale", Stale: stale})
	case errors.As(err, &unknown):
		WriteJSON(w, http.StatusNotFound, errorResponse{Error: err.Error()})
	case errors.As(err, &broken):
		WriteJSON(w, http.StatusInternalServerError, errorResponse{Error: err.Error(), Broken: broken})
	case err != nil:
		WriteJSON(w, http.StatusInternalServerError, errorResponse{Error: err.Error()})
	default:
		WriteJSON(w, http.StatusOK, value())
	}
}

type errorResponse struct {
	Error  string             `json:"error"`
	Faults []Fault            `json:"faults,omitempty"`
	Stale  *StaleError        `json:"stale,omitempty"`
	Broken *audit.BrokenError `json:"broken,omitempty"`
}

// WriteJSON writes an answer of the admin API as JSON.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	e.Encode(v) // an error means that the client has disconnected
}

// API is a client of a gateway's admin API.
type API struct {
	base   string
	client *http.Client
}

// NewAPI returns a client of the admin API at host:port or unix:PATH.
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

// NewTLSAPI returns a client of the admin API at host:port, served over TLS.
func NewTLSAPI(addr string, c *tls.Config) *API {
	return &API{"https://" + addr, &http.Client{Transport: &http.Transport{TLSClientConfig: c, ForceAttemptHTTP2: false}}}
}

// Get returns the settings in force.
func (a *API) Get(ctx context.Context) (*Settings, error) {
	s := &Settings{}
	return s, a.call(ctx, http.MethodGet, "/settings", nil, s)
}

// ChangeOptions holds the parameters of a change beside the settings.
type ChangeOptions struct {
	Why   string
	Who   string // recorded, as claimed, only if the gateway can't identify the caller itself
	Merge bool   // merge with changes accepted since, if nothing collides
}

func (o ChangeOptions) query() string {
	values := url.Values{"why": {o.Why}, "who": {o.Who}}
	if o.Merge {
		values.Set("merge", "1")
	}
	return "?" + values.Encode()
}

// Put submits settings and returns them as they are in force.
func (a *API) Put(ctx context.Context, s *Settings, opt ChangeOptions) (*Settings, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	accepted := &Settings{}
	return accepted, a.call(ctx, http.MethodPut, "/settings"+opt.query(), b, accepted)
}

// Revert puts the settings of a former version in force again and returns them.
func (a *API) Revert(ctx context.Context, to uint64, opt ChangeOptions) (*Settings, error) {
	accepted := &Settings{}
	return accepted, a.call(ctx, http.MethodPost, fmt.Sprintf("/settings/revert%s&to=%d", opt.query(), to), nil, accepted)
}

// Read decodes another resource of the API, such as /rates, into a value.
func (a *API) Read(ctx context.Context, path string, dst any) error {
	return a.call(ctx, http.MethodGet, path, nil, dst)
}

// Call posts to a path of the API that takes no body.
func (a *API) Call(ctx context.Context, path string) error {
	var reply map[string]string
	return a.call(ctx, http.MethodPost, path, nil, &reply)
}

// Close closes idle connections.
func (a *API) Close() { a.client.CloseIdleConnections() }

// call makes one request. A refused change is returned as a *FaultsError or *StaleError, a
// damaged audit log as an *audit.BrokenError.
func (a *API) call(ctx context.Context, method, path string, body []byte, dst any) error {
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
		return json.Unmarshal(b, dst)
	}
	var r errorResponse
	switch json.Unmarshal(b, &r); {
	case len(r.Faults) > 0:
		return &FaultsError{r.Faults}
	case r.Stale != nil:
		return r.Stale
	case r.Broken != nil:
		return r.Broken
	}
	return fmt.Errorf("settings: %s: %s", resp.Status, r.Error)
}
