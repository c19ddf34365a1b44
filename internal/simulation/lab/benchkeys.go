package lab

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"merlinhitch/internal/control/keys"
)

// pairRounds is how often each pair is measured; the median of the ratios is shown.
const pairRounds = 3

// BenchTLS measures what keys between host and disk servers cost: two gateways, one in
// clear and one over TLS, before servers that answer at once, in turn and in one run.
func BenchTLS(opt BenchOptions, out io.Writer) error {
	k, dir, err := makeBenchCredentials()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	clear, closeClear, err := startBenchGateway(nil)
	if err != nil {
		return err
	}
	defer closeClear()
	sealed, closeSealed, err := startBenchGateway(k)
	if err != nil {
		return err
	}
	defer closeSealed()
	clear.name, sealed.name = "in clear", "over TLS"
	return compareGateways(opt, clear, sealed, out)
}

// compareGateways measures two gateways at all points and at half of the second's best load.
func compareGateways(opt BenchOptions, plain, other *benchEndpoint, out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintf(tw, "| conns\t| out\t| %s op/s\t| %s op/s\t| ratio\t| p50/p99/p99.9 ms %s\t| %s\t| p99 ratio\t| cpu us/op %s, %s\t|\n", plain.name, other.name, plain.name, other.name, plain.name, other.name)
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, conns := range opt.Connections {
		for _, depth := range opt.Outstanding {
			if err := comparePoint(tw, plain, other, conns, depth, 0, opt); err != nil {
				return err
			}
		}
	}
	most, err := measure(other, 64, 8, 0, opt)
	if err != nil {
		return err
	}
	fmt.Fprintf(tw, "| 64\t| half load, %.0f op/s\t| \t| \t| \t| \t| \t| \t| \t|\n", most.Rate/2)
	if err := comparePoint(tw, plain, other, 64, 0, most.Rate/2, opt); err != nil {
		return err
	}
	return tw.Flush()
}

// comparePoint measures two subjects in turn and prints the pair whose ratio of rates is the
// median.
func comparePoint(w io.Writer, a, b *benchEndpoint, conns, depth int, rate float64, opt BenchOptions) error {
	type pair struct{ a, b *Measurement }
	var list []pair
	for range pairRounds {
		x, err := measure(a, conns, depth, rate, opt)
		if err != nil {
			return err
		}
		y, err := measure(b, conns, depth, rate, opt)
		if err != nil {
			return err
		}
		list = append(list, pair{x, y})
	}
	slices.SortFunc(list, func(x, y pair) int {
		if x.b.Rate/x.a.Rate < y.b.Rate/y.a.Rate {
			return -1
		}
		return 1
	})
	m := list[len(list)/2]
	note := ""
	if n := m.a.Failed + m.b.Failed; n > 0 {
		note = fmt.Sprintf(" (%d not GOOD)", n)
	}
	_, err := fmt.Fprintf(w, "| %d\t| %d\t| %.0f\t| %.0f%s\t| %.2f\t| %s\t| %s\t| %.2f\t| %.1f, %.1f\t|\n", conns, depth, m.a.Rate, m.b.Rate, note, m.b.Rate/m.a.Rate,
		formatQuantiles(m.a), formatQuantiles(m.b), p99Micros(m.b)/p99Micros(m.a), m.a.CPUMicros, m.b.CPUMicros)
	return err
}

func makeBenchCredentials() (*benchGatewayOptions, string, error) {
	dir, err := os.MkdirTemp("", "bench-keys-")
	if err != nil {
		return nil, "", err
	}
	a, err := keys.Init(filepath.Join(dir, "authority"), time.Now)
	var held [2]*keys.Credentials
	for i, name := range []string{"host", "disks"} {
		if err == nil {
			_, err = a.Issue(name, keys.RoleMachine, time.Hour, nil, filepath.Join(dir, name))
		}
		if err == nil {
			held[i], err = keys.LoadCredentials(filepath.Join(dir, name), time.Now)
		}
	}
	if err != nil {
		os.RemoveAll(dir)
		return nil, "", err
	}
	return &benchGatewayOptions{hostKeys: held[0], diskKeys: held[1]}, dir, nil
}
