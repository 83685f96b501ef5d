package replica

import (
	"context"
	"fmt"
	"time"

	"lentilwind.dev/control/internal/settings"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
)

// AddMember adds a running process as a learner, which becomes a voter once it has caught up.
//
// If the name is already that of a member, whose data folder was lost, the new member replaces it. Otherwise replaces names the
// member to remove afterwards, or is empty.
func (r *Replica) AddMember(ctx context.Context, name inventory.InstanceName, address string, replaces inventory.InstanceName) error {
	reply, err := r.identifyMember(ctx, settings.Member{Name: name, Address: address})
	if err != nil {
		return err
	}
	member := journal.Member{ID: reply.Member, Name: name, Address: address, OperatorAddress: reply.OperatorAddress}
	if replaces == "" {
		replaces = name
	}
	old, found := findByName(r.view.Load().membership, replaces)
	switch {
	case found:
		member.Replaces = old.ID
	case replaces != name:
		return &journal.MembershipChangeError{Message: fmt.Sprintf("there is no member %q to replace", replaces)}
	case len(r.view.Load().membership.Members) >= settings.MaxMembers:
		return &journal.MembershipChangeError{Message: fmt.Sprintf("there are %d members already", settings.MaxMembers)}
	}
	return r.changeMembership(ctx, journal.MembershipChange{Add: &member})
}

// RemoveMember removes a member from the membership.
func (r *Replica) RemoveMember(ctx context.Context, name inventory.InstanceName) error {
	member, found := findByName(r.view.Load().membership, name)
	if !found {
		return &journal.MembershipChangeError{Message: fmt.Sprintf("there is no member %q", name)}
	}
	return r.changeMembership(ctx, journal.MembershipChange{Remove: member.ID})
}

func (r *Replica) changeMembership(ctx context.Context, change journal.MembershipChange) error {
	_, err := r.submit(ctx, func(now time.Time) (journal.Position, []journal.Effect, error) {
		return r.machine.ChangeMembership(now, change)
	})
	return err
}

// findByName returns the member with a name; a learner takes precedence because it was added last.
func findByName(membership journal.Membership, name inventory.InstanceName) (journal.Member, bool) {
	var found journal.Member
	for _, member := range membership.Members {
		if member.Name == name && (found.ID == 0 || member.Learner) {
			found = member
		}
	}
	return found, found.ID != 0
}
