package soak

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"merlinhitch/internal/protocol/http1"
)

// ResponseFault is a way in which a disk server spoils its response to a request that it has run.
type ResponseFault int

const (
	shortLength          ResponseFault = iota // the body is longer than its stated length
	shortLengthInPieces                       // the same; the bytes beyond the length come a little later
	longLength                                // the body is shorter than its stated length, and the connection ends
	longLengthSilent                          // the same, and the connection stays open
	resetInBody                               // the connection is reset within a body of stated length
	resetInUnboundedBody                      // the connection is reset within a body without a length
	headWithoutEnd                            // the head never ends
	notHTTP                                   // bytes that are no response
	secondResponse                            // a whole response, and another one behind it
	responseFaultCount
)

var responseFaultNames = [responseFaultCount]string{"length too short", "length too short, in pieces", "length too long", "length too long, then silence",
	"reset in a body", "reset in a body without a length", "head without an end", "not HTTP", "second response"}

func (f ResponseFault) String() string { return responseFaultNames[f] }

const (
	// schedulerReadBufferBytes is the size of the scheduler's read buffer for a disk server: where a
	// stated length ends relative to it decides what is read at once.
	schedulerReadBufferBytes = 4 << 10
	lengthErrorBytes         = 40 // difference between stated and true length
	pieceInterval            = 2 * time.Millisecond
	// maxPieceInterval bounds how late the rest of a body may come: the scheduler can't wait for it
	// longer than this (docs/service.md, question 2).
	maxPieceInterval = 6 * time.Millisecond
	maxSilence       = 6 * time.Second // after which a silent connection is closed
)

// faultSequence draws the faults of all disk servers' responses, one kind after the other, so that a
// run of some length has each.
type faultSequence struct {
	interval  int64 // one of so many responses is faulty; 0: none
	responses atomic.Int64
}

// next returns the fault of the next response and the length that its head states; false if the
// response is sound. The lengths end well within the read buffer, just before, at and behind its end.
func (f *faultSequence) next() (fault ResponseFault, headAndBodyBytes int, faulty bool) {
	if f.interval == 0 {
		return 0, 0, false
	}
	count := f.responses.Add(1)
	if count%f.interval != 0 {
		return 0, 0, false
	}
	index := int(count / f.interval)
	ends := [...]int{schedulerReadBufferBytes / 16, schedulerReadBufferBytes - 1, schedulerReadBufferBytes, schedulerReadBufferBytes + 1, 3 * schedulerReadBufferBytes}
	return ResponseFault(index % int(responseFaultCount)), ends[index/int(responseFaultCount)%len(ends)], true
}

// responseBody returns the body that a disk server makes for a request.
func responseBody(id string, size int) string {
	return strings.Repeat(id, size/len(id)+1)[:size]
}

// respondFaulty sends a faulty response; headAndBodyBytes is where the stated length ends. It returns
// false if the connection ends.
func (s *Servers) respondFaulty(conn net.Conn, attempt *Attempt, fault ResponseFault, headAndBodyBytes int) bool {
	s.record.addResponseFault(fault)
	head := func(length int) []byte {
		response := http1.AppendResponse(nil, 200, nil, make([]byte, length))
		return response[:len(response)-length]
	}
	stated := headAndBodyBytes - len(head(headAndBodyBytes))
	switch fault {
	case shortLength:
		conn.Write(append(head(stated), responseBody(attempt.ID, stated+lengthErrorBytes)...))
		return true
	case shortLengthInPieces:
		return s.respondInPieces(conn, attempt, head(stated), stated)
	case longLength, longLengthSilent:
		conn.Write(append(head(stated), responseBody(attempt.ID, stated-lengthErrorBytes)...))
		return fault == longLengthSilent && awaitClose(conn)
	case resetInBody:
		conn.Write(append(head(stated), responseBody(attempt.ID, stated/2)...))
		resetConn(conn)
	case resetInUnboundedBody:
		conn.Write(append([]byte("HTTP/1.1 200 OK\r\n\r\n"), responseBody(attempt.ID, stated)...))
		resetConn(conn)
	case headWithoutEnd:
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"))
		return awaitClose(conn)
	case notHTTP:
		conn.Write([]byte(responseBody("\x00\xff220 ready\n", stated)))
	case secondResponse:
		s.record.setServed(attempt, stated)
		response := append(head(stated), responseBody(attempt.ID, stated)...)
		conn.Write(http1.AppendResponse(response, 200, nil, []byte("made for no request")))
		return true
	}
	return false
}

// respondInPieces sends a body beyond its stated length in two writes. If this machine delays the
// second for longer than a scheduler can wait, the connection ends instead: what was sent is whole then.
func (s *Servers) respondInPieces(conn net.Conn, attempt *Attempt, head []byte, stated int) bool {
	startedAt := time.Now()
	conn.Write(append(head, responseBody(attempt.ID, stated)...))
	time.Sleep(pieceInterval)
	if time.Since(startedAt) > maxPieceInterval {
		s.record.setServed(attempt, stated)
		return false
	}
	conn.Write([]byte(responseBody(attempt.ID, lengthErrorBytes)))
	if time.Since(startedAt) > maxPieceInterval {
		s.record.setServed(attempt, stated)
	}
	return true
}

// awaitClose waits until the peer closes the connection, for up to maxSilence; it returns false.
func awaitClose(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(maxSilence))
	var oneByte [1]byte
	conn.Read(oneByte[:])
	return false
}
