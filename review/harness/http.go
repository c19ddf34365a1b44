package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Entry is a disk server on the list of discovery, in its form.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type list struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// Discovery is a stand-in for the agent of discovery: it answers at once with what it knows. A watch
// begins with the whole list and then has an empty line every 2 s and each change.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	seq     int
	entries []Entry
	changed chan struct{} // closed at the next change
	c       *Case
}

// ServeDiscovery starts discovery with that list, version 1.
func (c *Case) ServeDiscovery(entries []Entry) *Discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	d := &Discovery{Addr: listener.Addr().String(), seq: 1, entries: entries, changed: make(chan struct{}), c: c}
	go http.Serve(listener, http.HandlerFunc(d.handle)) // ends with the process
	return d
}

func (d *Discovery) read() (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.seq, true, append([]Entry{}, d.entries...)}, d.changed
}

// List returns the whole list as JSON.
func (d *Discovery) List() []byte {
	whole, _ := d.read()
	b, err := json.Marshal(whole)
	Must(err)
	return b
}

// Set changes one entry, found by its host, and tells those who watch.
func (d *Discovery) Set(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.entries {
		if d.entries[i].Host == e.Host {
			d.entries[i] = e
		}
	}
	d.seq++
	close(d.changed)
	d.changed = make(chan struct{})
	d.c.Log("discovery: version %d, %s is %s", d.seq, e.Host, e.Health)
}

func (d *Discovery) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.URL.Query().Get("stream") != "1" {
		w.Write(d.List())
		return
	}
	out := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	for sent := 0; ; {
		whole, changed := d.read()
		line := []byte("\n")
		if whole.Seq != sent {
			line = append(d.List(), '\n')
			sent = whole.Seq
		}
		if _, err := w.Write(line); err != nil || out.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// Site is a small deployment after lisboa-central: three schedulers, its classes and plans, limits of
// a scored day.
const site = `{"balancers":3,"me":0,"tick_ms":2,"discovery":"pushed","weights":"none","family":"stores",
"zone":"hall-a","zones":["hall-a","hall-b","hall-c"],"clients":{"marks_retry":false},
"request_classes":[
 {"name":"card-read","aim_ms":300,"give_up_ms":2000,"late_value":0.1,"effect":"read_like","group":"all","key_ttl_ms":5000,"streamed":false,"worth":2},
 {"name":"txn-write","aim_ms":500,"give_up_ms":4000,"late_value":0.15,"effect":"idempotency_key","group":"cell","key_ttl_ms":6000,"streamed":false,"worth":3},
 {"name":"bulk-read","aim_ms":1500,"give_up_ms":5000,"late_value":0.2,"effect":"read_like","group":"all","key_ttl_ms":5000,"streamed":false,"worth":1}],
"grades":[
 {"name":"basico","price":0.96,"proportion":1,"rate":50,"reserve":0,"limit":400,"cap_depth":600,"tolerance":60},
 {"name":"normal","price":1,"proportion":3,"rate":75,"reserve":0,"limit":0,"cap_depth":0,"tolerance":0},
 {"name":"prioritario","price":1.5,"proportion":6,"rate":125,"reserve":0,"limit":0,"cap_depth":0,"tolerance":0}],
"limits":{"attempts_cap":4,"cancel":true,"may_duplicate":true,"may_probe":false,"peers":false,"retry_after":true,"max_retry_after_ms":2000,
 "dial_timeout_ms":250,"conn_idle_ms":30000,"max_streams":1,"max_open":33333},
"safety":{"answer_slack_ms":8,"ask_within_ms":10000,"stop_sending_within_ms":500,"fall_multiple":2,"overload_for_ms":1500,"cold_from":0.19,"cold_ms":17000,
 "free_resends":3,"extra_ratio":0.25,"resend_span_ms":5000},
"extra":{"class_writes":[false,true,false],"cold_units":26,"counts_others":true,"fair_worth":1,"spare_worth":0.05,"largest":6,"unit_mean":2.08,
 "use_period_ms":2000,"slots_total":%d}}`

// Scheduler is a scheduler that was started as the deploy file says.
type Scheduler struct {
	*Process
	Addr string
}

// StartScheduler starts a scheduler for that many shards and waits until it is ready.
func (c *Case) StartScheduler(d *Discovery, shards int) *Scheduler {
	addr := FreePort()
	config := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		addr, d.Addr, d.List(), fmt.Sprintf(site, shards))
	file := filepath.Join(c.Dir, "config.json")
	Must(os.WriteFile(file, []byte(config), 0o600))
	s := &Scheduler{c.Start("scheduler", []string{"ROUTER_CONFIG=" + file}, "scheduler"), addr}
	Until(30*time.Second, "the scheduler is ready", func() bool {
		answer, err := http.Get("http://" + addr + "/up")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == 200
	})
	return s
}

// Request is a client's request in the form of the protocol's page.
type Request struct {
	ID, Class, Volume, Object string
	Timeout                   time.Duration
	Units, Shard              int
	Body                      []byte // of a write
}

// Bytes is the request as it is sent.
func (r *Request) Bytes() []byte {
	var b strings.Builder
	method, further := "GET", ""
	if r.Body != nil {
		method, further = "PUT", fmt.Sprintf("Idempotency-Key: key-%s\r\nContent-Length: %d\r\n", r.ID, len(r.Body))
	}
	fmt.Fprintf(&b, "%s /%s/%s/%s HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nX-Qos-Policy: normal\r\nRequest-Timeout: %.3f\r\n%sX-Placement: units=%d,shard=%d,hosts=1\r\n\r\n",
		method, r.Class, r.Volume, r.Object, r.ID, r.Timeout.Seconds(), further, r.Units, r.Shard)
	b.Write(r.Body)
	return []byte(b.String())
}

// Answer is what a client got: a status, the whole body, and when its last byte came.
type Answer struct {
	Status int
	Body   []byte
	At     time.Time
}

// ReadAnswer reads one answer.
func ReadAnswer(in *bufio.Reader) (Answer, error) {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return Answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	return Answer{response.StatusCode, body, time.Now()}, err
}
