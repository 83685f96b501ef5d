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

// forgetAfter is how long an entry stays known whose lease has ended.
const forgetAfter = time.Minute

// WaitInForce waits until a revision is in force everywhere, for as long as the context allows, and tells whether it is.
func (s *Service) WaitInForce(ctx context.Context, revision inventory.Revision) (protocol.InForce, error) {
	for {
		changed := s.cfg.Ledger.Changed()
		answer, until, reported, err := s.inForce(revision)
		if err != nil || answer.InForce {
			return answer, err
		}
		alarm := time.NewTimer(time.Until(until))
		select {
		case <-ctx.Done():
			alarm.Stop()
			return answer, nil
		case <-alarm.C:
		case <-reported:
		case <-changed:
		}
		alarm.Stop()
	}
}

func (s *Service) inForce(revision inventory.Revision) (protocol.InForce, time.Time, <-chan struct{}, error) {
	term, err := s.leading()
	if err != nil {
		return protocol.InForce{}, time.Time{}, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.follow(term, now)
	s.grants.RemoveExpired(now.Add(-forgetAfter))
	answer := protocol.InForce{Revision: revision}
	var until time.Time
	answer.InForce, answer.WaitingFor, until = s.grants.InForce(now, revision)
	if s.cfg.Ledger.State().Revision() < revision {
		answer.InForce = false
		until = now.Add(lease.Duration)
	}
	return answer, until, s.reported, nil
}

// Leases returns the leases of all entries that this leader knows.
func (s *Service) Leases() []lease.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grants == nil {
		return nil
	}
	return s.grants.Leases(time.Now())
}

// Run records when each accepted inventory is in force; it ends with the context.
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

// recordInForce returns the newest revision that is recorded.
func (s *Service) recordInForce(ctx context.Context, recorded, revision inventory.Revision) inventory.Revision {
	began := time.Now()
	answer, err := s.WaitInForce(ctx, revision)
	if err != nil || !answer.InForce {
		return recorded
	}
	s.cfg.Events.Record(events.Event{
		Kind: events.KindInventoryInForce, Revision: uint64(revision),
		Detail: fmt.Sprintf("after %d ms", time.Since(began).Milliseconds()),
	})
	return revision
}
