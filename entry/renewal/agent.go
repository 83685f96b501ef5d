package renewal

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/evacuation"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/protocol"
)

// Time limits of renewals.
const (
	// maxHold is how long the leader may hold a renewal until something changes (long polling).
	maxHold = 200 * time.Millisecond
	// answerMargin is the time allowed in addition to maxHold. A healthy leader answers within a few milliseconds; a lost packet costs
	// about 200.
	answerMargin = 250 * time.Millisecond
	// retryDelay is the delay after all known control processes have failed.
	retryDelay = 50 * time.Millisecond
	// rereadInterval is the time without control after which the settings are read again, and then the time between two readings.
	rereadInterval = 2 * time.Second
)

// EntryState is the state of the entry that control updates and the entry reports.
type EntryState interface {
	SetPolicy(next *policy.Policy)
	SetRoster(roster fleet.Roster)
	ExtendLease(until time.Time)
	// Designations returns the newest table of designated primaries that the entry obeys.
	Designations() fleet.Epoch
	// SetDesignations obeys a newer table. It returns when no write to a former primary is acknowledged any more.
	SetDesignations(table fleet.Designations)
	// ExtendPrimaryLease extends the time until which the designated primaries may be used.
	ExtendPrimaryLease(until time.Time)
	// Evacuations returns the newest list of evacuations that the entry obeys.
	Evacuations() evacuation.Version
	// SetEvacuations obeys a newer list, which was requested at the given time.
	SetEvacuations(list evacuation.List, requested time.Time)
	Policy() *policy.Policy
	Reports() []fleet.ServerReport
	Draining() bool
}

// Config configures an Agent.
type Config struct {
	// Entry describes this entry to the other processes.
	Entry  fleet.Entry
	Client *peer.Client
	State  EntryState
	// Decode converts a document to a policy.
	Decode func(document fleet.Document) (*policy.Policy, error)
	// RereadSeeds returns the addresses of control processes that the settings name now, or nil if they can't be read.
	RereadSeeds func() []string
	Log         *log.Logger
	// Now is a clock that includes the time in which the system was suspended.
	Now func() time.Time
}

// Agent renews the lease of one entry.
type Agent struct {
	cfg Config

	mu       sync.Mutex
	seeds    []string
	controls []string
	leader   string
	// failedAt holds the time at which each address last failed to answer.
	failedAt map[string]time.Time
	// unanswered counts consecutive calls that the leader has not answered. cancelRenewal cancels the renewal that is waiting for it.
	unanswered    int
	cancelRenewal context.CancelFunc

	roster fleet.Roster
	// renewals counts the renewals sent.
	renewals     uint64
	disconnected bool
	// rereadAt is the time at which the settings are read again while control is not reached.
	rereadAt time.Time
}

// New returns an agent that starts with the seed addresses.
func New(cfg Config, seeds []string) *Agent {
	return &Agent{cfg: cfg, seeds: seeds, failedAt: make(map[string]time.Time)}
}

// SetSeeds replaces the addresses that are used when no control process is known.
func (a *Agent) SetSeeds(seeds []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seeds = seeds
}

// candidates returns the addresses to try: the likely leader first, and those that failed most recently last.
func (a *Agent) candidates() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var addresses []string
	if a.leader != "" {
		addresses = append(addresses, a.leader)
	}
	for _, address := range slices.Concat(a.controls, a.seeds) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	slices.SortStableFunc(addresses, func(x, y string) int { return a.failedAt[x].Compare(a.failedAt[y]) })
	return addresses
}

// Run renews the lease until the context ends.
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

// renew tries the candidates until one of them renews the lease: first directly, then relayed by processes that can reach the leader.
func (a *Agent) renew(ctx context.Context) bool {
	for _, relay := range []bool{false, true} {
		for _, address := range a.candidates() {
			if a.renewFrom(ctx, address, relay) {
				a.markConnected(address)
				return true
			}
		}
	}
	now := a.cfg.Now()
	if !a.disconnected {
		a.disconnected, a.rereadAt = true, now.Add(rereadInterval)
		a.cfg.Log.Warn().Str("dependency", "control").Msg("dependencyLost")
	}
	if now.After(a.rereadAt) {
		a.rereadAt = now.Add(rereadInterval)
		if seeds := a.cfg.RereadSeeds(); len(seeds) > 0 {
			a.SetSeeds(seeds)
		}
	}
	return false
}

