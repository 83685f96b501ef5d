package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/inventory"
)

// Generator is a load that runs or has run.
type Generator struct {
	cfg  Config
	keys sync.Map

	completed atomic.Int64
	ok        atomic.Int64
}

// New returns a load that starts with Run.
func New(cfg Config) *Generator {
	if cfg.KeyCount == 0 {
		cfg.KeyCount = DefaultKeyCount
	}
	l := &Generator{cfg: cfg}
	for _, w := range cfg.Workspaces {
		l.keys.Store(w.Name, w.APIKey)
	}
	return l
}

// SetAPIKey changes the key with which the callers of a workspace connect from now on.
func (l *Generator) SetAPIKey(workspace inventory.WorkspaceName, key string) {
	l.keys.Store(workspace, key)
}

func (l *Generator) key(workspace inventory.WorkspaceName) string {
	key, _ := l.keys.Load(workspace)
	text, _ := key.(string)
	return text
}

// Progress returns how many requests have ended, and how many of them well.
func (l *Generator) Progress() (completed, ok int64) { return l.completed.Load(), l.ok.Load() }

func (l *Generator) record(r history.Request) {
	l.completed.Add(1)
	if r.Outcome == history.OutcomeOK {
		l.ok.Add(1)
	}
	if l.cfg.Record != nil {
		l.cfg.Record(r)
	}
}

// Run offers the load and returns once every request has ended.
func (l *Generator) Run(ctx context.Context) error {
	start := time.Now()
	var wg sync.WaitGroup
	for i := range l.cfg.Workspaces {
		w := &l.cfg.Workspaces[i]
		wg.Go(func() { l.offer(ctx, w, start) })
	}
	if l.cfg.ProbeWorkspace != "" {
		wg.Go(func() { l.probe(ctx, start) })
	}
	wg.Wait()
	return ctx.Err()
}

// offer sends the arrivals of one workspace to its sessions.
func (l *Generator) offer(ctx context.Context, w *Workspace, start time.Time) {
	sessions := make([]*session, max(1, w.Sessions))
	var wg sync.WaitGroup
	for i := range sessions {
		s := newSession(l, w, i)
		sessions[i] = s
		wg.Go(func() { s.run(ctx) })
	}
	rng := random(l.cfg.Seed, "arrivals "+string(w.Name), 0)
	w.arrivals(ctx, rng, start, l.cfg.Duration, func(scheduled time.Time) {
		sessions[rng.IntN(len(sessions))].queue <- scheduled
	})
	for _, s := range sessions {
		close(s.queue)
	}
	wg.Wait()
}
