package lab

import (
	"context"
	"time"

	"merlinhitch/settings"
	"merlinhitch/world"

	"go.uber.org/zap"
)

// VirtualDay plays a day in a virtual world.
func VirtualDay(ctx context.Context, opt Options) (res *Result, w *world.World, err error) {
	if opt.Log == nil {
		opt.Log = zap.NewNop()
	}
	set := opt.Settings
	if set == nil {
		set = settings.Example(opt.Hosts, opt.Servers)
	}
	w = world.New(opt.Seed)
	var failed error
	err = w.Run("lab", 10*time.Minute, func(p *world.Process) {
		res, failed = playDay(ctx, p, virtual{w}, set, opt)
	})
	if err == nil {
		err = failed
	}
	return res, w, err
}
