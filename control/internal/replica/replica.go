package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/control/internal/settings"
	"lentilwind.dev/control/internal/storage"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/timer"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// Limits of the loop.
const (
	taskQueueSize = 1024
	// maxBatch is how many queued tasks may join one that has run, to share its disk sync.
	maxBatch = 256
)

// Config is the configuration of a Replica.
type Config struct {
	Settings *settings.Settings
	Endpoint *link.Endpoint
	Timers   *timer.Service
	Events   *events.Recorder
	Log      *log.Logger
	// RandomTimeout returns the time without a leader after which a member starts an election; nil selects the journal's default.
	RandomTimeout func(random *rand.Rand, election time.Duration) time.Duration
}

// task is a function that runs on the loop and returns the effects of the state machine.
type task func(now time.Time) []journal.Effect

// Replica is one member of the replicated journal and its state machine.
type Replica struct {
	cfg   Config
	store *storage.Store
	tasks chan task
	tick  chan struct{}

	// The fields from here to bootstrapErr are used only by the loop.
	machine           *journal.Machine
	applied           journal.Index
	pending           map[journal.Index]pendingProposal
	senders           map[journal.MemberID]*peerSender
	observedAddresses map[journal.MemberID]string
	group             *errgroup.Group
	tickAt            time.Time
	tickTimer         *timer.Subscription
	// bootstrapErr stops the process: after a failed bootstrap the contents of the disk are unknown.
	bootstrapErr error

	// bootstrapWarned is used only by bootstrapFleet.
	bootstrapWarned bool

	state   atomic.Pointer[catalog.State]
	view    atomic.Pointer[view]
	changed notifier
}

var _ catalog.Ledger = (*Replica)(nil)

// Open opens the data folder and registers the message handlers; Run starts the member.
func Open(cfg Config) (*Replica, error) {
	store, persisted, err := storage.Open(cfg.Settings.DataFolder, cfg.Settings.Name)
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	r := &Replica{
		cfg:               cfg,
		store:             store,
		tasks:             make(chan task, taskQueueSize),
		tick:              make(chan struct{}, 1),
		pending:           make(map[journal.Index]pendingProposal),
		senders:           make(map[journal.MemberID]*peerSender),
		observedAddresses: make(map[journal.MemberID]string),
	}
	r.changed.reset()
	r.view.Store(&view{})
	if err := r.startMachine(persisted, time.Now()); err != nil {
		return nil, err
	}
	cfg.Endpoint.Handle(protocol.KindJournal, r.handleJournalMessage)
	cfg.Endpoint.Handle(protocol.KindMember, r.handleMemberRequest)
	return r, nil
}

// startMachine starts the state machine from the persisted state.
func (r *Replica) startMachine(persisted journal.Persisted, now time.Time) error {
	if err := r.restoreState(persisted.Snapshot); err != nil {
		return err
	}
	seed := uint64(r.store.Identity().Member)
	cfg := journal.Config{
		ID:            r.store.Identity().Member,
		Random:        rand.New(rand.NewPCG(seed, uint64(now.UnixNano()))),
		RandomTimeout: r.cfg.RandomTimeout,
	}
	r.machine = journal.New(cfg, persisted, now)
	return nil
}

func (r *Replica) restoreState(snapshot journal.Snapshot) error {
	state := &catalog.State{}
	if len(snapshot.Data) > 0 {
		var err error
		if state, err = catalog.Restore(snapshot.Data); err != nil {
			return fmt.Errorf("replica: %w", err)
		}
	}
	r.state.Store(state)
	r.applied = snapshot.Index
	return nil
}

// Run takes part in the journal until the context ends or the disk fails.
func (r *Replica) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	r.group = g
	g.Go(func() error { return r.runLoop(ctx) })
	g.Go(func() error { return r.bootstrapFleet(ctx) })
	err := g.Wait()
	if closeErr := r.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// runLoop owns the state machine: it runs queued tasks and ticks, makes the state durable with one sync per batch, and applies the
// other effects.
func (r *Replica) runLoop(ctx context.Context) error {
	r.scheduleTick(time.Now())
	for {
		var effects []journal.Effect
		select {
		case <-ctx.Done():
			return nil
		case <-r.tick:
			r.tickAt = time.Time{}
			effects = r.machine.Tick(time.Now())
		case next := <-r.tasks:
			effects = next(time.Now())
		}
		effects = append(effects, r.runQueuedTasks()...)
		if err := errors.Join(r.bootstrapErr, r.applyEffects(ctx, effects)); err != nil {
			return err
		}
		r.scheduleTick(time.Now())
	}
}

// runQueuedTasks runs the tasks that are already queued, so that they share one disk sync.
func (r *Replica) runQueuedTasks() []journal.Effect {
	var effects []journal.Effect
	for range maxBatch {
		select {
		case next := <-r.tasks:
			effects = append(effects, next(time.Now())...)
		default:
			return effects
		}
	}
	return effects
}

// scheduleTick schedules a tick at the machine's deadline, unless one is already due by then.
func (r *Replica) scheduleTick(now time.Time) {
	deadline := r.machine.Deadline()
	if !r.tickAt.IsZero() && !deadline.Before(r.tickAt) {
		return
	}
	if r.tickTimer != nil {
		r.tickTimer.Cancel()
	}
	r.tickAt = deadline
	r.tickTimer = r.cfg.Timers.After(deadline.Sub(now), func(time.Time) {
		select {
		case r.tick <- struct{}{}:
		default:
		}
	})
}

// runOnLoop runs a function on the loop and waits until it returns.
func (r *Replica) runOnLoop(ctx context.Context, run task) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) []journal.Effect {
		defer close(done)
		return run(now)
	}
	select {
	case r.tasks <- wrapped:
	case <-ctx.Done():
		return fmt.Errorf("replica: %w", ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("replica: %w", ctx.Err())
	}
}

func parseAddress(address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("replica: %w", err)
	}
	return parsed, nil
}
