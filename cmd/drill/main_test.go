package main

import (
	"strings"
	"testing"
)

const bootLine = `boot 0 7 {"balancers":1,"request_classes":[{"name":"r","aim_ms":200,"effect":"read_like"}]}` + "\n"

func TestRun(t *testing.T) {
	tests := []struct{ name, in, want, err string }{
		{"empty input", "", "", ""},
		{"empty batch", "begin_batch 1\nend\n", "yield\n", ""},
		{"restart in one batch", "begin_batch 1\n" + bootLine + "detach 0\n" + bootLine + "hangup 0 aa\nend\n", "yield\n", ""},
		{"not running", "begin_batch 1\nhangup 0 aa\nend\n", "", "not running"},
		{"unterminated", "begin_batch 1\n", "", "no end"},
	}
	for _, tt := range tests {
		var out strings.Builder
		err := run(strings.NewReader(tt.in), &out)
		if !strings.HasSuffix(out.String(), tt.want) {
			t.Errorf("%s: output %q", tt.name, out.String())
		}
		if (err == nil) != (tt.err == "") || err != nil && !strings.Contains(err.Error(), tt.err) {
			t.Errorf("%s: error %v", tt.name, err)
		}
	}
}
