package operator

import (
	"context"
	"fmt"

	"lentilwind.dev/control/internal/failover"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/protocol"
)

// checkMembers refuses changes of databases that could lose acknowledged writes.
//
// Only a document that is written against the newest revision is checked: any other is a resend or loses in any case.
func (s *Service) checkMembers(ctx context.Context, base inventory.Revision, next *inventory.Inventory) error {
	state := s.cfg.Replica.State()
	if base == 0 || state.Revision() != base {
		return nil
	}
	changed := failover.ChangedServices(state.Inventory(), next)
	if len(changed) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer, err := s.awaitInForce(ctx, base)
	if err != nil {
		return err
	}
	if !answer.InForce {
		return refused(notInForce(answer, changed))
	}
	if problems := s.cfg.MemberChanges.CheckMemberChanges(ctx, next); len(problems) > 0 {
		return refused(problems)
	}
	return nil
}

func (s *Service) awaitInForce(ctx context.Context, revision inventory.Revision) (protocol.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	return s.cfg.Leases.WaitInForce(ctx, revision)
}

func notInForce(answer protocol.InForce, changed []int) []jsonc.Problem {
	var problems []jsonc.Problem
	for _, i := range changed {
		problems = append(problems, jsonc.Problem{
			Pointer: fmt.Sprintf("/services/%d/databases", i),
			Message: fmt.Sprintf("databases can't change while revision %d is not in force everywhere", answer.Revision),
			Remedy:  "wait until it is in force, and send the document again",
		})
	}
	return problems
}
