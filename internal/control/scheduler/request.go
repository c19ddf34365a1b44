package scheduler

import (
	"io"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

// This file reads requests of clients, within the account of memory.

// request is an HTTP request with its body.
type request struct {
	*http1.Request
	body       []byte
	dropped    bool    // its body was read and not kept, for lack of memory
	receivedAt float64 // arrival time of its last byte, ms on the loop's clock
	memory     *requestMemory
}

// requestMemory is what a request has reserved.
type requestMemory struct {
	head reservation
	body *requestBody
}

// release returns what is reserved, once the request has ended.
func (m *requestMemory) release() {
	m.head.release()
	if m.body != nil {
		m.body.release()
	}
}

// readRequest reads a request. The memory of the one that it returns has to be released.
func (c *client) readRequest() (*request, error) {
	memory := &requestMemory{head: reservation{budget: &c.frontend.memory.heads, free: unreservedBytes}}
	r, err := c.readIntoMemory(memory)
	if err != nil {
		memory.release()
	}
	return r, err
}

func (c *client) readIntoMemory(memory *requestMemory) (*request, error) {
	f := c.frontend
	limits := messageLimits
	limits.ReserveHead = memory.head.reserve
	head, err := http1.ReadRequest(c.in, limits)
	if err != nil {
		return nil, err
	}
	framing, err := head.Framing(messageLimits)
	if err != nil {
		return nil, err
	}
	if head.ExpectsContinue() && c.in.Buffered() == 0 {
		c.out.Enqueue(func(b []byte) []byte { return append(b, "HTTP/1.1 100 Continue\r\n\r\n"...) })
	}
	maxLength := framing.Length
	if framing.Chunked {
		maxLength = messageLimits.MaxBodyBytes
	}
	memory.body = f.memory.bodies.newBody(f.loop.now, maxLength)
	err = http1.CopyBody(c.in, framing, messageLimits, func(piece []byte) error {
		memory.body.append(piece)
		return nil
	})
	if err != nil {
		return nil, err
	}
	body, kept := memory.body.complete()
	return &request{Request: head, body: body, dropped: !kept, receivedAt: c.readAhead.consumedArrivalTime(c.in.Buffered()), memory: memory}, nil
}

// readErrorStatus returns the HTTP status for a request that could not be read, or 0 if the
// connection failed and no answer can be sent.
func readErrorStatus(err error) int {
	if protocolErr, ok := err.(*http1.Error); ok {
		return protocolErr.Status()
	}
	if env.IsTimeout(err) {
		return 408
	}
	if err == io.ErrUnexpectedEOF {
		return 400
	}
	return 0
}
