package caller

import (
	"context"
	"fmt"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"lentilwind.dev/entry/internal/outcome"
)

// Counters counts the requests of callers by outcome.
type Counters struct {
	Requests     atomic.Int64
	ReplicaReads atomic.Int64
	PrimaryReads atomic.Int64
	Writes       atomic.Int64
	Retries      atomic.Int64
	KeyFailures  atomic.Int64
	Cancels      atomic.Int64
	SlowCallers  atomic.Int64
	failures     [maxReasons]atomic.Int64
}

// maxReasons is the capacity for failure counters; outcome.Table must not be longer.
const maxReasons = 64

func (c *Counters) countFailure(reason outcome.Reason) {
	for i := range outcome.Table {
		if outcome.Table[i].Reason == reason {
			c.failures[i].Add(1)
			return
		}
	}
}

// Failures returns the number of requests that failed for a reason.
func (c *Counters) Failures(reason outcome.Reason) int64 {
	for i := range outcome.Table {
		if outcome.Table[i].Reason == reason {
			return c.failures[i].Load()
		}
	}
	return 0
}

// RegisterMetrics exports the counters and the number of connected callers as metrics.
func (s *Server) RegisterMetrics(meter metric.Meter) error {
	counters := []struct {
		name, help string
		value      *atomic.Int64
	}{
		{"lentilwind_requests", "Requests of callers.", &s.Counters.Requests},
		{"lentilwind_replica_reads", "Reads that a replica served.", &s.Counters.ReplicaReads},
		{"lentilwind_primary_reads", "Reads that a primary served.", &s.Counters.PrimaryReads},
		{"lentilwind_writes", "Writes that were acknowledged.", &s.Counters.Writes},
		{"lentilwind_retries", "Requests that were tried again.", &s.Counters.Retries},
		{"lentilwind_key_failures", "Connections refused for their key.", &s.Counters.KeyFailures},
		{"lentilwind_cancels", "Cancel requests that found their statement.", &s.Counters.Cancels},
		{"lentilwind_slow_callers", "Callers closed because they did not take their answer.", &s.Counters.SlowCallers},
	}
	for _, counter := range counters {
		_, err := meter.Int64ObservableCounter(counter.name, metric.WithDescription(counter.help),
			metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
				observer.Observe(counter.value.Load())
				return nil
			}))
		if err != nil {
			return fmt.Errorf("caller: %w", err)
		}
	}
	return s.registerFailures(meter)
}

func (s *Server) registerFailures(meter metric.Meter) error {
	_, err := meter.Int64ObservableCounter("lentilwind_failures", metric.WithDescription("Requests that failed, by reason."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for i := range outcome.Table {
				row := &outcome.Table[i]
				observer.Observe(s.Counters.failures[i].Load(), metric.WithAttributes(
					attribute.String("reason", string(row.Reason)), attribute.String("state", string(row.SQLState)),
				))
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	_, err = meter.Int64ObservableGauge("lentilwind_callers", metric.WithDescription("Connected callers."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(s.callers.Load())
			return nil
		}))
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	return nil
}
