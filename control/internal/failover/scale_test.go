package failover_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/control/internal/failover"
	"lentilwind.dev/control/internal/monitor"
	"lentilwind.dev/control/internal/roster"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/instance/timer"
	"lentilwind.dev/lentilwind/affinity"
	"lentilwind.dev/lentilwind/catalog"
	corefailover "lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/protocol"
	coreroster "lentilwind.dev/lentilwind/roster"
)

// BenchmarkAnnouncement measures the cost of one announcement on a leader with a number of healthy databases.
func BenchmarkAnnouncement(b *testing.B) {
	for _, databases := range []int{90, 450, 1400} {
		b.Run(fmt.Sprint(databases), func(b *testing.B) {
			r, announcements := startLeader(b, databases)
			for i := range announcements {
				if _, err := r.Announce(time.Now(), announcements[i]); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				a := announcements[n%len(announcements)]
				a.Sequence = uint64(n + 2)
				for i := range a.Slots {
					a.Slots[i].Received++
				}
				if _, err := r.Announce(time.Now(), a); err != nil {
					b.Fatal(err)
				}
			}
			data, err := protocol.Encode(announcements[0])
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// startLeader starts a leader of services with 3 databases and 3 slots each, all with primaries, and returns an announcement of each
// database.
func startLeader(b *testing.B, databases int) (*roster.Service, []protocol.Announcement) {
	b.Helper()
	var services string
	var announcements []protocol.Announcement
	s := newStore()
	l := &ledger{s}
	s.setLeader(l)
	for n := range databases / 3 {
		name := group.Service(fmt.Sprintf("service-%d", n))
		services += fmt.Sprintf(`{"name": %q, "slots": 3, "connections": 20, "databases": [`, name)
		for i := range 3 {
			server := group.Server(fmt.Sprintf("database-%d-%d", n, i))
			services += fmt.Sprintf(`{"name": %q, "dataCentre": "dc1"},`, server)
			a := protocol.Announcement{Service: name, Server: server, DataCentre: "dc1", Address: fmt.Sprintf("10.0.%d.%d:5432", n, i), Incarnation: 1 << 60, Sequence: 1}
			for slot := range 3 {
				status := group.Status{Slot: group.Slot(slot), Role: group.RoleReplica, Term: 1, FencedTerm: 1, Received: 1 << 30, Applied: 1 << 30, Lag: 10 * time.Millisecond}
				if slot == i {
					status.Role = group.RolePrimary
					configuration := group.Configuration{Group: group.ID{Service: name, Slot: group.Slot(slot)}, Term: 1, Primary: server}
					if _, err := l.Propose(b.Context(), catalog.Command{SetGroup: &catalog.SetGroup{Configuration: configuration}}); err != nil {
						b.Fatal(err)
					}
				}
				a.Slots = append(a.Slots, status)
			}
			announcements = append(announcements, a)
		}
		services += "]},"
	}
	document := fmt.Sprintf(`{"regions": [{"name": "r", "dataCentres": ["dc1"]}], "services": [%s]}`, services)
	command := catalog.Command{ApplyInventory: &catalog.ApplyInventory{Operation: "1", Document: document}}
	if result, err := l.Propose(b.Context(), command); err != nil || result.Outcome != catalog.OutcomeAccepted {
		b.Fatal(result, err)
	}
	return runLeader(b, l, databases), announcements
}

func runLeader(b *testing.B, l *ledger, databases int) *roster.Service {
	b.Helper()
	recorder, err := events.Open("", "control", &hlc.Clock{})
	if err != nil {
		b.Fatal(err)
	}
	r, timers := roster.New(coreroster.DefaultConfig()), timer.NewService()
	service := failover.New(failover.Config{
		Ledger: l, Roster: r, Monitor: monitor.New(monitor.DefaultConfig()), Timer: timers, Events: recorder,
		Log:   &log.Logger{Level: log.PanicLevel},
		Group: corefailover.DefaultConfig(), Detector: corefailover.DefaultDetectorConfig(), Affinity: affinity.DefaultConfig(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return timers.Run(ctx) })
	g.Go(func() error { return service.Run(ctx) })
	b.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	for len(r.Servers()) < databases-databases%3 {
		time.Sleep(time.Millisecond)
	}
	return r
}
