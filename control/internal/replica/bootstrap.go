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
	// helloPeriod is the time between attempts to begin a fleet.
	helloPeriod  = 300 * time.Millisecond
	helloTimeout = 2 * time.Second
)

// hello asks a control process which member it is.
type hello struct{}

// helloReply tells which member a control process is.
type helloReply struct {
	Member    journal.MemberID       `cbor:"1,keyasint"`
	Name      inventory.InstanceName `cbor:"2,keyasint"`
	Operators string                 `cbor:"3,keyasint"`
	// Fresh means that the member holds nothing and has promised nothing.
	Fresh bool `cbor:"4,keyasint"`
	// Listed are the members in its settings.
	Listed []settings.Member `cbor:"5,keyasint"`
}

func (r *Replica) onMember(ctx context.Context, peer identity.Peer, _ protocol.Frame) (any, error) {
	if peer.Role != identity.RoleControl {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only control processes may ask"}
	}
	reply := helloReply{
		Member: r.store.Identity().Member, Name: r.cfg.Settings.Name, Operators: r.cfg.Settings.AdvertisedOperatorAddress(),
		Listed: r.cfg.Settings.Members,
	}
	err := r.ask(ctx, func(time.Time) []journal.Effect {
		reply.Fresh = r.isFresh()
		return nil
	})
	return reply, err
}

func (r *Replica) isFresh() bool { return r.machine.LastIndex() == 0 && r.machine.Term() == 0 }

// beginFleet makes the first membership, once every listed member has answered that it is fresh.
//
// Only the listed member with the lowest name does so. A member that lost its disk is fresh while the others are not, so it
// waits until an operator adds it again.
func (r *Replica) beginFleet(ctx context.Context) error {
	listed := slices.SortedFunc(slices.Values(r.cfg.Settings.Members), func(a, b settings.Member) int { return cmp.Compare(a.Name, b.Name) })
	if len(listed) == 0 || listed[0].Name != r.cfg.Settings.Name {
		return nil
	}
	again := make(chan struct{}, 1)
	ticks := r.cfg.Timers.Every(helloPeriod, func(time.Time) {
		select {
		case again <- struct{}{}:
		default:
		}
	})
	defer ticks.Cancel()
	for {
		if done := r.tryBeginFleet(ctx, listed); done {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-again:
		}
	}
}

// tryBeginFleet reports true once this member holds a membership.
func (r *Replica) tryBeginFleet(ctx context.Context, listed []settings.Member) bool {
	fresh := false
	if err := r.ask(ctx, func(time.Time) []journal.Effect { fresh = r.isFresh(); return nil }); err != nil {
		return false
	}
	if !fresh {
		return true
	}
	first := journal.Membership{}
	for _, member := range listed {
		reply, err := r.greet(ctx, member)
		if err != nil {
			r.cfg.Log.Debug().Err(err).Str("member", string(member.Name)).Msg("waiting for a listed member")
			return false
		}
		if !reply.Fresh || !slices.Equal(reply.Listed, r.cfg.Settings.Members) {
			r.warnOnce(member)
			return false
		}
		first.Members = append(first.Members, journal.Member{
			ID: reply.Member, Name: member.Name, Address: member.Address, OperatorAddress: reply.Operators,
		})
	}
	return r.found(ctx, first) == nil
}

func (r *Replica) warnOnce(member settings.Member) {
	if r.warned {
		return
	}
	r.warned = true
	r.cfg.Log.Warn().Str("member", string(member.Name)).
		Msg("a listed member is in use or lists other members; this process begins no fleet and waits to be added")
}

// greet asks one member which one it is.
func (r *Replica) greet(ctx context.Context, member settings.Member) (helloReply, error) {
	if member.Name == r.cfg.Settings.Name {
		return helloReply{
			Member: r.store.Identity().Member, Name: member.Name, Operators: r.cfg.Settings.AdvertisedOperatorAddress(), Fresh: true,
			Listed: r.cfg.Settings.Members,
		}, nil
	}
	to, err := parseAddress(member.Address)
	if err != nil {
		return helloReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var reply helloReply
	if err := r.cfg.Endpoint.Call(ctx, to, protocol.KindMember, hello{}, &reply); err != nil {
		return helloReply{}, err
	}
	if reply.Name != member.Name {
		return helloReply{}, fmt.Errorf("replica: %s is instance %q, not %q", member.Address, reply.Name, member.Name)
	}
	return reply, nil
}

// found writes the first snapshot, which holds nothing but the membership.
func (r *Replica) found(ctx context.Context, first journal.Membership) error {
	return r.ask(ctx, func(now time.Time) []journal.Effect {
		r.broken = r.foundNow(now, first)
		return nil
	})
}

func (r *Replica) foundNow(now time.Time, first journal.Membership) error {
	if !r.isFresh() {
		return nil
	}
	persisted := InitialState(first, r.store.Identity().Member)
	r.store.Save(journal.Save{HardState: persisted.HardState})
	if err := r.store.SaveSnapshot(journal.SaveSnapshot{Snapshot: persisted.Snapshot}); err != nil {
		return err
	}
	r.cfg.Log.Info().Int("members", len(first.Members)).Msg("began a new fleet")
	return r.begin(persisted, now)
}

// InitialState is what the first member of a fleet starts from.
func InitialState(first journal.Membership, self journal.MemberID) journal.Persisted {
	return journal.Persisted{
		HardState: journal.HardState{Term: 1, Vote: self},
		Snapshot:  journal.Snapshot{Index: 1, Term: 1, Membership: first},
	}
}
