package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/bench/internal/load"
	"lentilwind.dev/bench/relay"
	"lentilwind.dev/lentilwind/group"
)

// bringAbout runs the fault plan and mends what is due; it returns when the load has ended.
func (e *experiment) bringAbout(ctx context.Context) {
	if e.Plan == nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range e.Plan.Faults {
		if !waitUntil(ctx, e.start.Add(f.At.Std())) {
			e.skip(f, "the load had ended")
			continue
		}
		if f.needsNetwork() && !e.Relays {
			e.skip(f, "it needs relays between the processes")
			continue
		}
		wg.Go(func() { e.one(ctx, f) })
	}
}

func (e *experiment) skip(f PlannedFault, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.run.Skipped = append(e.run.Skipped, fmt.Sprintf("%s at %s: %s", f.Kind, f.At, why))
}

func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// one brings about one fault and mends it after its time.
func (e *experiment) one(ctx context.Context, f PlannedFault) {
	happened := history.Fault{Time: time.Now(), Kind: f.Kind}
	target, mend, err := e.apply(ctx, f)
	happened.Target, happened.Done = target, time.Now()
	if err != nil {
		happened.Error = err.Error()
		e.skip(f, err.Error())
	}
	e.mu.Lock()
	e.run.Faults = append(e.run.Faults, happened)
	e.mu.Unlock()
	e.say("%4.0f s  %s %s", time.Since(e.start).Seconds(), f.Kind, target)
	if f.Duration == 0 || mend == nil || err != nil {
		return
	}
	if waitUntil(ctx, happened.Done.Add(f.Duration.Std())) {
		if err := mend(ctx); err != nil {
			e.skip(f, "mending failed: "+err.Error())
			return
		}
		e.say("%4.0f s  %s %s is mended", time.Since(e.start).Seconds(), f.Kind, target)
	}
}

type mendFunc func(ctx context.Context) error

// apply brings a fault about and returns what it hit and how to mend it.
func (e *experiment) apply(ctx context.Context, f PlannedFault) (target string, mend mendFunc, err error) {
	switch f.Kind {
	case FaultKillPrimary, FaultPausePrimary, FaultIsolatePrimary:
		return e.hitPrimary(ctx, f)
	case FaultIsolate:
		return string(f.DataCentre), e.heal, e.isolate(relay.Zone(f.DataCentre))
	case FaultWithdrawKey:
		return e.withdraw(ctx, f)
	case FaultChangeRule:
		return string(f.Route), nil, e.changeRule(ctx, f)
	case FaultLag, FaultLeave, FaultSilence:
		return e.hitDatabase(ctx, f)
	}
	process, err := e.process(ctx, f.Process)
	if err != nil {
		return f.Process, nil, err
	}
	mend, err = e.hitProcess(ctx, f.Kind, process)
	return process.Name(), mend, err
}

func (e *experiment) hitProcess(ctx context.Context, kind history.FaultKind, p *fleet.Process) (mendFunc, error) {
	restart := func(context.Context) error { return p.Start() }
	switch kind {
	case FaultKill, FaultKillPrimary:
		return restart, p.Kill()
	case FaultStop:
		return restart, p.Stop(ctx)
	case FaultPause, FaultPausePrimary:
		return func(context.Context) error { return p.Resume() }, p.Pause()
	}
	return nil, fmt.Errorf("experiment: %s cannot hit a process", kind)
}

var errNoProcess = errors.New("experiment: there is no such process")

func (e *experiment) process(ctx context.Context, name string) (*fleet.Process, error) {
	if name == "leader" {
		leader, err := e.leader(ctx)
		if err != nil {
			return nil, err
		}
		name = leader
	}
	for _, i := range slices.Concat(e.fleet.Control, e.fleet.Entries) {
		if i.Name() == name {
			return i.Process, nil
		}
	}
	if d := e.fleet.Databases[group.Server(name)]; d != nil {
		return d.Process, nil
	}
	return nil, fmt.Errorf("%w: %s", errNoProcess, name)
}

// hitPrimary finds the database that is primary of a slot now and hits it.
func (e *experiment) hitPrimary(ctx context.Context, f PlannedFault) (string, mendFunc, error) {
	for _, service := range services(e.fleet) {
		if service.Name != f.Service {
			continue
		}
		address, err := load.FindPrimary(ctx, service, f.Slot)
		if err != nil {
			return string(f.Service), nil, err
		}
		for name, d := range e.fleet.Databases {
			if d.Address.String() != address {
				continue
			}
			if f.Kind == FaultIsolatePrimary {
				return string(name), e.heal, e.isolate(relay.Zone(d.DataCentre))
			}
			mend, err := e.hitProcess(ctx, f.Kind, d.Process)
			return string(name), mend, err
		}
	}
	return string(f.Service), nil, fmt.Errorf("experiment: there is no service %s", f.Service)
}

func (e *experiment) isolate(zone relay.Zone) error {
	var others []relay.Zone
	for _, dataCentre := range e.fleet.Layout.DataCentres {
		others = append(others, relay.Zone(dataCentre))
	}
	e.fleet.Network.Isolate(zone, others...)
	return nil
}

func (e *experiment) heal(context.Context) error {
	e.fleet.Network.Heal()
	e.delays()
	return nil
}

// hitDatabase uses the interface for faults of a stand-in, or the relay before an entry.
func (e *experiment) hitDatabase(ctx context.Context, f PlannedFault) (string, mendFunc, error) {
	d := e.fleet.Databases[group.Server(f.Process)]
	if d == nil {
		return f.Process, nil, e.silenceEntry(f)
	}
	switch f.Kind {
	case FaultLag:
		calm := e.fleet.Layout.ApplyDelay
		mend := func(ctx context.Context) error {
			return post(ctx, faultURL(d.ControlAddress, "/faults"), applyDelay(calm))
		}
		return f.Process, mend, post(ctx, faultURL(d.ControlAddress, "/faults"), applyDelay(f.Delay.Std()))
	case FaultLeave:
		return f.Process, func(context.Context) error { return restartWhenGone(d.Process) }, d.Signal(syscall.SIGUSR1)
	}
	return f.Process, nil, post(ctx, faultURL(d.ControlAddress, "/silence"), nil)
}

func restartWhenGone(p *fleet.Process) error {
	if p.Running() {
		return fmt.Errorf("experiment: %s has not stopped", p.Name())
	}
	return p.Start()
}

func (e *experiment) silenceEntry(f PlannedFault) error {
	for _, entry := range e.fleet.Entries {
		if entry.Name() == f.Process && f.Kind == FaultSilence && entry.CallersRelay != nil {
			entry.CallersRelay.BlackholeConnections()
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNoProcess, f.Process)
}

func applyDelay(d time.Duration) any {
	return struct {
		ApplyDelay string `json:"applyDelay"`
	}{d.String()}
}

func post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("experiment: %s answers %s", url, response.Status)
	}
	return nil
}

// mendAll heals the network and brings every process back, so that the final state can be read.
func (e *experiment) mendAll(ctx context.Context) error {
	if e.Relays {
		_ = e.heal(ctx)
	}
	var err error
	for _, i := range slices.Concat(e.fleet.Control, e.fleet.Entries) {
		err = errors.Join(err, revive(i.Process))
	}
	for _, d := range e.fleet.Databases {
		err = errors.Join(err, revive(d.Process))
	}
	return err
}

func revive(p *fleet.Process) error {
	if p.Running() {
		return p.Resume()
	}
	return p.Start()
}
