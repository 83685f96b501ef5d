package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
)

// The load of the comparison.
const (
	comparedFor   = 60 * time.Second
	serviceTime   = 5 * time.Millisecond
	hopTime       = 500 * time.Microsecond
	queueDeadline = 250 * time.Millisecond
	// shiftPeriod is how long the busiest entry stays the same.
	shiftPeriod = 5 * time.Second
	demandTick  = 250 * time.Millisecond
)

// event is something that happens in the model at a time.
type event struct {
	at   time.Duration
	call func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// station is the connections of one entry with the requests that wait for them.
type station struct {
	limit, busy int
	peak        int
	waiting     []time.Duration
}

// model serves a skewed load by the stations of a fleet of entries.
type model struct {
	rng      *rand.Rand
	now      time.Duration
	events   events
	stations []station
	// stationOf returns the station that serves the requests of an entry.
	stationOf func(entry int) int
	sojourns  []time.Duration
	refused   int
}

func (m *model) after(delay time.Duration, call func()) {
	heap.Push(&m.events, event{at: m.now + delay, call: call})
}

func (m *model) run() {
	for len(m.events) > 0 && m.now < comparedFor {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.call()
	}
}

// arrive sends requests at a rate, most of them to one entry that changes, as the next ones by Zipf's law.
func (m *model) arrive(perSecond float64) {
	n := len(m.stations)
	total := 0.0
	for rank := range n {
		total += 1 / float64(rank+1)
	}
	at, rank := m.rng.Float64()*total, 0
	for at -= 1; at > 0 && rank < n-1; rank++ {
		at -= 1 / float64(rank+2)
	}
	m.request((rank + int(m.now/shiftPeriod)) % n)
	m.after(time.Duration(m.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { m.arrive(perSecond) })
}

func (m *model) request(entry int) {
	to := m.stationOf(entry)
	if to != entry {
		arrived := m.now
		m.after(hopTime/2, func() { m.join(to, arrived) })
		return
	}
	m.join(to, m.now)
}

func (m *model) join(to int, arrived time.Duration) {
	s := &m.stations[to]
	s.waiting = append(s.waiting, arrived)
	s.peak = max(s.peak, s.busy+len(s.waiting))
	m.serve(to)
}

func (m *model) serve(at int) {
	s := &m.stations[at]
	for s.busy < s.limit && len(s.waiting) > 0 {
		arrived := s.waiting[0]
		s.waiting = s.waiting[1:]
		if m.now-arrived > queueDeadline {
			m.refused++
			continue
		}
		s.busy++
		m.after(time.Duration(m.rng.ExpFloat64()*float64(serviceTime)), func() {
			s.busy--
			m.sojourns = append(m.sojourns, m.now-arrived)
			m.serve(at)
		})
	}
}

func newModel(seed uint64, entries int) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 7)), stations: make([]station, entries)}
	m.stationOf = func(entry int) int { return entry }
	return m
}

// split gives every entry the same number of connections.
func split(m *model) {
	for i := range m.stations {
		m.stations[i].limit = connections / len(m.stations)
	}
}

// forward leases the connections to the database's homes, which serve the other entries as well.
func forward(m *model) {
	settings := placement.DefaultSettings()
	id := group.ServerID{Service: "inventario-1", Server: "db-0"}
	database := placement.Database{ID: id, DataCentre: "raquira", Connections: connections}
	var entries []placement.Entry
	for i := range m.stations {
		entries = append(entries, placement.Entry{Name: inventory.InstanceName(fmt.Sprintf("entry-%d", i)), DataCentre: "raquira"})
	}
	leader := placement.NewLeader(settings, origin, true)
	leader.SetDatabases([]placement.Database{database})
	leader.SetEntries(entries)
	var homes []int
	for _, name := range placement.Homes(nil, &database, entries, settings.Homes) {
		homes = append(homes, slices.IndexFunc(entries, func(e placement.Entry) bool { return e.Name == name }))
	}
	m.stationOf = func(entry int) int {
		if slices.Contains(homes, entry) {
			return entry
		}
		return homes[0]
	}
	for _, home := range homes {
		keeper := placement.NewLeaseClient(settings, entries[home].Name, 1)
		var ask func()
		ask = func() {
			s := &m.stations[home]
			now := origin.Add(m.now)
			request := keeper.NewRequest(now, []placement.Usage{{Database: id, Open: s.busy, Demand: s.peak}})
			s.peak = s.busy + len(s.waiting)
			if reply, answered := leader.Handle(now, &request); answered {
				keeper.HandleReply(&reply)
			}
			s.limit = keeper.Budget(now, id).Target
			m.serve(home)
			m.after(demandTick, ask)
		}
		ask()
	}
}

// BenchmarkForwarding compares splitting a database's connections over all entries with forwarding to its homes.
func BenchmarkForwarding(b *testing.B) {
	for _, entries := range []int{8, 20} {
		for _, load := range []float64{0.3, 0.5, 0.7} {
			for name, arrange := range map[string]func(*model){"split": split, "homes": forward} {
				b.Run(fmt.Sprintf("entries=%d/load=%v/%s", entries, load, name), func(b *testing.B) {
					var sojourns []time.Duration
					refused := 0
					for i := range b.N {
						m := newModel(uint64(i), entries)
						arrange(m)
						m.arrive(load * connections / serviceTime.Seconds())
						m.run()
						sojourns = append(sojourns, m.sojourns...)
						refused += m.refused
					}
					slices.Sort(sojourns)
					b.ReportMetric(float64(sojourns[len(sojourns)/2].Microseconds())/1000, "p50ms")
					b.ReportMetric(float64(sojourns[len(sojourns)*99/100].Microseconds())/1000, "p99ms")
					b.ReportMetric(100*float64(refused)/float64(refused+len(sojourns)), "%refused")
				})
			}
		}
	}
}
