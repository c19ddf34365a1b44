// Package report makes one self-contained HTML page of history: charts and the tables that
// they are drawn from. It reads rows that its caller has gathered and judges nothing.
package report

import (
	"encoding/base64"
	"fmt"
	"html/template"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"merlinhitch/internal/observe/chart"
	"merlinhitch/internal/storage/history"
	"merlinhitch/policy"
)

// Picture is a chart in the page.
type Picture struct {
	Title string
	Data  template.URL
}

// Line is a row of a table.
type Line struct {
	Name                                  string
	Taken, Served, InAim, Refused, Failed uint64
	P50, P99, P999                        float64 // ms
	PartInAim, PartRefused                float64
}

// Page is all that the template shows.
type Page struct {
	Title, From, To string
	Hosts           int
	Note            string
	Pictures        []Picture
	Classes, Times  []Line
	Reasons         []Reason
}

// Reason is a count of refusals and failures.
type Reason struct {
	Name string
	N    uint64
}

// mostPoints bounds the points of a chart and the lines of the table of times.
const mostPoints = 120

// Make builds a page of the rows of some hosts between two times, in s since 1970.
func Make(rows []history.Row, hosts int, from, to int64, note string) (*Page, error) {
	span := int64(1)
	for _, r := range rows {
		span = max(span, r.Span)
	}
	for (to-from)/span > mostPoints {
		span *= 2
	}
	p := &Page{Title: "merlinhitch, what was served", From: clock(from), To: clock(to), Hosts: hosts, Note: note}
	byClass := map[string][]history.Row{}
	for _, r := range rows {
		byClass[r.Class] = append(byClass[r.Class], r)
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		p.Classes = append(p.Classes, line(class, history.Total(byClass[class])))
	}
	total := history.Total(rows)
	p.Classes = append(p.Classes, line("all", total))
	for i, n := range total.Reasons {
		if n > 0 {
			p.Reasons = append(p.Reasons, Reason{policy.Reason(i).String(), n})
		}
	}
	slices.SortFunc(p.Reasons, func(a, b Reason) int { return int(b.N) - int(a.N) })
	all := slices.Clone(rows)
	for i := range all {
		all[i].Key = history.Key{}
	}
	times := history.Coarser(all, span)
	for _, r := range times {
		p.Times = append(p.Times, line(clock(r.At), r.Counts))
	}
	return p, p.draw(byClass, times, span, from)
}

func clock(at int64) string { return time.Unix(at, 0).UTC().Format("2006-01-02 15:04:05") }

func line(name string, c history.Counts) Line {
	l := Line{Name: name, Taken: c.Taken, Served: c.Served, InAim: c.InAim, Refused: c.Refused, Failed: c.Failed,
		P50: c.Quantile(0.5), P99: c.Quantile(0.99), P999: c.Quantile(0.999)}
	if ended := float64(c.Served + c.Refused + c.Failed); ended > 0 {
		l.PartInAim, l.PartRefused = float64(c.InAim)/ended, float64(c.Refused)/ended
	}
	return l
}

// draw makes the pictures.
func (p *Page) draw(byClass map[string][]history.Row, times []history.Row, span, from int64) error {
	dir, err := os.MkdirTemp("", "report-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	over := func(name string, rows []history.Row, f func(c *history.Counts) float64) chart.Series {
		s := chart.Series{Name: name}
		for i := range rows {
			s.X, s.Y = append(s.X, float64(rows[i].At-from)), append(s.Y, f(&rows[i].Counts))
		}
		return s
	}
	each := func(n uint64) float64 { return float64(n) / float64(span) }
	var served []chart.Series
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		rows := slices.Clone(byClass[class])
		for i := range rows {
			rows[i].Key = history.Key{}
		}
		served = append(served, over(class, history.Coarser(rows, span), func(c *history.Counts) float64 { return each(c.InAim) }))
	}
	for _, x := range []struct {
		title, y string
		series   []chart.Series
	}{
		{"Served in aim, by class", "requests a second", served},
		{"Ends", "requests a second", []chart.Series{over("served", times, func(c *history.Counts) float64 { return each(c.Served) }),
			over("refused", times, func(c *history.Counts) float64 { return each(c.Refused) }), over("failed", times, func(c *history.Counts) float64 { return each(c.Failed) })}},
		{"Latency of what was served", "ms", []chart.Series{over("p50", times, func(c *history.Counts) float64 { return c.Quantile(0.5) }),
			over("p99", times, func(c *history.Counts) float64 { return c.Quantile(0.99) }), over("p99.9", times, func(c *history.Counts) float64 { return c.Quantile(0.999) })}},
	} {
		if len(times) == 0 {
			continue
		}
		file := filepath.Join(dir, "chart.png")
		if err := chart.Lines(file, x.title, "s since "+p.From, x.y, x.series...); err != nil {
			return err
		}
		b, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		p.Pictures = append(p.Pictures, Picture{x.title, template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(b))})
	}
	return nil
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{"part": func(f float64) string { return fmt.Sprintf("%.3f", f) },
	"ms": func(f float64) string { return fmt.Sprintf("%.1f", f) }}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}img{max-width:100%}
</style></head><body><h1>{{.Title}}</h1><p>{{.From}} to {{.To}} UTC, {{.Hosts}} hosts.{{if .Note}} {{.Note}}{{end}}</p>
{{range .Pictures}}<h2>{{.Title}}</h2><img alt="{{.Title}}" src="{{.Data}}">{{end}}
{{define "lines"}}<tr><th></th><th>taken</th><th>served</th><th>in aim</th><th>refused</th><th>failed</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range .}}<tr><td>{{.Name}}</td><td>{{.Taken}}</td><td>{{.Served}}</td><td>{{part .PartInAim}}</td><td>{{part .PartRefused}}</td><td>{{.Failed}}</td><td>{{ms .P50}}</td><td>{{ms .P99}}</td><td>{{ms .P999}}</td></tr>{{end}}{{end}}
<h2>By class</h2><table>{{template "lines" .Classes}}</table>
<h2>Refused and failed, by reason</h2><table>{{range .Reasons}}<tr><td>{{.Name}}</td><td>{{.N}}</td></tr>{{else}}<tr><td>none</td></tr>{{end}}</table>
<h2>By time</h2><table>{{template "lines" .Times}}</table></body></html>
`))

// Write writes the page.
func (p *Page) Write(w io.Writer) error { return page.Execute(w, p) }
