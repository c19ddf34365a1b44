package http1

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// Framing determines where a body ends (RFC 9112, section 6).
type Framing struct {
	Chunked    bool
	Length     int  // in bytes, if neither Chunked nor UntilClose
	UntilClose bool // a response body that lasts until the connection closes
}

// Framing returns the framing of the request's body. A request with both a length and a
// transfer coding is rejected as Ambiguous, since it allows request smuggling (RFC 9112,
// section 11.2).
func (r *Request) Framing(lim Limits) (Framing, error) {
	return parseFraming(r.Fields, lim.MaxBodyBytes)
}

// Framing returns the framing of the response's body, with the same checks as for a request.
// It does not know the request's method, so it must not be used for a response to HEAD.
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

// maxLengthDigits is the maximum number of digits of a length, so that it fits into a 64-bit
// int.
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

// ReadWholeRequest reads a request with its body. Its errors are those of ReadRequest,
// Request.Framing and ReadBody.
func ReadWholeRequest(br *bufio.Reader, lim Limits) (*Request, []byte, error) {
	r, err := ReadRequest(br, lim)
	if err != nil {
		return nil, nil, err
	}
	body, err := readFramed(br, lim, r.Framing)
	return r, body, err
}

// ReadWholeResponse reads a response with its body. Its errors are those of ReadResponse,
// Response.Framing and ReadBody.
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

// ReadBody reads a body with framing fr. A body that lasts until the connection closes is
// complete only if the stream ends with io.EOF (RFC 9112, section 6.3); any other error,
// such as a reset, is returned.
func ReadBody(br *bufio.Reader, fr Framing, lim Limits) ([]byte, error) {
	switch {
	case fr.UntilClose:
		return readUntilClose(br, lim)
	}
	maxLength := fr.Length
	if fr.Chunked {
		maxLength = lim.MaxBodyBytes
	}
	var b []byte
	err := CopyBody(br, fr, lim, func(piece []byte) (err error) {
		b, err = lim.appendPiece(b, piece, maxLength)
		return err
	})
	if err != nil {
		return nil, err
	}
	return b, nil
}

// CopyBody reads a body with a length or in chunks, and passes its pieces to receive as they
// arrive. A piece is valid during the call only. An error of receive ends the reading and is
// returned. Of lim, Reserve is not used.
func CopyBody(br *bufio.Reader, fr Framing, lim Limits, receive func(piece []byte) error) error {
	if fr.Chunked {
		return copyChunks(br, lim, receive)
	}
	return copyBytes(br, fr.Length, receive)
}

func readUntilClose(br *bufio.Reader, lim Limits) (b []byte, err error) {
	for {
		if _, err := br.Peek(1); err == io.EOF {
			return b, nil
		} else if err != nil {
			return nil, err
		}
		piece, _ := br.Peek(br.Buffered())
		if len(b)+len(piece) > lim.MaxBodyBytes {
			return nil, &Error{TooLarge, "body"}
		}
		if b, err = lim.appendPiece(b, piece, lim.MaxBodyBytes); err != nil {
			return nil, err
		}
		br.Discard(len(piece))
	}
}

// GrowthStep returns by how many bytes a body buffer of that capacity grows if missing bytes do not
// fit and it reaches maxLength at most.
func GrowthStep(capacity, missing, maxLength int) int {
	return min(max(missing, growStep, min(capacity, maxGrowStep)), maxLength-capacity)
}

// maxGrowStep is the most, in bytes, by which a body buffer grows at once.
const maxGrowStep = 64 << 10

// growStep is the least, in bytes, by which a body buffer grows. Memory is allocated as data
// is read rather than for the announced length, so that a peer cannot make the receiver
// allocate memory merely by announcing a large body.
const growStep = 4 << 10

// copyBytes passes n bytes to receive.
func copyBytes(br *bufio.Reader, n int, receive func(piece []byte) error) error {
	for n > 0 {
		if _, err := br.Peek(1); err != nil {
			return unexpectedEOF(err)
		}
		piece, _ := br.Peek(min(n, br.Buffered()))
		if err := receive(piece); err != nil {
			return err
		}
		br.Discard(len(piece))
		n -= len(piece)
	}
	return nil
}

// appendPiece appends piece to b, which reaches maxLength at most, after reserving the bytes by
// which b has to grow.
func (lim Limits) appendPiece(b, piece []byte, maxLength int) ([]byte, error) {
	if missing := len(b) + len(piece) - cap(b); missing > 0 {
		growth := GrowthStep(cap(b), missing, maxLength)
		if !lim.reserved(growth) {
			return nil, &Error{NoRoom, "body"}
		}
		grown := make([]byte, len(b), cap(b)+growth)
		copy(grown, b)
		b = grown
	}
	return append(b, piece...), nil
}

// reserved reports whether n more bytes may be allocated for a body.
func (lim Limits) reserved(n int) bool { return lim.Reserve == nil || lim.Reserve(n) }

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, for an error within a message.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// copyChunks passes a chunked body (RFC 9112, section 7.1) to receive. Chunk extensions and
// trailer fields are ignored.
func copyChunks(br *bufio.Reader, lim Limits, receive func(piece []byte) error) error {
	h := lineReader{br: br, remaining: lim.MaxHeadBytes, started: true}
	for remaining := lim.MaxBodyBytes; ; {
		n, err := h.readChunkSize(remaining)
		if err != nil {
			return err
		}
		if n == 0 {
			_, err := h.readFields(lim.MaxFields)
			return err
		}
		if err := copyBytes(br, n, receive); err != nil {
			return err
		}
		if err := h.readChunkEnd(); err != nil {
			return err
		}
		remaining -= n
	}
}

// readChunkSize reads the line before a chunk and returns the chunk's size, which must not
// exceed maxSize bytes.
func (h *lineReader) readChunkSize(maxSize int) (int, error) {
	line, err := h.readLine("chunk size")
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";")
	return parseChunkSize(strings.TrimRight(digits, " \t"), maxSize)
}

// readChunkEnd reads the CRLF after a chunk's data.
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

// Stream reads a long-lived body incrementally, as its data arrives. It buffers at most
// growStep bytes.
type Stream struct {
	br             *bufio.Reader
	framing        Framing
	lim            Limits
	remaining      int // unread bytes of the current chunk
	buf            [growStep]byte
	firstChunkRead bool // the size of a chunk has been read, so that a CRLF follows its data
	finished       bool // the last chunk and the trailer have been read
}

// NewStream returns a Stream for a body with framing fr. Of lim it applies MaxHeadBytes and
// MaxFields, to the lines between each two chunks and to the trailer. A body that is not
// chunked is read until the connection closes, whatever its length.
func NewStream(br *bufio.Reader, fr Framing, lim Limits) *Stream {
	return &Stream{br: br, framing: fr, lim: lim}
}

// Next blocks until data is available and returns it. The slice is valid until the next
// call. At the end of the body it returns io.EOF.
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

// nextChunk reads up to the data of the next chunk. At the last chunk it also reads the
// trailer, and returns io.EOF.
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

// maxStreamChunk is the maximum size, in bytes, of one chunk of a Stream. It may be large
// because chunks are not buffered whole.
const maxStreamChunk = 1 << 30
