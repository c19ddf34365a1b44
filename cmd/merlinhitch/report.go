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
	History []string      `help:"History directories of stopped hosts." placeholder:"DIR,..."`
	From    string        `help:"Start of the interval, such as 2026-12-01T08:00:00Z; by default, one hour before the end." placeholder:"TIME"`
	To      string        `help:"End of the interval; by default, now." placeholder:"TIME"`
	Within  time.Duration `default:"5s" help:"Timeout for each host."`
	Out     string        `default:"report.html" help:"HTML file to write." placeholder:"FILE"`
}

func (c *reportCmd) Run() error {
	from, to, err := c.parseInterval(time.Now())
	if err != nil {
		return err
	}
	rows, hosts, failedReads, err := c.readHistories(from, to)
	if err != nil {
		return err
	}
	note := ""
	if failedReads > 0 {
		note = fmt.Sprintf("%d hosts or histories could not be read completely.", failedReads)
	}
	page, err := report.Make(rows, hosts, from, to, note)
	if err != nil {
		return err
	}
	file, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	if err = page.Write(file); err != nil {
		file.Close()
		return err
	}
	fmt.Printf("%s: %d hosts, %d rows. %s\n", c.Out, hosts, len(rows), note)
	return file.Close()
}

// parseInterval returns the reported interval in seconds since 1970.
func (c *reportCmd) parseInterval(now time.Time) (from, to int64, err error) {
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
		return 0, 0, fmt.Errorf("report: start %v is not before end %v", begin, end)
	}
	return begin.Unix(), end.Unix(), nil
}

// readHistories reads the rows of all hosts and history directories. Hosts that fail to answer
// and directories that cannot be read completely are printed and counted in failedReads.
func (c *reportCmd) readHistories(from, to int64) (rows []history.Row, hosts, failedReads int, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	clients, err := c.hosts(c.Hosts)
	if err != nil {
		return nil, 0, 0, err
	}
	defer closeHosts(clients)
	for _, host := range clients {
		var hostRows []history.Row
		ctx, cancel := context.WithTimeout(ctx, c.Within)
		err := host.API.Read(ctx, fmt.Sprintf("/history?from=%d&to=%d", from, to), &hostRows)
		cancel()
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", host.Name, err)
			failedReads++
			continue
		}
		rows, hosts = append(rows, hostRows...), hosts+1
	}
	for _, dir := range c.History {
		store, err := history.Open(dir)
		if err != nil {
			return nil, 0, 0, err
		}
		storedRows, err := store.Read(from, to)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			failedReads++
		}
		rows, hosts = append(rows, storedRows...), hosts+1
	}
	return rows, hosts, failedReads, nil
}
