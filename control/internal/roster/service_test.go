package roster_test

import (
	"errors"
	"testing"
	"time"

	"lentilwind.dev/control/internal/roster"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	decided "lentilwind.dev/lentilwind/roster"
)

// deaf is an observer that needs nothing.
type deaf struct{}

func (deaf) OnAnnouncement(time.Time, protocol.Announcement)   {}
func (deaf) OnEntryReport(time.Time, protocol.EntryReport)     {}
func (deaf) OnServersSilent(time.Time, []decided.SilentServer) {}

func lead(s *roster.Service, term uint64) {
	inv := &inventory.Inventory{Services: []inventory.Service{{Name: "s", Slots: 1, Databases: []inventory.Database{{Name: "a"}}}}}
	s.StartTerm(time.Now(), term, inv, deaf{})
}

func announce(t *testing.T, s *roster.Service, role identity.Role) protocol.Code {
	t.Helper()
	body, err := protocol.Encode(protocol.Announcement{Service: "s", Server: "a", Sequence: 1, Address: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	_, err = s.Handle(t.Context(), identity.Peer{Name: "entry-1", Role: role}, protocol.Frame{Body: body})
	var refusal *protocol.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

func TestAnnouncementsGoToTheLeaderAndFromEntriesOnly(t *testing.T) {
	s := roster.New(decided.DefaultConfig())
	if code := announce(t, s, identity.RoleEntry); code != protocol.CodeNotLeader {
		t.Errorf("got %q", code)
	}
	lead(s, 1)
	if code := announce(t, s, identity.RoleOperator); code != protocol.CodeNotPermitted {
		t.Errorf("got %q", code)
	}
	changed := s.Changed()
	if code := announce(t, s, identity.RoleEntry); code != "" {
		t.Errorf("got %q", code)
	}
	select {
	case <-changed:
	default:
		t.Error("no notice of the new server")
	}
	s.StepDown()
	if s.Topology(protocol.TopologyVersion{}) != nil {
		t.Error("a topology from a process that does not lead")
	}
}

func TestInterruptedTermGivesNewVersions(t *testing.T) {
	s := roster.New(decided.DefaultConfig())
	lead(s, 3)
	for term := range group.Term(5) {
		s.SetGroup(time.Now(), group.Configuration{Group: group.ID{Service: "s"}, Term: term + 1})
	}
	before := s.Topology(protocol.TopologyVersion{}).Version
	s.StepDown()
	lead(s, 3)
	if after := s.Topology(before); after == nil || before.Reaches(after.Version) {
		t.Errorf("got %+v after %+v", after, before)
	}
}
