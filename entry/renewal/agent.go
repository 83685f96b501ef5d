package renewal

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/protocol"
)

// Times of renewals.
const (
	// hold is how long the leader may keep a request until something changes.
	hold = 200 * time.Millisecond
	// answerTime is allowed beside hold: a healthy leader answers within a few milliseconds, a lost packet costs about 200.
	answerTime = 250 * time.Millisecond
	// retryDelay is the pause after every known control process has failed.
	retryDelay = 50 * time.Millisecond
)

// EntryState takes in what control decides.
type EntryState interface {
	SetPolicy(next *policy.Policy)
	SetRoster(roster fleet.Roster)
	ExtendLease(until time.Time)
	Policy() *policy.Policy
	Reports() []fleet.ServerReport
	Draining() bool
}

// Config is what an agent needs.
type Config struct {
	// Entry is how this entry is known to the others.
	Entry  fleet.Entry
	Client *peer.Client
	State  EntryState
	// Decode turns a document into the policy that it describes.
	Decode func(document fleet.Document) (*policy.Policy, error)
	Log    *log.Logger
	// Now is a clock that counts suspended time.
	Now func() time.Time
}

// Agent renews the lease of one entry.
type Agent struct {
	cfg Config

	mu       sync.Mutex
	seeds    []string
	controls []string
	leader   string
	// failed holds when an address last did not answer.
	failed map[string]time.Time
	// unanswered counts the calls in a row that the leader has not answered, and abandon ends the renewal that waits for it.
	unanswered int
	abandon    context.CancelFunc

	roster fleet.RosterVersion
	lost   bool
}

// New returns an agent that first asks the seeds.
func New(cfg Config, seeds []string) *Agent {
	return &Agent{cfg: cfg, seeds: seeds, failed: make(map[string]time.Time)}
}

// SetSeeds replaces the addresses that are asked when nothing better is known.
func (a *Agent) SetSeeds(seeds []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seeds = seeds
}

// candidates returns the addresses to ask, the likely leader first and those that have failed lately last.
func (a *Agent) candidates() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []string
	if a.leader != "" {
		all = append(all, a.leader)
	}
	for _, address := range slices.Concat(a.controls, a.seeds) {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	slices.SortStableFunc(all, func(x, y string) int { return a.failed[x].Compare(a.failed[y]) })
	return all
}

// Run renews until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if a.renew(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return nil
}

// renew asks until one process answers for the leader; first directly, then by way of processes that can reach it.
func (a *Agent) renew(ctx context.Context) bool {
	for _, relay := range []bool{false, true} {
		for _, address := range a.candidates() {
			if a.ask(ctx, address, relay) {
				a.note(address)
				return true
			}
		}
	}
	if !a.lost {
		a.lost = true
		a.cfg.Log.Warn().Str("dependency", "control").Msg("dependencyLost")
	}
	return false
}

func (a *Agent) note(address string) {
	if a.lost {
		a.lost = false
		a.cfg.Log.Info().Str("dependency", "control").Str("address", address).Msg("dependencyRegained")
	}
}

// ask sends one request, and a second one to the leader that the first answer names.
func (a *Agent) ask(ctx context.Context, address string, relay bool) bool {
	err := a.send(ctx, address, relay)
	var refused *protocol.Refusal
	if errors.As(err, &refused) && refused.Leader != "" && refused.Leader != address {
		address = refused.Leader
		err = a.send(ctx, address, relay)
	}
	if err != nil {
		a.cfg.Log.Debug().Err(err).Str("address", address).Bool("relay", relay).Msg("renewalFailed")
		a.setLeader(address, false)
		return false
	}
	a.setLeader(address, !relay)
	return true
}

func (a *Agent) setLeader(address string, leads bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case leads:
		a.leader = address
	case a.leader == address:
		a.leader = ""
	}
}

// noteFailure remembers that an address has not answered, or that it has again.
func (a *Agent) noteFailure(address string, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if failed {
		a.failed[address] = a.cfg.Now()
	} else {
		delete(a.failed, address)
	}
}

func (a *Agent) send(ctx context.Context, address string, relay bool) error {
	request := fleet.RenewRequest{Roster: a.roster, Wait: hold, Reports: a.cfg.State.Reports(), Relay: relay, Entry: a.cfg.Entry}
	request.Entry.Leaving = a.cfg.State.Draining()
	if current := a.cfg.State.Policy(); current != nil {
		request.Version = current.Version
	}
	sent := a.cfg.Now()
	calling, done := context.WithTimeout(ctx, hold+answerTime)
	defer done()
	a.mu.Lock()
	a.abandon = done
	a.mu.Unlock()
	var reply fleet.RenewReply
	err := a.cfg.Client.Call(calling, address, fleet.KindRenew, request, &reply)
	a.noteFailure(address, errors.Is(err, peer.ErrUnavailable))
	if err != nil {
		return err
	}
	a.apply(sent, reply)
	return nil
}

// apply takes in what has changed and extends the lease if the newest configuration is in force here.
func (a *Agent) apply(sent time.Time, reply fleet.RenewReply) {
	if len(reply.Controls) > 0 {
		a.mu.Lock()
		a.controls = reply.Controls
		a.mu.Unlock()
	}
	if reply.Document != nil {
		next, err := a.cfg.Decode(*reply.Document)
		if err != nil {
			a.cfg.Log.Error().Err(err).Uint64("version", uint64(reply.Document.Version)).Msg("documentUnreadable")
			return
		}
		a.cfg.State.SetPolicy(next)
	}
	if reply.Roster != nil {
		a.cfg.State.SetRoster(*reply.Roster)
		a.roster = reply.Roster.Version
	}
	if current := a.cfg.State.Policy(); current != nil && current.Version >= reply.Version && reply.Version > 0 {
		a.cfg.State.ExtendLease(sent.Add(reply.Lease))
	}
}

// Call sends a request to the control leader, if one is known.
func (a *Agent) Call(ctx context.Context, attempt time.Duration, kind protocol.Kind, body, reply any) error {
	a.mu.Lock()
	leader := a.leader
	a.mu.Unlock()
	if leader == "" {
		return &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "no leader is known"}
	}
	ctx, cancel := context.WithTimeout(ctx, attempt)
	defer cancel()
	err := a.cfg.Client.Call(ctx, leader, kind, body, reply)
	a.noteCall(leader, err)
	return err
}

// maxUnanswered is how many calls in a row the leader may leave unanswered before another one is looked for.
const maxUnanswered = 2

// noteCall looks for another leader once the known one has left several calls unanswered.
func (a *Agent) noteCall(leader string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !errors.Is(err, peer.ErrUnavailable) {
		a.unanswered = 0
		return
	}
	a.unanswered++
	if a.unanswered >= maxUnanswered && a.leader == leader && a.abandon != nil {
		a.unanswered = 0
		a.abandon()
	}
}
