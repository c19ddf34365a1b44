package lab

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"merlinhitch/internal/protocol/iscsi"
)

// meanRegistrationInterval is the mean time between two registrations of reservation keys.
const meanRegistrationInterval = 100 * time.Millisecond

// registrations makes initiators register and unregister reservation keys, each on a random volume
// through a random host. Nothing is reserved, so every command stays permitted, but each change
// raises the fence at the volume's disk servers, which then refuse attempts of the other hosts.
func registrations(d *dayRun, rng *rand.Rand, duration time.Duration) {
	endAt := d.fleet.Environment.Now() + duration
	var register func()
	register = func() {
		if d.fleet.Environment.Now() >= endAt || d.clients.stopping.Load() {
			return
		}
		paths := d.clients.paths[rng.IntN(len(d.clients.paths))]
		path, key := paths[rng.IntN(len(paths))], rng.Uint64N(2) // 0 unregisters
		d.clients.inFlight.Go(d.fleet.Environment, func() { path.register(key) })
		d.fleet.afterFunc(time.Duration(rng.ExpFloat64()*float64(meanRegistrationInterval)), register)
	}
	register()
}

// register sends PERSISTENT RESERVE OUT with REGISTER AND IGNORE EXISTING KEY (SPC-4 section 6.14).
// It does not wait for the response.
func (path *clientPath) register(key uint64) {
	client := path.session()
	if client == nil {
		return
	}
	const listBytes = 24
	parameters := make([]byte, listBytes)
	binary.BigEndian.PutUint64(parameters[8:], key)
	client.Submit(0, []byte{0x5f, serviceActions[stepRegister], 0, 0, 0, 0, 0, 0, listBytes, 0}, parameters, 0, func(iscsi.Result, error) {})
}
