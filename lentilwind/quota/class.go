package quota

import "time"

// Class is the urgency of a request within its workspace; 0 is the most urgent.
type Class int

// MaxClass is the least urgent class; higher values count as this one.
const MaxClass Class = 3

// Tokens that a bucket keeps for more urgent classes.
const (
	// classFraction is kept for each class above, as a part of the bucket's capacity.
	classFraction = 0.1
	// minClassCapacity is the capacity from which on tokens are kept.
	minClassCapacity = 4
	// classMemory is how long after its last request a class is kept tokens for.
	classMemory = 2 * time.Second
)

// classNeeds tells when each class of a workspace last needed tokens.
type classNeeds [MaxClass + 1]time.Time

// keep returns how many tokens a request of a class leaves in a bucket for more urgent ones.
//
// It answers a workspace that asks for more than its rate: without it, whoever comes first gets the next token, so its urgent requests are
// refused as often as the others.
func (n *classNeeds) keep(class int, capacity float64, now time.Time) float64 {
	if capacity < minClassCapacity {
		return 0
	}
	kept := 0.0
	for more := range min(class, len(n)) {
		if !n[more].IsZero() && now.Sub(n[more]) < classMemory {
			kept += max(1, classFraction*capacity)
		}
	}
	return kept
}
