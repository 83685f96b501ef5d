package failover

import (
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// ProbeOutcome is the result of a probe on a new connection.
type ProbeOutcome string

// The outcomes of probes.
const (
	ProbeAnswered ProbeOutcome = "answered"
	// ProbeRefused means that the server's operating system answered but no database is listening.
	ProbeRefused ProbeOutcome = "refused"
	ProbeSilent  ProbeOutcome = "silent"
	// ProbeNotSent means that the probe was not sent and says nothing about the server.
	ProbeNotSent ProbeOutcome = "notSent"
)

// DetectorConfig holds the timeouts of failure detection.
type DetectorConfig struct {
	// EntryTimeout is the time after which an entry that does not report is no longer counted.
	EntryTimeout time.Duration
	// ProbeInterval is the interval between two probes of a suspected server.
	ProbeInterval time.Duration
	// RefusedTimeout is how long probes must have been refused before a server is considered dead.
	RefusedTimeout time.Duration
	// SilentTimeout is how long a server whose probes fail must not have announced itself before it is considered dead.
	SilentTimeout time.Duration
	// StuckTimeout is how long probes must have failed before a server that still announces itself is considered dead.
	StuckTimeout time.Duration
}

// DefaultDetectorConfig returns the configuration for servers that announce themselves every second.
func DefaultDetectorConfig() DetectorConfig {
	return DetectorConfig{
		EntryTimeout:   4 * time.Second,
		ProbeInterval:  100 * time.Millisecond,
		RefusedTimeout: 100 * time.Millisecond,
		SilentTimeout:  1200 * time.Millisecond,
		StuckTimeout:   5 * time.Second,
	}
}

// Detector decides from the reports of entries, announcements and probes which servers are dead.
//
// A server is only probed while a majority of the data centres with live entries suspects it; with two data centres, both
// must. A single data centre that is cut off therefore triggers nothing, and a healthy fleet is not probed at all.
type Detector struct {
	cfg      DetectorConfig
	started  time.Time
	entries  map[inventory.InstanceName]*entryState
	suspects map[group.ServerID]*suspect
}

// entryState holds the last report of one entry.
type entryState struct {
	dataCentre inventory.DataCentre
	lastReport time.Time
	suspects   []group.ServerID
}

// suspect is a server that at least one entry gets no answer from.
type suspect struct {
	// reporters counts the entries in each data centre that suspect the server.
	reporters     map[inventory.DataCentre]int
	probeInFlight bool
	nextProbe     time.Time
	// failingSince is the time of the first in the current run of failed probes.
	failingSince time.Time
	// refusedSince is the time of the first in the current run of refused probes.
	refusedSince time.Time
}

// NewDetector returns a detector without suspects for a leader whose term begins now.
func NewDetector(cfg DetectorConfig, now time.Time) *Detector {
	return &Detector{
		cfg:      cfg,
		started:  now,
		entries:  make(map[inventory.InstanceName]*entryState),
		suspects: make(map[group.ServerID]*suspect),
	}
}

// HandleReport processes an entry's report, which replaces its previous one.
func (d *Detector) HandleReport(now time.Time, report protocol.EntryReport) {
	entry := d.entries[report.Name]
	if entry == nil {
		entry = &entryState{}
		d.entries[report.Name] = entry
	}
	d.withdrawSuspicions(entry)
	entry.dataCentre = report.DataCentre
	entry.lastReport = now
	for _, suspicion := range report.Suspects {
		id := group.ServerID{Service: suspicion.Service, Server: suspicion.Server}
		entry.suspects = append(entry.suspects, id)
		s := d.suspects[id]
		if s == nil {
			s = &suspect{reporters: make(map[inventory.DataCentre]int)}
			d.suspects[id] = s
		}
		s.reporters[entry.dataCentre]++
	}
	d.removeCleared()
}

// withdrawSuspicions removes the suspicions of an entry's last report.
func (d *Detector) withdrawSuspicions(entry *entryState) {
	for _, id := range entry.suspects {
		s := d.suspects[id]
		if s.reporters[entry.dataCentre]--; s.reporters[entry.dataCentre] == 0 {
			delete(s.reporters, entry.dataCentre)
		}
	}
	entry.suspects = entry.suspects[:0]
}

// removeCleared removes the servers that no entry suspects any more.
func (d *Detector) removeCleared() {
	for id, s := range d.suspects {
		if len(s.reporters) == 0 {
			delete(d.suspects, id)
		}
	}
}

// HandleProbe processes the outcome of a probe.
func (d *Detector) HandleProbe(now time.Time, id group.ServerID, outcome ProbeOutcome) {
	s := d.suspects[id]
	if s == nil {
		return
	}
	s.probeInFlight = false
	s.nextProbe = now.Add(d.cfg.ProbeInterval)
	if outcome == ProbeNotSent {
		return
	}
	if outcome == ProbeAnswered {
		s.failingSince, s.refusedSince = time.Time{}, time.Time{}
		return
	}
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
	if outcome != ProbeRefused {
		s.refusedSince = time.Time{}
	} else if s.refusedSince.IsZero() {
		s.refusedSince = now
	}
}

// TickResult is the result of Detector.Tick.
type TickResult struct {
	// ToProbe lists the servers to be probed on new connections.
	ToProbe []group.ServerID
	// Failed lists the servers that are considered dead.
	Failed []group.ServerID
}

// Tick removes silent entries and evaluates the suspected servers; lastAnnounced returns the time of a server's last
// announcement.
func (d *Detector) Tick(now time.Time, lastAnnounced func(group.ServerID) time.Time) TickResult {
	d.removeSilentEntries(now)
	var result TickResult
	if len(d.suspects) == 0 {
		return result
	}
	live := d.liveDataCentres()
	for _, id := range slices.SortedFunc(maps.Keys(d.suspects), group.ServerID.Compare) {
		s := d.suspects[id]
		if len(s.reporters) < majority(live) {
			s.failingSince, s.refusedSince = time.Time{}, time.Time{}
			continue
		}
		if !s.probeInFlight && !now.Before(s.nextProbe) {
			s.probeInFlight = true
			result.ToProbe = append(result.ToProbe, id)
		}
		if d.isDead(now, s, lastAnnounced(id)) {
			result.Failed = append(result.Failed, id)
		}
	}
	return result
}

// HasSuspects reports whether any server is suspected, in which case the detector needs frequent ticks.
func (d *Detector) HasSuspects() bool { return len(d.suspects) > 0 }

func (d *Detector) removeSilentEntries(now time.Time) {
	for name, entry := range d.entries {
		if now.Sub(entry.lastReport) > d.cfg.EntryTimeout {
			d.withdrawSuspicions(entry)
			delete(d.entries, name)
		}
	}
	d.removeCleared()
}

func (d *Detector) liveDataCentres() int {
	live := make(map[inventory.DataCentre]struct{})
	for _, entry := range d.entries {
		live[entry.dataCentre] = struct{}{}
	}
	return len(live)
}

// isDead reports whether a server that enough data centres suspect is dead.
func (d *Detector) isDead(now time.Time, s *suspect, lastAnnounced time.Time) bool {
	if s.failingSince.IsZero() {
		return false
	}
	if lastAnnounced.Before(d.started) {
		lastAnnounced = d.started
	}
	refused := !s.refusedSince.IsZero() && now.Sub(s.refusedSince) >= d.cfg.RefusedTimeout && lastAnnounced.Before(s.refusedSince)
	silent := now.Sub(lastAnnounced) >= d.cfg.SilentTimeout
	stuck := now.Sub(s.failingSince) >= d.cfg.StuckTimeout
	return refused || silent || stuck
}
