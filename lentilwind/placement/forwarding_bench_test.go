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

// Parameters of the simulated load.
const (
	measuredPeriod = 60 * time.Second
	serviceTime    = 5 * time.Millisecond
	hopLatency     = 500 * time.Microsecond
	queueDeadline  = 250 * time.Millisecond
	// shiftPeriod is how long the busiest entry stays the same.
	shiftPeriod   = 5 * time.Second
	renewInterval = 250 * time.Millisecond
)

// event is a function that runs at a simulated time.
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

// connectionPool is the connections of one entry and the requests that wait for them.
type connectionPool struct {
	limit, busy int
	peakDemand  int
	waiting     []time.Duration
}

// queueModel simulates a skewed load on the connection pools of a fleet of entries.
type queueModel struct {
	rng    *rand.Rand
	now    time.Duration
	events events
	pools  []connectionPool
	// poolFor returns the pool that serves the requests of an entry.
	poolFor       func(entry int) int
	responseTimes []time.Duration
	refused       int
}

func (m *queueModel) schedule(delay time.Duration, call func()) {
	heap.Push(&m.events, event{at: m.now + delay, call: call})
}

func (m *queueModel) run() {
	for len(m.events) > 0 && m.now < measuredPeriod {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.call()
	}
}

// scheduleArrivals sends requests at a rate. They are distributed over the entries by Zipf's law; the most popular entry
// changes every shiftPeriod.
func (m *queueModel) scheduleArrivals(perSecond float64) {
	n := len(m.pools)
	total := 0.0
	for rank := range n {
		total += 1 / float64(rank+1)
	}
	at, rank := m.rng.Float64()*total, 0
	for at -= 1; at > 0 && rank < n-1; rank++ {
		at -= 1 / float64(rank+2)
	}
	m.request((rank + int(m.now/shiftPeriod)) % n)
	m.schedule(time.Duration(m.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { m.scheduleArrivals(perSecond) })
}

func (m *queueModel) request(entry int) {
	index := m.poolFor(entry)
	if index != entry {
		arrived := m.now
		m.schedule(hopLatency/2, func() { m.enqueue(index, arrived) })
		return
	}
	m.enqueue(index, m.now)
}

func (m *queueModel) enqueue(index int, arrived time.Duration) {
	pool := &m.pools[index]
	pool.waiting = append(pool.waiting, arrived)
	pool.peakDemand = max(pool.peakDemand, pool.busy+len(pool.waiting))
	m.serve(index)
}

func (m *queueModel) serve(index int) {
	pool := &m.pools[index]
	for pool.busy < pool.limit && len(pool.waiting) > 0 {
		arrived := pool.waiting[0]
		pool.waiting = pool.waiting[1:]
		if m.now-arrived > queueDeadline {
			m.refused++
			continue
		}
		pool.busy++
		m.schedule(time.Duration(m.rng.ExpFloat64()*float64(serviceTime)), func() {
			pool.busy--
			m.responseTimes = append(m.responseTimes, m.now-arrived)
			m.serve(index)
		})
	}
}

func newQueueModel(seed uint64, entries int) *queueModel {
	m := &queueModel{rng: rand.New(rand.NewPCG(seed, 7)), pools: make([]connectionPool, entries)}
	m.poolFor = func(entry int) int { return entry }
	return m
}

// splitEvenly gives every entry the same number of connections.
func splitEvenly(m *queueModel) {
	for i := range m.pools {
		m.pools[i].limit = connections / len(m.pools)
	}
}

// forwardToHomes leases the connections to the database's homes, which also serve the other entries.
func forwardToHomes(m *queueModel) {
	settings := placement.DefaultSettings()
	id := group.ServerID{Service: "inventario-1", Server: "db-0"}
	database := placement.Database{ID: id, DataCentre: "raquira", Connections: connections}
	var entries []placement.Entry
	for i := range m.pools {
		entries = append(entries, placement.Entry{Name: inventory.InstanceName(fmt.Sprintf("entry-%d", i)), DataCentre: "raquira"})
	}
	leader := placement.NewLeader(settings, origin, true)
	leader.SetDatabases([]placement.Database{database})
	leader.SetEntries(entries)
	var homes []int
	for _, name := range placement.Homes(nil, &database, entries, settings.Homes) {
		homes = append(homes, slices.IndexFunc(entries, func(e placement.Entry) bool { return e.Name == name }))
	}
	m.poolFor = func(entry int) int {
		if slices.Contains(homes, entry) {
			return entry
		}
		return homes[0]
	}
	for _, home := range homes {
		client := placement.NewLeaseClient(settings, entries[home].Name, 1)
		var renew func()
		renew = func() {
			pool := &m.pools[home]
			now := origin.Add(m.now)
			request := client.NewRequest(now, []placement.Usage{{Database: id, Open: pool.busy, Demand: pool.peakDemand}})
			pool.peakDemand = pool.busy + len(pool.waiting)
			if reply, answered := leader.Handle(now, &request); answered {
				client.HandleReply(&reply)
			}
			pool.limit = client.Budget(now, id).Target
			m.serve(home)
			m.schedule(renewInterval, renew)
		}
		renew()
	}
}

// BenchmarkForwarding compares splitting a database's connections over all entries with forwarding to its homes.
func BenchmarkForwarding(b *testing.B) {
	for _, entries := range []int{8, 20} {
		for _, load := range []float64{0.3, 0.5, 0.7} {
			for name, configure := range map[string]func(*queueModel){"split": splitEvenly, "homes": forwardToHomes} {
				b.Run(fmt.Sprintf("entries=%d/load=%v/%s", entries, load, name), func(b *testing.B) {
					var responseTimes []time.Duration
					refused := 0
					for i := range b.N {
						m := newQueueModel(uint64(i), entries)
						configure(m)
						m.scheduleArrivals(load * connections / serviceTime.Seconds())
						m.run()
						responseTimes = append(responseTimes, m.responseTimes...)
						refused += m.refused
					}
					slices.Sort(responseTimes)
					b.ReportMetric(float64(responseTimes[len(responseTimes)/2].Microseconds())/1000, "p50ms")
					b.ReportMetric(float64(responseTimes[len(responseTimes)*99/100].Microseconds())/1000, "p99ms")
					b.ReportMetric(100*float64(refused)/float64(refused+len(responseTimes)), "%refused")
				})
			}
		}
	}
}
