package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
)

var testLimits = Limits{MaxHeadBytes: 512, MaxFields: 8, MaxBodyBytes: 64}

func smallReader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 16) }

// readRequest reads a request with its body through a small buffer.
func readRequest(s string) (*Request, []byte, error) {
	br := smallReader(s)
	r, err := ReadRequest(br, testLimits)
	if err != nil {
		return nil, nil, err
	}
	fr, err := r.Framing(testLimits)
	if err != nil {
		return nil, nil, err
	}
	b, err := ReadBody(br, fr, testLimits)
	return r, b, err
}

func TestReadRequestAcceptsValid(t *testing.T) {
	for _, c := range []struct{ in, method, target, body string }{
		{"GET /a/b?c=%20 HTTP/1.1\r\nHost: x\r\n\r\n", "GET", "/a/b?c=%20", ""},
		{"\r\nPUT /a HTTP/1.1\r\nContent-Length: 3\r\nX:  y \t\r\n\r\nabc", "PUT", "/a", "abc"},
		{"PUT /a HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n0a\r\n0123456789\r\n0\r\nT: 1\r\n\r\n", "PUT", "/a", "abc0123456789"},
		{"PUT /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "PUT", "/a", ""},
	} {
		r, b, err := readRequest(c.in)
		if err != nil || r.Method != c.method || r.Target != c.target || string(b) != c.body {
			t.Errorf("%q: %+v %q %v", c.in, r, b, err)
		}
	}
}

func TestReadRequestRejectsInvalid(t *testing.T) {
	longText := strings.Repeat("a", 600)
	for _, c := range []struct {
		in   string
		kind Kind
	}{
		{"GET /\r\n\r\n", Malformed},
		{"GET  / HTTP/1.1\r\n\r\n", Malformed},
		{"GET x HTTP/1.1\r\n\r\n", Malformed},
		{"GET / HTTP/2.0\r\n\r\n", Malformed},
		{"GET / HTTP/1.1\n\n", Malformed},
		{"GET /\x01 HTTP/1.1\r\n\r\n", Malformed},
		{"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", Malformed},
		{"GET / HTTP/1.1\r\nA : b\r\n\r\n", Malformed},
		{"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", Malformed},
		{"GET / HTTP/1.1\r\nA: b\x00\r\n\r\n", Malformed},
		{"GET / HTTP/1.1\r\n: b\r\n\r\n", Malformed},
		{"GET /" + longText + " HTTP/1.1\r\n\r\n", TooLarge},
		{"GET / HTTP/1.1\r\nA: " + longText + "\r\n\r\n", TooLarge},
		{"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 9) + "\r\n", TooLarge},
		{"PUT / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Malformed},
		{"PUT / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", Malformed},
		{"PUT / HTTP/1.1\r\nContent-Length: \r\n\r\n", Malformed},
		{"PUT / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n", Malformed},
		{"PUT / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", TooLarge},
		{"PUT / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", TooLarge},
		{"PUT / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na", Ambiguous},
		{"PUT / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Ambiguous},
		{"PUT / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", Unsupported},
		{"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", Malformed},
		{"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n", Malformed},
		{"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", Malformed},
		{"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n", TooLarge},
		{"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", TooLarge},
	} {
		_, _, err := readRequest(c.in)
		var e *Error
		if !errors.As(err, &e) || e.Kind != c.kind || e.Status() < 400 || e.Status() > 599 {
			t.Errorf("%.60q: error %v, want kind %s", c.in, err, kindNames[c.kind])
		}
	}
}

// A request truncated at any byte gives io.ErrUnexpectedEOF, never io.EOF or success.
func TestTruncatedRequestIsUnexpectedEOF(t *testing.T) {
	const msg = "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for n := range len(msg) {
		_, _, err := readRequest(msg[:n])
		if n == 0 && err != io.EOF || n > 0 && err != io.ErrUnexpectedEOF {
			t.Errorf("truncated to %d bytes: got error %v", n, err)
		}
	}
}

func TestReadResponse(t *testing.T) {
	for _, c := range []struct {
		in      string
		status  int // 0: an Error
		interim int
		body    string
		rest    int
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 200, 0, "ab", 0},
		{"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", 200, 0, "", 0},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\nx", 503, 2, "x", 0},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n", 200, 0, "ab", 17},
		{"HTTP/1.1 204 No\r\n\r\n", 204, 0, "", 0},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", 0, 0, "", 0},
		{"HTTP/1.1 200 OK\r\n\r\nab", 200, 0, "ab", 0}, // until close
		{"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", testLimits.MaxBodyBytes+1), 0, 0, "", 0},
		{"HTTP/1.1 20 OK\r\n\r\n", 0, 0, "", 0},
		{"HTTP/1.1 101 Up\r\n\r\n", 0, 0, "", 0},
		{"HTTP/1.1 999 No\r\n\r\n", 0, 0, "", 0},
		{"\x00\x01noise\r\n\r\n", 0, 0, "", 0},
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 40), 0, 0, "", 0},
	} {
		br := smallReader(c.in)
		m, err := ReadResponse(br, testLimits)
		var body []byte
		if err == nil {
			var fr Framing
			if fr, err = m.Framing(testLimits); err == nil {
				body, err = ReadBody(br, fr, testLimits)
			}
		}
		if c.status == 0 {
			if !IsMessageError(err) {
				t.Errorf("%.40q: got error %v, want an Error", c.in, err)
			}
			continue
		}
		rest, _ := io.ReadAll(br)
		if err != nil || m.Status != c.status || m.InterimCount != c.interim || string(body) != c.body || len(rest) != c.rest {
			t.Errorf("%.40q: %+v, body %q, error %v, %d bytes left unread", c.in, m, body, err, len(rest))
		}
	}
}

