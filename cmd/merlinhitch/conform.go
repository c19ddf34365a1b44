package main

import (
	"context"
	"os"
	"os/signal"

	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/verify/conform"
)

type conformCmd struct {
	Portal string `arg:"" help:"Address of the target: HOST:PORT."`
	Target string `arg:"" help:"Target name. The first blocks of its logical unit are overwritten."`
	Name   string `default:"iqn.2026-11.example.client:conform" help:"Initiator name."`
	User   string `help:"CHAP name."`
	Secret string `env:"MERLINHITCH_SECRET" help:"CHAP secret."`
}

func (c *conformCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	cfg := initiator.Config{Environment: env.NewReal(), Addr: c.Portal, Name: c.Name, Target: c.Target, ISID: iscsi.ISID{0x80, 2}, Params: initiator.DefaultParams(), LoginTime: apiTimeout}
	if c.User != "" {
		cfg.Chap = &iscsi.Credentials{User: c.User, Secret: c.Secret}
	}
	rows, err := conform.Run(ctx, func(ctx context.Context, initiatorIndex int) (*initiator.Client, error) {
		cfg.ISID[5] = byte(initiatorIndex)
		return initiator.Dial(ctx, cfg)
	})
	if printErr := conform.Print(os.Stdout, rows); printErr != nil {
		return printErr
	}
	if err != nil {
		return err
	}
	for _, row := range rows {
		if row.Verdict == conform.Fail {
			return errReported
		}
	}
	return nil
}
