// Package http1 reads and writes HTTP/1.1 messages (RFC 9112) over a bufio.Reader:
// request and status lines, fields, bodies by length or in chunks, interim answers.
// Every length is held to a bound before room is made for it. It is a core: it opens
// nothing, knows no clock, follows no route and keeps no connection.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Kind says what is wrong with a message.
type Kind int

// The kinds of fault.
const (
	Malformed   Kind = iota // not a message of RFC 9112
	TooLarge                // passes a bound of Limits
	Ambiguous               // its length can be read in two ways (RFC 9112, section 6.3)
	Unsupported             // a form that this package does not read
)

var kindNames = [...]string{"malformed", "too large", "ambiguous", "unsupported"}

// Error is a message that cannot be read. Faults of the stream itself come as they are;
// one that ends within a message is io.ErrUnexpectedEOF.
type Error struct {
	Kind Kind
	Part string // of the message: "request line", "field", "length", ...
}

func (e *Error) Error() string { return "http1: " + e.Part + " " + kindNames[e.Kind] }

// Status is what a server answers to such a request (RFC 9110, section 15.5).
func (e *Error) Status() int {
	switch {
	case e.Kind == TooLarge && e.Part == "body":
		return 413
	case e.Kind == TooLarge:
		return 431
	case e.Kind == Unsupported:
		return 501
	}
	return 400
}

// IsMessageError tells whether the message was at fault, not the stream.
func IsMessageError(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

// Limits bound a message, in bytes and fields.
type Limits struct {
	MaxHeadBytes int // start line and fields
	MaxFields    int
	MaxBodyBytes int
	// Reserve, if set, is asked before that many more bytes of a body are held.
	Reserve func(n int) bool
}

// Field is one field line; Name is in lower case.
type Field struct{ Name, Value string }

// Fields are in the order of the message.
type Fields []Field

// Get returns the value of the first field of that name, which is in lower case.
func (f Fields) Get(name string) string {
	for _, x := range f {
		if x.Name == name {
			return x.Value
		}
	}
	return ""
}

// Count is how many fields have that name.
func (f Fields) Count(name string) (n int) {
	for _, x := range f {
		if x.Name == name {
			n++
		}
	}
	return n
}

// hasToken tells whether a list field holds the token, in whatever case.
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

// Request is a request's head.
type Request struct {
	Method string
	Target string
	Minor  int // of HTTP/1.x
	Fields Fields
}

// Response is a response's head; Interim counts the 1xx that came before it.
type Response struct {
	Status       int
	Minor        int
	Fields       Fields
	InterimCount int
}

func closesConnection(minor int, f Fields) bool {
	return f.hasToken("connection", "close") || minor == 0 && !f.hasToken("connection", "keep-alive")
}

// Close tells whether the connection ends after this message (RFC 9112, section 9.3).
func (r *Request) Close() bool { return closesConnection(r.Minor, r.Fields) }

// Close tells whether the connection ends after this message.
func (r *Response) Close() bool { return closesConnection(r.Minor, r.Fields) }

// ExpectsContinue tells whether the sender waits for a 100 (RFC 9110, section 10.1.1).
func (r *Request) ExpectsContinue() bool {
	return r.Minor > 0 && r.Fields.hasToken("expect", "100-continue")
}

// ReadRequest reads the head of a request. At the end of the stream between messages it
// returns io.EOF.
func ReadRequest(br *bufio.Reader, lim Limits) (*Request, error) {
	h := lineReader{br: br, remaining: lim.MaxHeadBytes}
	line, err := h.readLine("request line")
	if err == nil && line == "" { // section 2.2: an empty line before it is passed over
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

// maxInterim bounds the 1xx before an answer.
const maxInterim = 16

// ReadResponse reads the head of a final response and passes over interim ones.
func ReadResponse(br *bufio.Reader, lim Limits) (*Response, error) {
	h := lineReader{br: br, remaining: lim.MaxHeadBytes}
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
	return nil, &Error{TooLarge, "interim answers"}
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

// lineReader reads the lines of a message's lineReader within what is left of its bound.
type lineReader struct {
	br        *bufio.Reader
	remaining int
	started   bool
}

// readLine returns the next readLine without its CRLF. A bare LF ends no readLine here: what peers
// read differently must not be guessed at.
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
			if len(partial) > 0 {
				b = append(partial, b...)
			}
			return trimCRLF(b, part)
		case errors.Is(err, bufio.ErrBufferFull):
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

// isFieldValue tells whether s may stand in a field's value (RFC 9110, section 5.5).
func isFieldValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// AppendRequest appends a whole request; a body is framed by its length.
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

// AppendResponse appends a whole response, framed by its length.
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
