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
	coreroster "lentilwind.dev/lentilwind/roster"
)

// noopObserver ignores all notifications.
type noopObserver struct{}

func (noopObserver) OnAnnouncement(time.Time, protocol.Announcement)      {}
func (noopObserver) OnEntryReport(time.Time, protocol.EntryReport)        {}
func (noopObserver) OnServersSilent(time.Time, []coreroster.SilentServer) {}

func startTerm(s *roster.Service, term uint64) {
	inv := &inventory.Inventory{Services: []inventory.Service{{Name: "s", Slots: 1, Databases: []inventory.Database{{Name: "a"}}}}}
	s.StartTerm(time.Now(), term, inv, noopObserver{})
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

func TestAnnounceRequiresLeaderAndEntryRole(t *testing.T) {
	s := roster.New(coreroster.DefaultConfig())
	if code := announce(t, s, identity.RoleEntry); code != protocol.CodeNotLeader {
		t.Errorf("got %q", code)
	}
	startTerm(s, 1)
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
		t.Error("the new server did not wake waiters")
	}
	s.StepDown()
	if s.Topology(protocol.TopologyVersion{}) != nil {
		t.Error("a process that does not lead returned a topology")
	}
}

func TestRestartedTermContinuesVersions(t *testing.T) {
	s := roster.New(coreroster.DefaultConfig())
	startTerm(s, 3)
	for term := range group.Term(5) {
		s.SetGroup(time.Now(), group.Configuration{Group: group.ID{Service: "s"}, Term: term + 1})
	}
	before := s.Topology(protocol.TopologyVersion{}).Version
	s.StepDown()
	startTerm(s, 3)
	if after := s.Topology(before); after == nil || before.AtLeast(after.Version) {
		t.Errorf("got %+v after %+v", after, before)
	}
}
