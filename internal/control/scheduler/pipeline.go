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
// one again with each line until it is whole. Once no more may be kept, the requests that follow are
// dropped as they are read, and counted in refused. Used by the client's goroutine only.
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
	// refused are the requests that follow wholeUntil and have been dropped; what is buffered behind
	// wholeUntil comes after them.
	refused refusedRequests
	// searchedUntil is the stream offset up to which an incomplete head has been searched for its end.
	searchedUntil int64
	incomplete    parsedRequest // the request behind wholeUntil, if its head is whole
}

// refusedRequests are consecutive requests that were dropped, and are owed a refusal each.
type refusedRequests struct {
	count    int
	deadline float64 // earliest of their deadlines
}

// pipelinedDeadline is the deadline, ms on the loop's clock, of the request that ends at endOffset.
type pipelinedDeadline struct {
	endOffset int64
	deadline  float64
}

// consumedUntil returns the stream offset up to which requests have been consumed.
func (p *pipelinedRequests) consumedUntil() int64 {
	return p.readAhead.bytesRead - int64(p.readAhead.buffer.len()) - int64(p.in.Buffered())
}

// waiting reports whether a request has been read whole and neither consumed nor refused.
func (p *pipelinedRequests) waiting() bool {
	p.update()
	return p.wholeUntil > p.consumedUntil() || p.refused.count > p.incompleteRefused()
}

// refusedNext reports whether the next requests to be answered are refused ones.
func (p *pipelinedRequests) refusedNext() bool {
	p.update()
	return p.refused.count > 0 && p.wholeUntil <= p.consumedUntil()
}

// incompleteRefused returns 1 if the last of the refused requests has not come whole yet, 0 otherwise.
func (p *pipelinedRequests) incompleteRefused() int {
	if p.refused.count > 0 && p.readAhead.skip > 0 && !p.malformed {
		return 1
	}
	return 0
}

// takeRefused returns the number of whole requests that are refused next, and forgets them.
func (p *pipelinedRequests) takeRefused() int {
	whole := p.refused.count - p.incompleteRefused()
	p.refused.count -= whole
	return whole
}

// maxIncompleteBytes bounds what is kept of a request that is not whole yet.
const maxIncompleteBytes = maxHTTPMessageBytes

// room returns how many bytes may be read now; 0 if none, for lack of memory. Of a request
// that is not whole, reservedReadAhead may be kept if the budget is exhausted.
func (p *pipelinedRequests) room() int {
	p.update()
	limit := maxIncompleteBytes
	if p.readAhead.buffer.budget.exhausted() {
		limit = reservedReadAhead
	}
	incomplete := int(p.readAhead.bytesRead - p.wholeUntil)
	return max(limit-incomplete, min(p.readAhead.skip, readBytes), 0)
}

// earliestDeadline returns the earliest deadline of the waiting requests, ms on the loop's clock;
// +Inf if there are none.
func (p *pipelinedRequests) earliestDeadline() float64 {
	p.update()
	earliest := math.Inf(1)
	if p.refused.count > 0 {
		earliest = p.refused.deadline
	}
	if len(p.deadlines) > 0 {
		earliest = min(earliest, p.deadlines[0].deadline)
	}
	return earliest
}

// update drops the requests that have been consumed and adds those that have been read since.
func (p *pipelinedRequests) update() {
	consumed := p.consumedUntil()
	for len(p.deadlines) > 0 && p.deadlines[0].endOffset <= consumed {
		p.deadlines = p.deadlines[1:]
	}
	p.wholeUntil = max(p.wholeUntil, consumed)
	if p.malformed || p.readAhead.bytesRead == p.wholeUntil {
		return
	}
	if p.readAhead.bytesRead < p.nextEnd {
		if p.incomplete.missing > 0 && p.dropping() {
			p.incomplete.missing = int(p.nextEnd - p.readAhead.bytesRead)
			p.cutRefused(p.wholeUntil)
		}
		return
	}
	unread := p.unreadAfter(p.wholeUntil - consumed)
	searched := max(p.searchedUntil-p.wholeUntil, 0)
	if len(unread) <= messageLimits.MaxHeadBytes && searched <= int64(len(unread)) && bytes.IndexByte(unread[searched:], '\n') < 0 {
		return // a message ends with a line, or with a body of known length
	}
	p.parse(unread)
}

