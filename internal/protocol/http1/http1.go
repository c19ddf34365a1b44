// Package http1 parses and formats HTTP/1.1 messages (RFC 9112): request and status lines,
// fields, bodies with a length or in chunks, and interim responses. Every length is checked
// against a limit before memory is allocated for it. The package reads from a bufio.Reader
// and appends to byte slices; it opens no connections, sets no deadlines and routes nothing.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Kind classifies why a message was rejected.
type Kind int

// Kinds of Error.
const (
	Malformed   Kind = iota // violates the syntax of RFC 9112
	TooLarge                // exceeds one of the Limits
	Ambiguous               // its body length can be interpreted in two ways (RFC 9112, section 6.3)
	Unsupported             // valid, but not implemented by this package
	NoRoom                  // Limits.Reserve or Limits.ReserveHead has refused it
)

var kindNames = [...]string{"malformed", "too large", "ambiguous", "unsupported", "not held for lack of memory"}

// Error reports a message that was rejected. Errors of the underlying stream are returned
// unchanged, except that a stream that ends within a message gives io.ErrUnexpectedEOF.
type Error struct {
	Kind Kind
	Part string // the part of the message at fault: "request line", "field", "length", ...
}

func (e *Error) Error() string { return "http1: " + e.Part + " " + kindNames[e.Kind] }

// Status returns the status code with which a server rejects such a request (RFC 9110,
// sections 15.5 and 15.6).
func (e *Error) Status() int {
	switch {
	case e.Kind == TooLarge && e.Part == "body":
		return 413
	case e.Kind == TooLarge:
		return 431
	case e.Kind == Unsupported:
		return 501
	case e.Kind == NoRoom:
		return 503
	}
	return 400
}

