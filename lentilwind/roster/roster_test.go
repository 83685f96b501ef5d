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
	start   = time.Unix(1_000, 0)
	cfg     = roster.DefaultConfig()
	groupID = group.ID{Service: "s"}
)

func testInventory() *inventory.Inventory {
	return &inventory.Inventory{
		Instances: []inventory.Instance{{Name: "e1", DataCentre: "dc1"}, {Name: "e2", DataCentre: "dc2"}},
		Services: []inventory.Service{{Name: "s", Slots: 1, Databases: []inventory.Database{
			{Name: "a", DataCentre: "dc1"}, {Name: "b", DataCentre: "dc2"},
		}}},
	}
}

// rosterDriver drives a roster through time; servers announce themselves every 500 ms.
type rosterDriver struct {
	*roster.Roster
	now      time.Time
	sequence uint64
}

func newDriver() *rosterDriver {
	r := &rosterDriver{Roster: roster.New(cfg, protocol.TopologyVersion{LeaderTerm: 7}, start), now: start}
	r.SetInventory(start, testInventory())
	return r
}

func (r *rosterDriver) announce(a protocol.Announcement) (protocol.AnnounceReply, roster.Outcome) {
	r.sequence++
	a.Service, a.Sequence = "s", r.sequence
	if a.Address == "" {
		a.Address = "address of " + string(a.Server)
	}
	return r.HandleAnnouncement(r.now, a)
}

func (r *rosterDriver) advance(d time.Duration, alive ...protocol.Announcement) []roster.SilentServer {
	var silent []roster.SilentServer
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(500 * time.Millisecond)
		for _, a := range alive {
			r.announce(a)
		}
		silent = append(silent, r.Tick(r.now)...)
	}
	return silent
}

func (r *rosterDriver) health(server group.Server) protocol.Health {
	state, _ := r.Server(group.ServerID{Service: "s", Server: server})
	return state.Health
}

func TestOutOfOrderAnnouncementsAreIgnored(t *testing.T) {
	r := newDriver()
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
	r := newDriver()
	a, b := protocol.Announcement{Server: "a"}, protocol.Announcement{Server: "b", Leaving: true}
	r.advance(time.Second, a, b)
	if r.health("a") != protocol.HealthLive || r.health("b") != protocol.HealthLeaving {
		t.Errorf("got %s and %s", r.health("a"), r.health("b"))
	}
	silent := r.advance(5 * time.Second)
	want := []roster.SilentServer{{ID: group.ServerID{Service: "s", Server: "a"}}, {ID: group.ServerID{Service: "s", Server: "b"}, WasLeaving: true}}
	if diff := cmp.Diff(want, silent); diff != "" {
		t.Error(diff)
	}
	r.advance(time.Second, a)
	if r.health("a") != protocol.HealthLive {
		t.Errorf("got %s after the server announced itself again", r.health("a"))
	}
}

func TestUnknownServersAreBoundedAndNotPublished(t *testing.T) {
	r := newDriver()
	for i := range 10 * cfg.MaxUnknownServers {
		r.announce(protocol.Announcement{Server: group.Server(fmt.Sprintf("x-%d", i))})
	}
	if n := len(r.Servers()); n != cfg.MaxUnknownServers+2 {
		t.Errorf("%d servers shown", n)
	}
	r.advance(10 * time.Second)
	if topology := r.Topology(protocol.TopologyVersion{}); !topology.Full || len(topology.Servers) != 2 {
		t.Errorf("got %+v", topology)
	}
}

func TestLeavingServerMayStopOnceItIsNoPrimary(t *testing.T) {
	r := newDriver()
	leaving := protocol.Announcement{Server: "a", Leaving: true}
	r.SetGroup(r.now, group.Configuration{Group: groupID, Term: 1, Primary: "a"})
	mayStop := func() bool {
		reply, _ := r.announce(leaving)
		return reply.MayStop
	}
	r.advance(2*cfg.StopGrace, leaving)
	if mayStop() {
		t.Error("server may stop although it is a primary")
	}
	r.SetGroup(r.now, group.Configuration{Group: groupID, Term: 2})
	r.advance(2*cfg.StopGrace, leaving)
	if mayStop() {
		t.Error("former primary may stop before its successor is known")
	}
	r.SetGroup(r.now, group.Configuration{Group: groupID, Term: 2, Primary: "b"})
	r.advance(cfg.StopGrace/2, leaving)
	if mayStop() {
		t.Error("server may stop while entries may still use it")
	}
	r.advance(cfg.StopGrace, leaving)
	if !mayStop() {
		t.Error("server without work may not stop")
	}
}

