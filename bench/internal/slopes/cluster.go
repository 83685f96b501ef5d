package slopes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

const (
	identityLifetime  = time.Hour
	callTimeout       = 2 * time.Second
	leaderTimeout     = 20 * time.Second
	pollInterval      = 50 * time.Millisecond
	entryIdentityName = "subscriber"
	// clockTicksPerSecond is the unit of processor times in /proc (USER_HZ).
	clockTicksPerSecond = 100
	bytesPerKB          = 1 << 10
)

// newLayout returns a fleet layout with one entry and two databases per service, each with one slot.
func newLayout(control, databases int) fleet.Layout {
	const replicas = 2
	return fleet.Layout{
		Region: "region-1", DataCentres: []inventory.DataCentre{"dc-1", "dc-2", "dc-3"},
		Control: control, Entries: 1, Prefix: "service", Services: databases / replicas, Replicas: replicas, Slots: 1, Connections: 20,
		Workspaces: []inventory.Workspace{{Name: "w1", Rate: 1, Burst: 1, Weight: 1}},
	}
}

// cluster is a set of control processes that simulated entries and databases send requests to.
type cluster struct {
	fleet    *fleet.Fleet
	dir      string
	identity *identity.Source
	leader   *fleet.Instance
	revision int

	stop       context.CancelFunc
	ctx        context.Context
	background sync.WaitGroup
	// answered and failed count the calls to the leader.
	answered, failed atomic.Int64
}

// startCluster starts control processes. A layout must have an entry, so one is started with them and then stopped.
func startCluster(ctx context.Context, options Options, name string, control int) (*cluster, error) {
	dir := filepath.Join(options.OutDir, name)
	f, err := fleet.Start(ctx, newLayout(control, 0), fleet.Options{BinDir: options.BinDir, Dir: dir, Relays: true})
	if err != nil {
		return nil, err
	}
	c := &cluster{fleet: f, dir: dir, revision: 1}
	c.ctx, c.stop = context.WithCancel(ctx)
	if err := errors.Join(f.Entries[0].Stop(ctx), c.issueIdentity()); err != nil {
		return nil, errors.Join(err, c.close())
	}
	if err := c.findLeader(); err != nil {
		return nil, errors.Join(err, c.close())
	}
	return c, nil
}

func (c *cluster) close() error {
	c.stop()
	c.background.Wait()
	return c.fleet.Close()
}

// issueIdentity issues the certificate that all simulated entries share and loads it.
func (c *cluster) issueIdentity() error {
	authorityDir := filepath.Join(c.dir, "fleet", "authority")
	authorityFile := filepath.Join(authorityDir, "authority.pem")
	certificate, err := os.ReadFile(authorityFile)
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	key, err := os.ReadFile(filepath.Join(authorityDir, "authority-key.pem"))
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	authority, err := identity.LoadAuthority(identity.KeyPair{Certificate: certificate, Key: key})
	if err != nil {
		return err
	}
	pair, err := authority.Issue(entryIdentityName, identity.RoleEntry, nil, time.Now(), identityLifetime)
	if err != nil {
		return err
	}
	files := identity.Files{
		Authority:   authorityFile,
		Certificate: filepath.Join(c.dir, entryIdentityName+".pem"), Key: filepath.Join(c.dir, entryIdentityName+"-key.pem"),
	}
	if err := errors.Join(os.WriteFile(files.Certificate, pair.Certificate, 0o600), os.WriteFile(files.Key, pair.Key, 0o600)); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	c.identity, err = identity.Load(files)
	return err
}

// openEndpoint opens an endpoint for a simulated entry. It is served until the cluster is closed.
func (c *cluster) openEndpoint() (*link.Endpoint, error) {
	e, err := link.Listen(link.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Name: entryIdentityName, Incarnation: 1,
		Identity: c.identity, Clock: &hlc.Clock{}, Log: logs.Discard(),
	})
	if err != nil {
		return nil, err
	}
	c.background.Go(func() { _ = e.Serve(c.ctx) })
	return e, nil
}

