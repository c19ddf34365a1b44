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

// pairRounds is the number of measurements of each pair, of which the median is printed.
const pairRounds = 3

// BenchTLS measures the cost of TLS between host and disk servers: it measures two gateways
// alternately in one process, one without and one with TLS, with disk servers that answer
// immediately.
func BenchTLS(options BenchOptions, out io.Writer) error {
	keyOptions, dir, err := makeBenchCredentials()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	plain, closeClear, err := startBenchGateway(nil)
	if err != nil {
		return err
	}
	defer closeClear()
	encrypted, closeSealed, err := startBenchGateway(keyOptions)
	if err != nil {
		return err
	}
	defer closeSealed()
	plain.name, encrypted.name = "in clear", "over TLS"
	return compareGateways(options, plain, encrypted, out)
}

// compareGateways measures two gateways at all points, and at half of the rate that the second
// reaches with 64 connections and 8 commands outstanding on each.
func compareGateways(options BenchOptions, plain, other *benchEndpoint, out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintf(tw, "| conns\t| out\t| %s op/s\t| %s op/s\t| ratio\t| p50/p99/p99.9 ms %s\t| %s\t| p99 ratio\t| cpu us/op %s, %s\t|\n", plain.name, other.name, plain.name, other.name, plain.name, other.name)
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, connections := range options.Connections {
		for _, outstanding := range options.Outstanding {
			if err := comparePoint(tw, plain, other, connections, outstanding, 0, options); err != nil {
				return err
			}
		}
	}
	best, err := measure(other, 64, 8, 0, options)
	if err != nil {
		return err
	}
	fmt.Fprintf(tw, "| 64\t| half load, %.0f op/s\t| \t| \t| \t| \t| \t| \t| \t|\n", best.Rate/2)
	if err := comparePoint(tw, plain, other, 64, 0, best.Rate/2, options); err != nil {
		return err
	}
	return tw.Flush()
}

// comparePoint measures two endpoints alternately and prints the pair with the median ratio of
// rates.
func comparePoint(w io.Writer, first, second *benchEndpoint, connections, outstanding int, rate float64, options BenchOptions) error {
	type pair struct{ first, second *Measurement }
	var pairs []pair
	for range pairRounds {
		firstPoint, err := measure(first, connections, outstanding, rate, options)
		if err != nil {
			return err
		}
		secondPoint, err := measure(second, connections, outstanding, rate, options)
		if err != nil {
			return err
		}
		pairs = append(pairs, pair{firstPoint, secondPoint})
	}
	slices.SortFunc(pairs, func(x, y pair) int {
		if x.second.Rate/x.first.Rate < y.second.Rate/y.first.Rate {
			return -1
		}
		return 1
	})
	median := pairs[len(pairs)/2]
	note := ""
	if n := median.first.Failed + median.second.Failed; n > 0 {
		note = fmt.Sprintf(" (%d not GOOD)", n)
	}
	_, err := fmt.Fprintf(w, "| %d\t| %d\t| %.0f\t| %.0f%s\t| %.2f\t| %s\t| %s\t| %.2f\t| %.1f, %.1f\t|\n", connections, outstanding, median.first.Rate, median.second.Rate, note, median.second.Rate/median.first.Rate,
		formatQuantiles(median.first), formatQuantiles(median.second), p99Micros(median.second)/p99Micros(median.first), median.first.CPUMicros, median.second.CPUMicros)
	return err
}

// makeBenchCredentials issues keys to a host and its disk servers in a temporary folder, which the
// caller removes.
func makeBenchCredentials() (*benchGatewayOptions, string, error) {
	dir, err := os.MkdirTemp("", "bench-keys-")
	if err != nil {
		return nil, "", err
	}
	authority, err := keys.Init(filepath.Join(dir, "authority"), time.Now)
	var credentials [2]*keys.Credentials
	for i, name := range []string{"host", "disks"} {
		if err == nil {
			_, err = authority.Issue(name, keys.RoleMachine, time.Hour, nil, filepath.Join(dir, name))
		}
		if err == nil {
			credentials[i], err = keys.LoadCredentials(filepath.Join(dir, name), time.Now)
		}
	}
	if err != nil {
		os.RemoveAll(dir)
		return nil, "", err
	}
	return &benchGatewayOptions{hostKeys: credentials[0], diskKeys: credentials[1]}, dir, nil
}
