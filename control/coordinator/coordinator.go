package coordinator

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/control/internal/storage"
	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/policy"
)

// Promoter carries out the appointment of a primary.
type Promoter interface {
	// Promote orders that a server leads its service; a nil error means that the order was accepted.
	Promote(ctx context.Context, order PromotionOrder) error
}

// PromotionOrder is the order to appoint a primary.
type PromotionOrder struct {
	Service group.Service
	Server  group.Server
	Holder  inventory.InstanceName
	// Token rises with every order of a service.
	Token uint64
}

// Refusals of an Appointer.
var (
	// ErrFenced means that a higher token was used, or that the server is not running.
	ErrFenced = errors.New("coordinator: the order was refused")
	// ErrNoResponse means that the order may be carried out later.
	ErrNoResponse = errors.New("coordinator: the order got no answer")
)

// Config is what a coordinator needs.
type Config struct {
	Instance inventory.InstanceName
	// Address takes calls of other processes, as IP and port.
	Address string
	// Seeds are the addresses of control processes that were known when the settings were written.
	Seeds []string
	// FirstStart means that no process of the fleet has run before, so that the seeds begin the journal.
	FirstStart bool
	DataFolder string
	// FaultTolerance is how many control processes may be lost at a time with their disks.
	FaultTolerance int
	// Lease is the length of an entry's configuration lease.
	Lease time.Duration
	// AnnounceInterval is the time between two announcements of a database.
	AnnounceInterval time.Duration
	DecodePolicy     func(document fleet.Document) (*policy.Policy, error)
	Connector        database.Connector
	Promoter         Promoter
	Client           *peer.Client
	Log              *log.Logger
	// Now is a clock that counts suspended time.
	Now func() time.Time
}

// input is one thing for the loop to do; it returns the effects of the machine.
type input func(now time.Time) []journal.Effect

// Sizes and times of the loop.
const (
	inputQueue = 1024
	// maxBatch bounds the inputs that share one sync.
	maxBatch = 256
	// snapshotEntries and snapshotBytes ask for a snapshot; configurations are large beside the rest.
	snapshotEntries = 256
	snapshotBytes   = 512 << 10
	keptEntries     = 16
	// heartbeat and election allow for one lost packet, which costs about 200 ms, and for a sync of a slow disk.
	heartbeat = 50 * time.Millisecond
	election  = 260 * time.Millisecond
)

// Coordinator is one control process.
type Coordinator struct {
	cfg    Config
	seeds  atomic.Pointer[[]string]
	inputs chan input

	// These belong to the loop.
	store    *storage.Store
	machine  *journal.Machine
	applied  journal.Index
	waiters  map[journal.Index]waiter
	couriers map[journal.MemberID]*courier
	heard    map[journal.MemberID]string
	group    *errgroup.Group
	// diskFailed is true from a failure of the disk until a sync succeeds.
	diskFailed bool
	// emptied means that this process has lost what its folder held, so that it must not take part as a first member again.
	emptied bool

	state   atomic.Pointer[state]
	policy  atomic.Pointer[policy.Policy]
	view    atomic.Pointer[view]
	changed notifier
	leader  *leadership
	members membership
	// known is the leader that has answered the last registration.
	known atomic.Pointer[string]
	// contacts are the addresses that the last registration told, as kept on the disk.
	contacts atomic.Pointer[[]string]
}

// view is what others may read of the machine.
type view struct {
	self       journal.MemberID
	term       journal.Term
	leader     journal.MemberID
	address    string
	until      time.Time
	membership journal.Membership
	fresh      bool
	// settled means that everything in the journal is final, the membership included.
	settled bool
	// answering is how many voters a leader has heard lately.
	answering int
}

// errDisk is wrapped by failures of the data folder.
var errDisk = errors.New("coordinator: the disk failed")

// errReplaced means that the members have gone on without this one, so that its folder must be emptied.
var errReplaced = errors.New("coordinator: this member was replaced")

// New returns a coordinator that starts with Run.
func New(cfg Config) *Coordinator {
	c := &Coordinator{cfg: cfg, inputs: make(chan input, inputQueue)}
	c.seeds.Store(&cfg.Seeds)
	c.changed.reset()
	c.view.Store(&view{})
	c.state.Store(&state{})
	c.leader = newLeadership(c)
	c.members.standbys = make(map[journal.MemberID]standby)
	return c
}

// SetSeeds replaces the addresses of known control processes.
func (c *Coordinator) SetSeeds(seeds []string) { c.seeds.Store(&seeds) }

