package renewal

import (
	"context"
	"fmt"
	"time"

	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/lease"
	"lentilwind.dev/lentilwind/protocol"
)

// forgetAfter is how long an entry is remembered after its lease has ended.
const forgetAfter = time.Minute

// WaitInForce waits until a revision is in force everywhere or the context ends, and returns whether it is.
func (s *Service) WaitInForce(ctx context.Context, revision inventory.Revision) (protocol.InForce, error) {
	for {
		changed := s.cfg.Ledger.Changed()
		answer, deadline, reportReceived, err := s.checkInForce(revision)
		if err != nil || answer.InForce {
			return answer, err
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
			timer.Stop()
			return answer, nil
		case <-timer.C:
		case <-reportReceived:
		case <-changed:
		}
		timer.Stop()
	}
}

func (s *Service) checkInForce(revision inventory.Revision) (protocol.InForce, time.Time, <-chan struct{}, error) {
	term, err := s.leaderTerm()
	if err != nil {
		return protocol.InForce{}, time.Time{}, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.syncTerm(term, now)
	s.grants.RemoveExpired(now.Add(-forgetAfter))
	answer := protocol.InForce{Revision: revision}
	var deadline time.Time
	answer.InForce, answer.WaitingFor, deadline = s.grants.InForce(now, revision)
	if s.cfg.Ledger.State().Revision() < revision {
		answer.InForce = false
		deadline = now.Add(lease.Duration)
	}
	return answer, deadline, s.reportReceived, nil
}

// Leases returns the leases of all entries known to this leader.
func (s *Service) Leases() []lease.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grants == nil {
		return nil
	}
	return s.grants.Leases(time.Now())
}

// Run records an event when an accepted inventory is in force everywhere, until the context ends.
func (s *Service) Run(ctx context.Context) error {
	recorded := inventory.Revision(0)
	for ctx.Err() == nil {
		changed := s.cfg.Ledger.Changed()
		revision := s.cfg.Ledger.State().Revision()
		_, leads := s.cfg.Ledger.Leading()
		if leads && revision > recorded {
			recorded = s.recordInForce(ctx, recorded, revision)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// recordInForce waits until a revision is in force, and returns the newest recorded revision.
func (s *Service) recordInForce(ctx context.Context, recorded, revision inventory.Revision) inventory.Revision {
	start := time.Now()
	answer, err := s.WaitInForce(ctx, revision)
	if err != nil || !answer.InForce {
		return recorded
	}
	s.cfg.Events.Record(events.Event{
		Kind: events.KindInventoryInForce, Revision: uint64(revision),
		Detail: fmt.Sprintf("after %d ms", time.Since(start).Milliseconds()),
	})
	return revision
}
