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

// skipIfShort skips long tests under -short. The race detector runs with it: it would take minutes, and
// the virtual world runs one goroutine at a time, which leaves no race to find.
func skipIfShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("long test")
	}
}

// runScenario runs a scenario and returns its outcome, failed or not.
func runScenario(t *testing.T, scenario Scenario) *Outcome {
	t.Helper()
	outcome, err := scenario.Run(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

// runPassing runs a scenario and fails the test if the scenario fails.
func runPassing(t *testing.T, scenario Scenario) *Outcome {
	t.Helper()
	outcome := runScenario(t, scenario)
	if outcome.Failure != nil {
		t.Fatalf("seed %d: %v", scenario.Seed, outcome.Failure)
	}
	return outcome
}

// passingTrail runs a scenario that must pass and returns its trail.
func passingTrail(t *testing.T, scenario Scenario) []trail.Event {
	t.Helper()
	path := t.TempDir() + "/trail.parquet"
	outcome, err := scenario.Run(context.Background(), path)
	if err != nil || outcome.Failure != nil {
		t.Fatal(err, outcome.Failure)
	}
	_, events, err := trail.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// One seed gives the same events at any GOMAXPROCS; another seed gives others.
func TestScenarioIsDeterministicAcrossGOMAXPROCS(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(before)
	var digests []uint64
	for _, procs := range []int{1, 4, 4} {
		runtime.GOMAXPROCS(procs)
		digests = append(digests, runPassing(t, DrawScenario(1, 3, 9, 12*time.Second, 120, false)).Scenario.Digest)
	}
	if digests[0] != digests[1] || digests[1] != digests[2] {
		t.Fatalf("digests of three runs of one seed differ: %x", digests)
	}
	if runScenario(t, DrawScenario(2, 3, 9, 12*time.Second, 120, false)).Scenario.Digest == digests[0] {
		t.Fatal("two seeds give the same digest")
	}
}

// digestVariable is the environment variable that makes the child process print a scenario's digest.
const digestVariable = "MERLINHITCH_PRINT_DIGEST"

// Two processes get the same digest from one seed: no process state, such as map seeds or addresses,
// leaks into the virtual world.
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
		t.Fatalf("digests of two processes differ: %v", digests)
	}
}

// hexDigest formats a digest as 16 hexadecimal digits.
func hexDigest(v uint64) string {
	const hex = "0123456789abcdef"
	digits := make([]byte, 16)
	for i := range digits {
		digits[i] = hex[v>>(60-4*i)&15]
	}
	return string(digits)
}

// Regressions for faults that exploration found, each with the seeds that showed it.
func TestExplorationRegressions(t *testing.T) {
	skipIfShort(t)
	problems := map[uint64]string{
		1:   "retired connection to a silently failed server never closed",
		48:  "attempts waiting for a connection exceeded the retry budget",
		103: "host died while its inventory connections were dropped",
		748: "commands waiting for the window outlived their connection",
	}
	for _, seed := range []uint64{1, 48, 103, 748} {
		t.Run(problems[seed], func(t *testing.T) { runPassing(t, DrawScenario(seed, 3, 9, 60*time.Second, 120, true)) })
	}
	t.Run("overtaken reservation change reported as a conflict", func(t *testing.T) {
		for _, seed := range []uint64{371, 661, 1709} {
			history, err := RunVirtualReservations(context.Background(), seed, 40, false)
			if err != nil {
				t.Fatal(err)
			}
			if violation := history.Check(); violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
		}
	})
}

// faultScenario returns a scenario with the given faults under ordinary load. It sets the seeds of faults
// that have none.
func faultScenario(seed uint64, seconds int, faults ...ScheduledFault) Scenario {
	for i := range faults {
		if faults[i].Seed == 0 {
			faults[i].Seed = seed*100 + uint64(i)
		}
	}
	return Scenario{Seed: seed, Hosts: 3, Servers: 9, Commands: 120 * seconds, Rate: 120, Faults: faults}
}

// Seeds whose runs with registrations of reservation keys showed faults must pass.
func TestProblemsFoundWithRegistrations(t *testing.T) {
	skipIfShort(t)
	for seed, problem := range map[uint64]string{
		1:  "answer late behind a read of the reservations",
		4:  "parts sent again after a fence raise the retry budget",
		26: "part of a write executed under two requests",
		24: "BUSY to a write that may have been executed in part",
	} {
		t.Run(problem, func(t *testing.T) {
			const span = 60 * time.Second
			scenario := DrawScenario(seed, 3, 9, span, 120, true)
			scenario.Faults = append(scenario.Faults, ScheduledFault{Kind: "registrations", Duration: span, Seed: seed})
			runPassing(t, scenario)
		})
	}
}

// A hall's servers restart within the deduplication window of txn-write while answers are late and
// connections break: retries must stay within the window and the deduplication group.
func TestMassRestartWithinTheDedupWindow(t *testing.T) {
	skipIfShort(t)
	repeats := 0
	for seed := range uint64(4) {
		outcome := runPassing(t, faultScenario(seed+1, 20,
			ScheduledFault{Kind: "net_late", At: 3 * time.Second, Duration: 5 * time.Second},
			ScheduledFault{Kind: "net_torn", At: 3 * time.Second, Duration: 5 * time.Second},
			ScheduledFault{Kind: "mass_restart", At: 5 * time.Second, Duration: 4 * time.Second}))
		repeats += outcome.Checker.Checks[2]
	}
	if repeats == 0 {
		t.Fatal("no retry was checked: the scenario did not cause the case")
	}
}

// Answers arrive after their attempts timed out, on connections that carry newer attempts by then.
func TestAnswersAfterAttemptTimeout(t *testing.T) {
	skipIfShort(t)
	late := 0
	for seed := range uint64(3) {
		scenario := faultScenario(seed+1, 15, ScheduledFault{Kind: "net_late", At: 2 * time.Second, Duration: 8 * time.Second}, ScheduledFault{Kind: "net_late", At: 3 * time.Second, Duration: 8 * time.Second})
		late += lateAnswers(passingTrail(t, scenario))
	}
	if late == 0 {
		t.Fatal("no answer came after its attempt's deadline: the scenario did not cause the case")
	}
}

// lateAnswers counts answers after their attempt's deadline.
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

// Hosts die in the middle of a write, so that their successors know nothing of what was sent.
func TestHostsDieWhileSending(t *testing.T) {
	skipIfShort(t)
	for seed := range uint64(4) {
		scenario := faultScenario(seed+1, 15, ScheduledFault{Kind: "host_torn", At: 2 * time.Second, Duration: 4 * time.Second},
			ScheduledFault{Kind: "host_torn", At: 5 * time.Second, Duration: 4 * time.Second})
		if !slices.ContainsFunc(passingTrail(t, scenario), func(e trail.Event) bool { return e.Kind == trail.Killed }) {
			t.Fatal("no host died: the scenario did not cause the case")
		}
	}
}

// A suspended host resumes with expired timers, and goodput recovers.
func TestStalledHostResumesWithExpiredTimers(t *testing.T) {
	skipIfShort(t)
	for seed := range uint64(3) {
		scenario := faultScenario(seed+1, 25, ScheduledFault{Kind: "host_stall", At: 3 * time.Second, Duration: 8 * time.Second}, ScheduledFault{Kind: "crash", At: 4 * time.Second, Duration: 4 * time.Second})
		outcome := runPassing(t, scenario)
		if outcome.RecoveryGoodput < minRecoveryGoodput {
			t.Fatalf("goodput after the stall: got %.3f", outcome.RecoveryGoodput)
		}
	}
}

// A forward clock jump also moves the deadlines sent to disk servers, so that an abort may be answered
// too early, which breaks rule 2. No other rule may break.
func TestClockJumpsForward(t *testing.T) {
	skipIfShort(t)
	for seed := range uint64(4) {
		outcome := runScenario(t, faultScenario(seed+1, 20, ScheduledFault{Kind: "clock_jump", At: 4 * time.Second, Duration: time.Second}, ScheduledFault{Kind: "clock_jump", At: 9 * time.Second, Duration: time.Second}))
		if outcome.Failure != nil && outcome.Failure.Kind != "rule 2" {
			t.Fatalf("seed %d: %v", seed+1, outcome.Failure)
		}
	}
}

// Events at the same virtual time run in the order in which they were scheduled, in every run.
func TestSimultaneousEventsKeepTheirOrder(t *testing.T) {
	run := func() (order []int) {
		virtual := world.New(1)
		err := virtual.Run("main", time.Second, func(process *world.Process) {
			var pending env.WaitGroup
			pending.Add(50)
			for i := range 50 {
				process.AfterFunc(time.Millisecond, func() {
					order = append(order, i)
					pending.Done()
				})
			}
			pending.Wait(process)
		})
		if err != nil {
			t.Fatal(err)
		}
		return order
	}
	first := run()
	if !slices.IsSorted(first) || !slices.Equal(first, run()) {
		t.Fatalf("simultaneous events out of order or different between runs: %v", first)
	}
}

// A run on loopback and one in the virtual world with the same options agree in issued commands and in
// goodput.
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
			t.Fatal("run without faults failed:", err, r.failureSummary())
		}
	}
	issuedCommands := func(r *Result) map[string]int {
		issued := map[string]int{}
		for key, row := range r.Checker.Stats.ByClass {
			issued[key.Class+" "+key.Plan] = row.Issued
		}
		return issued
	}
	// Compare-and-swap writes follow their reads and refused commands are sent again, so that timing may
	// change the counts a little.
	loopbackIssued, virtualIssued := issuedCommands(onLoopback), issuedCommands(inWorld)
	for key, count := range loopbackIssued {
		if difference := count - virtualIssued[key]; difference > 6 || difference < -6 {
			t.Errorf("%s: %d commands issued on loopback, %d in the virtual world", key, count, virtualIssued[key])
		}
	}
	if loopbackGoodput, virtualGoodput := onLoopback.Checker.Stats.Goodput(), inWorld.Checker.Stats.Goodput(); loopbackGoodput < 0.9 || virtualGoodput < 0.9 {
		t.Errorf("goodput without faults: %.3f on loopback, %.3f in the virtual world, want at least 0.9", loopbackGoodput, virtualGoodput)
	}
}

