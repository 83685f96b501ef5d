package command

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/metric"

	"lentilwind.dev/control/internal/renewal"
	"lentilwind.dev/control/internal/replica"
)

// gauge is a metric whose value is read whenever the metrics are collected.
type gauge struct {
	name, description string
	read              func() int64
}

// registerGauges registers the gauges of a control process.
func registerGauges(meter metric.Meter, r *replica.Replica, leases *renewal.Service) error {
	var errs []error
	for _, g := range []gauge{
		{"control.term", "Term of the journal.", func() int64 {
			term, _ := r.Leading()
			return int64(term)
		}},
		{"control.leading", "1 while this process leads.", func() int64 {
			if _, leads := r.Leading(); leads {
				return 1
			}
			return 0
		}},
		{"control.applied", "Journal index of the last applied command.", func() int64 { return int64(r.State().Index()) }},
		{"control.revision", "Accepted revision of the inventory.", func() int64 { return int64(r.State().Revision()) }},
		{"control.leases", "Entries that this leader has granted a configuration lease.", func() int64 {
			return int64(len(leases.Leases()))
		}},
	} {
		_, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(g.read())
				return nil
			}))
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
