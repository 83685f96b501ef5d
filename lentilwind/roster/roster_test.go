package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/roster"
)

var (
	start = time.Unix(1_000, 0)
	cfg   = roster.DefaultConfig()
	slot  = group.ID{Service: "s"}
)

func fleet() *inventory.Inventory {
	return &inventory.Inventory{
		Instances: []inventory.Instance{{Name: "e1", DataCentre: "dc1"}, {Name: "e2", DataCentre: "dc2"}},
		Services: []inventory.Service{{Name: "s", Slots: 1, Databases: []inventory.Database{
			{Name: "a", DataCentre: "dc1"}, {Name: "b", DataCentre: "dc2"},
		}}},
	}
}

// clock drives a roster through time with servers that announce themselves each second.
type clock struct {
	*roster.Roster
	now      time.Time
	sequence uint64
}

func newClock() *clock {
	c := &clock{Roster: roster.New(cfg, protocol.TopologyVersion{LeaderTerm: 7}, start), now: start}
	c.SetInventory(start, fleet())
	return c
}

func (c *clock) announce(a protocol.Announcement) (protocol.AnnounceReply, roster.Outcome) {
	c.sequence++
	a.Service, a.Sequence = "s", c.sequence
	if a.Address == "" {
		a.Address = "address of " + string(a.Server)
	}
	return c.HandleAnnouncement(c.now, a)
}

func (c *clock) pass(d time.Duration, alive ...protocol.Announcement) []roster.SilentServer {
	var silenced []roster.SilentServer
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(500 * time.Millisecond)
		for _, a := range alive {
			c.announce(a)
		}
		silenced = append(silenced, c.Tick(c.now)...)
	}
	return silenced
}

func (c *clock) health(server group.Server) protocol.Health {
	state, _ := c.Server(group.ServerID{Service: "s", Server: server})
	return state.Health
}

func TestOvertakenAnnouncementsAreIgnored(t *testing.T) {
	r := newClock()
	steps := []struct {
		incarnation protocol.Incarnation
		sequence    uint64
		want        roster.Outcome
	}{
		{2, 5, roster.OutcomeAccepted},
		{2, 5, roster.OutcomeStale},
		{2, 4, roster.OutcomeStale},
		{1, 9, roster.OutcomeStale},
		{3, 1, roster.OutcomeAccepted},
	}
	for i, step := range steps {
		a := protocol.Announcement{Service: "s", Server: "a", Incarnation: step.incarnation, Sequence: step.sequence}
		if _, got := r.HandleAnnouncement(start, a); got != step.want {
			t.Errorf("step %d: got %s, want %s", i, got, step.want)
		}
	}
}

func TestSilentAndLeavingServers(t *testing.T) {
	r := newClock()
	a, b := protocol.Announcement{Server: "a"}, protocol.Announcement{Server: "b", Leaving: true}
	r.pass(time.Second, a, b)
	if r.health("a") != protocol.HealthLive || r.health("b") != protocol.HealthLeaving {
		t.Errorf("got %s and %s", r.health("a"), r.health("b"))
	}
	silenced := r.pass(5 * time.Second)
	want := []roster.SilentServer{{ID: group.ServerID{Service: "s", Server: "a"}}, {ID: group.ServerID{Service: "s", Server: "b"}, WasLeaving: true}}
	if diff := cmp.Diff(want, silenced); diff != "" {
		t.Error(diff)
	}
	r.pass(time.Second, a)
	if r.health("a") != protocol.HealthLive {
		t.Errorf("got %s after its return", r.health("a"))
	}
}

func TestUnknownServersAreShownBoundedAndGetNoWork(t *testing.T) {
	r := newClock()
	for i := range 10 * cfg.MaxUnknownServers {
		r.announce(protocol.Announcement{Server: group.Server(fmt.Sprintf("x-%d", i))})
	}
	if n := len(r.Servers()); n != cfg.MaxUnknownServers+2 {
		t.Errorf("%d servers shown", n)
	}
	r.pass(10 * time.Second)
	if topology := r.Topology(protocol.TopologyVersion{}); !topology.Full || len(topology.Servers) != 2 {
		t.Errorf("got %+v", topology)
	}
}

func TestLeavingServerMayStopOnceItHasNoWork(t *testing.T) {
	r := newClock()
	leaving := protocol.Announcement{Server: "a", Leaving: true}
	r.SetGroup(r.now, group.Configuration{Group: slot, Term: 1, Primary: "a"})
	mayStop := func() bool {
		reply, _ := r.announce(leaving)
		return reply.MayStop
	}
	r.pass(2*cfg.StopGrace, leaving)
	if mayStop() {
		t.Error("a primary may stop")
	}
	r.SetGroup(r.now, group.Configuration{Group: slot, Term: 2})
	r.pass(2*cfg.StopGrace, leaving)
	if mayStop() {
		t.Error("a primary may stop before its successor stands")
	}
	r.SetGroup(r.now, group.Configuration{Group: slot, Term: 2, Primary: "b"})
	r.pass(cfg.StopGrace/2, leaving)
	if mayStop() {
		t.Error("it may stop while entries may still use it")
	}
	r.pass(cfg.StopGrace, leaving)
	if !mayStop() {
		t.Error("it may never stop")
	}
}

