package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"merlinhitch/internal/protocol/http1"
)

const (
	copyShards   = 2
	copyClients  = 24
	copyDuration = 25 * time.Second
	copyPause    = 60 * time.Millisecond // mean time between the requests of a client
	copyWork     = 10 * time.Millisecond // of a disk server on a request
	copyOneWay   = 1200 * time.Microsecond
	copyLate     = 9 * time.Millisecond  // from the answer to its second copy
	copyLatest   = 10 * time.Millisecond // no copy is sent later, where this program was held up
	copyEvery    = 15                    // one of so many answers has a second copy
	copyTimeout  = 2 * time.Second
)

var httpLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10}

// httpDisk is a disk server of the platform: one request at a time on a connection. Each way between it and
// the scheduler takes copyOneWay.
type httpDisk struct {
	run     *run
	name    string
	trouble bool

	mu    sync.Mutex
	count int
}

func (d *httpDisk) listen() (string, error) {
	listener, err := net.Listen("tcp", listenerHost+":0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return listener.Addr().String(), nil
}

// arrived is a request as it comes to the disk server.
type arrived struct {
	id string
	at time.Time
}

// serve answers the requests of a connection in turn. If an answer is to have a second copy, that is sent
// copyLate after it, unless another request has come by then.
func (d *httpDisk) serve(conn net.Conn) {
	defer conn.Close()
	requests := make(chan arrived, 16)
	go func() {
		defer close(requests)
		in := bufio.NewReader(conn)
		for {
			request, _, err := http1.ReadWholeRequest(in, httpLimits)
			if err != nil {
				return
			}
			requests <- arrived{request.Fields.Get("request-id"), time.Now().Add(copyOneWay)}
		}
	}()
	for request := range requests {
		time.Sleep(time.Until(request.at) + copyWork)
		d.run.notef("%s: ran %s", d.name, request.id)
		answer := http1.AppendResponse(nil, 200, nil, []byte("made for "+request.id))
		answeredAt := time.Now()
		d.send(conn, answer, answeredAt)
		if !d.copyDue() {
			continue
		}
		// Until the copy is due only what came by then counts as waiting: a request that is on its way does not.
		dueAt := answeredAt.Add(copyLate)
		var next *arrived
		select {
		case r, ok := <-requests:
			if !ok {
				return
			}
			next = &r
		case <-time.After(time.Until(dueAt)):
		}
		if next == nil || next.at.After(dueAt) {
			time.Sleep(time.Until(dueAt))
			if late := time.Since(answeredAt); late > copyLatest {
				d.run.notef("%s: no second copy of the answer to %s, which would come %s after it", d.name, request.id, late)
			} else {
				d.run.notef("%s: second copy of the answer to %s, %s after it", d.name, request.id, late)
				d.send(conn, answer, dueAt)
			}
		}
		if next != nil {
			time.Sleep(time.Until(next.at) + copyWork)
			d.run.notef("%s: ran %s", d.name, next.id)
			d.send(conn, http1.AppendResponse(nil, 200, nil, []byte("made for "+next.id)), time.Now())
		}
	}
}

// send writes an answer that was sent at the given time, as it comes to the scheduler.
func (d *httpDisk) send(conn net.Conn, answer []byte, sentAt time.Time) {
	time.Sleep(time.Until(sentAt.Add(copyOneWay)))
	conn.Write(answer)
}

func (d *httpDisk) copyDue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	return d.trouble && d.count%copyEvery == 0
}

// serveDiscovery stands in for discovery: it tells one list, and says every 2 s that nothing has changed.
func serveDiscovery(hosts []map[string]any) (string, error) {
	listener, err := net.Listen("tcp", listenerHost+":0")
	if err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]any{"seq": 41, "whole": true, "hosts": hosts})
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, _, err := http1.ReadWholeRequest(bufio.NewReader(conn), httpLimits)
				if err != nil {
					return
				}
				if !strings.Contains(request.Target, "stream=1") {
					conn.Write(http1.AppendResponse(nil, 200, http1.Fields{{Name: "Connection", Value: "close"}}, list))
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
				for {
					time.Sleep(2 * time.Second)
					if _, err := conn.Write([]byte("1\r\n\n\r\n")); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), nil
}

// copySettings are those of a small deployment, in the form of the platform.
func copySettings() map[string]any {
	class := func(name string, aim, deadline float64) map[string]any {
		return map[string]any{"name": name, "aim_ms": aim, "give_up_ms": deadline, "effect": "read_like", "group": "all", "key_ttl_ms": 5000, "late_value": 0.1, "streamed": false, "worth": 2}
	}
	return map[string]any{
		"balancers": 1, "me": 0, "clients": map[string]any{"marks_retry": false}, "discovery": "pushed", "family": "stores",
		"extra":  map[string]any{"class_writes": []bool{false}, "cold_units": 26, "counts_others": false, "fair_worth": 1, "largest": 6, "slots_total": copyShards, "spare_worth": 0.05, "unit_mean": 2, "use_period_ms": 0},
		"grades": []any{map[string]any{"name": "normal", "price": 1, "proportion": 3, "rate": 500, "reserve": 0, "limit": 0, "cap_depth": 0, "tolerance": 0}},
		"limits": map[string]any{"attempts_cap": 4, "cancel": true, "conn_idle_ms": 30000, "cpu_us_per_s": 500000, "dial_timeout_ms": 250, "max_open": 33333,
			"max_retry_after_ms": 2000, "max_streams": 1, "may_duplicate": false, "may_probe": false, "peers": false, "retry_after": true},
		"request_classes": []any{class("card-read", 300, 2000)},
		"safety":          map[string]any{"answer_slack_ms": 8, "ask_within_ms": 10000, "cold_from": 0.2, "cold_ms": 8000, "extra_ratio": 0.25, "fall_multiple": 2, "free_resends": 3, "overload_for_ms": 1500, "resend_span_ms": 5000, "stop_sending_within_ms": 500},
		"zone":            "hall-a", "zones": []string{"hall-a"}, "tick_ms": 2, "weights": "none",
		"load_report": map[string]any{"fields": []string{}, "source": "none"},
	}
}

