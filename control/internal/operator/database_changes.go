package operator

import (
	"context"
	"fmt"

	"lentilwind.dev/control/internal/failover"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/protocol"
)

// checkDatabaseChanges refuses changes of databases that could lose acknowledged writes.
//
// Only a document that is based on the newest revision is checked: any other is either a resend or refused as a conflict.
func (s *Service) checkDatabaseChanges(ctx context.Context, base inventory.Revision, next *inventory.Inventory) error {
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
		return refusedError(notInForceProblems(answer, changed))
	}
	if problems := s.cfg.MemberChanges.CheckMemberChanges(ctx, next); len(problems) > 0 {
		return refusedError(problems)
	}
	return nil
}

func (s *Service) awaitInForce(ctx context.Context, revision inventory.Revision) (protocol.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	return s.cfg.Leases.WaitInForce(ctx, revision)
}

func notInForceProblems(answer protocol.InForce, changed []int) []jsonc.Problem {
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
