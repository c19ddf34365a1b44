package scheduler

import (
	"errors"

	"merlinhitch/internal/protocol/http1"
)

// messages cuts a stream of JSON objects into one after the other. Discovery sends one a
// line and an empty line as a sign of life; an object may be indented, and then stands on
// several lines.
type messages struct {
	held   []byte // of an object, from its first byte on
	depth  int    // of the brackets that are open
	quoted bool   // within a string,
	escape bool   // behind a backslash in it
}

// got is what a part of a stream brought.
type got int

const (
	gotPart    got = iota // nothing that is whole
	gotLine               // the end of a line between objects
	gotMessage            // a whole object, to be taken
)

var errNoObject = &unreadable{errors.New("no JSON object")}

// next reads on in b up to the next thing that is whole; it tells how many bytes it took.
func (m *messages) next(b []byte) (int, got, error) {
	for i, c := range b {
		switch {
		case m.depth > 0:
			if m.held = append(m.held, c); len(m.held) > mostMessage {
				return 0, gotPart, &unreadable{&http1.Error{Kind: http1.TooLarge, Part: "message"}}
			}
			if m.inside(c); m.depth == 0 {
				return i + 1, gotMessage, nil
			}
		case c == '{':
			m.held, m.depth = append(m.held[:0], c), 1
		case c == '\n':
			return i + 1, gotLine, nil
		case c != ' ' && c != '\t' && c != '\r':
			return 0, gotPart, errNoObject
		}
	}
	return len(b), gotPart, nil
}

// read has do called for each thing in a stream, until it wants no more or the stream ends;
// then the error says how.
func (m *messages) read(s *http1.Stream, do func(what got) (more bool, err error)) error {
	for {
		b, err := s.Next()
		if err != nil {
			return err
		}
		for len(b) > 0 {
			n, what, err := m.next(b)
			if err != nil {
				return err
			}
			b = b[n:]
			if more, err := do(what); err != nil || !more {
				return err
			}
		}
	}
}

func (m *messages) inside(c byte) {
	switch {
	case m.escape:
		m.escape = false
	case m.quoted:
		m.escape, m.quoted = c == '\\', c != '"'
	case c == '"':
		m.quoted = true
	case c == '{' || c == '[':
		m.depth++
	case c == '}' || c == ']':
		m.depth--
	}
}

// take returns the object that is whole, valid until the next call of next.
func (m *messages) take() []byte { return m.held }
