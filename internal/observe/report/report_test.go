package report

import (
	"bytes"
	"strings"
	"testing"

	"merlinhitch/internal/storage/history"
)

func TestPage(t *testing.T) {
	var rows []history.Row
	for at := int64(1000); at < 2000; at++ {
		lat := make([]uint64, history.Buckets)
		lat[history.Bucket(5)] = 3
		for _, class := range []string{"read", "<b>write"} {
			rows = append(rows, history.Row{At: at, Span: 1, Key: history.Key{Class: class}, Counts: history.Counts{Taken: 4, Served: 3, InAim: 2, Refused: 1, Latency: lat, Reasons: []uint64{0, 0, 0, 0, 0, 1}}})
		}
	}
	p, err := Make(rows, 2, 1000, 2000, "one did not answer")
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := p.Write(&b); err != nil {
		t.Fatal(err)
	}
	all := p.Classes[len(p.Classes)-1]
	if len(p.Pictures) != 3 || len(p.Times) > mostPoints || all.Served != 6000 || all.PartInAim != 0.5 || p.Reasons[0] != (Reason{"limit", 2000}) {
		t.Errorf("%d pictures, %d times, %+v, %+v", len(p.Pictures), len(p.Times), all, p.Reasons)
	}
	for _, bad := range []string{"<b>", "http://", "https://", "<script"} {
		if strings.Contains(b.String(), bad) {
			t.Errorf("the page has %s: it is not self-contained, or a name was not escaped", bad)
		}
	}
	if p, err := Make(nil, 0, 5, 6, ""); err != nil || len(p.Pictures) != 0 {
		t.Errorf("%+v, %v", p, err)
	}
}
