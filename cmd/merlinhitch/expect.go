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
	Settings string `help:"Settings file to check instead of the settings in force." placeholder:"FILE"`
	All      bool   `help:"Print the expectations that hold too."`
	File     string `arg:"" help:"File of the expectations."`
}

func (c *expectCmd) Run() error {
	var s *settings.Settings
	var err error
	if c.Settings != "" {
		s, err = readSettings(c.Settings)
	} else {
		err = c.withAPI(func(ctx context.Context, api *settings.API) error {
			s, err = api.Get(ctx)
			return err
		})
	}
	if err != nil {
		return err
	}
	return checkExpectations(s, c.File, c.All)
}

// checkExpectations evaluates a file of expectations against settings, prints those that fail
// (with all, every one) and returns an error if any fails.
func checkExpectations(s *settings.Settings, file string, all bool) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	expectations, err := expect.Parse(f, s)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	failed := 0
	for _, answer := range expect.Check(s, expectations) {
		if !answer.Holds {
			failed++
		}
		if all || !answer.Holds {
			fmt.Println(answer)
		}
	}
	fmt.Printf("%d expectations, %d fail\n", len(expectations), failed)
	if failed > 0 {
		return errReported
	}
	return nil
}