func (a *Agent) markConnected(address string) {
	if a.disconnected {
		a.disconnected = false
		a.cfg.Log.Info().Str("dependency", "control").Str("address", address).Msg("dependencyRegained")
	}
}

// renewFrom sends a renewal to an address, and again to the leader if the first answer names another one.
func (a *Agent) renewFrom(ctx context.Context, address string, relay bool) bool {
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

func (a *Agent) setLeader(address string, isLeader bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case isLeader:
		a.leader = address
	case a.leader == address:
		a.leader = ""
	}
}

// recordFailure records whether an address failed to answer.
func (a *Agent) recordFailure(address string, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if failed {
		a.failedAt[address] = a.cfg.Now()
	} else {
		delete(a.failedAt, address)
	}
}

// sampledReports returns the reports that are due in this renewal.
func (a *Agent) sampledReports() []fleet.ServerReport {
	a.renewals++
	return fleet.SampleReports(a.cfg.Entry.Name, a.cfg.State.Reports(), len(a.roster.Entries), a.renewals)
}

func (a *Agent) send(ctx context.Context, address string, relay bool) error {
	request := fleet.RenewRequest{Roster: a.roster.Version, Wait: maxHold, Reports: a.sampledReports(), Relay: relay, Entry: a.cfg.Entry}
	request.Designations, request.Evacuations = a.cfg.State.Designations(), a.cfg.State.Evacuations()
	request.Entry.Leaving = a.cfg.State.Draining()
	a.mu.Lock()
	request.Controls = fleet.DigestControls(a.controls)
	a.mu.Unlock()
	if current := a.cfg.State.Policy(); current != nil {
		request.Version = current.Version
	}
	sent := a.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, maxHold+answerMargin)
	defer cancel()
	a.mu.Lock()
	a.cancelRenewal = cancel
	a.mu.Unlock()
	var reply fleet.RenewReply
	err := a.cfg.Client.Call(callCtx, address, fleet.KindRenew, request, &reply)
	a.recordFailure(address, errors.Is(err, peer.ErrUnavailable))
	if err != nil {
		return err
	}
	a.apply(sent, reply)
	return nil
}

// apply applies the changes in a reply, and extends the lease if this entry has the newest configuration.
func (a *Agent) apply(sent time.Time, reply fleet.RenewReply) {
	if len(reply.Controls) > 0 {
		a.mu.Lock()
		a.controls = reply.Controls
		a.mu.Unlock()
	}
	// The former primaries must be given up before anything else, because control waits for that.
	if reply.Designations != nil {
		a.cfg.State.SetDesignations(*reply.Designations)
	}
	// No work may begin on what is evacuated, so this comes before the roster and the lease.
	if reply.Evacuations != nil {
		a.cfg.State.SetEvacuations(*reply.Evacuations, sent)
	}
	if reply.PrimaryLease > 0 && (reply.Designations == nil || reply.Designations.Version >= a.cfg.State.Designations()) {
		a.cfg.State.ExtendPrimaryLease(sent.Add(reply.PrimaryLease))
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
		reply.Roster.SetLeavingSince(sent)
		a.applyRoster(*reply.Roster)
	}
	if current := a.cfg.State.Policy(); current != nil && current.Version >= reply.Version && reply.Version > 0 {
		a.cfg.State.ExtendLease(sent.Add(reply.Lease))
	}
}

// applyRoster applies a roster or a delta. A delta that does not fit makes the agent ask for the whole roster.
func (a *Agent) applyRoster(received fleet.Roster) {
	next, ok := a.roster.Apply(received)
	if !ok {
		a.cfg.Log.Warn().Uint64("base", received.Base.Number).Uint64("held", a.roster.Version.Number).Msg("rosterDeltaRefused")
		a.roster = fleet.Roster{}
		return
	}
	a.roster = next
	a.cfg.State.SetRoster(next)
}

// Call sends a request to the control leader. It fails at once if no leader is known.
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
	a.recordCall(leader, err)
	return err
}

// maxUnanswered is how many consecutive calls may go unanswered before another leader is looked for.
const maxUnanswered = 2

// recordCall cancels the current renewal after too many unanswered calls, so that another leader is looked for.
func (a *Agent) recordCall(leader string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !errors.Is(err, peer.ErrUnavailable) {
		a.unanswered = 0
		return
	}
	a.unanswered++
	if a.unanswered >= maxUnanswered && a.leader == leader && a.cancelRenewal != nil {
		a.unanswered = 0
		a.cancelRenewal()
	}
}
