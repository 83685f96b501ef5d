package monitor_test

import (
	"context"
	"net"
	"testing"
	"time"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/control/internal/monitor"
	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
)

const service = group.Service("inventario-1")

// start returns a simulated database that is the primary of its slots in term 1, a monitor and the target of the database.
func start(t *testing.T) (*database.Server, *monitor.Monitor, monitor.Target) {
	t.Helper()
	servers, err := database.StartService(database.Config{Service: service}, "a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = servers.Close() })
	m := monitor.New(monitor.DefaultConfig())
	t.Cleanup(m.Close)
	target := monitor.Target{ID: group.ServerID{Service: service, Server: "a"}, Address: servers[0].Address()}
	return servers[0], m, target
}

func TestAnswersContainStatus(t *testing.T) {
	_, m, target := start(t)
	ctx := t.Context()
	if a := m.Fence(ctx, target, 1, 5); a.Outcome != failover.OutcomeDone || a.Status.FencedTerm != 5 || a.Status.Slot != 1 {
		t.Errorf("fence: got %+v", a)
	}
	if a := m.Fence(ctx, target, 1, 4); a.Outcome != failover.OutcomeRefused || a.Status.FencedTerm != 5 {
		t.Errorf("fence of an older term: got %+v", a)
	}
	if a := m.Promote(ctx, target, 1, 5, 0); a.Outcome != failover.OutcomeDone || a.Status.Role != group.RolePrimary {
		t.Errorf("promote: got %+v", a)
	}
	if a := m.Promote(ctx, target, 1, 5, 0); a.Outcome != failover.OutcomeDone {
		t.Errorf("promote again: got %+v", a)
	}
	if a := m.Wait(ctx, target, 1, 1000, 10*time.Millisecond); a.Outcome != failover.OutcomeDone || a.Status.Received != 0 {
		t.Errorf("wait: got %+v", a)
	}
	if a := m.Follow(ctx, target, 1, 6, "'; DROP TABLE journal"); a.Outcome != failover.OutcomeUnknown {
		t.Errorf("follow an invalid address: got %+v", a)
	}
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	server, m, target := start(t)
	if a := m.Fence(t.Context(), target, 0, 2); a.Outcome != failover.OutcomeDone {
		t.Fatalf("got %+v", a)
	}
	server.SilenceConnections()
	if a := m.Fence(t.Context(), target, 0, 3); a.Outcome != failover.OutcomeDone || a.Status.FencedTerm != 3 {
		t.Errorf("got %+v", a)
	}
	if outcome := m.Probe(t.Context(), target); outcome != failover.ProbeAnswered {
		t.Errorf("got %s", outcome)
	}
}

func TestProbeDistinguishesRefusedFromSilent(t *testing.T) {
	server, m, target := start(t)
	if err := server.Crash(); err != nil {
		t.Fatal(err)
	}
	if outcome := m.Probe(t.Context(), target); outcome != failover.ProbeRefused {
		t.Errorf("got %s", outcome)
	}
	if a := m.Fence(t.Context(), target, 0, 2); a.Outcome != failover.OutcomeUnknown {
		t.Errorf("got %+v", a)
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	target.Address = listener.Addr().String()
	if outcome := m.Probe(t.Context(), target); outcome != failover.ProbeSilent {
		t.Errorf("got %s", outcome)
	}
}
