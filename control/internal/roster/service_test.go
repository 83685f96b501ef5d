package roster_test

import (
	"errors"
	"math"
	"slices"
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

// Guards against groups that never change their primary again, because a term of a foreign announcement leaves no room for a later one.
func TestAnnouncementsThatCannotBeMeantAreRefused(t *testing.T) {
	valid := protocol.Announcement{
		Service: "s", Server: "a", Sequence: 1, Incarnation: protocol.Incarnation(time.Now().UnixNano()), Address: "127.0.0.1:1",
		Slots: []group.Status{{Role: group.RolePrimary, Term: 3, FencedTerm: 3, Received: 7, Applied: 7}},
	}
	for name, change := range map[string]func(a *protocol.Announcement){
		"term":           func(a *protocol.Announcement) { a.Slots[0].Term = math.MaxUint64 - 1 },
		"promised term":  func(a *protocol.Announcement) { a.Slots[0].FencedTerm = math.MaxUint64 },
		"position":       func(a *protocol.Announcement) { a.Slots[0].Received = math.MaxUint64 },
		"lag":            func(a *protocol.Announcement) { a.Slots[0].Lag = -time.Second },
		"slots":          func(a *protocol.Announcement) { a.Slots = make([]group.Status, 5000) },
		"incarnation":    func(a *protocol.Announcement) { a.Incarnation = math.MaxUint64 },
		"sequence":       func(a *protocol.Announcement) { a.Sequence = math.MaxUint64 },
		"port":           func(a *protocol.Announcement) { a.Address = "127.0.0.1:65536" },
		"port zero":      func(a *protocol.Announcement) { a.Address = "127.0.0.1:0" },
		"no address":     func(a *protocol.Announcement) { a.Address = "" },
		"unreadable":     func(a *protocol.Announcement) { a.Server = "a\xff" },
		"two lines":      func(a *protocol.Announcement) { a.Server = "a\r\nb" },
		"nothing at all": func(a *protocol.Announcement) { *a = protocol.Announcement{} },
	} {
		odd := valid
		odd.Slots = slices.Clone(valid.Slots)
		change(&odd)
		if code := announceTo(t, odd); code != protocol.CodeInvalid {
			t.Errorf("%s: got %q", name, code)
		}
	}
	if code := announceTo(t, valid); code != "" {
		t.Errorf("a valid announcement was refused: %q", code)
	}
}

func announceTo(t *testing.T, a protocol.Announcement) protocol.Code {
	t.Helper()
	s := roster.New(coreroster.DefaultConfig())
	startTerm(s, 1)
	body, err := protocol.Encode(a)
	if err != nil {
		t.Fatal(err)
	}
	_, err = s.Handle(t.Context(), identity.Peer{Name: "entry-1", Role: identity.RoleEntry}, protocol.Frame{Body: body})
	var refusal *protocol.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
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