// holder keeps a topology as an entry does.
type holder struct {
	version protocol.TopologyVersion
	servers map[group.Server]protocol.ServerState
	groups  map[group.ID]group.Configuration
	entries map[inventory.InstanceName]protocol.EntryState
	full    int
}

func (h *holder) take(topology *protocol.Topology) {
	if topology == nil {
		return
	}
	if topology.Full || h.servers == nil {
		h.servers = map[group.Server]protocol.ServerState{}
		h.groups = map[group.ID]group.Configuration{}
		h.entries = map[inventory.InstanceName]protocol.EntryState{}
		h.full++
	}
	h.version = topology.Version
	for _, s := range topology.Servers {
		h.servers[s.Server] = s
	}
	for _, g := range topology.Groups {
		h.groups[g.Group] = g
	}
	for _, e := range topology.Entries {
		h.entries[e.Name] = e
	}
}

func TestDeltasLeadToTheFullTopology(t *testing.T) {
	r := newClock()
	h, late := &holder{}, &holder{}
	for i := range 3000 {
		name := group.Server([]string{"a", "b"}[i%2])
		r.SetGroup(r.now, group.Configuration{Group: slot, Term: group.Term(i + 1), Primary: name})
		r.announce(protocol.Announcement{Server: name, Address: fmt.Sprint(i), Leaving: i%3 == 0})
		r.HandleEntryReport(r.now, protocol.EntryReport{Name: "e1", Address: fmt.Sprint(i)})
		if i%5 == 0 {
			r.pass(500 * time.Millisecond)
			h.take(r.Topology(h.version))
		}
	}
	h.take(r.Topology(h.version))
	late.take(r.Topology(protocol.TopologyVersion{}))
	if diff := cmp.Diff(late.servers, h.servers); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(late.groups, h.groups); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(late.entries, h.entries); diff != "" {
		t.Error(diff)
	}
	if h.full != 2 {
		t.Errorf("%d full topologies, want one at the start and one once the roster is settled", h.full)
	}
	if r.Topology(h.version) != nil {
		t.Error("no change and yet a topology")
	}
}

func TestNewLeaderTakesNothingAwayBeforeItHasHeardAll(t *testing.T) {
	old := newClock()
	old.announce(protocol.Announcement{Server: "a"})
	version := old.Version()
	r := &clock{Roster: roster.New(cfg, protocol.TopologyVersion{LeaderTerm: 8}, start), now: start}
	r.SetInventory(start, fleet())
	if topology := r.Topology(version); topology.Full || len(topology.Servers) != 0 {
		t.Errorf("a new leader told %+v", topology)
	}
	r.pass(10*time.Second, protocol.Announcement{Server: "b"})
	topology := r.Topology(version)
	if !topology.Full || len(topology.Servers) != 2 || r.health("a") != protocol.HealthSilent {
		t.Errorf("a settled leader told %+v", topology)
	}
}

func TestAddressBelongsToTheServerThatAnnouncedItLast(t *testing.T) {
	r := newClock()
	r.announce(protocol.Announcement{Server: "a", Address: "x"})
	r.announce(protocol.Announcement{Server: "b", Address: "x"})
	got := map[group.Server]string{}
	for _, server := range r.Servers() {
		got[server.Server] = server.Address
	}
	if diff := cmp.Diff(map[group.Server]string{"a": "", "b": "x"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestDrainedWaitsForEveryLiveEntry(t *testing.T) {
	r := newClock()
	v1, v2 := protocol.TopologyVersion{LeaderTerm: 7, Count: 1}, protocol.TopologyVersion{LeaderTerm: 7, Count: 2}
	r.HandleEntryReport(r.now, protocol.EntryReport{Name: "e1", Topology: v2})
	r.HandleEntryReport(r.now, protocol.EntryReport{Name: "e2", Topology: v1})
	if r.Drained(slot, v2) {
		t.Error("drained although an entry has not heard of the term")
	}
	r.HandleEntryReport(r.now, protocol.EntryReport{Name: "e2", Topology: v2, Running: []group.ID{slot}})
	if r.Drained(slot, v2) {
		t.Error("drained although a transaction runs")
	}
	r.HandleEntryReport(r.now, protocol.EntryReport{Name: "e2", Topology: v2})
	if !r.Drained(slot, v2) {
		t.Error("not drained")
	}
}
