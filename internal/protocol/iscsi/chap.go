package iscsi

import (
	"crypto/md5"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"hash"
	"strings"
)

// CHAP algorithms by their registered numbers: MD5 of RFC 7143 section 12.1.3
// and SHA-256, which was registered later.
const (
	chapMD5    = "5"
	chapSHA256 = "7"
)

var errBinary = errors.New("not a binary value in hex or base64")

// chapResponse is RFC 1994 section 4.1: a hash over id, secret and challenge.
func chapResponse(alg string, id byte, secret string, challenge []byte) []byte {
	var h hash.Hash
	if alg == chapSHA256 {
		h = sha256.New()
	} else {
		h = md5.New()
	}
	h.Write([]byte{id})
	h.Write([]byte(secret))
	h.Write(challenge)
	return h.Sum(nil)
}

// decodeBinary reads a large binary value, RFC 7143 section 6.1.
func decodeBinary(s string) ([]byte, error) {
	low := strings.ToLower(s)
	switch {
	case strings.HasPrefix(low, "0x"):
		s = s[2:]
		if len(s)%2 == 1 {
			s = "0" + s
		}
		return hex.DecodeString(s)
	case strings.HasPrefix(low, "0b"):
		return base64.StdEncoding.DecodeString(s[2:])
	}
	return nil, errBinary
}

func encodeBinary(b []byte) string { return "0x" + hex.EncodeToString(b) }

// chapMatches compares in constant time.
func chapMatches(alg string, id byte, secret string, challenge []byte, answer string) bool {
	got, err := decodeBinary(answer)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(got, chapResponse(alg, id, secret, challenge)) == 1
}

// pickAlgorithm takes the first algorithm of the offer that is known.
func pickAlgorithm(offer string) string {
	for a := range strings.SplitSeq(offer, ",") {
		if a == chapMD5 || a == chapSHA256 {
			return a
		}
	}
	return ""
}
