package scheduler

import (
	"errors"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

// objectReader splits a stream into JSON objects. Discovery sends one object per line, and empty
// lines as keep-alives; an indented object spans several lines.
type objectReader struct {
	object   []byte // bytes of the current object so far
	nesting  int    // number of open braces and brackets
	inString bool   // within a string
	escaped  bool   // after a backslash in a string
}

// streamItem is what a read from the stream ended with.
type streamItem int

const (
	itemPartial streamItem = iota // an incomplete object, or nothing
	itemNewline                   // a newline between objects
	itemObject                    // a complete object, returned by bytes
)

var errNotObject = &unreadableError{errors.New("expected a JSON object")}

// next scans data up to the next newline between objects or end of an object, and returns the
// number of bytes consumed.
func (r *objectReader) next(data []byte) (int, streamItem, error) {
	for i, c := range data {
		switch {
		case r.nesting > 0:
			if r.object = append(r.object, c); len(r.object) > maxMessageBytes {
				return 0, itemPartial, &unreadableError{&http1.Error{Kind: http1.TooLarge, Part: "message"}}
			}
			if r.scanByte(c); r.nesting == 0 {
				return i + 1, itemObject, nil
			}
		case c == '{':
			r.object, r.nesting = append(r.object[:0], c), 1
		case c == '\n':
			return i + 1, itemNewline, nil
		case c != ' ' && c != '\t' && c != '\r':
			return 0, itemPartial, errNotObject
		}
	}
	return len(data), itemPartial, nil
}

// forEach calls handle for each item of the stream until handle returns false or an error, or the
// stream ends; then it returns the stream's error.
func (r *objectReader) forEach(stream *http1.Stream, handle func(item streamItem) (more bool, err error)) error {
	for {
		env.Yield() // a stream that always has data must not keep others from their turn
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		for len(chunk) > 0 {
			n, item, err := r.next(chunk)
			if err != nil {
				return err
			}
			chunk = chunk[n:]
			if more, err := handle(item); err != nil || !more {
				return err
			}
		}
	}
}

// scanByte updates the nesting for a byte within an object.
func (r *objectReader) scanByte(c byte) {
	switch {
	case r.escaped:
		r.escaped = false
	case r.inString:
		r.escaped, r.inString = c == '\\', c != '"'
	case c == '"':
		r.inString = true
	case c == '{' || c == '[':
		r.nesting++
	case c == '}' || c == ']':
		r.nesting--
	}
}

// bytes returns the last complete object; it is valid until the next call of next.
func (r *objectReader) bytes() []byte { return r.object }
