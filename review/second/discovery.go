package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["slow-discovery"] = slowDiscovery }

// objects is what a disk server has stored, by path.
type objects struct {
	mu     sync.Mutex
	byPath map[string]string
}

// store makes a disk server keep what is put and answer with what it has.
func (d *diskServer) store() *objects {
	o := &objects{byPath: map[string]string{}}
	d.respond = func(d *diskServer, conn net.Conn, r *http.Request, body string) error {
		time.Sleep(d.work)
		o.mu.Lock()
		defer o.mu.Unlock()
		object := func(path string) string { return path[len(path)-33:] } // volume and piece of data
		if r.Method == "PUT" {
			o.byPath[object(r.URL.Path)] = body
			return reply(conn, "stored")
		}
		if data, ok := o.byPath[object(r.URL.Path)]; ok {
			return reply(conn, data)
		}
		return reply(conn, "absent")
	}
	return o
}

// slowDiscovery: each answer of discovery begins 0.5 s late. A disk server is replaced, and the platform
// hands its data over once all schedulers count as told and the grace is over. Nothing may be sent to the
// old one later than that; what is acknowledged all the same is lost.
func slowDiscovery(b *bench) (result, error) {
	const changeAt, told, grace, handOverAt, offAt, end = 6.0, 6.0, 0.55, 13.0, 17.0, 16.5
	old, next := b.startDiskServer("s-old", 20*time.Millisecond), b.startDiskServer("s-new", 20*time.Millisecond)
	oldStore, newStore := old.store(), next.store()
	entry := func(d *diskServer, health string) host {
		return host{Host: d.name, Dial: d.addr(), Site: "hall-a", Class: "std-2c", Block: 0, Health: health, Share: 1}
	}
	first := list{Seq: 41, Whole: true, Hosts: []host{entry(old, "active")}}
	change := list{Seq: 42, Hosts: []host{entry(old, "left"), entry(next, "active")}}
	agent := b.startDiscovery(first)
	if b.trouble {
		agent.setDelay(500 * time.Millisecond)
	}
	s, err := b.startScheduler("n1", agent.addr(), first, schedulerSettings(1))
	if err != nil {
		return failed, err
	}
	go func() {
		b.sleepUntil(changeAt)
		agent.change(change)
		b.sleepUntil(handOverAt)
		oldStore.mu.Lock()
		newStore.mu.Lock()
		for path, data := range oldStore.byPath {
			if _, newer := newStore.byPath[path]; !newer {
				newStore.byPath[path] = data
			}
		}
		newStore.mu.Unlock()
		oldStore.mu.Unlock()
		b.logf("the platform has handed the data of s-old over to s-new")
	}()
	var mu sync.Mutex
	statuses := map[int]int{}
	acknowledged := map[string]string{}
	var wg sync.WaitGroup
	for n := 0; b.since() < end; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := request{id: fmt.Sprintf("%016x", 0x5100000000+n), class: "txn-write", volume: fmt.Sprintf("%016x", 0x100+n%8), key: fmt.Sprintf("%016x", n),
				plan: "normal", timeout: 2, units: 2, shard: 0, hosts: 2, idempotency: fmt.Sprintf("key-%d", n), body: fmt.Sprintf("transaction %d", n)}
			b.logf("client sends write %s", r.id)
			a := askOnce(s.listen, r)
			b.logf("client got for %s status %d, %q, error %v", r.id, a.status, a.body, a.err)
			mu.Lock()
			defer mu.Unlock()
			if statuses[a.status]++; a.status == 200 {
				acknowledged[r.volume+"/"+r.key] = r.body
			}
		}()
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	b.sleepUntil(offAt)
	old.listener.Close()
	b.logf("s-old is off")
	late, lastAt := 0, 0.0
	for _, a := range old.all() {
		if a.at > changeAt+told+grace {
			late++
			lastAt = a.at
		}
	}
	lost, err := readBack(b, first, change, acknowledged)
	if err != nil {
		return failed, err
	}
	b.say("answers by status: %v; writes at the replacement: %d", statuses, len(newStore.byPath))
	b.say("requests sent to the disk server that was gone, later than %.2f s after discovery had that: %d, the last %.2f s after", told+grace, late, max(lastAt-changeAt, 0))
	b.say("acknowledged writes: %d, of which a client of another scheduler does not find: %d", len(acknowledged), lost)
	if late > 0 {
		return broken, nil
	}
	if lost > 0 || statuses[200] == 0 {
		return failed, fmt.Errorf("%d writes are lost although nothing was sent too late", lost)
	}
	return held, nil
}

// readBack reads all that was acknowledged through a second scheduler, whose discovery is sound, and
// returns how many it does not find.
func readBack(b *bench, first, change list, acknowledged map[string]string) (lost int, err error) {
	agent := b.startDiscovery(first)
	agent.change(change)
	s, err := b.startScheduler("n2", agent.addr(), first, schedulerSettings(1))
	if err != nil {
		return 0, err
	}
	n := 0
	for path, data := range acknowledged {
		n++
		r := request{id: fmt.Sprintf("%016x", 0x5200000000+n), class: "card-read", volume: path[:16], key: path[17:], plan: "normal", timeout: 2, units: 2, shard: 0, hosts: 2}
		a := askOnce(s.listen, r)
		b.logf("client of n2 reads %s: status %d, %q, error %v", path, a.status, a.body, a.err)
		if a.status != 200 {
			return 0, fmt.Errorf("a read was not served: status %d, %v", a.status, a.err)
		}
		if a.body != data {
			lost++
		}
	}
	return lost, nil
}
