package http1

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// Framing is how the end of a body is told (RFC 9112, section 6).
type Framing struct {
	Chunked bool
	Length  int  // where it is not chunked
	ToClose bool // of a response: neither length nor chunks say
}

// Framing of a request; one that carries both a length and a transfer coding may hide
// another in its body (section 11.2) and is refused.
func (r *Request) Framing(lim Limits) (Framing, error) {
	return framing(r.Fields, lim.Body)
}

// Framing of a response.
func (r *Response) Framing(lim Limits) (Framing, error) {
	if r.Status == 204 || r.Status == 304 {
		return Framing{}, nil
	}
	fr, err := framing(r.Fields, lim.Body)
	fr.ToClose = r.Fields.Count("content-length") == 0 && !fr.Chunked
	return fr, err
}

func framing(f Fields, most int) (fr Framing, err error) {
	lengths, codings := f.Count("content-length"), f.Count("transfer-encoding")
	switch {
	case codings > 0 && lengths > 0, lengths > 1, codings > 1:
		return fr, &Error{Ambiguous, "length"}
	case codings == 1:
		if !strings.EqualFold(f.Get("transfer-encoding"), "chunked") {
			return fr, &Error{Unsupported, "transfer coding"}
		}
		fr.Chunked = true
	case lengths == 1:
		fr.Length, err = length(f.Get("content-length"), most)
	}
	return fr, err
}

// mostDigits keeps lengths within an int.
const mostDigits = 18

func length(s string, most int) (int, error) {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, &Error{Malformed, "length"}
		}
	}
	if s == "" {
		return 0, &Error{Malformed, "length"}
	}
	if len(s) > mostDigits {
		return 0, &Error{TooLarge, "body"}
	}
	n, _ := strconv.Atoi(s)
	if n > most {
		return 0, &Error{TooLarge, "body"}
	}
	return n, nil
}

// ReadWholeRequest reads a request with its body, within the limits. Errors are those of
// ReadRequest, Framing and ReadBody.
func ReadWholeRequest(br *bufio.Reader, lim Limits) (*Request, []byte, error) {
	r, err := ReadRequest(br, lim)
	if err != nil {
		return nil, nil, err
	}
	body, err := readFramed(br, lim, r.Framing)
	return r, body, err
}

// ReadWholeResponse reads a response with its body, within the limits. Errors are those of
// ReadResponse, Framing and ReadBody.
func ReadWholeResponse(br *bufio.Reader, lim Limits) (*Response, []byte, error) {
	r, err := ReadResponse(br, lim)
	if err != nil {
		return nil, nil, err
	}
	body, err := readFramed(br, lim, r.Framing)
	return r, body, err
}

func readFramed(br *bufio.Reader, lim Limits, framing func(Limits) (Framing, error)) ([]byte, error) {
	fr, err := framing(lim)
	if err != nil {
		return nil, err
	}
	return ReadBody(br, fr, lim)
}

// ReadBody reads a body that fr frames. One that lasts to the close of the connection is
// whole where the stream ends cleanly (RFC 9112, section 6.3): a reset is no end.
func ReadBody(br *bufio.Reader, fr Framing, lim Limits) ([]byte, error) {
	switch {
	case fr.ToClose:
		return readToClose(br, lim)
	case fr.Chunked:
		return readChunks(br, lim)
	}
	return readMore(br, nil, fr.Length, lim)
}

func readToClose(br *bufio.Reader, lim Limits) (b []byte, err error) {
	for {
		if len(b) == cap(b) {
			n := len(b)
			if b, err = lim.grow(b, step); err != nil {
				return nil, err
			}
			b = b[: n : n+step]
		}
		n, err := br.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > lim.Body:
			return nil, &Error{TooLarge, "body"}
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// step is how much room is made at a time: what a peer only promises takes none.
const step = 4 << 10

func readMore(br *bufio.Reader, b []byte, n int, lim Limits) (_ []byte, err error) {
	for n > 0 {
		k := min(n, step)
		at := len(b)
		if b, err = lim.grow(b, k); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(br, b[at:]); err != nil {
			return nil, cut(err)
		}
		n -= k
	}
	return b, nil
}

// grow makes room for n more bytes of a body.
func (lim Limits) grow(b []byte, n int) ([]byte, error) {
	if lim.Reserve != nil && !lim.Reserve(n) {
		return nil, &Error{TooLarge, "bodies held"}
	}
	return append(b, make([]byte, n)...), nil
}

// cut is err within a message.
func cut(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readChunks reads a chunked body (section 7.1). Extensions and trailers are passed over.
func readChunks(br *bufio.Reader, lim Limits) ([]byte, error) {
	var b []byte
	h := head{br: br, left: lim.Head, read: true}
	for {
		n, err := h.chunkSize(lim.Body - len(b))
		if err != nil {
			return nil, err
		}
		if n == 0 {
			_, err := h.fields(lim.Fields)
			return b, err
		}
		if b, err = readMore(br, b, n, lim); err != nil {
			return nil, err
		}
		if err := h.chunkEnd(); err != nil {
			return nil, err
		}
	}
}

// chunkSize reads the line before a chunk, of which at most left bytes may come.
func (h *head) chunkSize(left int) (int, error) {
	line, err := h.line("chunk size")
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";")
	return chunkSize(strings.TrimRight(digits, " \t"), left)
}

// chunkEnd reads what ends a chunk's data.
func (h *head) chunkEnd() error {
	end, err := h.line("chunk")
	if err == nil && end != "" {
		err = &Error{Malformed, "chunk"}
	}
	return err
}

func chunkSize(s string, left int) (int, error) {
	if s == "" || strings.Trim(s, "0123456789abcdefABCDEF") != "" {
		return 0, &Error{Malformed, "chunk size"}
	}
	n, err := strconv.ParseUint(s, 16, 31)
	if err != nil || int(n) > left {
		return 0, &Error{TooLarge, "body"}
	}
	return int(n), nil
}

// Stream reads a chunked body that goes on, piece by piece as it comes. It holds one
// piece at a time.
type Stream struct {
	br      *bufio.Reader
	framing Framing
	lim     Limits
	left    int // of the present chunk
	buf     [step]byte
	begun   bool
	over    bool
}

// NewStream reads the body that fr frames. Limits bound the lines between chunks.
func NewStream(br *bufio.Reader, fr Framing, lim Limits) *Stream {
	return &Stream{br: br, framing: fr, lim: lim}
}

// Next returns what has come, valid until the next call, and io.EOF at the body's end.
func (s *Stream) Next() ([]byte, error) {
	if !s.framing.Chunked {
		n, err := s.br.Read(s.buf[:])
		return s.buf[:n], err
	}
	if s.left == 0 {
		if err := s.nextChunk(); err != nil {
			return nil, err
		}
	}
	n, err := s.br.Read(s.buf[:min(s.left, step)])
	s.left -= n
	return s.buf[:n], cut(err)
}

func (s *Stream) nextChunk() error {
	if s.over {
		return io.EOF
	}
	h := head{br: s.br, left: s.lim.Head, read: true}
	if s.begun {
		if err := h.chunkEnd(); err != nil {
			return err
		}
	}
	var err error
	if s.left, err = h.chunkSize(mostChunk); err != nil {
		return err
	}
	if s.begun = true; s.left == 0 {
		s.over = true
		_, err := h.fields(s.lim.Fields)
		if err == nil {
			err = io.EOF
		}
		return err
	}
	return nil
}

// mostChunk bounds one chunk of a stream, which is never held whole.
const mostChunk = 1 << 30
