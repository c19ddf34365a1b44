package iscsi

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of text: a key's name by RFC 7143 section 6.1; a whole request's text
// is ours, for all of a login's keys fit in a few kilobytes.
const (
	maxKeyName = 63
	maxValue   = 8 << 10
	// MaxText bounds the text gathered over the PDUs of one request, in bytes.
	MaxText = 64 << 10
	maxKeys = 128
)

// Key is one key=value pair.
type Key struct{ Name, Value string }

// TextError says which pair of a text can't be read.
type TextError struct {
	Pair   int
	Reason string
}

func (e *TextError) Error() string {
	return fmt.Sprintf("iscsi: text pair %d: %s", e.Pair, e.Reason)
}

// ParseText splits a text into its pairs, RFC 7143 section 6.1.
func ParseText(b []byte) ([]Key, error) {
	var keys []Key
	for len(b) > 0 {
		end := bytes.IndexByte(b, 0)
		if end < 0 {
			return nil, &TextError{len(keys), "no end mark"}
		}
		pair := b[:end]
		b = b[end+1:]
		if len(pair) == 0 {
			continue // padding that some initiators count in
		}
		eq := bytes.IndexByte(pair, '=')
		switch {
		case eq <= 0:
			return nil, &TextError{len(keys), "no name"}
		case eq > maxKeyName:
			return nil, &TextError{len(keys), "name over 63 bytes"}
		case len(pair)-eq-1 > maxValue:
			return nil, &TextError{len(keys), "value over 8192 bytes"}
		case len(keys) == maxKeys:
			return nil, &TextError{len(keys), "over 128 pairs"}
		}
		keys = append(keys, Key{string(pair[:eq]), string(pair[eq+1:])})
	}
	return keys, nil
}

// FormatText joins pairs into a text.
func FormatText(keys []Key) []byte {
	var b []byte
	for _, k := range keys {
		b = append(b, k.Name...)
		b = append(b, '=')
		b = append(b, k.Value...)
		b = append(b, 0)
	}
	return b
}

// Params are the figures that a login settles, RFC 7143 section 13. Lengths are
// in bytes, times in seconds.
type Params struct {
	HeaderDigest, DataDigest bool
	MaxSend                  int // the peer's MaxRecvDataSegmentLength
	MaxRecv                  int // our own, declared
	MaxBurst, FirstBurst     int
	InitialR2T, Immediate    bool
	MaxR2T                   int
	Time2Wait, Time2Retain   int
}

// DefaultParams are the values in force when a key is not negotiated.
func DefaultParams() Params {
	return Params{
		MaxSend: 8192, MaxRecv: 8192, MaxBurst: 262144, FirstBurst: 65536,
		InitialR2T: true, Immediate: true, MaxR2T: 1, Time2Wait: 2, Time2Retain: 20,
	}
}

// number reads a numerical value in decimal or hexadecimal within bounds.
func number(s string, low, high int) (int, error) {
	v, err := strconv.ParseUint(s, 0, 64)
	if strings.ContainsAny(s, "_oObB") && !strings.HasPrefix(strings.ToLower(s), "0x") {
		err = strconv.ErrSyntax // forms of Go that the protocol doesn't have
	}
	if err != nil || v < uint64(low) || v > uint64(high) {
		return 0, fmt.Errorf("value %.32q is not a number from %d to %d", s, low, high)
	}
	return int(v), nil
}

// rule says how the result of a key comes about, RFC 7143 section 6.2.
type rule int

const (
	declare rule = iota // each side states its own
	least               // result is the smaller offer
	most                // result is the larger offer
	and                 // Yes if both say Yes
	or                  // Yes if either says Yes
	list                // first of the offerer's list that the answerer supports
	fixed               // one value only is supported
)

// keyRule is one row of the table of negotiable keys.
type keyRule struct {
	rule      rule
	low, high int
	num       func(*Params) *int
	flag      func(*Params) *bool
	only      string // for fixed
}

const maxSegment = 1<<24 - 1

