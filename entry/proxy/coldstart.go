package proxy

import (
	"context"
	"errors"
	"time"

	"lentilwind.dev/lentilwind/coldstart"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/quota"
)

// errCold means that a cold database gets no more statements now. Its text crosses entries in a result's detail.
var errCold = errors.New("proxy: the database is cold and gets no more work now")

// admitCold admits one statement to a database that may be cold. The wait for it is bounded.
func (p *Proxy) admitCold(pool *pool, maxWait time.Duration) error {
	if !pool.isCold() {
		return nil
	}
	if _, bounded := p.coldLimits(pool.serverName()); !bounded {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	if p.cfg.Admission.Acquire(ctx, coldstart.Account(pool.serverName()), quota.Request{}) != nil {
		return errCold
	}
	return nil
}

// coldLimits returns the limits of a cold database, and false if it has none.
func (p *Proxy) coldLimits(server group.Server) (quota.Limits, bool) {
	current := p.policy.Load()
	if current == nil {
		return quota.Limits{}, false
	}
	for name, c := range *p.clusters.Load() {
		service := current.Services[name]
		if service == nil || service.ColdRate <= 0 {
			continue
		}
		if pool := c.pool(server); pool != nil && pool.isCold() {
			return coldstart.Limits(service.ColdRate), true
		}
	}
	return quota.Limits{}, false
}

func (p *pool) isCold() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server.Cold
}
