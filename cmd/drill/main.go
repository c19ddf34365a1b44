// Command drill runs scheduler instances for a simulator: it reads batches of events in the
// protocol of package wire from standard input and writes the instances' actions to
// standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"merlinhitch/internal/wire"
	"merlinhitch/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	instances := make(map[int]policy.Scheduler)
	for {
		batch, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, ev := range batch.Events {
			if err := handleEvent(instances, w, batch.Now, ev); err != nil {
				return err
			}
		}
		if err := w.End(); err != nil {
			return err
		}
	}
}

// handleEvent starts or stops an instance, or passes it an event and prints its actions.
func handleEvent(instances map[int]policy.Scheduler, w *wire.Writer, now float64, ev wire.Event) error {
	switch {
	case ev.Boot != nil:
		instances[ev.Instance] = policy.New(*ev.Boot, ev.Seed)
	case ev.Stop:
		delete(instances, ev.Instance)
	case instances[ev.Instance] == nil:
		return fmt.Errorf("event for instance %d, which is not running", ev.Instance)
	default:
		for _, a := range instances[ev.Instance].Handle(now, ev.Event) {
			w.Action(ev.Instance, a)
		}
	}
	return nil
}
