package journal

// Faults lists the injected defects that random schedules must detect.
var Faults = []string{
	string(faultStaleTerm), string(faultSendBeforeSave), string(faultLearnerCounted),
	string(faultOldTermCounted), string(faultVoteDespiteLeader), string(faultVoteAfterRestart),
}

// FaultLongLease is an injected defect that only shows with drifting clocks.
const FaultLongLease = string(faultLongLease)

// WithFault returns cfg with an injected defect; an empty name injects none.
func WithFault(cfg Config, name string) Config {
	cfg.fault = fault(name)
	return cfg
}

// TermAt returns the term of an entry, and false if the machine does not hold the entry.
func (m *Machine) TermAt(index Index) (Term, bool) { return m.log.term(index) }
