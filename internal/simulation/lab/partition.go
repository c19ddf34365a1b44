package lab

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// partitionKind tells how an address is unreachable.
type partitionKind int

const (
	partitionReset     partitionKind = iota // connections are closed, new ones are refused
	partitionBlackhole                      // data is dropped without an error; new connections time out
	partitionDelay                          // sent data is delayed until the address is healed; new connections time out
)

// partitionEnvironment is the environment of one host, in which addresses can be made unreachable for
// that host alone.
type partitionEnvironment struct {
	env.Environment
	mu          sync.Mutex
	partitioned map[string]partitionKind
	conns       map[*partitionConn]string
}

func newPartitionEnvironment(environment env.Environment) *partitionEnvironment {
	return &partitionEnvironment{Environment: environment, partitioned: map[string]partitionKind{}, conns: map[*partitionConn]string{}}
}

// partitionConn is a connection of a partitionEnvironment.
type partitionConn struct {
	net.Conn
	env      *partitionEnvironment
	mu       sync.Mutex
	dropping bool
	delaying bool
	delayed  []byte
}

var errPartitioned = errors.New("lab: address is partitioned")

// Dial implements env.Environment.
func (environment *partitionEnvironment) Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	environment.mu.Lock()
	kind, partitioned := environment.partitioned[address]
	environment.mu.Unlock()
	if partitioned && kind == partitionReset {
		return nil, errPartitioned
	}
	if partitioned {
		env.SleepContext(ctx, environment, timeout)
		return nil, errPartitioned
	}
	connection, err := environment.Environment.Dial(ctx, network, address, timeout)
	if err != nil {
		return nil, err
	}
	partitionable := &partitionConn{Conn: connection, env: environment}
	environment.mu.Lock()
	defer environment.mu.Unlock()
	if _, nowPartitioned := environment.partitioned[address]; nowPartitioned { // partitioned while dialling
		connection.Close()
		return nil, errPartitioned
	}
	environment.conns[partitionable] = address
	return partitionable, nil
}

func (connection *partitionConn) isDropping() bool {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	return connection.dropping
}

// Read implements net.Conn. Data received on a dropping connection is discarded.
func (connection *partitionConn) Read(buffer []byte) (int, error) {
	for {
		n, err := connection.Conn.Read(buffer)
		if err != nil || !connection.isDropping() {
			return n, err
		}
	}
}

// Write implements net.Conn. Data sent is delayed or discarded while the address is partitioned.
func (connection *partitionConn) Write(data []byte) (int, error) {
	connection.mu.Lock()
	if connection.delaying {
		connection.delayed = append(connection.delayed, data...)
		connection.mu.Unlock()
		return len(data), nil
	}
	connection.mu.Unlock()
	if connection.isDropping() {
		return len(data), nil
	}
	return connection.Conn.Write(data)
}

// Close implements net.Conn.
func (connection *partitionConn) Close() error {
	connection.env.mu.Lock()
	delete(connection.env.conns, connection)
	connection.env.mu.Unlock()
	return connection.Conn.Close()
}

// partition makes addresses unreachable.
func (environment *partitionEnvironment) partition(kind partitionKind, addrs ...string) {
	for _, connection := range environment.updateAddresses(addrs, func(addr string) { environment.partitioned[addr] = kind }) {
		connection.mu.Lock()
		connection.dropping, connection.delaying = kind != partitionDelay, kind == partitionDelay
		connection.mu.Unlock()
		if kind == partitionReset {
			connection.Close()
		}
	}
}

// heal makes addresses reachable again. It closes connections that dropped data, since their streams
// have gaps.
func (environment *partitionEnvironment) heal(addrs ...string) {
	for _, connection := range environment.updateAddresses(addrs, func(addr string) { delete(environment.partitioned, addr) }) {
		if connection.isDropping() {
			connection.Close()
			continue
		}
		connection.mu.Lock()
		delayed := connection.delayed
		connection.delaying, connection.delayed = false, nil
		if len(delayed) > 0 {
			connection.Conn.Write(delayed) // under the lock, so that no later write overtakes it; the reader sees a failure
		}
		connection.mu.Unlock()
	}
}

// updateAddresses calls update for each address under the lock and returns the connections to these
// addresses.
func (environment *partitionEnvironment) updateAddresses(addrs []string, update func(string)) (connections []*partitionConn) {
	environment.mu.Lock()
	defer environment.mu.Unlock()
	for _, addr := range addrs {
		update(addr)
		for connection, target := range environment.conns {
			if target == addr {
				connections = append(connections, connection)
			}
		}
	}
	return connections
}