// Messages that arrive one byte at a time are parsed correctly.
func TestByteByByte(t *testing.T) {
	for _, in := range []string{
		"PUT /a HTTP/1.1\r\nContent-Length: 3\r\nX: y\r\n\r\nabc",
		"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n",
	} {
		br := bufio.NewReader(iotest.OneByteReader(strings.NewReader(in)))
		r, err := ReadRequest(br, testLimits)
		if err != nil {
			t.Fatal(err)
		}
		fr, err := r.Framing(testLimits)
		if err != nil {
			t.Fatal(err)
		}
		if b, err := ReadBody(br, fr, testLimits); err != nil || string(b) != "abc" || r.Target != "/a" {
			t.Errorf("%q: %+v %q %v", in, r, b, err)
		}
	}
	br := bufio.NewReader(iotest.OneByteReader(strings.NewReader("HTTP/1.1 103 H\r\nA: b\r\n\r\nHTTP/1.1 200\r\n\r\nabc")))
	m, err := ReadResponse(br, testLimits)
	if err != nil || m.InterimCount != 1 {
		t.Fatal(m, err)
	}
	fr, _ := m.Framing(testLimits)
	if b, err := ReadBody(br, fr, testLimits); err != nil || string(b) != "abc" {
		t.Errorf("%q %v", b, err)
	}
}

// A body that lasts until the connection closes is complete only if the stream ends with
// io.EOF, and no kind of body may grow beyond what Reserve grants.
func TestBodyUntilClose(t *testing.T) {
	resetStream := io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(syscall.ECONNRESET))
	if b, err := ReadBody(bufio.NewReader(resetStream), Framing{UntilClose: true}, testLimits); err != syscall.ECONNRESET || b != nil {
		t.Errorf("body ended by a reset: got %q, error %v", b, err)
	}
	limited := testLimits
	reserved := 0
	limited.Reserve = func(n int) bool { reserved += n; return reserved <= growStep }
	for _, fr := range []Framing{{UntilClose: true}, {Length: growStep + 1}, {Chunked: true}} {
		reserved = 0
		limited.MaxBodyBytes = 2 * growStep
		in := strings.Repeat("a", growStep+1)
		if fr.Chunked {
			in = "800\r\n" + in[:0x800] + "\r\n801\r\n" + in[:0x801] + "\r\n0\r\n\r\n"
		}
		if _, err := ReadBody(smallReader(in), fr, limited); !IsMessageError(err) || reserved <= growStep {
			t.Errorf("%+v: error %v, %d bytes reserved", fr, err, reserved)
		}
	}
	reserved = 0
	if b, err := ReadBody(bufio.NewReader(iotest.OneByteReader(strings.NewReader("abcdef"))), Framing{UntilClose: true}, limited); err != nil || string(b) != "abcdef" || reserved != growStep {
		t.Errorf("byte by byte: %q, error %v, %d bytes reserved", b, err, reserved)
	}
}

func TestStreamReadsChunksIncrementally(t *testing.T) {
	s := NewStream(smallReader("5\r\nab\ncd\r\n2\r\ne\n\r\n0\r\n\r\nmore"), Framing{Chunked: true}, testLimits)
	var got []byte
	for {
		b, err := s.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, b...)
	}
	if string(got) != "ab\ncde\n" {
		t.Errorf("%q", got)
	}
	if _, err := s.Next(); err != io.EOF {
		t.Error("Next after the end of the body: want io.EOF, got", err)
	}
	if _, err := NewStream(smallReader("2\r\nabc\r\n"), Framing{Chunked: true}, testLimits).nextTwice(); !IsMessageError(err) {
		t.Error("chunk data longer than the chunk size: want an Error, got", err)
	}
}

func (s *Stream) nextTwice() ([]byte, error) {
	if _, err := s.Next(); err != nil {
		return nil, err
	}
	return s.Next()
}

func TestRequestClose(t *testing.T) {
	for in, want := range map[string]bool{
		"GET / HTTP/1.1\r\n\r\n":                                         false,
		"GET / HTTP/1.0\r\n\r\n":                                         true,
		"GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n":               false,
		"GET / HTTP/1.1\r\nConnection: x\r\nConnection: Close,y\r\n\r\n": true,
	} {
		if r, err := ReadRequest(smallReader(in), testLimits); err != nil || r.Close() != want {
			t.Errorf("%q: %v", in, err)
		}
	}
}

// A request that is accepted stays within the limits, and is the same after it has been
// formatted and read again.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("PUT /a HTTP/1.1\r\nContent-Length: 3\r\nX: y\r\n\r\nabc"))
	f.Add([]byte("PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r, body, err := readRequest(string(in))
		if err != nil {
			return
		}
		if len(body) > testLimits.MaxBodyBytes || len(r.Fields) > testLimits.MaxFields {
			t.Fatal("accepted message exceeds a limit")
		}
		again, b, err := readRequest(string(AppendRequest(nil, r.Method, r.Target, nil, body)))
		if r.Method == "GET" && len(body) == 0 {
			b = body
		}
		if err != nil || again.Method != r.Method || again.Target != r.Target || !bytes.Equal(b, body) {
			t.Fatalf("%q: %v", in, err)
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		br := smallReader(string(in))
		m, err := ReadResponse(br, testLimits)
		if err != nil {
			return
		}
		fr, err := m.Framing(testLimits)
		if err != nil {
			return
		}
		if b, err := ReadBody(br, fr, testLimits); err == nil && (len(b) > testLimits.MaxBodyBytes || m.Status < 200 || m.Status > 599) {
			t.Fatal("accepted message exceeds a limit")
		}
	})
}
