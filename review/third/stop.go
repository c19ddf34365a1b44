package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
)

const (
	stopReads      = 14
	stopBlocks     = 256 // of a read: 1 MiB
	stopBlockSize  = 4096
	stopPathBytes  = 3_300_000 // bytes a second of the path from the gateway to its client
	stopAfter      = 100 * time.Millisecond
	stopDeadline   = 5 * time.Second        // of class bulk-read in the example settings
	stopLateBy     = 500 * time.Millisecond // STANDING: so late after its time an answer only earns nothing
	stopLogoutTime = 2800 * time.Millisecond
	stopVolume     = "vol-001"
)

// stopRead is one read of the client.
type stopRead struct {
	sentAt, endedAt time.Time
	status          byte
	whole           bool // GOOD, with the blocks that were written
	err             error
}

// playStop stops a gateway as planned, by SIGTERM, while answers are on their way to a client over a path
// of 3.3 MB a second. The client honours the request to log out: it sends no new command, and logs out once
// it has its answers, at the latest within the time that the gateway states, 3 s.
func playStop(r *run) (string, error) {
	inventory, err := r.startDisks(1, "0.2")
	if err != nil {
		return "", err
	}
	gateway, err := r.startGateway(0, inventory)
	if err != nil {
		return "", err
	}
	settings, err := r.exampleSettings(1, 1)
	if err != nil {
		return "", err
	}
	if err := r.put(gateway, settings, 0, "first settings"); err != nil {
		return "", err
	}
	if err := awaitListening(gateway.portal); err != nil {
		return "", err
	}
	if err := r.fill(gateway.portal); err != nil {
		return "", err
	}
	path, err := slowPath(gateway.portal, stopPathBytes)
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	var askedOnce sync.Once
	asked := make(chan struct{})
	client, err := dial(path, "reader", stopVolume, func() {
		askedOnce.Do(func() {
			r.notef("client: asked to log out")
			close(asked)
		})
	})
	if err != nil {
		return "", err
	}
	reads := make([]stopRead, stopReads)
	var open sync.WaitGroup
	for i := range reads {
		open.Add(1)
		reads[i].sentAt = time.Now()
		r.notef("client: read %d sent, %d blocks at %d", i, stopBlocks, i*stopBlocks)
		client.Submit(0, initiator.ReadCDB(uint64(i*stopBlocks), stopBlocks), nil, stopBlocks*stopBlockSize, func(result iscsi.Result, err error) {
			mu.Lock()
			defer mu.Unlock()
			read := &reads[i]
			read.endedAt, read.status, read.err = time.Now(), result.Status, err
			read.whole = err == nil && result.Status == scsi.Good && bytes.Equal(result.Data, stopData(i))
			r.notef("client: read %d ended after %.3f s: status %d, whole %v, error %v", i, read.endedAt.Sub(read.sentAt).Seconds(), result.Status, read.whole, err)
			open.Done()
		})
	}
	allEnded := make(chan struct{})
	go func() { open.Wait(); close(allEnded) }()
	time.Sleep(stopAfter)
	if r.trouble {
		r.notef("gateway: SIGTERM")
		gateway.stopped = true
		gateway.cmd.Process.Signal(syscall.SIGTERM)
		go func() {
			<-gateway.ended
			r.notef("gateway: ended")
		}()
	}
	select {
	case <-allEnded:
	case <-afterAsk(asked, stopLogoutTime):
	case <-time.After(stopDeadline + time.Second):
	}
	mu.Lock()
	var givenUp [stopReads]bool // by the client, which logs out on a connection that is still open
	for i := range reads {
		givenUp[i] = reads[i].endedAt.IsZero() && time.Since(reads[i].sentAt) < stopDeadline+stopLateBy
	}
	mu.Unlock()
	r.notef("client: logs out")
	loggedOut := make(chan struct{})
	go func() { client.Logout(); close(loggedOut) }()
	select {
	case <-loggedOut:
	case <-time.After(stopDeadline + time.Second):
	}
	mu.Lock()
	defer mu.Unlock()
	lost, wrong := 0, 0
	for i := range reads {
		switch read := &reads[i]; {
		case givenUp[i]:
			r.notef("read %d is not judged: its client logged out before its time was over", i)
		case read.endedAt.IsZero(), read.err != nil, read.endedAt.Sub(read.sentAt) > stopDeadline+stopLateBy:
			lost++
		case read.status == scsi.Good && !read.whole:
			wrong++
		}
	}
	if lost+wrong > 0 {
		return fmt.Sprintf("of %d reads that the gateway had taken before SIGTERM, %d got no answer within their 5 s and 0.5 s more, and %d a wrong one", stopReads, lost, wrong), nil
	}
	if r.trouble && !gateway.hasEnded() {
		r.notef("gateway: runs still")
	}
	return "", nil
}

// afterAsk fires the given time after the gate was closed.
func afterAsk(gate <-chan struct{}, wait time.Duration) <-chan struct{} {
	fired := make(chan struct{})
	go func() {
		<-gate
		time.Sleep(wait)
		close(fired)
	}()
	return fired
}

// stopData is what read number i has to return.
func stopData(i int) []byte {
	return bytes.Repeat([]byte{byte(i + 1)}, stopBlocks*stopBlockSize)
}

// fill writes the blocks that are read later, over a path of its own.
func (r *run) fill(portal string) error {
	client, err := dial(portal, "writer", stopVolume, nil)
	if err != nil {
		return err
	}
	defer client.Logout()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for i := range stopReads {
		for {
			result, err := client.Do(ctx, initiator.WriteCDB(uint64(i*stopBlocks), stopBlocks), stopData(i), 0)
			if err != nil {
				return err
			}
			if result.Status == scsi.Good {
				break
			}
			r.notef("writer: write %d has status %d, sent again", i, result.Status) // e.g. before the list has come
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// slowPath listens on loopback and leads connections to an address. What comes back from there passes at
// that many bytes a second.
func slowPath(address string, bytesPerSecond int) (string, error) {
	listener, err := net.Listen("tcp", listenerHost+":0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go lead(near, address, bytesPerSecond)
		}
	}()
	return listener.Addr().String(), nil
}

const (
	pathBuffer = 64 << 10 // bytes that the path holds
	pathPiece  = 12_000   // bytes that pass at once
	// pathCatchUp is how late a piece may be so that those behind it come sooner.
	pathCatchUp = 100 * time.Millisecond
)

// lead copies between a connection and a new one to the address.
func lead(near net.Conn, address string, bytesPerSecond int) {
	defer near.Close()
	dialer := net.Dialer{Timeout: time.Second, Control: smallReceiveBuffer}
	far, err := dialer.Dial("tcp", address)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		io.Copy(far, near)
		far.(*net.TCPConn).CloseWrite()
	}()
	next := time.Now()
	piece := make([]byte, pathPiece)
	for {
		n, err := far.Read(piece)
		if n > 0 {
			if now := time.Now(); next.Before(now.Add(-pathCatchUp)) {
				next = now // it was idle
			}
			next = next.Add(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
			time.Sleep(time.Until(next))
			if _, err := near.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// smallReceiveBuffer keeps the kernel of the path from holding what the path has not passed yet.
func smallReceiveBuffer(_, _ string, conn syscall.RawConn) (err error) {
	controlErr := conn.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, pathBuffer)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
