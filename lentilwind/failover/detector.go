package failover

import (
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// ProbeOutcome tells how a probe on a new connection ended.
type ProbeOutcome string

// The outcomes of probes.
const (
	ProbeAnswered ProbeOutcome = "answered"
	// ProbeRefused means that the server's system answered and no database listens.
	ProbeRefused ProbeOutcome = "refused"
	ProbeSilent  ProbeOutcome = "silent"
	// ProbeNotSent means that the probe says nothing of the server.
	ProbeNotSent ProbeOutcome = "notSent"
)

// DetectorConfig has the times of failure detection.
type DetectorConfig struct {
	// EntryTimeout is the time after which an entry that does not report counts no more.
	EntryTimeout time.Duration
	// ProbeInterval is the time between two probes of a suspected server.
	ProbeInterval time.Duration
	// RefusedTimeout is how long probes must have been refused.
	RefusedTimeout time.Duration
	// SilentTimeout is how long a server must not have announced itself when probes get no answer.
	SilentTimeout time.Duration
	// StuckTimeout is how long probes must have failed when the server goes on announcing itself.
	StuckTimeout time.Duration
}

// DefaultDetectorConfig returns the times for servers that announce themselves every second.
func DefaultDetectorConfig() DetectorConfig {
	return DetectorConfig{
		EntryTimeout:   4 * time.Second,
		ProbeInterval:  100 * time.Millisecond,
		RefusedTimeout: 100 * time.Millisecond,
		SilentTimeout:  1200 * time.Millisecond,
		StuckTimeout:   5 * time.Second,
	}
}

// Detector decides which servers are dead from the reports of entries, announcements and probes.
//
// A server is probed only once a majority of the data centres with live entries suspects it, which is two of two. So a single
// data centre that is cut off starts nothing, and a healthy fleet causes no probe at all.
type Detector struct {
	cfg      DetectorConfig
	started  time.Time
	entries  map[inventory.InstanceName]*reporter
	suspects map[group.ServerID]*suspect
}

// reporter is one entry that reports.
type reporter struct {
	dataCentre inventory.DataCentre
	seen       time.Time
	suspects   []group.ServerID
}

// suspect is a server that at least one entry gets no answer from.
type suspect struct {
	// from counts the reporters of each data centre.
	from      map[inventory.DataCentre]int
	probing   bool
	nextProbe time.Time
	// failing is the start of the unbroken run of failed probes.
	failing time.Time
	// refusing is the start of the unbroken run of refused probes.
	refusing time.Time
}

// NewDetector returns a detector without suspicions for a leader that begins now.
func NewDetector(cfg DetectorConfig, now time.Time) *Detector {
	return &Detector{
		cfg:      cfg,
		started:  now,
		entries:  make(map[inventory.InstanceName]*reporter),
		suspects: make(map[group.ServerID]*suspect),
	}
}

// HandleReport takes in an entry's report, which replaces its earlier one.
func (d *Detector) HandleReport(now time.Time, report protocol.EntryReport) {
	entry := d.entries[report.Name]
	if entry == nil {
		entry = &reporter{}
		d.entries[report.Name] = entry
	}
	d.withdraw(entry)
	entry.dataCentre = report.DataCentre
	entry.seen = now
	for _, suspicion := range report.Suspects {
		id := group.ServerID{Service: suspicion.Service, Server: suspicion.Server}
		entry.suspects = append(entry.suspects, id)
		s := d.suspects[id]
		if s == nil {
			s = &suspect{from: make(map[inventory.DataCentre]int)}
			d.suspects[id] = s
		}
		s.from[entry.dataCentre]++
	}
	d.forgetCleared()
}

// withdraw takes back an entry's earlier suspicions.
func (d *Detector) withdraw(entry *reporter) {
	for _, id := range entry.suspects {
		s := d.suspects[id]
		if s.from[entry.dataCentre]--; s.from[entry.dataCentre] == 0 {
			delete(s.from, entry.dataCentre)
		}
	}
	entry.suspects = entry.suspects[:0]
}

// forgetCleared drops the servers that no entry suspects.
func (d *Detector) forgetCleared() {
	for id, s := range d.suspects {
		if len(s.from) == 0 {
			delete(d.suspects, id)
		}
	}
}

// HandleProbe takes in the outcome of a probe.
func (d *Detector) HandleProbe(now time.Time, id group.ServerID, outcome ProbeOutcome) {
	s := d.suspects[id]
	if s == nil {
		return
	}
	s.probing = false
	s.nextProbe = now.Add(d.cfg.ProbeInterval)
	if outcome == ProbeNotSent {
		return
	}
	if outcome == ProbeAnswered {
		s.failing, s.refusing = time.Time{}, time.Time{}
		return
	}
	if s.failing.IsZero() {
		s.failing = now
	}
	if outcome != ProbeRefused {
		s.refusing = time.Time{}
	} else if s.refusing.IsZero() {
		s.refusing = now
	}
}

// TickResult is what a Tick of the detector found.
type TickResult struct {
	// ToProbe lists servers to be probed on new connections.
	ToProbe []group.ServerID
	// Failed lists the servers that are dead.
	Failed []group.ServerID
}

// Tick drops silent entries and judges the suspected servers; heard gives the time of a server's last announcement.
func (d *Detector) Tick(now time.Time, heard func(group.ServerID) time.Time) TickResult {
	d.dropSilent(now)
	var verdict TickResult
	if len(d.suspects) == 0 {
		return verdict
	}
	live := d.liveDataCentres()
	for _, id := range slices.SortedFunc(maps.Keys(d.suspects), group.ServerID.Compare) {
		s := d.suspects[id]
		if len(s.from) < majority(live) {
			s.failing, s.refusing = time.Time{}, time.Time{}
			continue
		}
		if !s.probing && !now.Before(s.nextProbe) {
			s.probing = true
			verdict.ToProbe = append(verdict.ToProbe, id)
		}
		if d.dead(now, s, heard(id)) {
			verdict.Failed = append(verdict.Failed, id)
		}
	}
	return verdict
}

// HasSuspects tells whether any server is suspected, so that the detector needs frequent ticks.
func (d *Detector) HasSuspects() bool { return len(d.suspects) > 0 }

func (d *Detector) dropSilent(now time.Time) {
	for name, entry := range d.entries {
		if now.Sub(entry.seen) > d.cfg.EntryTimeout {
			d.withdraw(entry)
			delete(d.entries, name)
		}
	}
	d.forgetCleared()
}

func (d *Detector) liveDataCentres() int {
	live := make(map[inventory.DataCentre]struct{})
	for _, entry := range d.entries {
		live[entry.dataCentre] = struct{}{}
	}
	return len(live)
}

// dead judges a server that enough data centres suspect.
func (d *Detector) dead(now time.Time, s *suspect, heard time.Time) bool {
	if s.failing.IsZero() {
		return false
	}
	if heard.Before(d.started) {
		heard = d.started
	}
	refused := !s.refusing.IsZero() && now.Sub(s.refusing) >= d.cfg.RefusedTimeout && heard.Before(s.refusing)
	silent := now.Sub(heard) >= d.cfg.SilentTimeout
	stuck := now.Sub(s.failing) >= d.cfg.StuckTimeout
	return refused || silent || stuck
}
