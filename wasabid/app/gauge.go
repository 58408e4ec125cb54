package app

import (
	"context"
	"time"

	"wasabidock.dev/dock/metric"
)

const gaugeEvery = time.Second

// gauge shows the state of the parts among the measures.
func (d *daemon) gauge(ctx context.Context) error {
	t := d.p.Timer.Every(gaugeEvery)
	defer t.Stop()
	for {
		d.setGauges()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C():
		}
	}
}

func (d *daemon) setGauges() {
	set := func(name string, v int64) { d.p.Meter.Gauge(name).Update(v) }
	set("ready", metric.BoolValue(d.unready() == ""))
	set("requests_active", d.p.Front.Active())
	set("placements_live", int64(d.p.Placer.LivePlacements()))
	if t := d.p.Tables.table(); t != nil {
		set("table_revision", int64(t.Revision()))
		_, since := d.p.Spread.Version()
		set("table_in_force_seconds", int64((d.p.Timer.Now() - since).Seconds()))
	}
	age, known := d.p.Spread.PlatformAge()
	if !known {
		age = d.p.Timer.Now()
	}
	set("platform_age_seconds", int64(age.Seconds()))
	set("instances_live", int64(len(d.p.Members.Live(d.p.Cfg.Centre()))))
	d.setHeld(set)
}

// setHeld shows what is held at engines and in the buckets.
func (d *daemon) setHeld(set func(string, int64)) {
	k := d.p.Keeper.Counts()
	set("holds_live", int64(k.Live))
	set("holds_pending_release", int64(k.Pending))
	set("holds_released", k.Released)
	set("holds_abandoned", k.Abandoned+k.Overflow)
	set("holds_swept", d.p.Sweeper.Swept())
	q := d.p.Quota.Status()
	set("limit_seat_share_ppm", q.OwnShare())
	set("limit_borrowed", q.Loans())
	set("limit_settlements_lost", q.LostSettlements())
	s := d.p.Spread.Stats()
	set("fleet_bytes_sent", s.Sent)
	set("fleet_bytes_received", s.Received)
	set("platform_reads", s.Reads)
}
