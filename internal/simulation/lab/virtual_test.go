package lab

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/faultinject"
	"merlinhitch/internal/simulation/world"
	"merlinhitch/internal/verify/trail"
)

// skipIfShort skips what the race detector would take minutes for: one goroutine at a time
// leaves it nothing to find.
func skipIfShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("long")
	}
}

func runScenario(t *testing.T, s Scenario) *Outcome {
	t.Helper()
	out, err := s.Run(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func runPassing(t *testing.T, s Scenario) *Outcome {
	t.Helper()
	out := runScenario(t, s)
	if out.Failure != nil {
		t.Fatalf("seed %d: %v", s.Seed, out.Failure)
	}
	return out
}

// passingTrail is the trail of a scene that keeps everything.
func passingTrail(t *testing.T, s Scenario) []trail.Event {
	t.Helper()
	path := t.TempDir() + "/trail.parquet"
	out, err := s.Run(context.Background(), path)
	if err != nil || out.Failure != nil {
		t.Fatal(err, out.Failure)
	}
	_, events, err := trail.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// The same seed gives the same run, event for event, whatever the machine.
func TestScenarioIsDeterministicAcrossGOMAXPROCS(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(before)
	var digests []uint64
	for _, procs := range []int{1, 4, 4} {
		runtime.GOMAXPROCS(procs)
		digests = append(digests, runPassing(t, DrawScenario(1, 3, 9, 12*time.Second, 120, false)).Scenario.Digest)
	}
	if digests[0] != digests[1] || digests[1] != digests[2] {
		t.Fatalf("three runs of one seed differ: %x", digests)
	}
	if runScenario(t, DrawScenario(2, 3, 9, 12*time.Second, 120, false)).Scenario.Digest == digests[0] {
		t.Fatal("another seed gives the same run")
	}
}

// digestVariable has the test that is named in the environment say a scene's digest.
const digestVariable = "MERLINHITCH_SAY_DIGEST"

// Two processes play one seed alike: nothing of a process reaches the world.
func TestScenarioIsDeterministicAcrossProcesses(t *testing.T) {
	skipIfShort(t)
	if os.Getenv(digestVariable) != "" {
		os.Stdout.WriteString("digest " + hexDigest(runPassing(t, DrawScenario(5, 3, 9, 8*time.Second, 120, true)).Scenario.Digest) + "\n")
		return
	}
	var digests []string
	for _, procs := range []string{"1", "4"} {
		command := exec.Command(os.Args[0], "-test.run=^TestScenarioIsDeterministicAcrossProcesses$")
		command.Env = append(os.Environ(), digestVariable+"=1", "GOMAXPROCS="+procs)
		output, err := command.CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %s", err, output)
		}
		i := strings.Index(string(output), "digest ")
		digests = append(digests, strings.Fields(string(output)[i:])[1])
	}
	if digests[0] != digests[1] || len(digests[0]) < 8 {
		t.Fatalf("two processes differ: %v", digests)
	}
}

func hexDigest(v uint64) string {
	const hex = "0123456789abcdef"
	digits := make([]byte, 16)
	for i := range digits {
		digits[i] = hex[v>>(60-4*i)&15]
	}
	return string(digits)
}

// What the exploration found in the product, each by the scene or run that showed it.
func TestExplorationRegressions(t *testing.T) {
	skipIfShort(t)
	scenes := map[uint64]string{
		1:   "a retired connection to a server that died without a word was never closed",
		48:  "attempts that waited for their connection passed the budget when they went",
		103: "a host that died while its list was cut",
		748: "commands that waited for the window never ended when their connection did",
	}
	for _, seed := range []uint64{1, 48, 103, 748} {
		t.Run(scenes[seed], func(t *testing.T) { runPassing(t, DrawScenario(seed, 3, 9, 60*time.Second, 120, true)) })
	}
	t.Run("a reservation change that others overtook was called a conflict", func(t *testing.T) {
		for _, seed := range []uint64{371, 661, 1709} {
			history, err := RunVirtualReservations(context.Background(), seed, 40, false)
			if err != nil {
				t.Fatal(err)
			}
			if verdict := history.Check(); verdict != "" {
				t.Fatalf("seed %d: %s", seed, verdict)
			}
		}
	})
}

// faultScenario is a scene of some troubles at given times, with the load of a calm day.
func faultScenario(seed uint64, seconds int, faults ...ScheduledFault) Scenario {
	for i := range faults {
		if faults[i].Seed == 0 {
			faults[i].Seed = seed*100 + uint64(i)
		}
	}
	return Scenario{Seed: seed, Hosts: 3, Servers: 9, Commands: 120 * seconds, Rate: 120, Faults: faults}
}

// A hall's servers restart inside the window in which repeats of txn-write are dropped,
// while answers are late and connections torn: the repeats that hosts then want to send
// must stay in the window and in the group.
func TestMassRestartWithinTheDedupWindow(t *testing.T) {
	skipIfShort(t)
	repeats := 0
	for seed := range uint64(4) {
		out := runPassing(t, faultScenario(seed+1, 20,
			ScheduledFault{Kind: "net_late", At: 3 * time.Second, Duration: 5 * time.Second},
			ScheduledFault{Kind: "net_torn", At: 3 * time.Second, Duration: 5 * time.Second},
			ScheduledFault{Kind: "mass_restart", At: 5 * time.Second, Duration: 4 * time.Second}))
		repeats += out.Checker.Checks[2]
	}
	if repeats == 0 {
		t.Fatal("nothing was repeated: the case was not caused")
	}
}

// Answers come long after their attempts timed out, on connections that carry newer
// ones meanwhile.
func TestAnswersAfterAttemptTimeout(t *testing.T) {
	skipIfShort(t)
	late := 0
	for seed := range uint64(3) {
		scenario := faultScenario(seed+1, 15, ScheduledFault{Kind: "net_late", At: 2 * time.Second, Duration: 8 * time.Second}, ScheduledFault{Kind: "net_late", At: 3 * time.Second, Duration: 8 * time.Second})
		late += lateAnswers(passingTrail(t, scenario))
	}
	if late == 0 {
		t.Fatal("no answer came after its attempt's time: the case was not caused")
	}
}

// lateAnswers counts answers that passed after their attempt's deadline.
func lateAnswers(events []trail.Event) (late int) {
	type key struct{ conn, tag uint32 }
	deadlines := map[key]int64{}
	for _, event := range events {
		switch attempt := (key{event.Conn, event.Tag}); event.Kind {
		case trail.Do:
			deadlines[attempt] = event.Deadline
		case trail.Answer:
			if deadline, ok := deadlines[attempt]; ok && event.Time > deadline {
				late++
			}
		}
	}
	return late
}

// Hosts end as their bytes leave: whatever was sent, nothing of it is known any more.
func TestHostsDieWhileSending(t *testing.T) {
	skipIfShort(t)
	for seed := range uint64(4) {
		scenario := faultScenario(seed+1, 15, ScheduledFault{Kind: "host_torn", At: 2 * time.Second, Duration: 4 * time.Second},
			ScheduledFault{Kind: "host_torn", At: 5 * time.Second, Duration: 4 * time.Second})
		if !slices.ContainsFunc(passingTrail(t, scenario), func(e trail.Event) bool { return e.Kind == trail.Killed }) {
			t.Fatal("no host died: the case was not caused")
		}
	}
}

// A host stands still for longer than any deadline and wakes with every timer due.
func TestStalledHostResumesWithExpiredTimers(t *testing.T) {
	skipIfShort(t)
	for seed := range uint64(3) {
		scenario := faultScenario(seed+1, 25, ScheduledFault{Kind: "host_stall", At: 3 * time.Second, Duration: 8 * time.Second}, ScheduledFault{Kind: "crash", At: 4 * time.Second, Duration: 4 * time.Second})
		out := runPassing(t, scenario)
		if out.RecoveryGoodput < minRecoveryGoodput {
			t.Fatalf("goodput %.3f after the stall", out.RecoveryGoodput)
		}
	}
}

// A clock that jumps forward by seconds takes along the deadlines that disk servers are
// told, so that an abort can be answered too early (docs/world.md). All the rest holds.
func TestClockJumpsForward(t *testing.T) {
	skipIfShort(t)
	for seed := range uint64(4) {
		out := runScenario(t, faultScenario(seed+1, 20, ScheduledFault{Kind: "clock_jump", At: 4 * time.Second, Duration: time.Second}, ScheduledFault{Kind: "clock_jump", At: 9 * time.Second, Duration: time.Second}))
		if out.Failure != nil && out.Failure.Kind != "rule 2" {
			t.Fatalf("seed %d: %v", seed+1, out.Failure)
		}
	}
}

// Events of one instant happen in the order in which they were set, in every run.
func TestSimultaneousEventsKeepTheirOrder(t *testing.T) {
	run := func() (order []int) {
		w := world.New(1)
		err := w.Run("main", time.Second, func(p *world.Process) {
			var all env.WaitGroup
			all.Add(50)
			for i := range 50 {
				p.AfterFunc(time.Millisecond, func() {
					order = append(order, i)
					all.Done()
				})
			}
			all.Wait(p)
		})
		if err != nil {
			t.Fatal(err)
		}
		return order
	}
	first := run()
	if !slices.IsSorted(first) || !slices.Equal(first, run()) {
		t.Fatalf("order of events of one instant: %v", first)
	}
}

// One scripted day in both places: what does not depend on the machine's time agrees.
func TestLoopbackAndVirtualRunsAgree(t *testing.T) {
	skipIfShort(t)
	options := Options{Seed: 3, Commands: 600, Rate: 120, Hosts: 3, Servers: 9, FaultKinds: []string{"none"}}
	newSettings := func() *settings.Settings { return SmallBlocks(settings.Example(3, 9)) }
	loopback := env.NewReal()
	onLoopback, err := runDay(context.Background(), loopback, loopbackTestbed{Environment: loopback}, newSettings(), options)
	if err != nil {
		t.Fatal(err)
	}
	virtual := world.New(3)
	var inWorld *Result
	if err := virtual.Run("lab", maxScenarioTime, func(p *world.Process) {
		inWorld, err = runDay(context.Background(), p, virtualTestbed{virtual}, newSettings(), options)
	}); err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Result{onLoopback, inWorld} {
		if err != nil || !r.OK() {
			t.Fatal("a calm day was not kept:", err, r.failureSummary())
		}
	}
	issuedCommands := func(r *Result) map[string]int {
		out := map[string]int{}
		for key, row := range r.Checker.Stats.ByClass {
			out[key.Class+" "+key.Plan] = row.Issued
		}
		return out
	}
	// A swap is asked after its read and a refusal asked again, so those may differ.
	loopbackIssued, virtualIssued := issuedCommands(onLoopback), issuedCommands(inWorld)
	for k, n := range loopbackIssued {
		if d := n - virtualIssued[k]; d > 6 || d < -6 {
			t.Errorf("%s: %d asked on sockets, %d in the world", k, n, virtualIssued[k])
		}
	}
	if g, h := onLoopback.Checker.Stats.Goodput(), inWorld.Checker.Stats.Goodput(); g < 0.9 || h < 0.9 {
		t.Errorf("goodput of a calm day: %.3f on sockets, %.3f in the world", g, h)
	}
}

// Each planted fault is found, plays again as it was, and gets smaller. Only in a build
// with the tag "planted".
func TestPlantedFaultsAreDetected(t *testing.T) {
	if !faultinject.Enabled {
		t.Skip("needs the build tag planted")
	}
	for _, name := range append(slices.Clone(faultinject.HostFaults), faultinject.RegionFaults...) {
		t.Run(name, func(t *testing.T) {
			faultinject.Activate(name)
			defer faultinject.Activate("")
			options := ExploreOptions{FirstSeed: 1, Seeds: 200, Hosts: 3, Servers: 9, Span: 30 * time.Second, Rate: 300, Swarm: true,
				Planted: name, Parallel: 4, StopAtFirst: true}
			switch {
			case slices.Contains(faultinject.RegionFaults, name):
				options.Regions, options.Hosts, options.Servers, options.Span, options.Rate = true, 4, 8, time.Minute, 120
				if name == faultinject.LeaseNoDrift {
					options.DrawScenario = leaderWithRestartingHosts
				}
			case name == faultinject.LimitMisread:
				options.Span *= 2 // a volume must stay above its limit until its burst is spent
			}
			summary, err := Explore(context.Background(), options, &strings.Builder{})
			if err != nil && len(summary.Failures) == 0 {
				t.Fatal(err)
			}
			if len(summary.Failures) == 0 {
				t.Fatalf("not found in %d scenes", summary.Runs)
			}
			found := summary.Failures[0]
			if again := runScenario(t, found); again.Scenario.Digest != found.Digest || again.Failure == nil || again.Failure.Kind != found.Failure.Kind {
				t.Fatalf("played again: %v, was %v", again.Failure, found.Failure)
			}
			shrunk, err := found.Shrink(context.Background(), 30, &strings.Builder{})
			if err != nil {
				t.Fatal(err)
			}
			faultinject.Activate("")
			withoutFault := found
			withoutFault.Planted, withoutFault.Failure = "", nil
			runPassing(t, withoutFault) // it is the fault that fails it
			t.Logf("seed %d of %d played: %v; %d troubles shrunk to %d, %d commands to %d, %d hosts", found.Seed, summary.Runs, found.Failure, len(found.Faults),
				len(shrunk.Faults), found.Commands, shrunk.Commands, shrunk.Hosts)
		})
	}
}

// A scene's file is read back as it was; another is refused with a reason.
func TestScenarioFiles(t *testing.T) {
	scenario := DrawScenario(rand.Uint64(), 3, 9, time.Minute, 120, true)
	path := t.TempDir() + "/scene.json"
	if err := scenario.Save(path); err != nil {
		t.Fatal(err)
	}
	got, err := LoadScenario(path)
	if err != nil || got.Seed != scenario.Seed || !slices.Equal(got.Faults, scenario.Faults) {
		t.Fatal("read back:", got, err)
	}
	if err := os.WriteFile(path, []byte("{"), 0o666); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadScenario(path); err == nil {
		t.Fatal("a damaged file was taken")
	}
	for _, bad := range []Scenario{{Hosts: 0, Servers: 9, Commands: 1, Rate: 1}, {Hosts: 1, Servers: 9, Commands: 1, Rate: 1, Faults: []ScheduledFault{{Kind: "earthquake"}}},
		{Hosts: 1, Servers: 9, Commands: 1, Rate: 1, Planted: faultinject.HostFaults[0] + "?"}} {
		if bad.Planted != "" && faultinject.Enabled {
			continue
		}
		if _, err := bad.Run(context.Background(), ""); err == nil {
			t.Fatalf("%+v was played", bad)
		}
	}
}