// callLeader sends a request to the leader and counts whether it was answered or failed.
func (c *cluster) callLeader(e *link.Endpoint, kind protocol.Kind, request, reply any) error {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	err := e.Call(ctx, c.leader.PeerRelay.Address(), kind, request, reply)
	if err != nil {
		c.failed.Add(1)
		return err
	}
	c.answered.Add(1)
	return nil
}

// findLeader sends renewals to the control processes in turn until one accepts, which only the leader does.
func (c *cluster) findLeader() error {
	e, err := c.openEndpoint()
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(leaderTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		for _, instance := range c.fleet.Control {
			ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
			err := e.Call(ctx, instance.PeerRelay.Address(), protocol.KindRenew, &protocol.RenewRequest{}, &protocol.RenewReply{})
			cancel()
			if err == nil {
				c.leader = instance
				return nil
			}
		}
	}
	return errors.New("slopes: no control process became leader")
}

// applyInventory applies an inventory with lentilctl and returns how long it took to be in force.
func (c *cluster) applyInventory(ctx context.Context, inv *inventory.Inventory) (time.Duration, error) {
	data, err := json.Marshal(inv)
	if err != nil {
		return 0, fmt.Errorf("slopes: %w", err)
	}
	path := filepath.Join(c.dir, "inventory.jsonc")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return 0, fmt.Errorf("slopes: %w", err)
	}
	startTime := time.Now()
	_, err = c.fleet.RunLentilctl(ctx, "inventory", "apply", path, "--base", strconv.Itoa(c.revision))
	c.revision++
	return time.Since(startTime), err
}

// resourceUsage is the cumulative resource use of a process, and the traffic of its relay, at one time. Memory is the
// resident set in MB.
type resourceUsage struct {
	at             time.Time
	processor      time.Duration
	memory         float64
	packets, bytes uint64
}

func readInstanceUsage(i *fleet.Instance) (resourceUsage, error) {
	u, err := readUsage(i.PID())
	u.packets, u.bytes = i.PeerRelay.Traffic()
	return u, err
}

// readUsage reads the processor time and resident memory of a process from /proc.
func readUsage(pid int) (resourceUsage, error) {
	u := resourceUsage{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, fmt.Errorf("slopes: %w", err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u.processor = time.Duration(user+system) * time.Second / clockTicksPerSecond
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, fmt.Errorf("slopes: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			u.memory = float64(kilobytes) / bytesPerKB
		}
	}
	return u, nil
}

// usageRates are the resource use of a process and the calls that it answered, per second; processor is in percent of a
// core and memory in MB.
type usageRates struct{ processor, memory, packets, bytes, calls float64 }

// measureLeader measures the leader for a duration. It fails if any call to the leader fails meanwhile.
func (c *cluster) measureLeader(ctx context.Context, duration time.Duration) (usageRates, error) {
	answered, failed := c.answered.Load(), c.failed.Load()
	before, err := readInstanceUsage(c.leader)
	if err != nil {
		return usageRates{}, err
	}
	select {
	case <-ctx.Done():
		return usageRates{}, ctx.Err()
	case <-time.After(duration):
	}
	after, err := readInstanceUsage(c.leader)
	if n := c.failed.Load() - failed; n > 0 {
		err = errors.Join(err, fmt.Errorf("slopes: %d calls to the leader failed", n))
	}
	elapsed := after.at.Sub(before.at).Seconds()
	return usageRates{
		processor: 100 * (after.processor - before.processor).Seconds() / elapsed,
		memory:    after.memory,
		packets:   float64(after.packets-before.packets) / elapsed,
		bytes:     float64(after.bytes-before.bytes) / elapsed,
		calls:     float64(c.answered.Load()-answered) / elapsed,
	}, err
}

// usageSeries holds one series for each field of usageRates, in the same order.
type usageSeries [5]Series

func newUsageSeries(measurement, sizeUnit string) usageSeries {
	var r usageSeries
	for i, quantity := range []string{"processor, % of a core", "memory, MB", "packets/s", "bytes/s", "calls/s"} {
		r[i] = Series{Measurement: measurement, Quantity: quantity, SizeUnit: sizeUnit}
	}
	return r
}

func (r *usageSeries) addRates(size int, rates usageRates) {
	for i, value := range []float64{rates.processor, rates.memory, rates.packets, rates.bytes, rates.calls} {
		r[i].addPoint(size, value)
	}
}
