package scheduler

import (
	"bufio"
	"bytes"
	"math"
	"slices"
	"strconv"

	"merlinhitch/internal/protocol/http1"
)

// pipelinedRequests finds the requests that have been read whole behind the open one, without
// consuming them. Answers are sent in order, so the open request must be answered by the earliest
// of their deadlines. A request whose body has a known length is parsed once it is whole; any other
// one again with each read until it is whole. Used by the client's goroutine only.
type pipelinedRequests struct {
	readAhead *readAhead
	in        *bufio.Reader // reads from readAhead; unread bytes in its buffer come first
	// wholeUntil is the stream offset up to which all requests have been read whole.
	wholeUntil int64
	// nextEnd is the least stream offset at which the request after wholeUntil can end.
	nextEnd int64
	// malformed is set once the bytes after wholeUntil are no valid request; the connection ends there.
	malformed bool
	// deadlines holds the waiting requests in order, without those behind which one with an
	// earlier or the same deadline waits: the first is the earliest of all.
	deadlines []pipelinedDeadline
	parser    *bufio.Reader
}

// pipelinedDeadline is the deadline, ms on the loop's clock, of the request that ends at endOffset.
type pipelinedDeadline struct {
	endOffset int64
	deadline  float64
}

// consumedUntil returns the stream offset up to which requests have been consumed.
func (p *pipelinedRequests) consumedUntil() int64 {
	return p.readAhead.bytesRead - int64(len(p.readAhead.buffer)) - int64(p.in.Buffered())
}

// waiting reports whether a request has been read whole and not consumed.
func (p *pipelinedRequests) waiting() bool {
	p.update()
	return p.wholeUntil > p.consumedUntil()
}

// earliestDeadline returns the earliest deadline of the waiting requests, ms on the loop's clock;
// +Inf if there are none.
func (p *pipelinedRequests) earliestDeadline() float64 {
	p.update()
	if len(p.deadlines) == 0 {
		return math.Inf(1)
	}
	return p.deadlines[0].deadline
}

// update drops the requests that have been consumed and adds those that have been read since.
func (p *pipelinedRequests) update() {
	consumed := p.consumedUntil()
	for len(p.deadlines) > 0 && p.deadlines[0].endOffset <= consumed {
		p.deadlines = p.deadlines[1:]
	}
	p.wholeUntil = max(p.wholeUntil, consumed)
	if p.malformed || p.readAhead.bytesRead == p.wholeUntil || p.readAhead.bytesRead < p.nextEnd {
		return
	}
	p.parse(p.unreadAfter(p.wholeUntil - consumed))
}

// unreadAfter returns the unread bytes after the first skip ones.
func (p *pipelinedRequests) unreadAfter(skip int64) []byte {
	buffered, _ := p.in.Peek(p.in.Buffered())
	if skip >= int64(len(buffered)) {
		return p.readAhead.buffer[skip-int64(len(buffered)):]
	}
	return slices.Concat(buffered[skip:], p.readAhead.buffer)
}

// parse adds the whole requests in unread, which begins at wholeUntil.
func (p *pipelinedRequests) parse(unread []byte) {
	if p.parser == nil {
		p.parser = bufio.NewReaderSize(nil, readBufferBytes)
	}
	source := bytes.NewReader(unread)
	p.parser.Reset(source)
	startOffset := p.wholeUntil
	for source.Len()+p.parser.Buffered() > 0 {
		timeout, missing, err := readRequestTimeout(p.parser)
		p.malformed = http1.IsMessageError(err)
		if err != nil {
			p.nextEnd = p.readAhead.bytesRead + int64(max(missing, 1))
			return
		}
		p.wholeUntil = startOffset + int64(len(unread)-source.Len()-p.parser.Buffered())
		p.add(pipelinedDeadline{p.wholeUntil, p.readAhead.arrivalTime(p.wholeUntil) + timeout})
	}
}

// add adds the request that was read last.
func (p *pipelinedRequests) add(request pipelinedDeadline) {
	kept := len(p.deadlines)
	for kept > 0 && p.deadlines[kept-1].deadline >= request.deadline {
		kept--
	}
	p.deadlines = append(p.deadlines[:kept], request)
}

// readRequestTimeout reads a request with its body and returns its Request-Timeout in ms, +Inf if
// that is missing or invalid. If the request is incomplete, it returns how many bytes of a body of
// known length are missing, and an error.
func readRequestTimeout(in *bufio.Reader) (timeout float64, missing int, err error) {
	head, err := http1.ReadRequest(in, messageLimits)
	if err != nil {
		return 0, 0, err
	}
	framing, err := head.Framing(messageLimits)
	if err != nil {
		return 0, 0, err
	}
	if framing.Chunked {
		_, err = http1.ReadBody(in, framing, messageLimits)
	} else {
		var discarded int
		discarded, err = in.Discard(framing.Length)
		missing = framing.Length - discarded
	}
	if err != nil {
		return 0, missing, err
	}
	seconds, err := strconv.ParseFloat(head.Fields.Get("request-timeout"), 64)
	if err != nil || !(seconds > 0) {
		return math.Inf(1), 0, nil
	}
	return seconds * 1000, 0, nil
}