// startScheduler starts the scheduler in service, and waits until it is ready.
func (r *run) startScheduler(discovery string, hosts []map[string]any) (string, error) {
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	config := map[string]any{"name": "n0", "listen": address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": map[string]any{"seq": 41, "whole": true, "hosts": hosts}, "settings": copySettings()}
	text, err := json.Marshal(config)
	if err != nil {
		return "", err
	}
	file := filepath.Join(r.folder, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return "", err
	}
	if _, err := r.startProgram("scheduler", filepath.Join("bin", "merlinhitch-scheduler"), []string{"ROUTER_CONFIG=" + file}); err != nil {
		return "", err
	}
	if err := awaitListening(address); err != nil {
		return "", err
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if status, _, err := ask(address, nil, "GET", "/up", nil); err == nil && status == 200 {
			return address, nil
		}
	}
	return "", fmt.Errorf("the scheduler is not ready")
}

// ask sends a request on a connection, or on one of its own where that is nil, and reads the answer.
func ask(address string, conn net.Conn, method, target string, fields http1.Fields) (status int, body []byte, err error) {
	if conn == nil {
		if conn, err = net.DialTimeout("tcp", address, time.Second); err != nil {
			return 0, nil, err
		}
		defer conn.Close()
	}
	conn.SetDeadline(time.Now().Add(copyTimeout + time.Second))
	if _, err := conn.Write(http1.AppendRequest(nil, method, target, append(http1.Fields{{Name: "Host", Value: "api.internal"}}, fields...), nil)); err != nil {
		return 0, nil, err
	}
	response, body, err := http1.ReadWholeResponse(bufio.NewReader(conn), httpLimits)
	if err != nil {
		return 0, nil, err
	}
	return response.Status, body, nil
}

// copyResult counts what clients got.
type copyResult struct {
	mu                               sync.Mutex
	served, refused, failed, foreign int
	first                            string
}

// playCopy has disk servers send a second copy of some answers, 9 ms after them, where no other request has
// come on the connection.
func playCopy(r *run) (string, error) {
	var hosts []map[string]any
	var disks []*httpDisk
	for shard := range copyShards {
		disk := &httpDisk{run: r, name: fmt.Sprintf("disk%d", shard), trouble: r.trouble}
		address, err := disk.listen()
		if err != nil {
			return "", err
		}
		disks = append(disks, disk)
		hosts = append(hosts, map[string]any{"host": fmt.Sprintf("s-%08x", shard+1), "dial": address, "site": "hall-a", "class": "m2", "block": shard, "health": "active", "share": 1.0, "born_ms": 0})
	}
	discovery, err := serveDiscovery(hosts)
	if err != nil {
		return "", err
	}
	address, err := r.startScheduler(discovery, hosts)
	if err != nil {
		return "", err
	}
	var result copyResult
	var clients sync.WaitGroup
	end := time.Now().Add(copyDuration)
	for i := range copyClients {
		clients.Add(1)
		go func() { defer clients.Done(); r.copyClient(address, uint64(i), end, &result) }()
	}
	clients.Wait()
	requests := 0
	for _, d := range disks {
		d.mu.Lock()
		requests += d.count
		d.mu.Unlock()
	}
	r.notef("answers of disk servers %d; clients: served %d, refused %d, failed or without an answer %d; of the served %d with another request's answer", requests, result.served, result.refused, result.failed, result.foreign)
	if result.served == 0 {
		return "", fmt.Errorf("nothing was served")
	}
	if result.foreign > 0 {
		return fmt.Sprintf("%d of %d served requests got another request's answer, the first: %s", result.foreign, result.served, result.first), nil
	}
	return "", nil
}

// copyClient sends one request after the other on a connection of its own.
func (r *run) copyClient(address string, number uint64, end time.Time, result *copyResult) {
	random := rand.New(rand.NewPCG(number, 10))
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(copyPause)))
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", address, time.Second); err != nil {
				conn = nil
				continue
			}
		}
		id := fmt.Sprintf("%016x", random.Uint64())
		fields := http1.Fields{{Name: "Request-Id", Value: id}, {Name: "X-Qos-Policy", Value: "normal"}, {Name: "Request-Timeout", Value: fmt.Sprintf("%.3f", copyTimeout.Seconds())},
			{Name: "X-Placement", Value: fmt.Sprintf("units=2,shard=%d,hosts=1", random.IntN(copyShards))}}
		r.notef("client %d: sends %s", number, id)
		status, body, err := ask(address, conn, "GET", fmt.Sprintf("/card-read/%016x/%016x", number, random.Uint64()), fields)
		r.notef("client %d: request %s answered %d %q, error %v", number, id, status, body, err)
		result.mu.Lock()
		switch {
		case err == nil && status == 200:
			result.served++
			if want := "made for " + id; string(body) != want {
				result.foreign++
				if result.first == "" {
					result.first = fmt.Sprintf("%s was answered with %q", id, body)
				}
			}
		case err == nil && (status == 503 || status == 429):
			result.refused++
		default:
			result.failed++
		}
		result.mu.Unlock()
		if err != nil {
			conn.Close()
			conn = nil
		}
	}
}
