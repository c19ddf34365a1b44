package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// host is a disk server in discovery's form.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// list is a message of discovery.
type list struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// class is one class of requests in the settings.
type class map[string]any

func readClass() class {
	return class{"name": "card-read", "aim_ms": 300.0, "give_up_ms": 2000.0, "effect": "read_like", "group": "all",
		"key_ttl_ms": 5000.0, "late_value": 0.1, "streamed": false, "worth": 2.0}
}

func writeClass() class {
	return class{"name": "txn-write", "aim_ms": 500.0, "give_up_ms": 4000.0, "effect": "idempotency_key", "group": "cell",
		"key_ttl_ms": 6000.0, "late_value": 0.15, "streamed": false, "worth": 3.0}
}

// schedulerSettings returns the settings of a small deployment.
func schedulerSettings(shards int) map[string]any {
	return map[string]any{
		"balancers": 2, "me": 0, "zone": "hall-a", "zones": []string{"hall-a", "hall-b"}, "tick_ms": 2.0,
		"family": "stores", "discovery": "pushed", "weights": "none", "stage": 0, "layers": []string{"storage"},
		"host_types": []string{"std-2c"}, "clients": map[string]any{"marks_retry": false},
		"extra": map[string]any{"class_writes": []bool{false, true}, "cold_units": 26.0, "counts_others": true, "fair_worth": 1.0,
			"largest": 6, "slots_total": shards, "spare_worth": 0.05, "unit_mean": 2.0, "use_period_ms": 2000.0},
		"goal": map[string]any{"whole": 0.6, "worst_class": 0.1, "worst_tenant": 0.1, "worst_window": 0.2},
		"grades": []map[string]any{
			{"name": "basico", "price": 0.96, "proportion": 1.0, "rate": 3.3, "reserve": 0.0, "limit": 26.0, "cap_depth": 36.0, "tolerance": 6.0},
			{"name": "normal", "price": 1.0, "proportion": 3.0, "rate": 5.0, "reserve": 0.0, "limit": 0.0, "cap_depth": 0.0, "tolerance": 0.0}},
		"limits": map[string]any{"attempts_cap": 4, "cancel": true, "conn_idle_ms": 30000.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
			"dial_timeout_ms": 250.0, "max_open": 33333, "max_retry_after_ms": 2000.0, "max_streams": 1, "may_duplicate": true,
			"may_probe": false, "peers": false, "retry_after": true},
		"load_report":     map[string]any{"fields": []string{}, "source": "none"},
		"prices":          map[string]any{},
		"request_classes": []class{readClass(), writeClass()},
		"safety": map[string]any{"answer_slack_ms": 8.0, "ask_within_ms": 10000.0, "cold_from": 0.19, "cold_ms": 17000.0, "fall_multiple": 2.0,
			"overload_for_ms": 1500.0, "stop_sending_within_ms": 500.0},
	}
}

// scheduler is one real scheduler.
type scheduler struct {
	name, listen, configFile string
	cmd                      *process
}

// writeConfig writes a configuration file whole, by rename.
func (s *scheduler) writeConfig(discovery string, known list, values map[string]any) error {
	data, err := json.Marshal(map[string]any{"name": s.name, "listen": s.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512}, "known": known, "settings": values})
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.configFile+".new", data, 0o644); err != nil {
		return err
	}
	return os.Rename(s.configFile+".new", s.configFile)
}

// startScheduler starts a scheduler with the deploy file's command and waits until it is ready.
func (b *bench) startScheduler(name, discovery string, known list, values map[string]any) (*scheduler, error) {
	s := &scheduler{name: name, listen: freePort(), configFile: filepath.Join(b.dir, name+".json")}
	if err := s.writeConfig(discovery, known, values); err != nil {
		return nil, err
	}
	return s, b.launch(s)
}

