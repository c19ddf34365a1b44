package scheduler

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"merlinhitch/policy"
)

// Which requests can be served.

// checker tells requests that can be served from those that cannot.
type checker struct {
	classes map[string]policy.Class
	plans   map[string]bool
	shards  int
	most    float64
}

func newChecker(s *policy.Settings) *checker {
	shards := s.Shards
	if shards <= 0 { // not known
		shards = mostShards
	}
	k := &checker{classes: map[string]policy.Class{}, plans: map[string]bool{}, shards: shards, most: s.MaxUnits}
	for _, c := range s.Classes {
		k.classes[c.Name] = c
	}
	for _, p := range s.Plans {
		k.plans[p.Name] = true
	}
	return k
}

const (
	hexDigits  = 16
	mostID     = 64
	mostKey    = 256
	mostWaitMS = 600_000
)

// read makes a call of a request, or says what to answer.
func (k *checker) read(r *request) (*call, int) {
	path, _, _ := strings.Cut(r.Target, "?")
	parts := strings.Split(path, "/")
	if len(parts) != 4 {
		return nil, 404
	}
	class, known := k.classes[parts[1]]
	if !known || !isHex(parts[2]) || !isHex(parts[3]) {
		return nil, 404
	}
	write := r.Method == "PUT"
	if !write && r.Method != "GET" {
		return nil, 405
	}
	f := r.Fields
	for _, name := range []string{"request-id", "request-timeout", "x-qos-policy", "x-placement"} {
		if f.Count(name) != 1 {
			return nil, 400
		}
	}
	c := &call{message: message{method: r.Method, target: r.Target, key: f.Get("idempotency-key"), body: r.body}}
	q := policy.Request{ID: f.Get("request-id"), Class: class.Name, Plan: f.Get("x-qos-policy"), Volume: parts[2], Key: parts[3],
		Write: write, Repeat: f.Get("client-retry") == "1"}
	left, err := strconv.ParseFloat(f.Get("request-timeout"), 64)
	switch {
	case err != nil, !(left > 0), left*1000 > mostWaitMS,
		!isID(q.ID), len(c.key) > mostKey, f.Count("idempotency-key") > 1,
		class.Effect == policy.Keyed && c.key == "",
		!write && len(r.body) > 0,
		!k.plans[q.Plan], !k.place(f.Get("x-placement"), &q):
		return nil, 400
	}
	q.Expires = r.at + left*1000
	c.req = q
	return c, 0
}

// place reads units, shard and hosts.
func (k *checker) place(s string, q *policy.Request) bool {
	q.Units, q.Shard, q.Hosts = math.NaN(), math.MinInt, 0
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch name {
		case "units":
			q.Units, err = strconv.ParseFloat(value, 64)
		case "shard":
			q.Shard, err = strconv.Atoi(value)
		case "hosts":
			q.Hosts, err = strconv.Atoi(value)
		}
		if err != nil {
			return false
		}
	}
	return q.Units > 0 && (k.most <= 0 || q.Units <= k.most) &&
		q.Shard >= -1 && q.Shard < k.shards && q.Hosts >= 1
}

func isHex(s string) bool {
	return len(s) == hexDigits && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// isID takes what can be an id: it goes on to disk servers as it is.
func isID(s string) bool {
	return s != "" && len(s) <= mostID && !slices.ContainsFunc([]byte(s), func(b byte) bool {
		return !(b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '-' || b == '_')
	})
}
