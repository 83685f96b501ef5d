package coordinator

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
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

// Promoter asks the platform to promote a backend server.
type Promoter interface {
	// Promote asks for a server to become the primary of its service; a nil error means that the request was accepted.
	Promote(ctx context.Context, order PromotionOrder) error
}

// PromotionOrder requests the promotion of a server to primary.
type PromotionOrder struct {
	Service group.Service
	Server  group.Server
	Holder  inventory.InstanceName
	// Token is a fencing token; it increases with every order for a service.
	Token uint64
}

// Errors that a Promoter returns.
var (
	// ErrFenced means that a higher token was already used, or that the server is not running.
	ErrFenced = errors.New("coordinator: the order was refused")
	// ErrNoResponse means that the outcome is unknown: the order may still be carried out.
	ErrNoResponse = errors.New("coordinator: the order got no answer")
)

// Config holds the settings and dependencies of a Coordinator.
type Config struct {
	Instance inventory.InstanceName
	// Address is the IP and port on which other processes reach this one.
	Address string
	// Seeds are the addresses of control processes listed in the settings.
	Seeds []string
	// RereadSeeds returns the addresses of control processes that the settings name now, or nil if they can't be read.
	RereadSeeds func() []string
	// FirstStart means that no process of the fleet has run before, so that the seeds bootstrap the replicated log.
	FirstStart bool
	DataFolder string
	// FaultTolerance is how many control processes may be lost at the same time together with their disks.
	FaultTolerance int
	// Lease is the duration of an entry's configuration lease.
	Lease time.Duration
	// AnnounceInterval is the time between two announcements of a database.
	AnnounceInterval time.Duration
	// DataCentres are the data centres that may be evacuated; any if there are none.
	DataCentres []inventory.DataCentre
	// EvacuationBound is the time after its acknowledgement in which an evacuation must be in force.
	EvacuationBound time.Duration
	DecodePolicy    func(document fleet.Document) (*policy.Policy, error)
	Connector       database.Connector
	Promoter        Promoter
	Client          *peer.Client
	Log             *log.Logger
	// Now returns the time of a clock that keeps running while the system is suspended.
	Now func() time.Time
}

// task runs on the loop and returns the effects that the state machine asks for.
type task func(now time.Time) []journal.Effect

// Limits and timeouts of the loop and the state machine.
const (
	taskQueueSize = 1024
	// maxBatch limits how many queued tasks share one disk sync.
	maxBatch = 256
	// A snapshot is taken after snapshotEntries log entries or snapshotBytes of data. The size limit is needed because
	// configurations are much larger than other entries.
	snapshotEntries = 256
	snapshotBytes   = 512 << 10
	trailingEntries = 16
	// heartbeatInterval and electionTimeout tolerate one lost packet, which costs about 200 ms, and a sync of a slow disk.
	heartbeatInterval = 50 * time.Millisecond
	electionTimeout   = 260 * time.Millisecond
)

// Coordinator runs the control role of one process: a member of the replicated log, or a standby that may become one.
type Coordinator struct {
	cfg   Config
	seeds atomic.Pointer[[]string]
	tasks chan task

	// The fields from here to dataLost are used only by the loop.
	store             *storage.Store
	machine           *journal.Machine
	applied           journal.Index
	pending           map[journal.Index]pendingProposal
	senders           map[journal.MemberID]*peerSender
	observedAddresses map[journal.MemberID]string
	group             *errgroup.Group
	// diskFailed is set when a disk operation fails and cleared when a sync succeeds.
	diskFailed bool
	// dataLost means that the contents of the data folder were lost, so that this process must not bootstrap as an initial member.
	dataLost bool

	state   atomic.Pointer[state]
	policy  atomic.Pointer[policy.Policy]
	view    atomic.Pointer[view]
	changed notifier
	leader  *leaderState
	members membershipState

	evacuationTimes evacuationTimes
	// lastLeader is the address of the leader that answered the last registration.
	lastLeader atomic.Pointer[string]
	// savedPeers are the addresses returned by the last registration, as saved on disk.
	savedPeers atomic.Pointer[[]string]
	// savePeersMu serializes the writes of savedPeers to disk.
	savePeersMu sync.Mutex
}

// view is an immutable copy of the state machine's status for readers outside the loop.
type view struct {
	self          journal.MemberID
	term          journal.Term
	leader        journal.MemberID
	leaderAddress string
	leaseUntil    time.Time
	membership    journal.Membership
	// fresh means that the log is empty and the membership is not known.
	fresh bool
	// allCommitted means that every entry of the log is committed, including the last membership change.
	allCommitted bool
	// reachableVoters is the number of voters that recently answered this leader, itself included.
	reachableVoters int
}

// errDisk is wrapped by errors of the data folder.
var errDisk = errors.New("coordinator: the disk failed")

// errReplaced means that this member was replaced, so that its data folder must be cleared.
var errReplaced = errors.New("coordinator: member replaced")