// Exploration finds each planted fault, reproduces the failure and shrinks its scenario. Needs the build
// tag "planted".
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
				t.Fatalf("fault not found in %d scenarios", summary.Runs)
			}
			found := summary.Failures[0]
			if again := runScenario(t, found); again.Scenario.Digest != found.Digest || again.Failure == nil || again.Failure.Kind != found.Failure.Kind {
				t.Fatalf("scenario not reproduced: got failure %v, want %v", again.Failure, found.Failure)
			}
			shrunk, err := found.Shrink(context.Background(), 30, &strings.Builder{})
			if err != nil {
				t.Fatal(err)
			}
			faultinject.Activate("")
			withoutFault := found
			withoutFault.Planted, withoutFault.Failure = "", nil
			runPassing(t, withoutFault) // the planted fault alone causes the failure
			t.Logf("seed %d, %d scenarios run: %v; shrunk from %d faults to %d, from %d commands to %d, with %d hosts", found.Seed, summary.Runs, found.Failure, len(found.Faults),
				len(shrunk.Faults), found.Commands, shrunk.Commands, shrunk.Hosts)
		})
	}
}

// Scenario files are read back unchanged; damaged files and invalid scenarios are rejected.
func TestScenarioFiles(t *testing.T) {
	scenario := DrawScenario(rand.Uint64(), 3, 9, time.Minute, 120, true)
	path := t.TempDir() + "/scene.json"
	if err := scenario.Save(path); err != nil {
		t.Fatal(err)
	}
	got, err := LoadScenario(path)
	if err != nil || got.Seed != scenario.Seed || !slices.Equal(got.Faults, scenario.Faults) {
		t.Fatal("scenario file read back:", got, err)
	}
	if err := os.WriteFile(path, []byte("{"), 0o666); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadScenario(path); err == nil {
		t.Fatal("damaged scenario file accepted")
	}
	for _, invalid := range []Scenario{{Hosts: 0, Servers: 9, Commands: 1, Rate: 1}, {Hosts: 1, Servers: 9, Commands: 1, Rate: 1, Faults: []ScheduledFault{{Kind: "earthquake"}}},
		{Hosts: 1, Servers: 9, Commands: 1, Rate: 1, Planted: faultinject.HostFaults[0] + "?"}} {
		if invalid.Planted != "" && faultinject.Enabled {
			continue
		}
		if _, err := invalid.Run(context.Background(), ""); err == nil {
			t.Fatalf("invalid scenario %+v was run", invalid)
		}
	}
}
