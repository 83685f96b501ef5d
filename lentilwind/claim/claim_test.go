package claim_test

import (
	"testing"
	"time"

	"lentilwind.dev/lentilwind/claim"
)

const interval = time.Second

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestSingleClaimAgainstALiveHolderIsRefused(t *testing.T) {
	c := claim.New[string](claim.ForInterval(interval))
	for _, order := range []claim.Order{claim.Newer, claim.Older} {
		if c.Accept(at(400*time.Millisecond), "other", order, start) {
			t.Errorf("a single claim of order %q was accepted", order)
		}
	}
}

func TestHolderThatIsHeardOfAgainKeepsItsName(t *testing.T) {
	c := claim.New[string](claim.ForInterval(interval))
	for i := range 20 {
		heard := at(time.Duration(i) * interval)
		if c.Accept(heard.Add(interval/2), "other", claim.Newer, heard) {
			t.Fatalf("claim %d was accepted, though the holder announces itself", i)
		}
	}
}

func TestRepeatedNewerClaimIsAccepted(t *testing.T) {
	c := claim.New[string](claim.ForInterval(interval))
	if c.Accept(at(100*time.Millisecond), "next", claim.Newer, start) {
		t.Error("the first claim was accepted")
	}
	if c.Accept(at(200*time.Millisecond), "next", claim.Newer, start) {
		t.Error("a copy of the first claim was accepted")
	}
	if !c.Accept(at(1100*time.Millisecond), "next", claim.Newer, start) {
		t.Error("the second claim was refused")
	}
}

func TestNewerClaimAgainstASilentHolderIsAcceptedAtOnce(t *testing.T) {
	c := claim.New[string](claim.ForInterval(interval))
	if !c.Accept(at(1500*time.Millisecond), "next", claim.Newer, start) {
		t.Error("the claim was refused")
	}
}

func TestOlderClaimNeedsSilenceAndRepetition(t *testing.T) {
	c := claim.New[string](claim.ForInterval(interval))
	for _, step := range []struct {
		after time.Duration
		want  bool
	}{{900 * time.Millisecond, false}, {1400 * time.Millisecond, false}, {1900 * time.Millisecond, true}} {
		if got := c.Accept(at(step.after), "former", claim.Older, start); got != step.want {
			t.Errorf("after %v the claim was accepted: %t", step.after, got)
		}
	}
	if c.Accept(at(10*time.Second), "delayed", claim.Older, start) {
		t.Error("a single older claim was accepted after a long silence")
	}
}

func TestRepeatedClaimAgainstTwoHoldersIsAccepted(t *testing.T) {
	c := claim.New[string](claim.ForInterval(interval))
	for i, want := range []bool{false, true} {
		now := at(100*time.Millisecond + time.Duration(i)*interval)
		first, second := c.Accept(now, "next", claim.Newer, start), c.Accept(now, "next", claim.Newer, start.Add(-time.Millisecond))
		if first != want || second != want {
			t.Errorf("claim %d was answered with %t and %t", i, first, second)
		}
	}
}

func TestClaimantsAreForgotten(t *testing.T) {
	c := claim.New[int](claim.ForInterval(interval))
	for i := range 10_000 {
		c.Accept(at(time.Duration(i)*time.Microsecond), i, claim.Newer, start)
	}
	if !c.Accept(at(interval), 9_999, claim.Newer, start) {
		t.Error("the latest claimant was forgotten")
	}
	if c.Accept(at(interval), 0, claim.Newer, start) {
		t.Error("the first of 10,000 claimants is still remembered")
	}
}
