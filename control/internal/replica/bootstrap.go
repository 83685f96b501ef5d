package replica

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"lentilwind.dev/control/internal/settings"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

const (
	// bootstrapRetryInterval is the time between attempts to bootstrap a fleet.
	bootstrapRetryInterval = 300 * time.Millisecond
	memberRequestTimeout   = 2 * time.Second
)

// memberRequest asks a control process for its member id.
type memberRequest struct{}

// memberReply identifies the member that a control process runs.
type memberReply struct {
	Member          journal.MemberID       `cbor:"1,keyasint"`
	Name            inventory.InstanceName `cbor:"2,keyasint"`
	OperatorAddress string                 `cbor:"3,keyasint"`
	// Fresh means that the member has an empty journal and has seen no term.
	Fresh bool `cbor:"4,keyasint"`
	// ConfiguredMembers are the members listed in its settings.
	ConfiguredMembers []settings.Member `cbor:"5,keyasint"`
}

func (r *Replica) handleMemberRequest(ctx context.Context, peer identity.Peer, _ protocol.Frame) (any, error) {
	if peer.Role != identity.RoleControl {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only control processes may ask"}
	}
	reply := memberReply{
		Member: r.store.Identity().Member, Name: r.cfg.Settings.Name, OperatorAddress: r.cfg.Settings.AdvertisedOperatorAddress(),
		ConfiguredMembers: r.cfg.Settings.Members,
	}
	err := r.runOnLoop(ctx, func(time.Time) []journal.Effect {
		reply.Fresh = r.isFresh()
		return nil
	})
	return reply, err
}

func (r *Replica) isFresh() bool { return r.machine.LastIndex() == 0 && r.machine.Term() == 0 }

// bootstrapFleet creates the initial membership once every configured member has answered that it is fresh.
//
// Only the configured member with the lowest name does this. A member that lost its disk is fresh while the others are not, so it
// waits until an operator adds it again.
func (r *Replica) bootstrapFleet(ctx context.Context) error {
	configured := slices.SortedFunc(slices.Values(r.cfg.Settings.Members), func(a, b settings.Member) int { return cmp.Compare(a.Name, b.Name) })
	if len(configured) == 0 || configured[0].Name != r.cfg.Settings.Name {
		return nil
	}
	retry := make(chan struct{}, 1)
	ticker := r.cfg.Timers.Every(bootstrapRetryInterval, func(time.Time) {
		select {
		case retry <- struct{}{}:
		default:
		}
	})
	defer ticker.Cancel()
	for {
		if done := r.tryBootstrapFleet(ctx, configured); done {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-retry:
		}
	}
}

// tryBootstrapFleet reports whether this member is no longer fresh, so that no further attempt is needed.
func (r *Replica) tryBootstrapFleet(ctx context.Context, configured []settings.Member) bool {
	fresh := false
	if err := r.runOnLoop(ctx, func(time.Time) []journal.Effect { fresh = r.isFresh(); return nil }); err != nil {
		return false
	}
	if !fresh {
		return true
	}
	initial := journal.Membership{}
	for _, member := range configured {
		reply, err := r.identifyMember(ctx, member)
		if err != nil {
			r.cfg.Log.Debug().Err(err).Str("member", string(member.Name)).Msg("waiting for a configured member")
			return false
		}
		if !reply.Fresh || !slices.Equal(reply.ConfiguredMembers, r.cfg.Settings.Members) {
			r.warnOnce(member)
			return false
		}
		initial.Members = append(initial.Members, journal.Member{
			ID: reply.Member, Name: member.Name, Address: member.Address, OperatorAddress: reply.OperatorAddress,
		})
	}
	return r.bootstrap(ctx, initial) == nil
}

func (r *Replica) warnOnce(member settings.Member) {
	if r.bootstrapWarned {
		return
	}
	r.bootstrapWarned = true
	r.cfg.Log.Warn().Str("member", string(member.Name)).
		Msg("a configured member already has state or is configured with other members; not bootstrapping a fleet, waiting to be added")
}

// identifyMember asks the process at a member's address for its member id.
func (r *Replica) identifyMember(ctx context.Context, member settings.Member) (memberReply, error) {
	if member.Name == r.cfg.Settings.Name {
		return memberReply{
			Member: r.store.Identity().Member, Name: member.Name, OperatorAddress: r.cfg.Settings.AdvertisedOperatorAddress(), Fresh: true,
			ConfiguredMembers: r.cfg.Settings.Members,
		}, nil
	}
	to, err := parseAddress(member.Address)
	if err != nil {
		return memberReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, memberRequestTimeout)
	defer cancel()
	var reply memberReply
	if err := r.cfg.Endpoint.Call(ctx, to, protocol.KindMember, memberRequest{}, &reply); err != nil {
		return memberReply{}, err
	}
	if reply.Name != member.Name {
		return memberReply{}, fmt.Errorf("replica: %s is instance %q, not %q", member.Address, reply.Name, member.Name)
	}
	return reply, nil
}

// bootstrap writes the initial snapshot, which contains only the membership.
func (r *Replica) bootstrap(ctx context.Context, initial journal.Membership) error {
	return r.runOnLoop(ctx, func(now time.Time) []journal.Effect {
		r.bootstrapErr = r.initialize(now, initial)
		return nil
	})
}

func (r *Replica) initialize(now time.Time, initial journal.Membership) error {
	if !r.isFresh() {
		return nil
	}
	persisted := InitialState(initial, r.store.Identity().Member)
	r.store.Save(journal.Save{HardState: persisted.HardState})
	if err := r.store.SaveSnapshot(journal.SaveSnapshot{Snapshot: persisted.Snapshot}); err != nil {
		return err
	}
	r.cfg.Log.Info().Int("members", len(initial.Members)).Msg("bootstrapped a new fleet")
	return r.startMachine(persisted, now)
}

// InitialState returns the persisted state of the member that bootstraps a fleet: term 1 with a vote for itself and a snapshot of
// the membership.
func InitialState(initial journal.Membership, self journal.MemberID) journal.Persisted {
	return journal.Persisted{
		HardState: journal.HardState{Term: 1, Vote: self},
		Snapshot:  journal.Snapshot{Index: 1, Term: 1, Membership: initial},
	}
}