// topologyReceiver applies topologies and deltas like an entry does.
type topologyReceiver struct {
	version   protocol.TopologyVersion
	servers   map[group.Server]protocol.ServerState
	groups    map[group.ID]group.Configuration
	entries   map[inventory.InstanceName]protocol.EntryState
	fullCount int
}

func (r *topologyReceiver) apply(topology *protocol.Topology) {
	if topology == nil {
		return
	}
	if topology.Full || r.servers == nil {
		r.servers = map[group.Server]protocol.ServerState{}
		r.groups = map[group.ID]group.Configuration{}
		r.entries = map[inventory.InstanceName]protocol.EntryState{}
		r.fullCount++
	}
	r.version = topology.Version
	for _, s := range topology.Servers {
		r.servers[s.Server] = s
	}
	for _, g := range topology.Groups {
		r.groups[g.Group] = g
	}
	for _, e := range topology.Entries {
		r.entries[e.Name] = e
	}
}

func TestDeltasMatchFullTopology(t *testing.T) {
	r := newDriver()
	incremental, fresh := &topologyReceiver{}, &topologyReceiver{}
	for i := range 3000 {
		name := group.Server([]string{"a", "b"}[i%2])
		r.SetGroup(r.now, group.Configuration{Group: groupID, Term: group.Term(i + 1), Primary: name})
		r.announce(protocol.Announcement{Server: name, Address: fmt.Sprint(i), Leaving: i%3 == 0})
		r.HandleEntryReport(r.now, protocol.EntryReport{Name: "e1", Address: fmt.Sprint(i)})
		if i%5 == 0 {
			r.advance(500 * time.Millisecond)
			incremental.apply(r.Topology(incremental.version))
		}
	}
	incremental.apply(r.Topology(incremental.version))
	fresh.apply(r.Topology(protocol.TopologyVersion{}))
	if diff := cmp.Diff(fresh.servers, incremental.servers); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(fresh.groups, incremental.groups); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(fresh.entries, incremental.entries); diff != "" {
		t.Error(diff)
	}
	if incremental.fullCount != 2 {
		t.Errorf("%d full topologies, want one at the start and one after discovery", incremental.fullCount)
	}
	if r.Topology(incremental.version) != nil {
		t.Error("got a topology although nothing has changed")
	}
}

func TestNewLeaderSendsNoFullTopologyDuringDiscovery(t *testing.T) {
	old := newDriver()
	old.announce(protocol.Announcement{Server: "a"})
	version := old.Version()
	r := &rosterDriver{Roster: roster.New(cfg, protocol.TopologyVersion{LeaderTerm: 8}, start), now: start}
	r.SetInventory(start, testInventory())
	if topology := r.Topology(version); topology.Full || len(topology.Servers) != 0 {
		t.Errorf("during discovery: got %+v", topology)
	}
	r.advance(10*time.Second, protocol.Announcement{Server: "b"})
	topology := r.Topology(version)
	if !topology.Full || len(topology.Servers) != 2 || r.health("a") != protocol.HealthSilent {
		t.Errorf("after discovery: got %+v", topology)
	}
}

func TestAddressBelongsToTheServerThatAnnouncedItLast(t *testing.T) {
	r := newDriver()
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
	r := newDriver()
	v1, v2 := protocol.TopologyVersion{LeaderTerm: 7, Count: 1}, protocol.TopologyVersion{LeaderTerm: 7, Count: 2}
	r.HandleEntryReport(r.now, protocol.EntryReport{Name: "e1", Topology: v2})
	r.HandleEntryReport(r.now, protocol.EntryReport{Name: "e2", Topology: v1})
	if r.Drained(groupID, v2) {
		t.Error("drained although an entry has not received the topology")
	}
	r.HandleEntryReport(r.now, protocol.EntryReport{Name: "e2", Topology: v2, OlderTermGroups: []group.ID{groupID}})
	if r.Drained(groupID, v2) {
		t.Error("drained although a transaction is running")
	}
	r.HandleEntryReport(r.now, protocol.EntryReport{Name: "e2", Topology: v2})
	if !r.Drained(groupID, v2) {
		t.Error("not drained")
	}
}
