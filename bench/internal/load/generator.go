package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/inventory"
)

// Generator sends the requests of a configured load.
type Generator struct {
	cfg           Config
	workspaceKeys sync.Map

	completed atomic.Int64
	succeeded atomic.Int64
}

// New returns a generator; Run starts the load.
func New(cfg Config) *Generator {
	if cfg.KeyCount == 0 {
		cfg.KeyCount = DefaultKeyCount
	}
	g := &Generator{cfg: cfg}
	for _, w := range cfg.Workspaces {
		g.workspaceKeys.Store(w.Name, w.APIKey)
	}
	return g
}

// SetAPIKey sets the API key that new connections of a workspace use.
func (g *Generator) SetAPIKey(workspace inventory.WorkspaceName, key string) {
	g.workspaceKeys.Store(workspace, key)
}

func (g *Generator) apiKey(workspace inventory.WorkspaceName) string {
	value, _ := g.workspaceKeys.Load(workspace)
	key, _ := value.(string)
	return key
}

// Progress returns the number of requests that have ended and the number that succeeded.
func (g *Generator) Progress() (completed, succeeded int64) {
	return g.completed.Load(), g.succeeded.Load()
}

func (g *Generator) record(r history.Request) {
	g.completed.Add(1)
	if r.Outcome == history.OutcomeOK {
		g.succeeded.Add(1)
	}
	if g.cfg.Record != nil {
		g.cfg.Record(r)
	}
}

// Run generates the load and returns when every request has ended.
func (g *Generator) Run(ctx context.Context) error {
	start := time.Now()
	var wg sync.WaitGroup
	for i := range g.cfg.Workspaces {
		w := &g.cfg.Workspaces[i]
		wg.Go(func() { g.runWorkspace(ctx, w, start) })
	}
	if g.cfg.ProbeWorkspace != "" {
		wg.Go(func() { g.runProbes(ctx, start) })
	}
	wg.Wait()
	return ctx.Err()
}

// runWorkspace distributes the arrivals of one workspace over its sessions at random.
func (g *Generator) runWorkspace(ctx context.Context, w *Workspace, start time.Time) {
	sessions := make([]*session, max(1, w.Sessions))
	var wg sync.WaitGroup
	for i := range sessions {
		s := newSession(g, w, i)
		sessions[i] = s
		wg.Go(func() { s.run(ctx) })
	}
	rng := newRand(g.cfg.Seed, "arrivals "+string(w.Name), 0)
	w.poissonArrivals(ctx, rng, start, g.cfg.Duration, func(scheduled time.Time) {
		sessions[rng.IntN(len(sessions))].queue <- scheduled
	})
	for _, s := range sessions {
		close(s.queue)
	}
	wg.Wait()
}
