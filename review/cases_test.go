// Package review holds the cases of an independent review; REPORT.md tells them. Each test runs the
// script of a case, which starts processes on loopback for up to two minutes, and only where
// MERLINHITCH_REVIEW is set: `bash review/build.sh && MERLINHITCH_REVIEW=1 go test -count=1 ./review`.
package review

import (
	"os"
	"os/exec"
	"testing"
)

func runCase(t *testing.T, number string) {
	t.Helper()
	if os.Getenv("MERLINHITCH_REVIEW") == "" {
		t.Skip("MERLINHITCH_REVIEW is not set")
	}
	if out, err := exec.Command("bash", number+"/run.sh").CombinedOutput(); err != nil {
		t.Fatalf("case %s: %v\n%s", number, err, out)
	}
}

func TestCase1(t *testing.T) { runCase(t, "1") }

func TestCase2(t *testing.T) { runCase(t, "2") }

func TestCase3(t *testing.T) { runCase(t, "3") }
