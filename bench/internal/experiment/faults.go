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

// injectFaults injects the faults of the plan at their times and repairs those whose duration has passed. It returns when every
// fault is handled or the load has ended.
func (e *experiment) injectFaults(ctx context.Context) {
	if e.Plan == nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range e.Plan.Faults {
		if !waitUntil(ctx, e.start.Add(f.At.Std())) {
			e.recordSkipped(f, "the load had ended")
			continue
		}
		if f.needsRelays() && !e.Relays {
			e.recordSkipped(f, "it needs relays between the processes")
			continue
		}
		wg.Go(func() { e.injectFault(ctx, f) })
	}
}

// recordSkipped notes in the results why a fault was not injected or repaired.
func (e *experiment) recordSkipped(f PlannedFault, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.run.Skipped = append(e.run.Skipped, fmt.Sprintf("%s at %s: %s", f.Kind, f.At, reason))
}

// waitUntil waits until t and reports whether it was reached before the context ended.
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

// injectFault injects one fault and repairs it after its duration.
func (e *experiment) injectFault(ctx context.Context, f PlannedFault) {
	fault := history.Fault{Time: time.Now(), Kind: f.Kind}
	target, repair, err := e.inject(ctx, f)
	fault.Target, fault.Done = target, time.Now()
	if err != nil {
		fault.Error = err.Error()
		e.recordSkipped(f, err.Error())
	}
	e.mu.Lock()
	e.run.Faults = append(e.run.Faults, fault)
	e.mu.Unlock()
	e.logProgress("%4.0f s  %s %s", time.Since(e.start).Seconds(), f.Kind, target)
	if f.Duration == 0 || repair == nil || err != nil {
		return
	}
	if waitUntil(ctx, fault.Done.Add(f.Duration.Std())) {
		if err := repair(ctx); err != nil {
			e.recordSkipped(f, "mending failed: "+err.Error())
			return
		}
		e.logProgress("%4.0f s  %s %s repaired", time.Since(e.start).Seconds(), f.Kind, target)
	}
}

// repairFunc ends an injected fault.
type repairFunc func(ctx context.Context) error

// inject injects a fault and returns its target and the function that repairs it, or nil if there is nothing to repair.
func (e *experiment) inject(ctx context.Context, f PlannedFault) (target string, repair repairFunc, err error) {
	switch f.Kind {
	case FaultKillPrimary, FaultPausePrimary, FaultIsolatePrimary:
		return e.injectPrimaryFault(ctx, f)
	case FaultIsolate:
		return string(f.DataCentre), e.heal, e.isolate(relay.Zone(f.DataCentre))
	case FaultWithdrawKey:
		return e.withdrawKey(ctx, f)
	case FaultChangeRule:
		return string(f.Route), nil, e.setRouteStaleness(ctx, f)
	case FaultLag, FaultLeave, FaultSilence:
		return e.injectDatabaseFault(ctx, f)
	}
	process, err := e.findProcess(ctx, f.Process)
	if err != nil {
		return f.Process, nil, err
	}
	repair, err = e.injectProcessFault(ctx, f.Kind, process)
	return process.Name(), repair, err
}

func (e *experiment) injectProcessFault(ctx context.Context, kind history.FaultKind, p *fleet.Process) (repairFunc, error) {
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

func (e *experiment) findProcess(ctx context.Context, name string) (*fleet.Process, error) {
	if name == "leader" {
		leader, err := e.findLeader(ctx)
		if err != nil {
			return nil, err
		}
		name = leader
	}
	for _, instance := range slices.Concat(e.fleet.Control, e.fleet.Entries) {
		if instance.Name() == name {
			return instance.Process, nil
		}
	}
	if d := e.fleet.Databases[group.Server(name)]; d != nil {
		return d.Process, nil
	}
	return nil, fmt.Errorf("%w: %s", errNoProcess, name)
}

// injectPrimaryFault injects a fault into the current primary of a slot.
func (e *experiment) injectPrimaryFault(ctx context.Context, f PlannedFault) (string, repairFunc, error) {
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
			repair, err := e.injectProcessFault(ctx, f.Kind, d.Process)
			return string(name), repair, err
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
	e.setDelays()
	return nil
}

// injectDatabaseFault injects a fault through the fault interface of a simulated database, or through the client relay of an
// entry.
func (e *experiment) injectDatabaseFault(ctx context.Context, f PlannedFault) (string, repairFunc, error) {
	d := e.fleet.Databases[group.Server(f.Process)]
	if d == nil {
		return f.Process, nil, e.silenceEntry(f)
	}
	switch f.Kind {
	case FaultLag:
		normalDelay := e.fleet.Layout.ApplyDelay
		repair := func(ctx context.Context) error {
			return post(ctx, faultURL(d.ControlAddress, "/faults"), applyDelay(normalDelay))
		}
		return f.Process, repair, post(ctx, faultURL(d.ControlAddress, "/faults"), applyDelay(f.Delay.Std()))
	case FaultLeave:
		return f.Process, func(context.Context) error { return restartStopped(d.Process) }, d.Signal(syscall.SIGUSR1)
	}
	return f.Process, nil, post(ctx, faultURL(d.ControlAddress, "/silence"), nil)
}

func restartStopped(p *fleet.Process) error {
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

// repairAll heals the network and restarts or resumes every process, so that the final state can be read.
func (e *experiment) repairAll(ctx context.Context) error {
	if e.Relays {
		_ = e.heal(ctx)
	}
	var err error
	for _, instance := range slices.Concat(e.fleet.Control, e.fleet.Entries) {
		err = errors.Join(err, restartOrResume(instance.Process))
	}
	for _, d := range e.fleet.Databases {
		err = errors.Join(err, restartOrResume(d.Process))
	}
	return err
}

func restartOrResume(p *fleet.Process) error {
	if p.Running() {
		return p.Resume()
	}
	return p.Start()
}
