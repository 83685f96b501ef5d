package floor

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

const (
	// maxProofs bounds the memory per group. With minProofSpacing the proofs cover more than any usual staleness bound.
	maxProofs = 128
	// minProofSpacing is the least time between two stored proofs.
	minProofSpacing = 30 * time.Millisecond
)

// Proof states that Position includes every commit that was acknowledged before At.
type Proof struct {
	Position group.Floor
	At       time.Time
}

// ProofHistory stores the proofs of one group. The zero value is empty. It is not safe for concurrent use.
type ProofHistory struct {
	ring [maxProofs]Proof
	next int
	// newest is the last proof, which may not be stored in ring.
	newest Proof
}

// Observe records the position of a database that was the primary when it answered a request sent at the given time.
func (p *ProofHistory) Observe(position group.Floor, sent time.Time) {
	newer := position.Term > p.newest.Position.Term
	if position.Term < p.newest.Position.Term || !newer && !sent.After(p.newest.At) {
		return
	}
	p.newest = Proof{Position: position, At: sent}
	if last := p.ring[(p.next+maxProofs-1)%maxProofs]; newer || sent.Sub(last.At) >= minProofSpacing {
		p.ring[p.next] = p.newest
		p.next = (p.next + 1) % maxProofs
	}
}

// Newest returns the newest proof. Its time is zero if there is none.
func (p *ProofHistory) Newest() Proof { return p.newest }

// OldestSince returns the oldest proof that is not older than notBefore, and false if there is none.
//
// It never returns positions of a replaced term once a newer term is known, since they may include commits that were rolled
// back.
func (p *ProofHistory) OldestSince(notBefore time.Time) (Proof, bool) {
	if p.newest.At.IsZero() || p.newest.At.Before(notBefore) {
		return Proof{}, false
	}
	oldest := p.newest
	for _, proof := range p.ring {
		if proof.Position.Term == oldest.Position.Term && !proof.At.Before(notBefore) && proof.At.Before(oldest.At) {
			oldest = proof
		}
	}
	return oldest, true
}

// Max returns the higher of a proven floor and the session's own last position: the minimum that a read must observe.
//
// A session's position in a replaced term is covered by any proof of a newer term, whose log contains everything that
// survived.
func Max(proof, session group.Floor) group.Floor {
	if session.Term > proof.Term || session.Term == proof.Term && session.Position > proof.Position {
		return session
	}
	return proof
}
