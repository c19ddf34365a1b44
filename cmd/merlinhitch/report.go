package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"merlinhitch/internal/observe/report"
	"merlinhitch/internal/storage/history"
)

type reportCmd struct {
	keysFlag
	Hosts   []string      `help:"Admin addresses of hosts that keep a history." placeholder:"ADDRESS,..."`
	History []string      `help:"Folders of histories, of hosts that are stopped." placeholder:"DIR,..."`
	From    string        `help:"Begin, as 2026-12-01T08:00:00Z; left out: the last hour." placeholder:"TIME"`
	To      string        `help:"End; left out: now." placeholder:"TIME"`
	Within  time.Duration `default:"5s" help:"How long a host may take to answer."`
	Out     string        `default:"report.html" help:"The page." placeholder:"FILE"`
}

func (c *reportCmd) Run() error {
	from, to, err := c.times(time.Now())
	if err != nil {
		return err
	}
	rows, hosts, silent, err := c.read(from, to)
	if err != nil {
		return err
	}
	note := ""
	if silent > 0 {
		note = fmt.Sprintf("%d did not answer, or not whole.", silent)
	}
	p, err := report.Make(rows, hosts, from, to, note)
	if err != nil {
		return err
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	if err = p.Write(f); err != nil {
		f.Close()
		return err
	}
	fmt.Printf("%s: %d hosts, %d rows. %s\n", c.Out, hosts, len(rows), note)
	return f.Close()
}

func (c *reportCmd) times(now time.Time) (from, to int64, err error) {
	end, begin := now, now.Add(-time.Hour)
	if c.To != "" {
		if end, err = time.Parse(time.RFC3339, c.To); err != nil {
			return 0, 0, err
		}
		begin = end.Add(-time.Hour)
	}
	if c.From != "" {
		if begin, err = time.Parse(time.RFC3339, c.From); err != nil {
			return 0, 0, err
		}
	}
	if !begin.Before(end) {
		return 0, 0, fmt.Errorf("report: %v is not before %v", begin, end)
	}
	return begin.Unix(), end.Unix(), nil
}

// read gathers the rows of all hosts; those that do not answer are said and counted.
func (c *reportCmd) read(from, to int64) (rows []history.Row, hosts, silent int, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	list, err := c.hosts(c.Hosts)
	if err != nil {
		return nil, 0, 0, err
	}
	defer closeAll(list)
	for _, h := range list {
		var page []history.Row
		ctx, cancel := context.WithTimeout(ctx, c.Within)
		err := h.API.Read(ctx, fmt.Sprintf("/history?from=%d&to=%d", from, to), &page)
		cancel()
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", h.Name, err)
			silent++
			continue
		}
		rows, hosts = append(rows, page...), hosts+1
	}
	for _, dir := range c.History {
		st, err := history.Open(dir)
		if err != nil {
			return nil, 0, 0, err
		}
		part, err := st.Read(from, to)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			silent++
		}
		rows, hosts = append(rows, part...), hosts+1
	}
	return rows, hosts, silent, nil
}