// Run opens the data folder and takes part until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	c.group = g
	c.loadContacts()
	g.Go(func() error { return c.leader.run(ctx) })
	g.Go(func() error { return c.register(ctx) })
	g.Go(func() error {
		for {
			err := c.takePart(ctx)
			switch {
			case errors.Is(err, errReplaced):
				c.cfg.Log.Warn().Msg("memberReplaced")
			case errors.Is(err, errDisk) && ctx.Err() == nil:
				c.diskLost(ctx, err)
			default:
				return err
			}
		}
	})
	return g.Wait()
}

// diskPause is the time between two attempts to use a disk that has failed.
const diskPause = 500 * time.Millisecond

// diskLost waits before the folder is opened again; until then this process promises nothing.
func (c *Coordinator) diskLost(ctx context.Context, err error) {
	if !c.diskFailed {
		c.diskFailed = true
		c.cfg.Log.Error().Err(err).Str("dependency", "disk").Msg("dependencyLost")
	}
	select {
	case <-ctx.Done():
	case <-time.After(diskPause):
	}
}

// takePart runs one member from the opening of its folder to its end.
func (c *Coordinator) takePart(ctx context.Context) error {
	if err := c.open(); err != nil {
		return err
	}
	err := c.loop(ctx)
	c.view.Store(&view{})
	c.changed.notify()
	c.failWaiters()
	closed := c.store.Close()
	if errors.Is(err, errReplaced) {
		c.emptied = true
		c.contacts.Store(nil)
		return errors.Join(err, emptyFolder(c.cfg.DataFolder))
	}
	return errors.Join(err, closed)
}

// open reads the data folder; a damaged one is emptied, so that this process comes back as a new member.
func (c *Coordinator) open() error {
	first := c.firstMembership()
	self := journal.MemberID(0)
	if _, found := findAddress(first, c.cfg.Address); found {
		self = memberOf(c.cfg.Address)
	}
	store, persisted, err := storage.OpenAs(c.cfg.DataFolder, c.cfg.Instance, self)
	var damaged *storage.CorruptionError
	if errors.As(err, &damaged) {
		c.cfg.Log.Error().Err(err).Msg("journalDamaged")
		c.emptied, self = true, 0
		if err := emptyFolder(c.cfg.DataFolder); err != nil {
			return err
		}
		store, persisted, err = storage.OpenAs(c.cfg.DataFolder, c.cfg.Instance, 0)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errDisk, err)
	}
	c.store = store
	fresh := persisted.HardState.Term == 0 && persisted.Snapshot.Index == 0 && len(persisted.Entries) == 0
	if fresh && self != 0 && store.Identity().Member == self {
		persisted = journal.Persisted{
			HardState: journal.HardState{Term: 1}, Snapshot: journal.Snapshot{Index: 1, Term: 1, Membership: first},
		}
		store.Save(journal.Save{HardState: persisted.HardState})
		if err := store.SaveSnapshot(journal.SaveSnapshot{Snapshot: persisted.Snapshot}); err != nil {
			return errors.Join(fmt.Errorf("%w: %w", errDisk, err), store.Close())
		}
	}
	return c.begin(persisted)
}

func (c *Coordinator) begin(persisted journal.Persisted) error {
	restored, err := decodeState(persisted.Snapshot.Data)
	if err != nil {
		return err
	}
	c.setState(restored)
	c.applied = persisted.Snapshot.Index
	c.waiters = make(map[journal.Index]waiter)
	c.couriers = make(map[journal.MemberID]*courier)
	c.heard = make(map[journal.MemberID]string)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.machine = journal.New(journal.Config{
		ID: c.store.Identity().Member, HeartbeatInterval: heartbeat, ElectionTimeout: election,
		SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes, TrailingEntries: keptEntries, Random: random,
	}, persisted, c.cfg.Now())
	c.publish(c.cfg.Now())
	return nil
}

// firstMembership is the membership with which a fleet begins: the seeds, on the very first start only.
func (c *Coordinator) firstMembership() journal.Membership {
	var first journal.Membership
	if !c.cfg.FirstStart || c.emptied {
		return first
	}
	for _, address := range c.cfg.Seeds {
		first.Members = append(first.Members, journal.Member{
			ID: memberOf(address), Name: inventory.InstanceName(address), Address: address,
		})
	}
	return first
}

// memberOf derives the id of a first member from its address, so that all first members agree without a message.
func memberOf(address string) journal.MemberID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // A hash never fails.
	return journal.MemberID(h.Sum64()>>1 | 1)
}

func findAddress(ms journal.Membership, address string) (journal.Member, bool) {
	for _, member := range ms.Members {
		if member.Address == address {
			return member, true
		}
	}
	return journal.Member{}, false
}

// emptyFolder removes what a data folder holds.
func emptyFolder(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("coordinator: %w", err)
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(dir, entry.Name())); err != nil {
			return fmt.Errorf("coordinator: %w", err)
		}
	}
	return nil
}
