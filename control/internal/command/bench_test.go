package command_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentilwind.dev/control/internal/settings"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// clockTicks is the number of clock ticks per second in /proc.
const clockTicks = 100

// usage returns the CPU time and the resident memory of a process.
func (f *fleet) usage(i int) (time.Duration, int) {
	pid := f.running[i].process.Pid
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	return time.Duration(user+system) * time.Second / clockTicks, pages * os.Getpagesize()
}

// countingRelay forwards packets to one process and its replies, and counts both.
type countingRelay struct {
	packets, bytes *atomic.Int64
	socket         *net.UDPConn
	to             *net.UDPAddr
}

func (c *countingRelay) forwardRequests() {
	back := map[netip.AddrPort]*net.UDPConn{}
	buf := make([]byte, 1<<16)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			for _, conn := range back {
				_ = conn.Close()
			}
			return
		}
		conn := back[from]
		if conn == nil {
			if conn, err = net.DialUDP("udp", nil, c.to); err != nil {
				return
			}
			back[from] = conn
			go c.forwardReplies(conn, from)
		}
		c.count(n)
		_, _ = conn.Write(buf[:n])
	}
}

func (c *countingRelay) forwardReplies(conn *net.UDPConn, to netip.AddrPort) {
	buf := make([]byte, 1<<16)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		c.count(n)
		_, _ = c.socket.WriteToUDPAddrPort(buf[:n], to)
	}
}

func (c *countingRelay) count(n int) {
	c.packets.Add(1)
	c.bytes.Add(int64(n))
}

// BenchmarkIdleTraffic measures the traffic between idle control processes.
func BenchmarkIdleTraffic(b *testing.B) {
	const span = 10 * time.Second
	for _, members := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			f := newFleet(b, 0)
			var packets, bytes atomic.Int64
			for i := 1; i <= members; i++ {
				public := netip.MustParseAddrPort(f.address(i, 7102))
				socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(public))
				if err != nil {
					b.Fatal(err)
				}
				b.Cleanup(func() { _ = socket.Close() })
				to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(f.address(i, 7101)))
				go (&countingRelay{&packets, &bytes, socket, to}).forwardRequests()
				f.members = append(f.members, settings.Member{Name: f.name(i), Address: public.String()})
			}
			f.countsPackets = true
			for i := 1; i <= members; i++ {
				f.start(i)
			}
			f.mustApply("a", 0, 1)
			leader := f.leader()
			time.Sleep(time.Second)
			packets.Store(0)
			bytes.Store(0)
			cpuBefore, _ := f.usage(leader)
			time.Sleep(span)
			cpu, memory := f.usage(leader)
			n := float64(members) * span.Seconds()
			b.ReportMetric(2*float64(bytes.Load())/n, "bytes/s/node")
			b.ReportMetric(2*float64(packets.Load())/n, "packets/s/node")
			b.ReportMetric(100*(cpu-cpuBefore).Seconds()/span.Seconds(), "leader-cpu-%")
			b.ReportMetric(float64(memory)/(1<<20), "leader-MB")
		})
	}
}

// runSubscriber simulates an entry: it renews its lease and reports the revisions that it receives as applied.
func runSubscriber(ctx context.Context, f *fleet, e *link.Endpoint, name string, leader int) {
	to := netip.MustParseAddrPort(f.address(leader, 7101))
	request := protocol.RenewRequest{Wait: time.Second}
	for ctx.Err() == nil {
		request.Entries = []protocol.EntryReport{{
			Name: inventory.InstanceName(name), Incarnation: 1, DataCentre: "raquira", Address: "127.0.0.1:1", Applied: request.Inventory,
		}}
		var reply protocol.RenewReply
		if err := e.Call(ctx, to, protocol.KindRenew, &request, &reply); err != nil {
			continue
		}
		request.Inventory = max(request.Inventory, reply.Revision)
		if reply.Topology != nil {
			request.Topology = reply.Topology.Version
		}
	}
}

// BenchmarkApplyToInForce measures the time from applying an inventory until the leader reports it in force.
func BenchmarkApplyToInForce(b *testing.B) {
	const changes = 30
	for _, entries := range []int{8, 50, 200, 600} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			f := newFleet(b, 3)
			f.start(1, 2, 3)
			f.mustApply("first", 0, 0)
			leader := f.leader()
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			for i := range entries {
				name := fmt.Sprintf("entry-%d", i)
				e := f.endpoint(name)
				running.Go(func() { runSubscriber(ctx, f, e, name, leader) })
			}
			f.await("all leases", func() bool { return f.grantedLeases() == entries })
			f.await("the end of leases of an earlier leader", func() bool { return f.status().InForce })
			cpuBefore, _ := f.usage(leader)
			start := time.Now()
			var times []time.Duration
			for i := range changes {
				at := time.Now()
				f.mustApply(fmt.Sprint("op-", i), inventory.Revision(i+1), i+1)
				var answer protocol.InForce
				path := fmt.Sprintf("/v1/inventory/in-force?revision=%d&waitMs=20000", i+2)
				for !answer.InForce {
					if err := f.call(leader, http.MethodGet, path, nil, &answer); err != nil {
						b.Fatal(err)
					}
				}
				times = append(times, time.Since(at))
				time.Sleep(100 * time.Millisecond)
			}
			cpu, memory := f.usage(leader)
			span := time.Since(start)
			cancel()
			running.Wait()
			slices.Sort(times)
			b.ReportMetric(float64(times[changes/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(times[changes-1].Microseconds())/1000, "worst-ms")
			b.ReportMetric(100*(cpu-cpuBefore).Seconds()/span.Seconds(), "leader-cpu-%")
			b.ReportMetric(float64(memory)/(1<<20), "leader-MB")
		})
	}
}

// grantedLeases returns the number of entries to which the leader has granted a lease.
func (f *fleet) grantedLeases() int {
	for i := range f.running {
		response, err := http.Get("http://" + f.address(i, 7301) + "/metrics")
		if err != nil {
			continue
		}
		var page strings.Builder
		_, _ = fmt.Fprint(&page, readAll(response))
		for line := range strings.Lines(page.String()) {
			if value, found := strings.CutPrefix(line, "control_leases{"); found {
				fields := strings.Fields(value)
				if n, _ := strconv.Atoi(fields[len(fields)-1]); n > 0 {
					return n
				}
			}
		}
	}
	return 0
}
