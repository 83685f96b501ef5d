package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"lentilwind.dev/bench/checker"
	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/bench/internal/load"
	"lentilwind.dev/bench/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Options says what to run.
type Options struct {
	Scenario Scenario
	// BinDir is the folder with the programs and OutDir an empty folder for the results.
	BinDir, OutDir string
	Plan           *Plan
	Seed           uint64
	Duration       time.Duration
	// Relays puts relays between the processes, with the delays of the users' networks.
	Relays bool
	// Progress gets a line now and then.
	Progress io.Writer
}

const (
	dataCentreDelay = time.Millisecond
	clientDelay     = 3 * time.Millisecond
	clientZone      = relay.Zone("clients")
	progressPeriod  = 2 * time.Second
	settleTimeout   = 30 * time.Second
	settlePeriod    = 100 * time.Millisecond
	drainTime       = 15 * time.Second
)

// experiment is one run.
type experiment struct {
	Options
	fleet    *fleet.Fleet
	load     *load.Generator
	start    time.Time
	requests *history.Writer[history.Request]
	// spareKeys replace those that are withdrawn.
	spareKeys map[inventory.WorkspaceName]fleet.Key
	// watchers are callers with keys that are being withdrawn.
	watchers sync.WaitGroup

	mu  sync.Mutex
	run checker.Run
}

// Run starts a fleet, offers the load, brings about the faults, stops all and judges what was recorded.
func Run(ctx context.Context, options Options) (*checker.Summary, error) {
	layout, err := options.Scenario.Layout()
	if err != nil {
		return nil, err
	}
	// Settings files name paths relative to themselves, so a relative folder would not do.
	if options.OutDir, err = filepath.Abs(options.OutDir); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	e := &experiment{Options: options}
	e.say("starting %d control processes, %d entries and %d databases", layout.Control, layout.Entries, layout.Services*layout.Replicas)
	f, err := fleet.Start(ctx, layout, fleet.Options{BinDir: options.BinDir, Dir: filepath.Join(options.OutDir, "fleet"), Relays: options.Relays})
	if err != nil {
		return nil, err
	}
	e.fleet = f
	e.run.Quotas = quotas(layout)
	for _, key := range f.Keys {
		e.run.Keys = append(e.run.Keys, key.Key)
	}
	err = e.measure(ctx)
	e.say("stopping the fleet")
	if err = errors.Join(err, f.Close()); err != nil {
		return nil, err
	}
	return e.judge()
}

func (e *experiment) say(format string, args ...any) {
	if e.Progress != nil {
		fmt.Fprintf(e.Progress, format+"\n", args...)
	}
}

// measure offers the load with its faults and reads the final state.
func (e *experiment) measure(ctx context.Context) error {
	if e.Relays {
		e.delays()
	}
	writer, err := history.Create[history.Request](filepath.Join(e.OutDir, requestsFile))
	if err != nil {
		return err
	}
	e.requests = writer
	if err := errors.Join(e.awaitPrimaries(ctx), e.grantSpareKeys(ctx)); err != nil {
		return errors.Join(err, writer.Close())
	}
	err = e.offer(ctx)
	err = errors.Join(err, e.mendAll(ctx), e.awaitPrimaries(ctx), e.readFinal(ctx))
	return errors.Join(err, writer.Close())
}

// delays puts the users' network delays in force.
func (e *experiment) delays() {
	e.fleet.Network.SetDefaultDelay(dataCentreDelay)
	for _, dataCentre := range e.fleet.Layout.DataCentres {
		e.fleet.Network.SetFault(clientZone, relay.Zone(dataCentre), relay.Fault{Delay: clientDelay})
	}
}

func (e *experiment) config() load.Config {
	cfg := load.Config{
		Services: services(e.fleet), Workspaces: workspaces(e.fleet, e.Duration), Mix: e.Scenario.mix(),
		Seed: e.Seed, Duration: e.Duration, EntrySwitchProbability: load.DefaultEntrySwitchProbability, TokenLossProbability: load.DefaultTokenLossProbability,
		ProbeWorkspace: probeWorkspace, ProbePeriod: probePeriod, Record: e.record,
	}
	for _, entry := range e.fleet.Entries {
		cfg.Entries = append(cfg.Entries, load.Entry{Name: entry.Name(), Address: entry.Callers.String()})
	}
	if e.Relays {
		cfg.LocalAddress = e.fleet.ClientAddress()
	}
	return cfg
}

func (e *experiment) record(r history.Request) {
	_ = e.requests.Add(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.run.Requests = append(e.run.Requests, r)
}

// offer runs the load and the faults side by side.
func (e *experiment) offer(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, e.Duration+drainTime)
	defer cancel()
	e.load = load.New(e.config())
	e.load.SetAPIKey(probeWorkspace, e.fleet.Keys[probeWorkspace].Key)
	e.start = time.Now()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var faults sync.WaitGroup
	faults.Go(func() { e.bringAbout(loadCtx) })
	faults.Go(func() { e.showProgress(loadCtx) })
	givenUp := e.load.Run(loadCtx) != nil
	stop()
	faults.Wait()
	e.watchers.Wait()
	if givenUp && parent.Err() == nil {
		e.run.Skipped = append(e.run.Skipped, fmt.Sprintf("requests without an answer %s after the load were given up", drainTime))
	}
	return parent.Err()
}

func (e *experiment) showProgress(ctx context.Context) {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			completed, ok := e.load.Progress()
			e.say("%4.0f s  %d requests, %d answered well", time.Since(e.start).Seconds(), completed, ok)
		}
	}
}

// awaitPrimaries waits until each slot of each service has a primary.
func (e *experiment) awaitPrimaries(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, service := range services(e.fleet) {
		for {
			_, err := load.ReadFinalJournals(ctx, service, nil)
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("experiment: %s has not settled: %w", service.Name, err)
			case <-time.After(settlePeriod):
			}
		}
	}
	return nil
}

func (e *experiment) readFinal(ctx context.Context) error {
	var names []inventory.WorkspaceName
	for _, w := range e.fleet.Layout.Workspaces {
		names = append(names, w.Name)
	}
	for _, service := range services(e.fleet) {
		final, err := load.ReadFinalJournals(ctx, service, names)
		if err != nil {
			return err
		}
		e.run.FinalJournals = append(e.run.FinalJournals, final...)
	}
	return nil
}

func serviceName(l fleet.Layout, i int) group.Service {
	return group.Service(fmt.Sprintf("%s-%d", l.Prefix, i+1))
}

// faultURL is a path of the interface for faults of a stand-in.
func faultURL(address netip.AddrPort, path string) string { return "http://" + address.String() + path }
