package main

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// playCase runs the script of a case. It does so only where REVIEW_CASES is set: the cases start
// processes, take up to two minutes and fail.
func playCase(t *testing.T, number string) {
	t.Helper()
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("REVIEW_CASES is not set")
	}
	out, err := exec.Command("../" + number + "/run.sh").CombinedOutput()
	t.Logf("%s", out)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		t.Errorf("case %s exits with %d", number, exit.ExitCode())
	} else if err != nil {
		t.Error(err)
	}
}

func TestCase6(t *testing.T) { playCase(t, "6") }

func TestCase7(t *testing.T) { playCase(t, "7") }

func TestCase8(t *testing.T) { playCase(t, "8") }

func TestInventoryStartedAnew(t *testing.T) { playCase(t, "second/started-anew") }