// keyRules is RFC 7143 section 13 as a table. MaxRecvDataSegmentLength is a
// declaration that sets what we may send.
var keyRules = map[string]keyRule{
	"HeaderDigest":             {rule: list, flag: func(p *Params) *bool { return &p.HeaderDigest }},
	"DataDigest":               {rule: list, flag: func(p *Params) *bool { return &p.DataDigest }},
	"MaxRecvDataSegmentLength": {rule: declare, low: 512, high: maxSegment, num: func(p *Params) *int { return &p.MaxSend }},
	"MaxBurstLength":           {rule: least, low: 512, high: maxSegment, num: func(p *Params) *int { return &p.MaxBurst }},
	"FirstBurstLength":         {rule: least, low: 512, high: maxSegment, num: func(p *Params) *int { return &p.FirstBurst }},
	"MaxOutstandingR2T":        {rule: least, low: 1, high: 65535, num: func(p *Params) *int { return &p.MaxR2T }},
	"DefaultTime2Wait":         {rule: most, low: 0, high: 3600, num: func(p *Params) *int { return &p.Time2Wait }},
	"DefaultTime2Retain":       {rule: least, low: 0, high: 3600, num: func(p *Params) *int { return &p.Time2Retain }},
	"InitialR2T":               {rule: or, flag: func(p *Params) *bool { return &p.InitialR2T }},
	"ImmediateData":            {rule: and, flag: func(p *Params) *bool { return &p.Immediate }},
	"DataPDUInOrder":           {rule: fixed, only: "Yes"},
	"DataSequenceInOrder":      {rule: fixed, only: "Yes"},
	"MaxConnections":           {rule: fixed, only: "1"},
	"ErrorRecoveryLevel":       {rule: fixed, only: "0"},
	"OFMarker":                 {rule: fixed, only: "No"},
	"IFMarker":                 {rule: fixed, only: "No"},
	"TaskReporting":            {rule: fixed, only: "RFC3720"},
}

// NegotiationError says which key was offered a value that can't be taken.
type NegotiationError struct{ Key, Reason string }

func (e *NegotiationError) Error() string { return "iscsi: " + e.Key + ": " + e.Reason }

// negotiate applies an offer to p, whose values are what this side can do, and
// returns the answer. An empty answer means that none is due.
func (p *Params) negotiate(k Key) (string, error) {
	r, ok := keyRules[k.Name]
	if !ok {
		return "NotUnderstood", nil
	}
	switch r.rule {
	case declare, least, most:
		return p.negotiateNumber(k, r)
	case and, or:
		return p.negotiateFlag(k, r)
	case list:
		return p.negotiateDigest(k, r)
	default:
		return r.only, nil
	}
}

func (p *Params) negotiateNumber(k Key, r keyRule) (string, error) {
	v, err := number(k.Value, r.low, r.high)
	if err != nil {
		return "", &NegotiationError{k.Name, err.Error()}
	}
	at := r.num(p)
	switch r.rule {
	case declare:
		*at = v
		return "", nil
	case least:
		*at = min(*at, v)
	case most:
		*at = max(*at, v)
	}
	return strconv.Itoa(*at), nil
}

func (p *Params) negotiateFlag(k Key, r keyRule) (string, error) {
	yes := k.Value == "Yes"
	if !yes && k.Value != "No" {
		return "", &NegotiationError{k.Name, fmt.Sprintf("value %.32q is neither Yes nor No", k.Value)}
	}
	at := r.flag(p)
	if r.rule == and {
		*at = *at && yes
	} else {
		*at = *at || yes
	}
	return yesNo(*at), nil
}

func (p *Params) negotiateDigest(k Key, r keyRule) (string, error) {
	for v := range strings.SplitSeq(k.Value, ",") {
		switch v {
		case "CRC32C":
			*r.flag(p) = true
			return v, nil
		case "None":
			*r.flag(p) = false
			return v, nil
		}
	}
	return "Reject", nil
}

func yesNo(v bool) string {
	if v {
		return "Yes"
	}
	return "No"
}
