package operator

import (
	"context"
	"net/http"
	"net/netip"

	"lentilwind.dev/control/internal/storage"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/lease"
	"lentilwind.dev/lentilwind/protocol"
)

func (s *Service) showStatus(w http.ResponseWriter, r *http.Request) error {
	member, err := s.cfg.Replica.Status(r.Context())
	if err != nil {
		return err
	}
	state := s.cfg.Replica.State()
	status := protocol.FleetStatus{
		Term: uint64(member.Term), Committed: uint64(member.Committed), Revision: state.Revision(),
		Members: member.Members, Servers: s.cfg.Roster.Servers(), Groups: state.Groups(),
		Entries: s.entryLeases(),
	}
	if leader, known := s.cfg.Replica.Leader(); known {
		status.Leader = leader.Name
	}
	// An expired context makes WaitInForce return the current state at once.
	expired, cancel := context.WithCancel(r.Context())
	cancel()
	answer, err := s.cfg.Leases.WaitInForce(expired, state.Revision())
	if err != nil {
		return err
	}
	status.InForce = answer.InForce && state.Revision() > 0
	writeJSON(w, http.StatusOK, status)
	return nil
}

// entryLeases returns the announced entries with their configuration leases.
func (s *Service) entryLeases() []protocol.EntryLease {
	leases := make(map[inventory.InstanceName]lease.Lease)
	for _, l := range s.cfg.Leases.Leases() {
		leases[l.Entry] = l
	}
	var entries []protocol.EntryLease
	for _, entry := range s.cfg.Roster.Entries() {
		held := leases[entry.Name]
		entries = append(entries, protocol.EntryLease{
			EntryState: entry, Applied: held.Applied, LeaseMs: max(0, held.Remaining.Milliseconds()),
		})
	}
	return entries
}

// Actions of a request that changes the members.
const (
	actionAdd     = "add"
	actionRemove  = "remove"
	actionReplace = "replace"
)

func (s *Service) changeMembers(w http.ResponseWriter, r *http.Request) error {
	var body struct {
		Action  string                 `json:"action"`
		Name    inventory.InstanceName `json:"name"`
		Address string                 `json:"address"`
		Replace inventory.InstanceName `json:"replace"`
	}
	if err := readJSON(r, &body); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(body.Address); err != nil && body.Action != actionRemove {
		return invalidRequest("the address must be an IP address with a port")
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	var err error
	switch body.Action {
	case actionAdd:
		err = s.cfg.Replica.AddMember(ctx, body.Name, body.Address, "")
	case actionReplace:
		err = s.cfg.Replica.AddMember(ctx, body.Name, body.Address, body.Replace)
	case actionRemove:
		err = s.cfg.Replica.RemoveMember(ctx, body.Name)
	default:
		err = invalidRequest("the action must be add, remove or replace")
	}
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, struct {
		Changed bool `json:"changed"`
	}{true})
	return nil
}

func (s *Service) takeSnapshot(w http.ResponseWriter, r *http.Request) error {
	snapshot, err := s.cfg.Replica.Snapshot(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, struct {
		Index uint64 `json:"index"`
		Bytes int    `json:"bytes"`
	}{uint64(snapshot.Index), len(snapshot.Data)})
	return nil
}

// downloadSnapshot takes a snapshot and sends it in the format that the restore command reads.
func (s *Service) downloadSnapshot(w http.ResponseWriter, r *http.Request) error {
	snapshot, err := s.cfg.Replica.Snapshot(r.Context())
	if err != nil {
		return err
	}
	data, err := storage.EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
	return nil
}
