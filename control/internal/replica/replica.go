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

// Sizes of queues.
const (
	inputQueue = 1024
	maxBatch   = 256
)

// Config is what a replica needs.
type Config struct {
	Settings *settings.Settings
	Endpoint *link.Endpoint
	Timers   *timer.Service
	Events   *events.Recorder
	Log      *log.Logger
	// RandomTimeout draws the time to a campaign; nil stands for the journal's default.
	RandomTimeout func(random *rand.Rand, election time.Duration) time.Duration
}

// input is one thing for the loop to do; it returns the effects of the machine.
type input func(now time.Time) []journal.Effect

// Replica is one member of the journal with its state.
type Replica struct {
	cfg    Config
	store  *storage.Store
	inputs chan input
	wake   chan struct{}

	// These belong to the loop.
	machine  *journal.Machine
	applied  journal.Index
	waiters  map[journal.Index]waiter
	couriers map[journal.MemberID]*courier
	heard    map[journal.MemberID]string
	group    *errgroup.Group
	armed    time.Time
	alarm    *timer.Subscription
	// broken stops the process: what is on the disk is not known any more.
	broken error

	// warned belongs to beginFleet.
	warned bool

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
		cfg:      cfg,
		store:    store,
		inputs:   make(chan input, inputQueue),
		wake:     make(chan struct{}, 1),
		waiters:  make(map[journal.Index]waiter),
		couriers: make(map[journal.MemberID]*courier),
		heard:    make(map[journal.MemberID]string),
	}
	r.changed.reset()
	r.view.Store(&view{})
	if err := r.begin(persisted, time.Now()); err != nil {
		return nil, err
	}
	cfg.Endpoint.Handle(protocol.KindJournal, r.onJournal)
	cfg.Endpoint.Handle(protocol.KindMember, r.onMember)
	return r, nil
}

// begin starts the machine from what the disk holds.
func (r *Replica) begin(persisted journal.Persisted, now time.Time) error {
	if err := r.restore(persisted.Snapshot); err != nil {
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

func (r *Replica) restore(snapshot journal.Snapshot) error {
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
	g.Go(func() error { return r.loop(ctx) })
	g.Go(func() error { return r.beginFleet(ctx) })
	err := g.Wait()
	if closeErr := r.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// loop owns the machine: it gathers inputs, makes what they promise durable with one sync, and then acts.
func (r *Replica) loop(ctx context.Context) error {
	r.arm(time.Now())
	for {
		var effects []journal.Effect
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
			r.armed = time.Time{}
			effects = r.machine.Tick(time.Now())
		case next := <-r.inputs:
			effects = next(time.Now())
		}
		effects = append(effects, r.drain()...)
		if err := errors.Join(r.broken, r.carryOut(ctx, effects)); err != nil {
			return err
		}
		r.arm(time.Now())
	}
}

// drain runs inputs that wait already, so that they share one sync.
func (r *Replica) drain() []journal.Effect {
	var effects []journal.Effect
	for range maxBatch {
		select {
		case next := <-r.inputs:
			effects = append(effects, next(time.Now())...)
		default:
			return effects
		}
	}
	return effects
}

// arm asks the timer service for a tick at the machine's deadline, unless one comes before that anyway.
func (r *Replica) arm(now time.Time) {
	deadline := r.machine.Deadline()
	if !r.armed.IsZero() && !deadline.Before(r.armed) {
		return
	}
	if r.alarm != nil {
		r.alarm.Cancel()
	}
	r.armed = deadline
	r.alarm = r.cfg.Timers.After(deadline.Sub(now), func(time.Time) {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	})
}

// ask runs a function on the loop and waits for it.
func (r *Replica) ask(ctx context.Context, do input) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) []journal.Effect {
		defer close(done)
		return do(now)
	}
	select {
	case r.inputs <- wrapped:
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
