package soak

import (
	"math/rand/v2"
	"net"
	"time"
)

// DiscoveryFault is a way in which a discovery agent answers a call late or not at all.
type DiscoveryFault int

const (
	lateHead    DiscoveryFault = iota // the response begins late
	lateMessage                       // the response begins at once, its first message is late
	callRefused                       // status 503
	callReset                         // the connection is reset
	discoveryFaultCount
)

var discoveryFaultNames = [discoveryFaultCount]string{"late head", "late message", "status 503", "reset"}

func (f DiscoveryFault) String() string { return discoveryFaultNames[f] }

// discoveryFaultSequences have the faults of the calls to an agent, in turn. The agents of schedulers have the
// one or the other: an agent that answers some calls in one way and some in another is heard by a scheduler that
// waits long enough for one of them.
var discoveryFaultSequences = [...][]DiscoveryFault{
	{lateHead, callRefused, lateHead, callReset, lateHead},
	{lateMessage, callReset, lateMessage, callRefused, lateMessage},
}

// Bounds of the delay of discovery's answers. The upper one leaves time for a watch to be found silent and
// for a call that is refused within maxSilenceDetection, and within maxMoveTime.
const (
	minAnswerDelay = 410 * time.Millisecond
	maxAnswerDelay = 3300 * time.Millisecond
)

// DrawSlowDiscovery makes discovery slow and crowded, by a delay that is drawn from the seed.
func (o *Options) DrawSlowDiscovery() {
	rng := rand.New(rand.NewPCG(o.Seed, 97))
	o.AnswerDelay = minAnswerDelay + time.Duration(rng.Int64N(int64(maxAnswerDelay-minAnswerDelay)))
}

// One of so many servers drains at each end of the watches.
const drainedFraction = 10

// drainAfterWatchEnd is the time from the end of the watches to a drain that they would have told of.
const drainAfterWatchEnd = 200 * time.Millisecond

// addSlowDiscovery makes all agents slow, on every other seed from the start on, and ends the open watches
// some times after that. Each time some servers begin to drain, and do so to the end of the run: a scheduler
// that is told of nothing any more goes on sending to them after maxSilenceDetection.
func (g *faultGenerator) addSlowDiscovery() {
	delay := g.options.AnswerDelay
	if delay == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(g.options.Seed, 96))
	duration := float64(g.options.Duration)
	start := time.Duration(0)
	if g.options.Seed%2 == 0 {
		start = time.Duration(0.2 * rng.Float64() * duration)
	}
	g.addFault(start, "discovery answers calls late: "+delay.Round(time.Millisecond).String(), func(r *Run) {
		for _, agent := range r.currentAgents() {
			agent.SetAnswerDelay(delay)
		}
	})
	for range 3 {
		at := start + time.Duration((0.05+0.25*rng.Float64())*duration)
		drained := rng.Perm(g.options.Servers)[:max(g.options.Servers/drainedFraction, 1)]
		silent := rng.IntN(2) == 0
		g.addFault(at, "watches of the slow discovery end", func(r *Run) {
			for _, agent := range r.currentAgents() {
				if silent {
					agent.SilenceWatches()
				} else {
					agent.ResetWatches()
				}
			}
		})
		g.addFault(at+drainAfterWatchEnd, "servers drain for good", func(r *Run) { r.Directory.SetHealth(drained, "leaving") })
	}
}

// SetAnswerDelay makes the agent answer calls late or not at all from now on; 0 ends that.
func (a *Agent) SetAnswerDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answerDelay = delay
}

// hasOpenWatchLocked reports whether changes are written to a watch at once.
func (a *Agent) hasOpenWatchLocked() bool {
	for _, watch := range a.watches {
		if !watch.silent {
			return true
		}
	}
	return false
}

// beginAnswer writes the head of the response to a call, as late as the agent is slow. It returns false if the
// call gets no further answer.
func (a *Agent) beginAnswer(conn net.Conn) bool {
	fault, delay := a.nextFault()
	writeHead := func() { conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) }
	if delay == 0 {
		writeHead()
		return true
	}
	answerAt := a.record.Now() + delay
	isDue := func() bool { return a.record.Now() >= answerAt }
	switch fault {
	case callRefused:
		conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
		return false
	case callReset:
		resetConn(conn)
		return false
	case lateMessage:
		writeHead()
		return a.waitFor(conn, isDue)
	}
	if !a.waitFor(conn, isDue) {
		return false
	}
	writeHead()
	return true
}

// nextFault returns how the next call is answered, and counts that; a delay of 0 stands for a sound answer.
func (a *Agent) nextFault() (fault DiscoveryFault, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answerDelay == 0 {
		return 0, 0
	}
	sequence := discoveryFaultSequences[a.scheduler%len(discoveryFaultSequences)]
	fault = sequence[a.spoiltAnswers%len(sequence)]
	a.spoiltAnswers++
	a.record.addDiscoveryFault(fault)
	return fault, a.answerDelay
}

func (r *Record) addDiscoveryFault(fault DiscoveryFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.DiscoveryFaults[fault]++
}

// checkDiscoveryFaults checks that the run has tried each kind of fault of discovery's answers.
func (c *checker) checkDiscoveryFaults() {
	if !c.rules.AllDiscoveryFaults {
		return
	}
	for fault, count := range c.record.DiscoveryFaults {
		if count == 0 {
			c.addViolation("untried", c.record.Now(), -1, "", "no call to discovery was answered in this way: "+DiscoveryFault(fault).String())
		}
	}
}
