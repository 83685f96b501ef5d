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
	identityLifetime = time.Hour
	callTimeout      = 2 * time.Second
	leaderTimeout    = 20 * time.Second
	leaderPoll       = 50 * time.Millisecond
	subscriberFile   = "subscriber"
	// clockTicks is the number of processor ticks a second in /proc.
	clockTicks = 100
	bytesPerKB = 1 << 10
)

// layout returns a layout without entries' work: two databases a service, one slot each.
func layout(control, databases int) fleet.Layout {
	const replicas = 2
	return fleet.Layout{
		Region: "region-1", DataCentres: []inventory.DataCentre{"dc-1", "dc-2", "dc-3"},
		Control: control, Entries: 1, Prefix: "service", Services: databases / replicas, Replicas: replicas, Slots: 1, Connections: 20,
		Workspaces: []inventory.Workspace{{Name: "w1", Rate: 1, Burst: 1, Weight: 1}},
	}
}

// plant is a set of control processes with light entries before it.
type plant struct {
	fleet    *fleet.Fleet
	dir      string
	identity *identity.Source
	leader   *fleet.Instance
	revision int

	stop    context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
	// answered and failed count the calls of the light entries.
	answered, failed atomic.Int64
}

// newPlant starts control processes; the entry that a plan must have is stopped again.
func newPlant(ctx context.Context, options Options, name string, control int) (*plant, error) {
	dir := filepath.Join(options.OutDir, name)
	f, err := fleet.Start(ctx, layout(control, 0), fleet.Options{BinDir: options.BinDir, Dir: dir, Relays: true})
	if err != nil {
		return nil, err
	}
	p := &plant{fleet: f, dir: dir, revision: 1}
	p.ctx, p.stop = context.WithCancel(ctx)
	if err := errors.Join(f.Entries[0].Stop(ctx), p.issue()); err != nil {
		return nil, errors.Join(err, p.close())
	}
	if err := p.findLeader(); err != nil {
		return nil, errors.Join(err, p.close())
	}
	return p, nil
}

func (p *plant) close() error {
	p.stop()
	p.running.Wait()
	return p.fleet.Close()
}

// issue makes the certificate that all light entries share.
func (p *plant) issue() error {
	folder := filepath.Join(p.dir, "fleet", "authority")
	authorityFile := filepath.Join(folder, "authority.pem")
	certificate, err := os.ReadFile(authorityFile)
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	key, err := os.ReadFile(filepath.Join(folder, "authority-key.pem"))
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	authority, err := identity.LoadAuthority(identity.KeyPair{Certificate: certificate, Key: key})
	if err != nil {
		return err
	}
	pair, err := authority.Issue(subscriberFile, identity.RoleEntry, nil, time.Now(), identityLifetime)
	if err != nil {
		return err
	}
	files := identity.Files{
		Authority:   authorityFile,
		Certificate: filepath.Join(p.dir, subscriberFile+".pem"), Key: filepath.Join(p.dir, subscriberFile+"-key.pem"),
	}
	if err := errors.Join(os.WriteFile(files.Certificate, pair.Certificate, 0o600), os.WriteFile(files.Key, pair.Key, 0o600)); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	p.identity, err = identity.Load(files)
	return err
}

// endpoint opens the end of a light entry, which closes with the plant.
func (p *plant) endpoint() (*link.Endpoint, error) {
	e, err := link.Listen(link.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Name: subscriberFile, Incarnation: 1,
		Identity: p.identity, Clock: &hlc.Clock{}, Log: logs.Discard(),
	})
	if err != nil {
		return nil, err
	}
	p.running.Go(func() { _ = e.Serve(p.ctx) })
	return e, nil
}

// call sends a request to the leader and counts how it ended.
func (p *plant) call(e *link.Endpoint, kind protocol.Kind, request, reply any) error {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	err := e.Call(ctx, p.leader.PeerRelay.Address(), kind, request, reply)
	if err != nil {
		p.failed.Add(1)
		return err
	}
	p.answered.Add(1)
	return nil
}

// findLeader asks every control process until one leads.
func (p *plant) findLeader() error {
	e, err := p.endpoint()
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(leaderTimeout); time.Now().Before(deadline); time.Sleep(leaderPoll) {
		for _, c := range p.fleet.Control {
			ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
			err := e.Call(ctx, c.PeerRelay.Address(), protocol.KindRenew, &protocol.RenewRequest{}, &protocol.RenewReply{})
			cancel()
			if err == nil {
				p.leader = c
				return nil
			}
		}
	}
	return errors.New("slopes: no control process leads")
}

// apply sends an inventory and waits until it is in force.
func (p *plant) apply(ctx context.Context, inv *inventory.Inventory) (time.Duration, error) {
	data, err := json.Marshal(inv)
	if err != nil {
		return 0, fmt.Errorf("slopes: %w", err)
	}
	path := filepath.Join(p.dir, "inventory.jsonc")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return 0, fmt.Errorf("slopes: %w", err)
	}
	began := time.Now()
	_, err = p.fleet.RunLentilctl(ctx, "inventory", "apply", path, "--base", strconv.Itoa(p.revision))
	p.revision++
	return time.Since(began), err
}

// usage is what a process and its relay have used up to a moment.
type usage struct {
	at             time.Time
	processor      time.Duration
	memory         float64
	packets, bytes uint64
}

func measure(i *fleet.Instance) (usage, error) {
	u, err := readUsage(i.PID())
	u.packets, u.bytes = i.PeerRelay.Traffic()
	return u, err
}

// readUsage returns the processor time and memory of a process.
func readUsage(pid int) (usage, error) {
	u := usage{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, fmt.Errorf("slopes: %w", err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u.processor = time.Duration(user+system) * time.Second / clockTicks
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

// rates is what a process used over a span, and the calls that it answered.
type rates struct{ processor, memory, packets, bytes, calls float64 }

// watch measures the leader over a span; no call may fail in it.
func (p *plant) watch(ctx context.Context, span time.Duration) (rates, error) {
	answered, failed := p.answered.Load(), p.failed.Load()
	before, err := measure(p.leader)
	if err != nil {
		return rates{}, err
	}
	select {
	case <-ctx.Done():
		return rates{}, ctx.Err()
	case <-time.After(span):
	}
	after, err := measure(p.leader)
	if n := p.failed.Load() - failed; n > 0 {
		err = errors.Join(err, fmt.Errorf("slopes: %d calls failed", n))
	}
	seconds := after.at.Sub(before.at).Seconds()
	return rates{
		processor: 100 * (after.processor - before.processor).Seconds() / seconds,
		memory:    after.memory,
		packets:   float64(after.packets-before.packets) / seconds,
		bytes:     float64(after.bytes-before.bytes) / seconds,
		calls:     float64(p.answered.Load()-answered) / seconds,
	}, err
}

// roleSeries collects the rates of a role over sizes.
type roleSeries [5]Series

func newRoleSeries(measurement, per string) roleSeries {
	var r roleSeries
	for i, value := range []string{"processor, % of a core", "memory, MB", "packets/s", "bytes/s", "calls/s"} {
		r[i] = Series{Measurement: measurement, Quantity: value, SizeUnit: per}
	}
	return r
}

func (r *roleSeries) add(size int, used rates) {
	for i, value := range []float64{used.processor, used.memory, used.packets, used.bytes, used.calls} {
		r[i].add(size, value)
	}
}
