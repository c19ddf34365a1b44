package expect_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/control/expect"
	"merlinhitch/internal/control/settings"
)

func check(t *testing.T, s *settings.Settings, text string) []expect.Result {
	t.Helper()
	list, err := expect.Parse(strings.NewReader(text), s)
	if err != nil {
		t.Fatal(err)
	}
	return expect.Check(s, list)
}

// Expectations of every kind, each with what is found if it does not hold.
func TestCheck(t *testing.T) {
	s := settings.Example(3, 9)
	s.Volumes[1].Copies, s.Volumes[1].CopyLayout = 2, []int{2, 5}
	layout := s.Volumes[1].Layout
	for _, test := range []struct{ text, found string }{
		{fmt.Sprintf("volume vol-001 write goes to n%d, n%d", layout[0], layout[1]), ""},
		{"volume vol-001 write goes to n8", fmt.Sprintf("n%d, n%d", layout[0], layout[1])},
		{fmt.Sprintf("volume vol-000 read goes to m0 when n%d draining, m0 ready at shard %d", s.Volumes[0].Layout[0], s.Volumes[0].Layout[0]), ""},
		{fmt.Sprintf("volume vol-000 read goes to n0 when n%d draining, m0 ready at shard %d", s.Volumes[0].Layout[0], s.Volumes[0].Layout[0]), "m0"},
		{fmt.Sprintf("volume vol-000 write is refused when n%d gone", s.Volumes[0].Layout[0]), ""},
		{"volume vol-000 write is refused", "n0"},
		{fmt.Sprintf("volume vol-000 write goes to n0 when n%d gone", s.Volumes[0].Layout[0]), "a refusal"},
		{"volume vol-001 write is class txn-write", ""},
		{"volume vol-000 write is class txn-write", "claim-write"},
		{"volume vol-001 read of 65536 bytes is class card-read", ""},
		{"volume vol-001 read of 65537 bytes is class card-read", "bulk-read"},
		{"plan basico at 8 times its rate gets at most 40 and others lose none", ""},
		{"plan basico at 16 times its rate gets at most 40 and others lose none", ""},
		{"plan basico at 16 times its rate gets at most 20 and others lose none", "40.0 units a second of basico, 0 of "},
		{"plan normal at 8 times its rate gets at most 40 and others lose none", "80.0 units a second of normal"},
		{"hall hall-a lost keeps volume vol-001", ""},
		{"hall hall-a lost keeps every volume", " more without a node"},
	} {
		got := check(t, s, test.text)
		if len(got) != 1 || got[0].Holds != (test.found == "") || !strings.Contains(got[0].Found, test.found) {
			t.Errorf("%+v, want %q", got, test.found)
		}
	}
}

// Faults of syntax and unknown names are reported with their line.
func TestParseFaults(t *testing.T) {
	s := settings.Example(3, 9)
	for text, reason := range map[string]string{
		"volume vol-999 read goes to n0":                                         `there is no volume "vol-999"`,
		"volume vol-000 reed goes to n0":                                         "unknown operation",
		"volume vol-000 read goes n0":                                            `got "n0", want "to"`,
		"volume vol-000 read goes to":                                            "node name is missing",
		"volume vol-000 read goes to n0 n1":                                      `unexpected "n1" at the end`,
		"volume vol-000 read goes to n0 when n99 draining":                       "there is no node",
		"volume vol-000 read goes to n0 when m ready at shard 99":                "there is no shard 99",
		"volume vol-000 read goes to n0 when n0 asleep":                          "want ready, draining or gone",
		"volume vol-000 read of x bytes goes to n0":                              "is not a number",
		"plan ouro at 8 times its rate gets at most 4 and others lose none":      "there is no plan",
		"plan basico at 1000 times its rate gets at most 4 and others lose none": "times is not above 0",
		"hall hall-z lost keeps every volume":                                    "there is no hall",
		"node n0 is well":                                                        "begins with",
	} {
		_, err := expect.Parse(strings.NewReader("# a remark\n\n"+text+"\n"), s)
		var faults *settings.FaultsError
		if !errors.As(err, &faults) || len(faults.Faults) != 1 || faults.Faults[0].Path != "line 3" || !strings.Contains(faults.Faults[0].Reason, reason) {
			t.Errorf("%s: %v", text, err)
		}
	}
	if _, err := expect.Parse(strings.NewReader(strings.Repeat("x", 5000)), s); err == nil {
		t.Error("a line over the limit was accepted")
	}
}

