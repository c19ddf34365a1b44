package http1

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// Framing is how the end of a body is told (RFC 9112, section 6).
type Framing struct {
	Chunked    bool
	Length     int  // where it is not chunked
	UntilClose bool // of a response: neither length nor chunks say
}

// Framing of a request; one that carries both a length and a transfer coding may hide
// another in its body (section 11.2) and is refused.
func (r *Request) Framing(lim Limits) (Framing, error) {
	return parseFraming(r.Fields, lim.MaxBodyBytes)
}

// Framing of a response.
func (r *Response) Framing(lim Limits) (Framing, error) {
	if r.Status == 204 || r.Status == 304 {
		return Framing{}, nil
	}
	fr, err := parseFraming(r.Fields, lim.MaxBodyBytes)
	fr.UntilClose = r.Fields.Count("content-length") == 0 && !fr.Chunked
	return fr, err
}

func parseFraming(f Fields, maxLength int) (fr Framing, err error) {
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
		fr.Length, err = parseLength(f.Get("content-length"), maxLength)
	}
	return fr, err
}

// maxLengthDigits keeps lengths within an int.
const maxLengthDigits = 18

func parseLength(s string, maxLength int) (int, error) {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, &Error{Malformed, "length"}
		}
	}
	if s == "" {
		return 0, &Error{Malformed, "length"}
	}
	if len(s) > maxLengthDigits {
		return 0, &Error{TooLarge, "body"}
	}
	n, _ := strconv.Atoi(s)
	if n > maxLength {
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
	case fr.UntilClose:
		return readUntilClose(br, lim)
	case fr.Chunked:
		return readChunks(br, lim)
	}
	return appendBytes(br, nil, fr.Length, lim)
}

func readUntilClose(br *bufio.Reader, lim Limits) (b []byte, err error) {
	for {
		if len(b) == cap(b) {
			n := len(b)
			if b, err = lim.grow(b, growStep); err != nil {
				return nil, err
			}
			b = b[: n : n+growStep]
		}
		n, err := br.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > lim.MaxBodyBytes:
			return nil, &Error{TooLarge, "body"}
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// growStep is how much room is made at a time: what a peer only promises takes none.
const growStep = 4 << 10

func appendBytes(br *bufio.Reader, b []byte, n int, lim Limits) (_ []byte, err error) {
	for n > 0 {
		size := min(n, growStep)
		start := len(b)
		if b, err = lim.grow(b, size); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(br, b[start:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		n -= size
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

// unexpectedEOF is err within a message.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readChunks reads a chunked body (section 7.1). Extensions and trailers are passed over.
func readChunks(br *bufio.Reader, lim Limits) ([]byte, error) {
	var b []byte
	h := lineReader{br: br, remaining: lim.MaxHeadBytes, started: true}
	for {
		n, err := h.readChunkSize(lim.MaxBodyBytes - len(b))
		if err != nil {
			return nil, err
		}
		if n == 0 {
			_, err := h.readFields(lim.MaxFields)
			return b, err
		}
		if b, err = appendBytes(br, b, n, lim); err != nil {
			return nil, err
		}
		if err := h.readChunkEnd(); err != nil {
			return nil, err
		}
	}
}

// readChunkSize reads the line before a chunk, of which at most left bytes may come.
func (h *lineReader) readChunkSize(maxSize int) (int, error) {
	line, err := h.readLine("chunk size")
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";")
	return parseChunkSize(strings.TrimRight(digits, " \t"), maxSize)
}

// readChunkEnd reads what ends a chunk's data.
func (h *lineReader) readChunkEnd() error {
	line, err := h.readLine("chunk")
	if err == nil && line != "" {
		err = &Error{Malformed, "chunk"}
	}
	return err
}

func parseChunkSize(s string, maxSize int) (int, error) {
	if s == "" || strings.Trim(s, "0123456789abcdefABCDEF") != "" {
		return 0, &Error{Malformed, "chunk size"}
	}
	n, err := strconv.ParseUint(s, 16, 31)
	if err != nil || int(n) > maxSize {
		return 0, &Error{TooLarge, "body"}
	}
	return int(n), nil
}

// Stream reads a chunked body that goes on, piece by piece as it comes. It holds one
// piece at a time.
type Stream struct {
	br             *bufio.Reader
	framing        Framing
	lim            Limits
	remaining      int // of the present chunk
	buf            [growStep]byte
	firstChunkRead bool
	finished       bool
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
	if s.remaining == 0 {
		if err := s.nextChunk(); err != nil {
			return nil, err
		}
	}
	n, err := s.br.Read(s.buf[:min(s.remaining, growStep)])
	s.remaining -= n
	return s.buf[:n], unexpectedEOF(err)
}

func (s *Stream) nextChunk() error {
	if s.finished {
		return io.EOF
	}
	h := lineReader{br: s.br, remaining: s.lim.MaxHeadBytes, started: true}
	if s.firstChunkRead {
		if err := h.readChunkEnd(); err != nil {
			return err
		}
	}
	var err error
	if s.remaining, err = h.readChunkSize(maxStreamChunk); err != nil {
		return err
	}
	if s.firstChunkRead = true; s.remaining == 0 {
		s.finished = true
		_, err := h.readFields(s.lim.MaxFields)
		if err == nil {
			err = io.EOF
		}
		return err
	}
	return nil
}

// maxStreamChunk bounds one chunk of a stream, which is never held whole.
const maxStreamChunk = 1 << 30
