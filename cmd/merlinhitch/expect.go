package main

import (
	"context"
	"fmt"
	"os"

	"merlinhitch/internal/control/expect"
	"merlinhitch/internal/control/settings"
)

type expectCmd struct {
	adminFlag
	Settings string `help:"Settings to ask instead of those in force." placeholder:"FILE"`
	All      bool   `help:"Print also what holds."`
	File     string `arg:"" help:"The expectations."`
}

func (c *expectCmd) Run() error {
	var s *settings.Settings
	var err error
	if c.Settings != "" {
		s, err = readSettings(c.Settings)
	} else {
		err = c.with(func(ctx context.Context, api *settings.API) error {
			s, err = api.Get(ctx)
			return err
		})
	}
	if err != nil {
		return err
	}
	return meets(s, c.File, c.All)
}

// meets answers a file of expectations, and fails if one of them does.
func meets(s *settings.Settings, file string, all bool) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	list, err := expect.Parse(f, s)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	failed := 0
	for _, a := range expect.Check(s, list) {
		if !a.Held {
			failed++
		}
		if all || !a.Held {
			fmt.Println(a)
		}
	}
	fmt.Printf("%d expectations, %d fail\n", len(list), failed)
	if failed > 0 {
		return errSaid
	}
	return nil
}