// New returns a Coordinator; Run starts it.
func New(cfg Config) *Coordinator {
	c := &Coordinator{cfg: cfg, tasks: make(chan task, taskQueueSize)}
	c.seeds.Store(&cfg.Seeds)
	c.changed.reset()
	c.view.Store(&view{})
	c.state.Store(&state{})
	c.leader = newLeaderState(c)
	c.members.standbys = make(map[journal.MemberID]standby)
	return c
}

// SetSeeds replaces the seed addresses.
func (c *Coordinator) SetSeeds(seeds []string) { c.seeds.Store(&seeds) }

// Run opens the data folder and runs the control process until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	c.group = g
	c.loadKnownPeers()
	g.Go(func() error { return c.leader.run(ctx) })
	g.Go(func() error { return c.registerLoop(ctx) })
	g.Go(func() error {
		for {
			err := c.runMember(ctx)
			switch {
			case errors.Is(err, errReplaced):
				c.cfg.Log.Warn().Msg("memberReplaced")
			case errors.Is(err, errDisk) && ctx.Err() == nil:
				c.waitAfterDiskFailure(ctx, err)
			default:
				return err
			}
		}
	})
	return g.Wait()
}

// diskRetryDelay is the time before a failed disk is tried again.
const diskRetryDelay = 500 * time.Millisecond

// waitAfterDiskFailure waits before the data folder is reopened; until then this process neither votes nor acknowledges entries.
func (c *Coordinator) waitAfterDiskFailure(ctx context.Context, err error) {
	if !c.diskFailed {
		c.diskFailed = true
		c.cfg.Log.Error().Err(err).Str("dependency", "disk").Msg("dependencyLost")
	}
	select {
	case <-ctx.Done():
	case <-time.After(diskRetryDelay):
	}
}

// runMember opens the data folder and runs the member until it stops or fails.
func (c *Coordinator) runMember(ctx context.Context) error {
	if err := c.openDataFolder(); err != nil {
		return err
	}
	err := c.runLoop(ctx)
	c.view.Store(&view{})
	c.changed.notify()
	c.failPending()
	closed := c.store.Close()
	if errors.Is(err, errReplaced) {
		c.dataLost = true
		c.savedPeers.Store(nil)
		return errors.Join(err, clearFolder(c.cfg.DataFolder))
	}
	return errors.Join(err, closed)
}

// openDataFolder reads the data folder. A corrupt folder is cleared, so that this process comes back as a new member.
func (c *Coordinator) openDataFolder() error {
	first := c.bootstrapMembership()
	self := journal.MemberID(0)
	if _, found := findByAddress(first, c.cfg.Address); found {
		self = memberIDFromAddress(c.cfg.Address)
	}
	store, persisted, err := storage.OpenWithMember(c.cfg.DataFolder, c.cfg.Instance, self)
	var damaged *storage.CorruptionError
	if errors.As(err, &damaged) {
		c.cfg.Log.Error().Err(err).Msg("journalDamaged")
		c.dataLost, self = true, 0
		if err := clearFolder(c.cfg.DataFolder); err != nil {
			return err
		}
		store, persisted, err = storage.OpenWithMember(c.cfg.DataFolder, c.cfg.Instance, 0)
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
	return c.startMachine(persisted)
}

func (c *Coordinator) startMachine(persisted journal.Persisted) error {
	restored, err := decodeState(persisted.Snapshot.Data)
	if err != nil {
		return err
	}
	c.setState(restored)
	c.applied = persisted.Snapshot.Index
	c.pending = make(map[journal.Index]pendingProposal)
	c.senders = make(map[journal.MemberID]*peerSender)
	c.observedAddresses = make(map[journal.MemberID]string)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.machine = journal.New(journal.Config{
		ID: c.store.Identity().Member, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout,
		SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes, TrailingEntries: trailingEntries, Random: random,
	}, persisted, c.cfg.Now())
	c.publishView(c.cfg.Now())
	return nil
}

// bootstrapMembership returns the initial membership, which is made of the seeds and used only on the first start of the fleet.
func (c *Coordinator) bootstrapMembership() journal.Membership {
	var first journal.Membership
	if !c.cfg.FirstStart || c.dataLost {
		return first
	}
	for _, address := range c.cfg.Seeds {
		first.Members = append(first.Members, journal.Member{
			ID: memberIDFromAddress(address), Name: inventory.InstanceName(address), Address: address,
		})
	}
	return first
}

// memberIDFromAddress derives the ID of an initial member from its address, so that all initial members agree without exchanging
// messages.
func memberIDFromAddress(address string) journal.MemberID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // A hash never fails.
	return journal.MemberID(h.Sum64()>>1 | 1)
}

func findByAddress(ms journal.Membership, address string) (journal.Member, bool) {
	for _, member := range ms.Members {
		if member.Address == address {
			return member, true
		}
	}
	return journal.Member{}, false
}

// clearFolder removes everything in a data folder.
func clearFolder(dir string) error {
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
