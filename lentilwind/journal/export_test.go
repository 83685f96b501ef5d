package journal

// Faults lists every deliberate defect.
var Faults = []string{
	string(faultStaleTerm), string(faultSendBeforeSave), string(faultLearnerCounted),
	string(faultOldTermCounted), string(faultDisloyalVoter), string(faultForgetfulVoter),
}

// FaultLongLease is a deliberate defect that only drifting clocks bring out.
const FaultLongLease = string(faultLongLease)

// WithFault returns a configuration with a deliberate defect; an empty one sets none.
func WithFault(cfg Config, name string) Config {
	cfg.fault = fault(name)
	return cfg
}

// TermAt returns the term of an entry that the machine holds.
func (m *Machine) TermAt(index Index) (Term, bool) { return m.log.term(index) }