// IsMessageError reports whether err is an Error, as opposed to an error of the stream.
func IsMessageError(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

// Limits bound the size of a message.
type Limits struct {
	MaxHeadBytes int // start line and fields; the lines between a body's chunks have the same bound again
	MaxFields    int // number of field lines
	MaxBodyBytes int
	// Reserve, if not nil, is called before n more bytes are allocated for a body, and
	// ReserveHead before n more are for a head. If one returns false, the message is rejected as
	// NoRoom.
	Reserve, ReserveHead func(n int) bool
}

// Field is a field line of a message. Name is in lower case in messages that were read.
type Field struct{ Name, Value string }

// Fields is a list of field lines in the order of the message.
type Fields []Field

// Get returns the value of the first field with that name, which must be in lower case, or
// "" if there is none.
func (f Fields) Get(name string) string {
	for _, x := range f {
		if x.Name == name {
			return x.Value
		}
	}
	return ""
}

// Count returns the number of fields with that name, which must be in lower case.
func (f Fields) Count(name string) (n int) {
	for _, x := range f {
		if x.Name == name {
			n++
		}
	}
	return n
}

// hasToken reports whether the comma-separated list in the fields of that name contains
// token, ignoring case.
func (f Fields) hasToken(name, token string) bool {
	for _, x := range f {
		if x.Name != name {
			continue
		}
		for part := range strings.SplitSeq(x.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// Request is the head of a request.
type Request struct {
	Method string
	Target string
	Minor  int // minor version: 0 or 1
	Fields Fields
}

// Response is the head of a final response. InterimCount is the number of 1xx responses
// that preceded it.
type Response struct {
	Status       int
	Minor        int
	Fields       Fields
	InterimCount int
}

func closesConnection(minor int, f Fields) bool {
	return f.hasToken("connection", "close") || minor == 0 && !f.hasToken("connection", "keep-alive")
}

// Close reports whether the connection is closed after this message (RFC 9112, section 9.3).
func (r *Request) Close() bool { return closesConnection(r.Minor, r.Fields) }

// Close reports whether the connection is closed after this message (RFC 9112, section 9.3).
// It does not consider a body that lasts until the connection closes.
func (r *Response) Close() bool { return closesConnection(r.Minor, r.Fields) }

// ExpectsContinue reports whether the client asks for a 100 response before it sends the
// body (RFC 9110, section 10.1.1).
func (r *Request) ExpectsContinue() bool {
	return r.Minor > 0 && r.Fields.hasToken("expect", "100-continue")
}

// ReadRequest reads the head of a request. It returns io.EOF if the stream ends before the
// first byte of the message.
func ReadRequest(br *bufio.Reader, lim Limits) (*Request, error) {
	h := lineReader{br: br, remaining: lim.MaxHeadBytes, reserve: lim.ReserveHead}
	line, err := h.readLine("request line")
	if err == nil && line == "" { // RFC 9112, section 2.2: ignore one empty line before it
		line, err = h.readLine("request line")
	}
	if err != nil {
		return nil, err
	}
	r := &Request{}
	if err := r.parseRequestLine(line); err != nil {
		return nil, err
	}
	r.Fields, err = h.readFields(lim.MaxFields)
	return r, err
}

func (r *Request) parseRequestLine(line string) error {
	malformed := &Error{Malformed, "request line"}
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) || !isVisibleASCII(target) || target[0] != '/' {
		return malformed
	}
	minor, ok := parseVersion(version)
	if !ok {
		return malformed
	}
	r.Method, r.Target, r.Minor = method, target, minor
	return nil
}

// maxInterim is the maximum number of 1xx responses before a final one.
const maxInterim = 16

// ReadResponse reads the head of a final response and skips interim (1xx) ones before it.
// It rejects 101, since it supports no protocol upgrade.
func ReadResponse(br *bufio.Reader, lim Limits) (*Response, error) {
	h := lineReader{br: br, remaining: lim.MaxHeadBytes, reserve: lim.ReserveHead}
	for n := 0; n <= maxInterim; n++ {
		line, err := h.readLine("status line")
		if err != nil {
			if n > 0 && err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		r := &Response{InterimCount: n}
		if err := r.parseStatusLine(line); err != nil {
			return nil, err
		}
		if r.Fields, err = h.readFields(lim.MaxFields); err != nil {
			return nil, err
		}
		if r.Status == 101 {
			return nil, &Error{Unsupported, "status line"}
		}
		if r.Status >= 200 {
			return r, nil
		}
	}
	return nil, &Error{TooLarge, "interim responses"}
}

func (r *Response) parseStatusLine(line string) error {
	malformed := &Error{Malformed, "status line"}
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := parseVersion(version)
	if !ok || len(rest) < 3 || len(rest) > 3 && rest[3] != ' ' {
		return malformed
	}
	for _, c := range []byte(rest[:3]) {
		if c < '0' || c > '9' {
			return malformed
		}
		r.Status = r.Status*10 + int(c-'0')
	}
	if r.Status < 100 || r.Status > 599 || !isFieldValue(rest[3:]) {
		return malformed
	}
	r.Minor = minor
	return nil
}

func parseVersion(version string) (int, bool) {
	switch version {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// lineReader reads the lines of a head, or those between the chunks of a body, within a
// bound on their total size.
type lineReader struct {
	br        *bufio.Reader
	remaining int  // bytes that may still be read
	started   bool // the message has begun, so that io.EOF is unexpected
	reserve   func(n int) bool
}

// lineOverheadBytes is what a line takes beside its bytes: two strings of a Field, and as much again
// while their list grows.
const lineOverheadBytes = 64

// reserved reports whether a line of n bytes may be kept.
func (h *lineReader) reserved(n int) bool { return h.reserve == nil || h.reserve(n) }

// readLine returns the next line without its CRLF. It rejects a line that ends in a bare LF,
// since peers that disagree on where a line ends allow request smuggling. part names the
// line in errors.
func (h *lineReader) readLine(part string) (string, error) {
	var partial []byte
	for {
		b, err := h.br.ReadSlice('\n')
		h.remaining -= len(b)
		if len(b) > 0 {
			h.started = true
		}
		switch {
		case h.remaining < 0:
			return "", &Error{TooLarge, part}
		case err == nil:
			if !h.reserved(len(b) + lineOverheadBytes) {
				return "", &Error{NoRoom, part}
			}
			if len(partial) > 0 {
				b = append(partial, b...)
			}
			return trimCRLF(b, part)
		case errors.Is(err, bufio.ErrBufferFull):
			if !h.reserved(2 * len(b)) { // the line is copied once more when it is whole
				return "", &Error{NoRoom, part}
			}
			partial = append(partial, b...)
		case err == io.EOF && h.started:
			return "", io.ErrUnexpectedEOF
		default:
			return "", err
		}
	}
}

func trimCRLF(b []byte, part string) (string, error) {
	if len(b) < 2 || b[len(b)-2] != '\r' {
		return "", &Error{Malformed, part}
	}
	return string(b[:len(b)-2]), nil
}

func (h *lineReader) readFields(maxFields int) (Fields, error) {
	var f Fields
	for {
		line, err := h.readLine("field")
		if err != nil {
			return nil, err
		}
		if line == "" {
			return f, nil
		}
		if len(f) >= maxFields {
			return nil, &Error{TooLarge, "fields"}
		}
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !isToken(name) || !isFieldValue(value) {
			return nil, &Error{Malformed, "field"}
		}
		f = append(f, Field{strings.ToLower(name), value})
	}
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alnum := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alnum && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether s contains only characters allowed in a field value (RFC
// 9110, section 5.5). The same set is accepted in a reason phrase.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// AppendRequest appends a request with its body to b and returns the result. It adds
// Content-Length, except to a GET without a body.
func AppendRequest(b []byte, method, target string, f Fields, body []byte) []byte {
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\n", method, target)
	b = appendFields(b, f)
	if len(body) > 0 || method != "GET" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(body))
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict",
	413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendResponse appends a response with its body to b and returns the result. It adds
// Content-Length.
func AppendResponse(b []byte, status int, f Fields, body []byte) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", status, reasonPhrases[status])
	b = appendFields(b, f)
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(body))
	return append(b, body...)
}

func appendFields(b []byte, f Fields) []byte {
	for _, x := range f {
		b = append(append(append(append(b, x.Name...), ": "...), x.Value...), "\r\n"...)
	}
	return b
}
