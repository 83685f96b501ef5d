package journal

import "slices"

// fault is a deliberate defect; tests set one to show that their checks find it.
type fault string

const (
	// faultStaleTerm takes messages of earlier terms for current ones.
	faultStaleTerm fault = "staleTerm"
	// faultSendBeforeSave sends promises before they are durable.
	faultSendBeforeSave fault = "sendBeforeSave"
	// faultLearnerCounted counts learners in majorities of entries.
	faultLearnerCounted fault = "learnerCounted"
	// faultOldTermCounted commits entries of earlier terms by counting them.
	faultOldTermCounted fault = "oldTermCounted"
	// faultDisloyalVoter votes while it still hears the leader.
	faultDisloyalVoter fault = "disloyalVoter"
	// faultForgetfulVoter votes at once after a restart.
	faultForgetfulVoter fault = "forgetfulVoter"
	// faultLongLease counts the drift of clocks in favour of the leader's lease.
	faultLongLease fault = "longLease"
)

func sendFirst(effects []Effect) []Effect {
	var sends, others []Effect
	for _, effect := range effects {
		if _, isSend := effect.(Send); isSend {
			sends = append(sends, effect)
			continue
		}
		others = append(others, effect)
	}
	return slices.Concat(sends, others)
}
