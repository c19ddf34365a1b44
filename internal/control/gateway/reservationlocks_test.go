package gateway

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/storage/reserve"
)

// lockTestTime bounds how long a test waits for goroutines that wait for each other.
const lockTestTime = 10 * time.Second

// waitUntil polls condition and reports whether it came true within lockTestTime.
func waitUntil(condition func() bool) bool {
	for startedAt := time.Now(); !condition(); time.Sleep(100 * time.Microsecond) {
		if time.Since(startedAt) > lockTestTime {
			return false
		}
	}
	return true
}

// newLockTestFrontend returns a frontend without disk servers.
func newLockTestFrontend(t *testing.T) (f *frontend, volume *settings.Volume) {
	environment := env.NewReal()
	s := settings.Example(1, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := newHost(environment, s, 0, "h0", "z0", nil, zap.NewNop())
	f = newFrontend(environment, h, newActiveSettings(s, 0), listener, zap.NewNop())
	t.Cleanup(func() {
		h.stop()
		f.abortAll()
	})
	return f, &s.Volumes[0]
}

// expiry is when requests of a test expire, ms on the frontend's clock.
func expiry(f *frontend) float64 { return env.MS(f.environment.Now() + 200*time.Millisecond) }

// A read of the reservation record that waits for a change of the settings must leave the cached
// reservations accessible: the change waits for commands that check them, so that all three would
// wait for each other for ever.
func TestReservationsAreAccessibleDuringSettingsChange(t *testing.T) {
	for name, startRead := range map[string]func(k *reservationCache, volume *settings.Volume, received func()){
		"first read": func(k *reservationCache, volume *settings.Volume, received func()) {
			k.refresh(volume, expiry(k.frontend), func(*reserve.State, error) { received() })
		},
		"next read": func(k *reservationCache, volume *settings.Volume, received func()) {
			k.mu.Lock()
			entry := k.entry(volume.Name)
			entry.reading, entry.nextWaiters = true, []*stateWaiter{k.newWaiter(expiry(k.frontend), func(*reserve.State, error) { received() })}
			k.mu.Unlock()
			k.finishRead(volume, nil, errReservationsUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, volume := newLockTestFrontend(t)
			held, release := make(chan struct{}), make(chan struct{})
			go func() { // as a command that is being submitted
				f.settingsMu.RLock()
				close(held)
				<-release
				f.settingsMu.RUnlock()
			}()
			<-held
			changed, received := make(chan struct{}), make(chan struct{})
			go func() {
				f.applySettings(f.settings.Load().Settings)
				close(changed)
			}()
			changeWaits := waitUntil(func() bool {
				if f.settingsMu.TryRLock() {
					f.settingsMu.RUnlock()
					return false
				}
				return true
			})
			go startRead(f.reservations, volume, func() { close(received) })
			accessible := changeWaits && waitUntil(func() bool {
				if !f.reservations.mu.TryLock() {
					return false
				}
				defer f.reservations.mu.Unlock()
				entry := f.reservations.entry(volume.Name)
				return entry.reading && len(entry.waiters) > 0
			})
			close(release)
			if !accessible {
				t.Fatalf("the change of the settings waits: %v, the reservations are accessible then: false", changeWaits)
			}
			f.reservations.check(volume.Name, reserve.Nexus{}, true)
			<-changed
			<-received
		})
	}
}

// A waiter for a read of the reservation record must be answered at its own expiry, even if the read
// goes on for another that has more time, or its own read has not begun.
func TestWaiterForReservationsIsAnsweredAtItsExpiry(t *testing.T) {
	f, volume := newLockTestFrontend(t)
	f.reservations.refresh(volume, env.MS(f.environment.Now()+time.Hour), func(*reserve.State, error) {})
	answered := make(chan error, 1)
	f.reservations.refresh(volume, expiry(f), func(_ *reserve.State, err error) { answered <- err })
	select {
	case err := <-answered:
		if err != errReservationsUnavailable {
			t.Errorf("got error %v, want %v", err, errReservationsUnavailable)
		}
	case <-time.After(lockTestTime):
		t.Error("the waiter was not answered at its expiry")
	}
}
