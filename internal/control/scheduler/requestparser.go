package scheduler

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"merlinhitch/policy"
)

// requestParser validates requests of clients against the settings and turns them into calls.
type requestParser struct {
	classes    map[string]policy.Class
	plans      map[string]bool
	shardCount int
	maxUnits   float64
}

func newRequestParser(settings *policy.Settings) *requestParser {
	shardCount := settings.Shards
	if shardCount <= 0 { // unknown
		shardCount = maxShards
	}
	parser := &requestParser{classes: map[string]policy.Class{}, plans: map[string]bool{}, shardCount: shardCount, maxUnits: settings.MaxUnits}
	for _, c := range settings.Classes {
		parser.classes[c.Name] = c
	}
	for _, p := range settings.Plans {
		parser.plans[p.Name] = true
	}
	return parser
}

const (
	hexIDDigits            = 16 // length of the volume and key in the path /CLASS/VOLUME/KEY
	maxIDBytes             = 64
	maxIdempotencyKeyBytes = 256
	maxTimeoutMS           = 600_000
)

// parse returns the call for a request, or else the HTTP status to reject it with. The call expires
// Request-Timeout seconds after the request's last byte arrived.
func (p *requestParser) parse(r *request) (*call, int) {
	path, _, _ := strings.Cut(r.Target, "?")
	parts := strings.Split(path, "/")
	if len(parts) != 4 {
		return nil, 404
	}
	class, known := p.classes[parts[1]]
	if !known || !isHexID(parts[2]) || !isHexID(parts[3]) {
		return nil, 404
	}
	write := r.Method == "PUT"
	if !write && r.Method != "GET" {
		return nil, 405
	}
	fields := r.Fields
	for _, name := range []string{"request-id", "request-timeout", "x-qos-policy", "x-placement"} {
		if fields.Count(name) != 1 {
			return nil, 400
		}
	}
	parsed := &call{forwardedRequest: forwardedRequest{method: r.Method, target: r.Target, key: fields.Get("idempotency-key"), body: r.body}}
	policyRequest := policy.Request{ID: fields.Get("request-id"), Class: class.Name, Plan: fields.Get("x-qos-policy"), Volume: parts[2], Key: parts[3],
		Write: write, Repeat: fields.Get("client-retry") == "1"}
	seconds, err := strconv.ParseFloat(fields.Get("request-timeout"), 64)
	switch {
	case err != nil, !(seconds > 0), seconds*1000 > maxTimeoutMS,
		!isRequestID(policyRequest.ID), len(parsed.key) > maxIdempotencyKeyBytes, fields.Count("idempotency-key") > 1,
		class.Effect == policy.Keyed && parsed.key == "",
		!write && len(r.body) > 0,
		!p.plans[policyRequest.Plan], !p.parsePlacement(fields.Get("x-placement"), &policyRequest):
		return nil, 400
	}
	policyRequest.Expires = r.receivedAt + seconds*1000
	parsed.req = policyRequest
	return parsed, 0
}

// parsePlacement parses units, shard and hosts from the X-Placement header into req. It returns
// false if one is missing, malformed or out of range.
func (p *requestParser) parsePlacement(placement string, req *policy.Request) bool {
	req.Units, req.Shard, req.Hosts = math.NaN(), math.MinInt, 0
	for field := range strings.SplitSeq(placement, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		switch name {
		case "units":
			req.Units, err = strconv.ParseFloat(value, 64)
		case "shard":
			req.Shard, err = strconv.Atoi(value)
		case "hosts":
			req.Hosts, err = strconv.Atoi(value)
		}
		if err != nil {
			return false
		}
	}
	return req.Units > 0 && (p.maxUnits <= 0 || req.Units <= p.maxUnits) &&
		req.Shard >= -1 && req.Shard < p.shardCount && req.Hosts >= 1
}

func isHexID(s string) bool {
	return len(s) == hexIDDigits && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// isRequestID reports whether id is a valid request id. Only characters that are safe in a header
// are allowed, since the id is forwarded to disk servers unchanged.
func isRequestID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !slices.ContainsFunc([]byte(id), func(b byte) bool {
		return !(b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '-' || b == '_')
	})
}
