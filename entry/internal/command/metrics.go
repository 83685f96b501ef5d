package command

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/lentilwind/group"
)

// registerPoolMetrics registers the gauges of the connection pools.
func (e *entry) registerPoolMetrics() error {
	for _, gauge := range []struct {
		name, help string
		value      func(pool.Usage) int
	}{
		{"lentilwind_pool_open", "Open connections to a server.", func(u pool.Usage) int { return u.Open }},
		{"lentilwind_pool_idle", "Connections without a transaction.", func(u pool.Usage) int { return u.Idle }},
		{"lentilwind_pool_waiting", "Transactions that wait for a connection.", func(u pool.Usage) int { return u.Waiting }},
	} {
		_, err := e.metrics.Meter.Int64ObservableGauge(gauge.name, metric.WithDescription(gauge.help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				e.pools.Each(func(server group.Server, p *pool.Pool) {
					o.Observe(int64(gauge.value(p.Usage())), metric.WithAttributes(attribute.String("server", string(server))))
				})
				return nil
			}))
		if err != nil {
			return fmt.Errorf("command: %w", err)
		}
	}
	return nil
}