// unreadAfter returns the unread bytes after the first skip ones.
func (p *pipelinedRequests) unreadAfter(skip int64) []byte {
	buffered, _ := p.in.Peek(p.in.Buffered())
	if skip >= int64(len(buffered)) {
		return p.readAhead.buffer.bytes()[skip-int64(len(buffered)):]
	}
	return slices.Concat(buffered[skip:], p.readAhead.buffer.bytes())
}

// dropping reports whether whole requests are dropped. Bytes that the reader holds can't be.
func (p *pipelinedRequests) dropping() bool {
	return p.in.Buffered() == 0 && (p.refused.count > 0 || p.readAhead.full())
}

// parse adds the whole requests in unread, which begins at wholeUntil, or drops them.
func (p *pipelinedRequests) parse(unread []byte) {
	parser := parserPool.Get().(*bufio.Reader)
	defer parserPool.Put(parser)
	source := bytes.NewReader(unread)
	parser.Reset(source)
	startOffset, endOffset := p.wholeUntil, p.wholeUntil
	drop := p.dropping()
	p.incomplete, p.searchedUntil = parsedRequest{}, p.readAhead.bytesRead
	for source.Len()+parser.Buffered() > 0 {
		parsed, err := parseForTimeout(parser)
		if err != nil {
			p.incomplete, p.malformed = parsed, http1.IsMessageError(err)
			p.nextEnd = p.readAhead.bytesRead + int64(max(parsed.missing, 1))
			break
		}
		endOffset = startOffset + int64(len(unread)-source.Len()-parser.Buffered())
		if drop {
			p.refuse(parsed.timeout)
			continue
		}
		p.wholeUntil = endOffset
		p.add(pipelinedDeadline{endOffset, p.readAhead.arrivalTime(endOffset) + parsed.timeout})
	}
	if p.malformed {
		p.readAhead.skip = skipAll // the connection ends with that request
	}
	if p.incomplete.missing > 0 {
		p.searchedUntil = 0 // its end is no line
	}
	if drop {
		p.cutRefused(endOffset)
	}
}

// refuse counts a request that is dropped.
func (p *pipelinedRequests) refuse(timeout float64) {
	deadline := p.readAhead.lastArrival + timeout
	if p.refused.count == 0 {
		p.refused.deadline = deadline
	}
	p.refused.deadline = min(p.refused.deadline, deadline)
	p.refused.count++
}

// cutRefused drops the bytes from wholeUntil up to endOffset, and refuses an incomplete request of
// which only a part of a body of known length is missing.
func (p *pipelinedRequests) cutRefused(endOffset int64) {
	if p.incomplete.missing > 0 && !p.malformed {
		p.refuse(p.incomplete.timeout)
		p.readAhead.skip = p.incomplete.missing
		p.incomplete = parsedRequest{}
		endOffset = p.readAhead.bytesRead
	}
	if endOffset > p.wholeUntil {
		p.readAhead.cut(p.wholeUntil, endOffset)
	}
	p.nextEnd, p.searchedUntil = 0, p.readAhead.bytesRead
}

// add adds the request that was read last.
func (p *pipelinedRequests) add(request pipelinedDeadline) {
	kept := len(p.deadlines)
	for kept > 0 && p.deadlines[kept-1].deadline >= request.deadline {
		kept--
	}
	p.deadlines = append(p.deadlines[:kept], request)
}

// parsedRequest is what is known of a request that is parsed without being consumed.
type parsedRequest struct {
	timeout float64 // Request-Timeout, ms; +Inf if that is missing or invalid
	missing int     // bytes that are missing of a body of known length
}

// parseForTimeout reads a request with its body. If the request is incomplete or invalid, it returns
// what it knows and an error.
func parseForTimeout(in *bufio.Reader) (parsedRequest, error) {
	head, err := http1.ReadRequest(in, messageLimits)
	if err != nil {
		return parsedRequest{}, err
	}
	framing, err := head.Framing(messageLimits)
	if err != nil {
		return parsedRequest{}, err
	}
	parsed := parsedRequest{timeout: math.Inf(1)}
	if seconds, err := strconv.ParseFloat(head.Fields.Get("request-timeout"), 64); err == nil && seconds > 0 {
		parsed.timeout = seconds * 1000
	}
	if framing.Chunked {
		return parsed, http1.CopyBody(in, framing, messageLimits, func([]byte) error { return nil })
	}
	discarded, err := in.Discard(framing.Length)
	parsed.missing = framing.Length - discarded
	return parsed, err
}