// launch starts the scheduler's process and waits until it is ready.
func (b *bench) launch(s *scheduler) (err error) {
	s.cmd, err = b.spawn(s.name, "exec bin/merlinhitch-scheduler", "ROUTER_CONFIG="+s.configFile, "ROUTER_NAME="+s.name, "ROUTER_LISTEN="+s.listen)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r, err := http.Get("http://" + s.listen + "/up"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				b.logf("%s is ready", s.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready after 10 s", s.name)
}

// request is what a client sends.
type request struct {
	id, class, volume, key, plan, idempotency string
	timeout                                   float64
	units, shard, hosts                       int
	body                                      string
}

// bytes returns the request in the protocol's form.
func (r request) bytes() []byte {
	method := "GET"
	if r.idempotency != "" || r.body != "" {
		method = "PUT"
	}
	s := fmt.Sprintf("%s /%s/%s/%s HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nX-Qos-Policy: %s\r\nRequest-Timeout: %.3f\r\n",
		method, r.class, r.volume, r.key, r.id, r.plan, r.timeout)
	if r.idempotency != "" {
		s += "Idempotency-Key: " + r.idempotency + "\r\n"
	}
	if method == "PUT" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return []byte(s + fmt.Sprintf("X-Placement: units=%d,shard=%d,hosts=%d\r\n\r\n", r.units, r.shard, r.hosts) + r.body)
}

// answer is what a client got. Status 0: none.
type answer struct {
	status int
	body   string
	err    error
	took   time.Duration
}

// ask sends a request on a connection and reads its answer, for up to a second beyond its time.
func ask(conn net.Conn, in *bufio.Reader, r request) answer {
	began := time.Now()
	conn.SetDeadline(began.Add(time.Duration((r.timeout + 1) * float64(time.Second))))
	if _, err := conn.Write(r.bytes()); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	status, body, err := readAnswer(in)
	return answer{status: status, body: body, err: err, took: time.Since(began)}
}

// readAnswer reads one answer.
func readAnswer(in *bufio.Reader) (int, string, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var text strings.Builder
	if _, err := bufio.NewReader(resp.Body).WriteTo(&text); err != nil {
		return 0, "", err
	}
	return resp.StatusCode, text.String(), nil
}

// askOnce sends a request on a connection of its own.
func askOnce(address string, r request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	return ask(conn, bufio.NewReader(conn), r)
}

// arrival is a request that came whole to a disk server, with the time of its first byte.
type arrival struct {
	at                  float64
	server, id, path, k string
}

// diskServer is a sound disk server; serve answers one request, on its connection.
type diskServer struct {
	b        *bench
	name     string
	listener net.Listener
	work     time.Duration
	respond  func(d *diskServer, conn net.Conn, r *http.Request, body string) error // nil: after work, 200
	mu       sync.Mutex
	arrivals []arrival
}

// startDiskServer starts a disk server of the stand-in in this process.
func (b *bench) startDiskServer(name string, work time.Duration) *diskServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d := &diskServer{b: b, name: name, listener: l, work: work}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d
}

func (d *diskServer) addr() string { return d.listener.Addr().String() }

func (d *diskServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := d.b.since() // for drains a send counts from its first byte
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var body strings.Builder
		if _, err := bufio.NewReader(r.Body).WriteTo(&body); err != nil {
			return
		}
		d.mu.Lock()
		d.arrivals = append(d.arrivals, arrival{at: at, server: d.name, id: r.Header.Get("Request-Id"), path: r.URL.Path, k: r.Header.Get("Idempotency-Key")})
		d.mu.Unlock()
		d.b.logf("%s got %s %s timeout %s", d.name, r.Header.Get("Request-Id"), r.URL.Path, r.Header.Get("Request-Timeout"))
		if d.respond != nil {
			err = d.respond(d, conn, r, body.String())
		} else {
			time.Sleep(d.work)
			err = reply(conn, "data of "+r.Header.Get("Request-Id"))
		}
		if err != nil {
			return
		}
	}
}

// all returns the arrivals so far.
func (d *diskServer) all() []arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]arrival(nil), d.arrivals...)
}

// reply writes an answer of 200.
func reply(conn net.Conn, body string) error {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// discovery is the agent of discovery.
type discovery struct {
	b        *bench
	listener net.Listener
	mu       sync.Mutex
	delay    time.Duration // before each answer begins
	versions []list        // the changes, in order
	hosts    map[string]host
	changed  chan struct{} // closed at the next change
}

// startDiscovery starts the agent with a first list.
func (b *bench) startDiscovery(first list) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	a := &discovery{b: b, listener: l, hosts: map[string]host{}, changed: make(chan struct{})}
	a.change(first)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a
}

func (a *discovery) addr() string { return a.listener.Addr().String() }

func (a *discovery) setDelay(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = d
}

// change makes a new version known.
func (a *discovery) change(l list) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range l.Hosts {
		if a.hosts[h.Host] = h; h.Health == "left" {
			delete(a.hosts, h.Host)
		}
	}
	a.versions = append(a.versions, l)
	close(a.changed)
	a.changed = make(chan struct{})
	a.b.logf("discovery has version %d", l.Seq)
}

// after returns what changed after a version, and a channel that the next change closes.
func (a *discovery) after(seq int) (list, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := list{Seq: a.versions[len(a.versions)-1].Seq}
	if seq < a.versions[0].Seq {
		out.Whole = true
		for _, h := range a.hosts {
			out.Hosts = append(out.Hosts, h)
		}
		return out, a.changed
	}
	for _, v := range a.versions {
		if v.Seq > seq {
			out.Hosts = append(out.Hosts, v.Hosts...)
		}
	}
	return out, a.changed
}

func (a *discovery) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		a.mu.Lock()
		delay := a.delay
		a.mu.Unlock()
		a.b.logf("discovery was asked %s", r.URL.RequestURI())
		time.Sleep(delay)
		if r.URL.Query().Get("stream") != "" {
			a.watch(conn, r)
			return
		}
		l, _ := a.after(-1)
		data, _ := json.Marshal(l)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(data), data); err != nil {
			return
		}
		a.b.logf("discovery told the whole list, version %d", l.Seq)
	}
}

// watch serves a watch until its connection ends.
func (a *discovery) watch(conn net.Conn, r *http.Request) {
	var seq int
	fmt.Sscan(r.URL.Query().Get("index"), &seq)
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		a.b.logf("discovery could not begin its answer: %v", err)
		return
	}
	line := func(s string) error {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(s)+1, s)
		return err
	}
	for first := true; ; first = false {
		l, changed := a.after(seq)
		if first || l.Seq > seq {
			data, _ := json.Marshal(l)
			if err := line(string(data)); err != nil {
				a.b.logf("discovery could not tell version %d: %v", l.Seq, err)
				return
			}
			a.b.logf("discovery wrote version %d to a watch", l.Seq)
			seq = l.Seq
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			if line("") != nil {
				return
			}
		}
	}
}

// sleepUntil waits until that many seconds after the start.
func (b *bench) sleepUntil(s float64) {
	time.Sleep(time.Until(b.start.Add(time.Duration(s * float64(time.Second)))))
}
