package app

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"wasabidock.dev/dock/spread"
	"wasabidock.dev/dock/wasabid/conf"
)

// Run carries one daemon from its start to its end, which stop or the end of a
// part brings about. It returns nil only after an orderly end.
func Run(ctx context.Context, cfg *conf.Config, out io.Writer, stop <-chan struct{}) error {
	var d *daemon
	var log zerolog.Logger
	a := fx.New(
		module(settings{cfg: cfg, out: out}),
		fx.Provide(newActive, newWatched),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(fxStop),
		fx.Populate(&d, &log),
	)
	if err := a.Err(); err != nil {
		return errors.Wrap(err, "app: wire")
	}
	startCtx, cancel := context.WithTimeout(ctx, a.StartTimeout())
	defer cancel()
	if err := a.Start(startCtx); err != nil {
		return errors.Wrap(err, "app: start")
	}
	failure := d.wait(stop)
	d.drain(ctx)
	stopCtx, cancelStop := context.WithTimeout(ctx, a.StopTimeout())
	defer cancelStop()
	if err := a.Stop(stopCtx); err != nil && failure == nil {
		return errors.Wrap(err, "app: stop")
	}
	return failure
}

// wait returns nil once stop is closed, or the reason why the daemon must end:
// a part has ended by itself, or another process has taken the seat. The other
// parts go on, so that requests can be finished.
func (d *daemon) wait(stop <-chan struct{}) error {
	select {
	case <-stop:
		return nil
	case e := <-d.group.failed():
		d.group.taken++
		d.log.Error().Str("loop", e.name).Err(e.err).Msg("app: part ended by itself")
		return errors.Errorf("app: part %s ended: %v", e.name, e.err)
	case <-d.p.Spread.Superseded():
		d.log.Error().Msg("app: superseded by another process in the seat")
		return errors.Wrap(spread.ErrSuperseded, "app")
	case err := <-d.p.PeerSrv.Done():
		d.log.Error().Err(err).Msg("app: peers' listener ended by itself")
		return errors.Errorf("app: peers' listener ended: %v", err)
	case err := <-d.served:
		return errors.Errorf("app: callers' listener ended: %v", err)
	}
}
