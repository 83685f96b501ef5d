package journal

import "slices"

// fault is an injected defect; tests set one to verify that their checks detect it.
type fault string

const (
	// faultStaleTerm accepts messages of earlier terms.
	faultStaleTerm fault = "staleTerm"
	// faultSendBeforeSave sends messages before the state they depend on is durable.
	faultSendBeforeSave fault = "sendBeforeSave"
	// faultLearnerCounted counts learners in the majority that commits entries.
	faultLearnerCounted fault = "learnerCounted"
	// faultOldTermCounted commits entries of earlier terms by counting the members that hold them.
	faultOldTermCounted fault = "oldTermCounted"
	// faultVoteDespiteLeader votes while the member still hears from a leader.
	faultVoteDespiteLeader fault = "disloyalVoter"
	// faultVoteAfterRestart votes immediately after a restart.
	faultVoteAfterRestart fault = "forgetfulVoter"
	// faultLongLease extends the lease by the clock drift instead of shortening it.
	faultLongLease fault = "longLease"
)

func moveSendsFirst(effects []Effect) []Effect {
	var sends, rest []Effect
	for _, effect := range effects {
		if _, isSend := effect.(Send); isSend {
			sends = append(sends, effect)
			continue
		}
		rest = append(rest, effect)
	}
	return slices.Concat(sends, rest)
}
