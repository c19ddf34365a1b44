//go:build !lockorder

// Package locks holds the mutexes of the program. In ordinary builds they are those of package sync.
// With the build tag lockorder, for tests, they are checked: two locks that are taken in two orders
// are reported, and end the process, even if no goroutine had to wait.
package locks

import "sync"

// Mutex is a mutual exclusion lock.
type Mutex = sync.Mutex

// RWMutex is a reader/writer mutual exclusion lock.
type RWMutex = sync.RWMutex
