package metrics

import (
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Set holds the metrics of one process.
type Set struct {
	// Meter creates instruments.
	Meter metric.Meter
	// Handler serves the metrics in the Prometheus format.
	Handler http.Handler
}

// New returns an empty set for a program.
func New(program string) (*Set, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return &Set{
		Meter:   provider.Meter(program),
		Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}
