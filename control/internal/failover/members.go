package failover

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/control/internal/monitor"
	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// catchUpTimeout limits the wait for members to catch up with the primary before a membership change.
const catchUpTimeout = time.Second

// CheckMemberChanges returns the problems that prevent the database changes of a new inventory, or nothing.
//
// It is called on the leader before an inventory is proposed whose base is the current revision, and only once that revision is in
// force everywhere. Then every acknowledged write is on a majority of the current members, and stays on a member of every majority
// of the new members.
func (s *Service) CheckMemberChanges(ctx context.Context, next *inventory.Inventory) []jsonc.Problem {
	active := s.currentLeadership()
	current := s.cfg.Ledger.State().Inventory()
	if current == nil {
		return nil
	}
	var problems []jsonc.Problem
	for _, i := range ChangedServices(current, next) {
		service := next.Services[i]
		if message := checkService(ctx, active, *findService(current, service.Name), service); message != "" {
			problems = append(problems, jsonc.Problem{
				Pointer: fmt.Sprintf("/services/%d/databases", i),
				Message: message,
				Remedy:  "change one database at a time, and wait until its service is healthy",
			})
		}
	}
	return problems
}

// ChangedServices returns the indexes, in the next inventory, of the services whose databases it changes.
func ChangedServices(current, next *inventory.Inventory) []int {
	var changed []int
	for i, service := range next.Services {
		if old := findService(current, service.Name); old != nil && !sameDatabases(*old, service) {
			changed = append(changed, i)
		}
	}
	return changed
}

func findService(inv *inventory.Inventory, name group.Service) *inventory.Service {
	i := slices.IndexFunc(inv.Services, func(s inventory.Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &inv.Services[i]
}

func sameDatabases(a, b inventory.Service) bool {
	names := func(s inventory.Service) []group.Server {
		var list []group.Server
		for _, database := range s.Databases {
			list = append(list, database.Name)
		}
		slices.Sort(list)
		return list
	}
	return slices.Equal(names(a), names(b))
}

func checkService(ctx context.Context, active *leadership, current, next inventory.Service) string {
	if message := failover.CheckMemberChange(groupMembers(current), groupMembers(next)); message != "" {
		return message
	}
	if active == nil {
		return "this control process does not lead"
	}
	for slot := range min(current.Slots, next.Slots) {
		id := group.ID{Service: current.Name, Slot: group.Slot(slot)}
		if message := active.checkGroup(ctx, id, groupMembers(current)); message != "" {
			return message
		}
	}
	return ""
}

// checkGroup queries the primary's position and checks that a majority of the group has reached it.
func (l *leadership) checkGroup(ctx context.Context, id group.ID, list []failover.Member) string {
	l.mu.Lock()
	g := l.groups[id]
	settled := g != nil && !l.ended && g.machine.Settled()
	var configuration group.Configuration
	if g != nil {
		configuration = g.machine.Configuration()
	}
	l.mu.Unlock()
	if configuration.Term == 0 {
		return ""
	}
	if !settled {
		return fmt.Sprintf("group %s has no primary now", id)
	}
	primary := l.awaitPosition(ctx, id, configuration.Primary, 0)
	if primary.Outcome != failover.OutcomeDone || primary.Status.Term != configuration.Term {
		return fmt.Sprintf("the primary %s of group %s gives no status", configuration.Primary, id)
	}
	statuses := l.awaitPositions(ctx, id, list, primary.Status.Received)
	if !failover.CaughtUp(len(list), configuration.Term, primary.Status.Received, statuses) {
		return fmt.Sprintf("no majority of group %s has caught up with its primary", id)
	}
	return ""
}

// awaitPositions waits for all members concurrently and returns the statuses of those that reached a position in time.
func (l *leadership) awaitPositions(ctx context.Context, id group.ID, list []failover.Member, position group.Position) []group.Status {
	var wg sync.WaitGroup
	answers := make([]monitor.Answer, len(list))
	for i, member := range list {
		wg.Go(func() { answers[i] = l.awaitPosition(ctx, id, member.Server, position) })
	}
	wg.Wait()
	var statuses []group.Status
	for _, answer := range answers {
		if answer.Outcome == failover.OutcomeDone {
			statuses = append(statuses, answer.Status)
		}
	}
	return statuses
}

func (l *leadership) awaitPosition(ctx context.Context, id group.ID, server group.Server, position group.Position) monitor.Answer {
	target, found := l.monitorTarget(group.ServerID{Service: id.Service, Server: server})
	if !found {
		return monitor.Answer{Outcome: failover.OutcomeUnknown}
	}
	return l.cfg.Monitor.Wait(ctx, target, id.Slot, position, catchUpTimeout)
}
