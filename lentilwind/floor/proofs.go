package floor

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

const (
	// keptProofs bounds the memory of a group; with spacing they reach back over more than any usual staleness.
	keptProofs = 128
	// spacing is the least time between two kept proofs.
	spacing = 30 * time.Millisecond
)

// Proof says that a position held every commit that was acknowledged before a time.
type Proof struct {
	Position group.Floor
	At       time.Time
}

// ProofHistory keeps what primaries have proven about one group; the zero value knows nothing. It is not safe for concurrent use.
type ProofHistory struct {
	ring [keptProofs]Proof
	next int
	// newest is the last proof, which may not have entered the ring.
	newest Proof
}

// Observe takes in the position of a database that was the primary when it answered a request sent at a time.
func (p *ProofHistory) Observe(position group.Floor, sent time.Time) {
	newer := position.Term > p.newest.Position.Term
	if position.Term < p.newest.Position.Term || !newer && !sent.After(p.newest.At) {
		return
	}
	p.newest = Proof{Position: position, At: sent}
	if last := p.ring[(p.next+keptProofs-1)%keptProofs]; newer || sent.Sub(last.At) >= spacing {
		p.ring[p.next] = p.newest
		p.next = (p.next + 1) % keptProofs
	}
}

// Newest returns the newest proof; its time is zero while there is none.
func (p *ProofHistory) Newest() Proof { return p.newest }

// OldestSince returns the oldest proof that is not older than a time; false means that there is none.
//
// Positions of a replaced term are never returned once a newer term is known: they may name commits that were rolled back.
func (p *ProofHistory) OldestSince(notBefore time.Time) (Proof, bool) {
	if p.newest.At.IsZero() || p.newest.At.Before(notBefore) {
		return Proof{}, false
	}
	best := p.newest
	for _, proof := range p.ring {
		if proof.Position.Term == best.Position.Term && !proof.At.Before(notBefore) && proof.At.Before(best.At) {
			best = proof
		}
	}
	return best, true
}

// Max returns the floor that a read must not fall short of, given a proof and the session's own last position.
//
// A position of a session in a replaced term is covered by any proof of a newer term: what survived is in its log.
func Max(proof, session group.Floor) group.Floor {
	if session.Term > proof.Term || session.Term == proof.Term && session.Position > proof.Position {
		return session
	}
	return proof
}
