package proxy

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// WriteMetrics writes the entry's metrics as Prometheus text.
func (p *Proxy) WriteMetrics(w io.Writer) {
	now := p.cfg.Now()
	fmt.Fprintf(w, "lentilwind_sessions %d\n", p.Sessions())
	fmt.Fprintf(w, "lentilwind_lease_left_seconds %g\n", p.leaseUntil.Load().Sub(now).Seconds())
	if current := p.Policy(); current != nil {
		fmt.Fprintf(w, "lentilwind_policy_version %d\n", current.Version)
	}
	for name, cluster := range *p.clusters.Load() {
		fmt.Fprintf(w, "lentilwind_proof_age_seconds{service=%q} %g\n", name, cluster.confirmationAge(now).Seconds())
		cluster.writeMetrics(w)
	}
	p.counters.write(w)
}

func (c *cluster) writeMetrics(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pools {
		p.mu.Lock()
		fmt.Fprintf(w, "lentilwind_connections{server=%q} %d\n", id, p.open)
		fmt.Fprintf(w, "lentilwind_connections_waiting{server=%q} %d\n", id, p.queue.Len())
		fmt.Fprintf(w, "lentilwind_server_concurrency{server=%q} %d\n", id, p.running)
		fmt.Fprintf(w, "lentilwind_server_concurrency_share{server=%q} %d\n", id, p.maxRunning)
		fmt.Fprintf(w, "lentilwind_server_concurrency_limit{server=%q} %d\n", id, p.limit(p.now()))
		serviceTime, failureRate := p.speed.current(p.now())
		fmt.Fprintf(w, "lentilwind_server_service_seconds{server=%q} %g\n", id, serviceTime.Seconds())
		fmt.Fprintf(w, "lentilwind_server_failure_ratio{server=%q} %g\n", id, failureRate)
		p.mu.Unlock()
	}
}

func (c *counters) write(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, n := range c.finished {
		fmt.Fprintf(w, "lentilwind_operations_total{consistency=%q,outcome=%q} %d\n", key.consistency, key.outcome, n)
	}
	for _, reason := range slices.Sorted(maps.Keys(c.refused)) {
		fmt.Fprintf(w, "lentilwind_refusals_total{reason=%q} %d\n", reason, c.refused[reason])
	}
	for consistency, h := range c.latency {
		total := uint64(0)
		for i, n := range h.buckets {
			total += n
			if i < len(latencyBounds) {
				fmt.Fprintf(w, "lentilwind_latency_seconds_bucket{consistency=%q,le=\"%g\"} %d\n", consistency, latencyBounds[i].Seconds(), total)
			}
		}
		fmt.Fprintf(w, "lentilwind_latency_seconds_bucket{consistency=%q,le=\"+Inf\"} %d\n", consistency, total)
		fmt.Fprintf(w, "lentilwind_latency_seconds_sum{consistency=%q} %g\n", consistency, h.sum.Seconds())
		fmt.Fprintf(w, "lentilwind_latency_seconds_count{consistency=%q} %d\n", consistency, total)
	}
}