// largeExample returns settings with 400 volumes over 47 nodes and 500 expectations that hold.
func largeExample() (*settings.Settings, string) {
	s := settings.Example(12, 47)
	for len(s.Volumes) < 400 {
		v := s.Volumes[len(s.Volumes)%188]
		v.Name = fmt.Sprintf("vol-%03d", len(s.Volumes))
		s.Volumes = append(s.Volumes, v)
	}
	s.Volumes = s.Volumes[:400]
	var b strings.Builder
	for i := range 400 {
		v := &s.Volumes[i]
		seen := map[int]bool{}
		var nodes []string
		for _, shard := range v.Layout {
			if !seen[shard] {
				nodes = append(nodes, expect.NodeName(shard))
			}
			seen[shard] = true
		}
		fmt.Fprintf(&b, "volume %s read goes to %s\n", v.Name, strings.Join(nodes, ", "))
		if i%4 == 0 {
			shard := v.Layout[0]
			fmt.Fprintf(&b, "volume %s write goes to %s when n%d draining, m%d ready at shard %d\n", v.Name,
				strings.Join(append([]string{fmt.Sprintf("m%d", shard)}, nodes[1:]...), ", "), shard, shard, shard)
		}
	}
	return s, b.String()
}

// A changed layout fails exactly the expectations of its volume, with one line each.
func TestChangedLayoutsFailTheirExpectations(t *testing.T) {
	s, text := largeExample()
	started := time.Now()
	for _, result := range check(t, s, text) {
		if !result.Holds {
			t.Fatal(result)
		}
	}
	t.Logf("500 expectations over 47 nodes and 400 volumes in %v", time.Since(started).Round(time.Millisecond))
	changed := *s
	changed.Volumes = append([]settings.Volume(nil), s.Volumes...)
	for i := range 10 {
		changed.Volumes[i*40].Layout = []int{(s.Volumes[i*40].Layout[0] + 20) % 47}
	}
	failed := 0
	for _, result := range check(t, &changed, text) {
		touched := false
		for i := range 10 {
			touched = touched || result.Volume == s.Volumes[i*40].Name
		}
		if result.Holds == touched {
			t.Errorf("%v", result)
		}
		if !result.Holds {
			failed++
			if line := result.String(); strings.Contains(line, "\n") || !strings.Contains(line, result.Volume) || !strings.Contains(line, "found n") {
				t.Errorf("%q", line)
			}
		}
	}
	t.Logf("%d failed for 10 changed volumes, such as: %v", failed, check(t, &changed, text)[0])
}

func BenchmarkCheck500(b *testing.B) {
	s, text := largeExample()
	list, err := expect.Parse(strings.NewReader(text), s)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		expect.Check(s, list)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("volume vol-000 read goes to n0, n1 when n1 draining, m ready at shard 1")
	f.Add("plan basico at 8 times its rate gets at most 40 and others lose none\nhall hall-a lost keeps every volume")
	f.Add("volume vol-000 write of 1e9 bytes is refused")
	s := settings.Example(1, 2)
	f.Fuzz(func(t *testing.T, text string) {
		list, err := expect.Parse(strings.NewReader(text), s)
		if err != nil {
			return
		}
		if len(list) > 3 { // each takes some time to check
			list = list[:3]
		}
		for _, a := range expect.Check(s, list) {
			if strings.Count(a.String(), "\n") > 0 {
				t.Fatalf("%q", a.String())
			}
		}
	})
}

func TestExampleFile(t *testing.T) {
	f, err := os.Open("testdata/example.expect")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s := settings.Example(3, 9)
	list, err := expect.Parse(f, s)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range expect.Check(s, list) {
		if !a.Holds {
			t.Error(a)
		}
	}
}
