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

// Options configures an experiment.
type Options struct {
	Scenario Scenario
	// BinDir contains the programs. OutDir is an empty directory for the results.
	BinDir, OutDir string
	Plan           *Plan
	Seed           uint64
	Duration       time.Duration
	// Relays starts relays between the processes, which inject network faults and the delays of the deployment.
	Relays bool
	// Progress receives progress lines; nil discards them.
	Progress io.Writer
}

const (
	dataCentreDelay     = time.Millisecond
	clientDelay         = 3 * time.Millisecond
	clientZone          = relay.Zone("clients")
	progressPeriod      = 2 * time.Second
	primariesTimeout    = 30 * time.Second
	primariesPollPeriod = 100 * time.Millisecond
	drainTimeout        = 15 * time.Second
)

// experiment is the state of one run.
type experiment struct {
	Options
	fleet     *fleet.Fleet
	generator *load.Generator
	start     time.Time
	requests  *history.Writer[history.Request]
	// spareKeys are the API keys that replace withdrawn ones.
	spareKeys map[inventory.WorkspaceName]fleet.Key
	// withdrawnKeyClients are clients that use API keys being withdrawn.
	withdrawnKeyClients sync.WaitGroup

	mu  sync.Mutex
	run checker.Run
}

// Run starts a fleet, generates the load, injects the faults, stops the fleet and checks the recorded history.
func Run(ctx context.Context, options Options) (*checker.Summary, error) {
	layout, err := options.Scenario.Layout()
	if err != nil {
		return nil, err
	}
	// Relative paths in a settings file are resolved against its directory, so the output directory has to be absolute.
	if options.OutDir, err = filepath.Abs(options.OutDir); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	e := &experiment{Options: options}
	e.logProgress("starting %d control processes, %d entries and %d databases",
		layout.Control, layout.Entries, layout.Services*layout.Replicas)
	f, err := fleet.Start(ctx, layout,
		fleet.Options{BinDir: options.BinDir, Dir: filepath.Join(options.OutDir, "fleet"), Relays: options.Relays})
	if err != nil {
		return nil, err
	}
	e.fleet = f
	e.run.Quotas = quotas(layout)
	for _, key := range f.Keys {
		e.run.Keys = append(e.run.Keys, key.Key)
	}
	err = e.runMeasurement(ctx)
	e.logProgress("stopping the fleet")
	if err = errors.Join(err, f.Close()); err != nil {
		return nil, err
	}
	return e.writeResults()
}

func (e *experiment) logProgress(format string, args ...any) {
	if e.Progress != nil {
		fmt.Fprintf(e.Progress, format+"\n", args...)
	}
}

// runMeasurement runs the load with its faults and then reads the final state.
func (e *experiment) runMeasurement(ctx context.Context) error {
	if e.Relays {
		e.setDelays()
	}
	writer, err := history.Create[history.Request](filepath.Join(e.OutDir, requestsFile))
	if err != nil {
		return err
	}
	e.requests = writer
	if err := errors.Join(e.awaitPrimaries(ctx), e.createSpareKeys(ctx)); err != nil {
		return errors.Join(err, writer.Close())
	}
	err = e.runLoad(ctx)
	err = errors.Join(err, e.repairAll(ctx), e.awaitPrimaries(ctx), e.readFinal(ctx))
	return errors.Join(err, writer.Close())
}

// setDelays sets the network delays between data centres and between clients and data centres.
func (e *experiment) setDelays() {
	e.fleet.Network.SetDefaultDelay(dataCentreDelay)
	for _, dataCentre := range e.fleet.Layout.DataCentres {
		e.fleet.Network.SetFault(clientZone, relay.Zone(dataCentre), relay.Fault{Delay: clientDelay})
	}
}

func (e *experiment) loadConfig() load.Config {
	cfg := load.Config{
		Services: services(e.fleet), Workspaces: workspaces(e.fleet, e.Duration), Mix: e.Scenario.mix(),
		Seed: e.Seed, Duration: e.Duration,
		EntrySwitchProbability: load.DefaultEntrySwitchProbability, TokenLossProbability: load.DefaultTokenLossProbability,
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

// runLoad runs the load and the fault plan concurrently.
func (e *experiment) runLoad(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, e.Duration+drainTimeout)
	defer cancel()
	e.generator = load.New(e.loadConfig())
	e.generator.SetAPIKey(probeWorkspace, e.fleet.Keys[probeWorkspace].Key)
	e.start = time.Now()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var faults sync.WaitGroup
	faults.Go(func() { e.injectFaults(loadCtx) })
	faults.Go(func() { e.showProgress(loadCtx) })
	cancelled := e.generator.Run(loadCtx) != nil
	stop()
	faults.Wait()
	e.withdrawnKeyClients.Wait()
	if cancelled && parent.Err() == nil {
		e.run.Skipped = append(e.run.Skipped, fmt.Sprintf("requests without an answer %s after the load were given up", drainTimeout))
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
			completed, succeeded := e.generator.Progress()
			e.logProgress("%4.0f s  %d requests, %d succeeded", time.Since(e.start).Seconds(), completed, succeeded)
		}
	}
}

// awaitPrimaries waits until each slot of each service has a primary.
func (e *experiment) awaitPrimaries(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, primariesTimeout)
	defer cancel()
	for _, service := range services(e.fleet) {
		for {
			_, err := load.ReadFinalJournals(ctx, service, nil)
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("experiment: not every slot of %s has a primary: %w", service.Name, err)
			case <-time.After(primariesPollPeriod):
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

// faultURL returns a URL of a simulated database's fault interface.
func faultURL(address netip.AddrPort, path string) string { return "http://" + address.String() + path }
