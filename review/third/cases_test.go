package main

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// playCase runs the script of a case. It does so only where REVIEW_CASES is set: the cases start processes,
// and fail.
func playCase(t *testing.T, number string) {
	t.Helper()
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("REVIEW_CASES is not set")
	}
	output, err := exec.Command("../" + number + "/run.sh").CombinedOutput()
	t.Logf("%s", output)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		t.Errorf("case %s exits with %d", number, exit.ExitCode())
	} else if err != nil {
		t.Error(err)
	}
}

func TestCase9(t *testing.T) { playCase(t, "9") }

func TestCase10(t *testing.T) { playCase(t, "10") }
