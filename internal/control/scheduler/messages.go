package scheduler

import (
	"errors"

	"merlinhitch/internal/protocol/http1"
)

// objectReader cuts a stream of JSON objects into one after the other. Discovery sends one a
// line and an empty line as a sign of life; an object may be indented, and then stands on
// several lines.
type objectReader struct {
	object   []byte // of an object, from its first byte on
	nesting  int    // of the brackets that are open
	inString bool   // within a string,
	escaped  bool   // behind a backslash in it
}

// streamItem is what a part of a stream brought.
type streamItem int

const (
	itemPartial streamItem = iota // nothing that is whole
	itemNewline                   // the end of a line between objects
	itemObject                    // a whole object, to be taken
)

var errNotObject = &unreadableError{errors.New("no JSON object")}

// next reads on in b up to the next thing that is whole; it tells how many bytes it took.
func (m *objectReader) next(data []byte) (int, streamItem, error) {
	for i, c := range data {
		switch {
		case m.nesting > 0:
			if m.object = append(m.object, c); len(m.object) > maxMessageBytes {
				return 0, itemPartial, &unreadableError{&http1.Error{Kind: http1.TooLarge, Part: "message"}}
			}
			if m.scanByte(c); m.nesting == 0 {
				return i + 1, itemObject, nil
			}
		case c == '{':
			m.object, m.nesting = append(m.object[:0], c), 1
		case c == '\n':
			return i + 1, itemNewline, nil
		case c != ' ' && c != '\t' && c != '\r':
			return 0, itemPartial, errNotObject
		}
	}
	return len(data), itemPartial, nil
}

// forEach has do called for each thing in a stream, until it wants no more or the stream ends;
// then the error says how.
func (m *objectReader) forEach(stream *http1.Stream, handle func(item streamItem) (more bool, err error)) error {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		for len(chunk) > 0 {
			n, item, err := m.next(chunk)
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

func (m *objectReader) scanByte(c byte) {
	switch {
	case m.escaped:
		m.escaped = false
	case m.inString:
		m.escaped, m.inString = c == '\\', c != '"'
	case c == '"':
		m.inString = true
	case c == '{' || c == '[':
		m.nesting++
	case c == '}' || c == ']':
		m.nesting--
	}
}

// bytes returns the object that is whole, valid until the next call of next.
func (m *objectReader) bytes() []byte { return m.object }
