package floor_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/floor"
	"lentilwind.dev/lentilwind/group"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestOldestSinceReturnsOldestProofWithinStaleness(t *testing.T) {
	var p floor.ProofHistory
	for i := range 100 {
		p.Observe(group.Floor{Term: 1, Position: group.Position(i)}, at(100*i))
	}
	proof, ok := p.OldestSince(at(8000))
	if !ok || proof.Position.Position != 80 {
		t.Fatalf("oldest proof is %+v, %v; want position 80", proof, ok)
	}
	if _, ok := p.OldestSince(at(9901)); ok {
		t.Fatal("a proof older than requested was returned")
	}
}

func TestProofsOfReplacedTermsAreIgnored(t *testing.T) {
	var p floor.ProofHistory
	p.Observe(group.Floor{Term: 1, Position: 50}, at(100))
	p.Observe(group.Floor{Term: 2, Position: 40}, at(50))
	proof, ok := p.OldestSince(at(0))
	if !ok || proof.Position.Term != 2 {
		t.Fatalf("oldest proof is %+v, want one of term 2", proof)
	}
	p.Observe(group.Floor{Term: 1, Position: 60}, at(200))
	if got := p.Newest().Position.Term; got != 2 {
		t.Fatalf("a proof of term %d replaced one of term 2", got)
	}
}

func TestMaxPrefersNewerTerm(t *testing.T) {
	for _, c := range []struct{ proof, session, want group.Floor }{
		{group.Floor{Term: 2, Position: 5}, group.Floor{Term: 2, Position: 9}, group.Floor{Term: 2, Position: 9}},
		{group.Floor{Term: 2, Position: 5}, group.Floor{Term: 1, Position: 9}, group.Floor{Term: 2, Position: 5}},
		{group.Floor{Term: 1, Position: 5}, group.Floor{Term: 2, Position: 1}, group.Floor{Term: 2, Position: 1}},
	} {
		if got := floor.Max(c.proof, c.session); got != c.want {
			t.Errorf("Max(%v, %v) = %v, want %v", c.proof, c.session, got, c.want)
		}
	}
}

// For any order of proofs, a floor of a given age covers every commit that was acknowledged before that age.
func TestFloorCoversEveryCommitBeforeItsAge(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var p floor.ProofHistory
		committed := make(map[int]group.Position)
		position := group.Position(0)
		for ms := range 5000 {
			if random.IntN(5) == 0 {
				position++
			}
			committed[ms] = position
			if random.IntN(20) == 0 {
				p.Observe(group.Floor{Term: 1, Position: position}, at(ms))
			}
			age := 100 + random.IntN(2000)
			if proof, ok := p.OldestSince(at(ms - age)); ok && proof.Position.Position < committed[max(0, ms-age)] && ms >= age {
				t.Fatalf("seed %d: at %d ms, the floor of age %d ms is %d, but %d was committed", seed, ms, age, proof.Position.Position, committed[ms-age])
			}
		}
	}
}
