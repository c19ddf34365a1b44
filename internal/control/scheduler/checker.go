package scheduler

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"merlinhitch/policy"
)

// Which requests can be served.

// requestParser tells requests that can be served from those that cannot.
type requestParser struct {
	classes    map[string]policy.Class
	plans      map[string]bool
	shardCount int
	maxUnits   float64
}

func newRequestParser(s *policy.Settings) *requestParser {
	shardCount := s.Shards
	if shardCount <= 0 { // not known
		shardCount = maxShards
	}
	k := &requestParser{classes: map[string]policy.Class{}, plans: map[string]bool{}, shardCount: shardCount, maxUnits: s.MaxUnits}
	for _, c := range s.Classes {
		k.classes[c.Name] = c
	}
	for _, p := range s.Plans {
		k.plans[p.Name] = true
	}
	return k
}

const (
	hexLength              = 16
	maxIDBytes             = 64
	maxIdempotencyKeyBytes = 256
	maxTimeoutMS           = 600_000
)

// parse makes a call of a request, or says what to answer.
func (k *requestParser) parse(r *request) (*call, int) {
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
	case err != nil, !(left > 0), left*1000 > maxTimeoutMS,
		!isRequestID(q.ID), len(c.key) > maxIdempotencyKeyBytes, f.Count("idempotency-key") > 1,
		class.Effect == policy.Keyed && c.key == "",
		!write && len(r.body) > 0,
		!k.plans[q.Plan], !k.parsePlacement(f.Get("x-placement"), &q):
		return nil, 400
	}
	q.Expires = r.receivedAt + left*1000
	c.req = q
	return c, 0
}

// parsePlacement reads units, shard and hosts.
func (k *requestParser) parsePlacement(s string, q *policy.Request) bool {
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
	return q.Units > 0 && (k.maxUnits <= 0 || q.Units <= k.maxUnits) &&
		q.Shard >= -1 && q.Shard < k.shardCount && q.Hosts >= 1
}

func isHex(s string) bool {
	return len(s) == hexLength && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// isRequestID takes what can be an id: it goes on to disk servers as it is.
func isRequestID(s string) bool {
	return s != "" && len(s) <= maxIDBytes && !slices.ContainsFunc([]byte(s), func(b byte) bool {
		return !(b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '-' || b == '_')
	})
}
