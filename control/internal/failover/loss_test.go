package failover_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/control/internal/roster"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// BenchmarkDataCentreLoss reports the time until every group has a primary again after a third of the databases crashed at once.
func BenchmarkDataCentreLoss(b *testing.B) {
	for _, services := range []int{3, 10, 30} {
		b.Run(fmt.Sprintf("databases=%d", 3*services), func(b *testing.B) {
			var worst time.Duration
			for range b.N {
				worst = max(worst, loseDataCentre(b, services))
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

// region is a number of services with databases in three data centres.
type region struct {
	b        *testing.B
	roster   *roster.Service
	services []database.Service
	mu       sync.Mutex
	suspects []protocol.Suspicion
}

func loseDataCentre(b *testing.B, services int) time.Duration {
	b.Helper()
	s := newStore()
	l := &ledger{s}
	s.setLeader(l)
	command := catalog.Command{ApplyInventory: &catalog.ApplyInventory{Operation: "1", Document: regionDocument(services)}}
	if result, err := l.Propose(b.Context(), command); err != nil || result.Outcome != catalog.OutcomeAccepted {
		b.Fatal(result, err)
	}
	r := &region{b: b}
	r.roster = runLeader(b, l, 3*services)
	announcements := httptest.NewServer(http.HandlerFunc(r.announce))
	defer announcements.Close()
	for n := range services {
		cfg := database.Config{Service: serviceName(n), Announce: []string{announcements.URL}, ForgetRecord: true}
		started, err := database.StartService(cfg, databaseNames(n)...)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = started.Close() }()
		r.services = append(r.services, started)
	}
	r.await(services, 0, func(c group.Configuration) bool { return c.Primary != "" })
	return r.killDataCentre(services)
}

// killDataCentre crashes the first database of every service and waits for the affected groups to fail over.
func (r *region) killDataCentre(services int) time.Duration {
	r.b.Helper()
	start := time.Now()
	for n, service := range r.services {
		if err := service[0].Crash(); err != nil {
			r.b.Fatal(err)
		}
		r.mu.Lock()
		r.suspects = append(r.suspects, protocol.Suspicion{Service: serviceName(n), Server: databaseNames(n)[0]})
		r.mu.Unlock()
	}
	r.await(services, 0, func(c group.Configuration) bool {
		return c.Primary != "" && !strings.HasSuffix(string(c.Primary), "-0")
	})
	return time.Since(start)
}

// await polls until a condition holds for the first group of every service, while an entry of each data centre reports.
func (r *region) await(services int, slot group.Slot, holds func(group.Configuration) bool) {
	r.b.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		suspects := r.suspects
		r.mu.Unlock()
		for dc := range 3 {
			name := inventory.InstanceName(fmt.Sprintf("entry-%d", dc))
			r.roster.HandleEntryReport(protocol.EntryReport{Name: name, Incarnation: 1, Suspects: suspects})
		}
		held := 0
		for _, configuration := range r.roster.Topology(protocol.TopologyVersion{}).Groups {
			if configuration.Group.Slot == slot && holds(configuration) {
				held++
			}
		}
		if held == services {
			return
		}
	}
	r.b.Fatal("timed out")
}

func (r *region) announce(w http.ResponseWriter, request *http.Request) {
	var a protocol.Announcement
	if err := json.NewDecoder(request.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := r.roster.Announce(time.Now(), a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(reply)
}

func serviceName(n int) group.Service { return group.Service(fmt.Sprintf("service-%d", n)) }

func databaseNames(n int) []group.Server {
	var list []group.Server
	for i := range 3 {
		list = append(list, group.Server(fmt.Sprintf("database-%d-%d", n, i)))
	}
	return list
}

func regionDocument(services int) string {
	var list []string
	for n := range services {
		var databases []string
		for i, name := range databaseNames(n) {
			databases = append(databases, fmt.Sprintf(`{"name": %q, "dataCentre": "dc%d"}`, name, i))
		}
		list = append(list, fmt.Sprintf(`{"name": %q, "slots": 3, "connections": 20, "databases": [%s]}`,
			serviceName(n), strings.Join(databases, ",")))
	}
	var instances []string
	for dc := range 3 {
		instances = append(instances, fmt.Sprintf(`{"name": "entry-%d", "dataCentre": "dc%d"}`, dc, dc))
	}
	return fmt.Sprintf(`{"regions": [{"name": "r", "dataCentres": ["dc0", "dc1", "dc2"]}], "instances": [%s], "services": [%s]}`,
		strings.Join(instances, ","), strings.Join(list, ","))
}
