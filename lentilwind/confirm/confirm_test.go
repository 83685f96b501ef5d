package confirm_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

var epoch = time.Unix(1000, 0)

// member is a member of a group whose primary writes in term 1 while others try to replace it.
type member struct {
	status group.Status
	sample confirm.StatusSample
}

// majorities calls a function with each majority of the members, as a bit set.
func majorities(n int, visit func(set int)) {
	for set := range 1 << n {
		count := 0
		for i := range n {
			count += set >> i & 1
		}
		if count >= confirm.Majority(n) {
			visit(set)
		}
	}
}

// Every majority of the members includes one that holds each confirmed write.
func TestEveryMajorityHoldsConfirmedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]member, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "members"))
		for i := range members {
			members[i].status = group.Status{Term: 1, FencedTerm: 1}
		}
		written, confirmed := group.Position(0), group.Position(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m := &members[rapid.IntRange(0, len(members)-1).Draw(t, "member")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				written++
			case 1:
				// A fenced member accepts no records of the old term.
				if m.status.FencedTerm == 1 {
					m.status.Received = written
				}
			case 2:
				m.status.FencedTerm = 2
			case 3:
				m.sample = confirm.StatusSample{Status: m.status, SentAt: epoch}
			}
			samples := make([]confirm.StatusSample, 0, len(members))
			for _, m := range members {
				samples = append(samples, m.sample)
			}
			for position := confirmed + 1; position <= written; position++ {
				if confirm.CheckWrite(samples, 1, position) == confirm.Confirmed {
					confirmed = position
				}
			}
		}
		majorities(len(members), func(set int) {
			newest := group.Position(0)
			for i, m := range members {
				if set>>i&1 == 1 {
					newest = max(newest, m.status.Received)
				}
			}
			if newest < confirmed {
				t.Fatalf("the members %b hold positions up to %d, but the write at %d is confirmed", set, newest, confirmed)
			}
		})
	})
}

// A read floor covers every write that was confirmed before the members were asked.
func TestReadFloorCoversConfirmedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "members")
		samples := make([]confirm.StatusSample, n)
		for i := range samples {
			samples[i].Status = group.Status{Term: 1, FencedTerm: 1, Received: group.Position(rapid.IntRange(0, 9).Draw(t, "received"))}
			samples[i].SentAt = epoch.Add(time.Duration(rapid.IntRange(-2, 2).Draw(t, "start")) * time.Second)
		}
		confirmed := group.Position(0)
		for position := range group.Position(10) {
			if confirm.CheckWrite(samples, 1, position) == confirm.Confirmed {
				confirmed = position
			}
		}
		floor, known := confirm.ReadFloor(samples, epoch)
		asked := 0
		for _, s := range samples {
			if !s.SentAt.Before(epoch) {
				asked++
			}
		}
		if known != (asked >= confirm.Majority(n)) {
			t.Fatalf("known %v with %d of %d asked since", known, asked, n)
		}
		if known && floor.Position < confirmed {
			t.Fatalf("floor %+v, confirmed %d", floor, confirmed)
		}
	})
}

func TestTermConfirmedAtIsTheMajorityTime(t *testing.T) {
	at := func(seconds int, term, fenced group.Term) confirm.StatusSample {
		return confirm.StatusSample{SentAt: epoch.Add(time.Duration(seconds) * time.Second), Status: group.Status{Term: term, FencedTerm: fenced}}
	}
	if got := confirm.TermConfirmedAt([]confirm.StatusSample{at(3, 1, 1), at(1, 1, 1), at(2, 1, 1)}, 1); !got.Equal(epoch.Add(2 * time.Second)) {
		t.Errorf("got %v", got)
	}
	if got := confirm.TermConfirmedAt([]confirm.StatusSample{at(3, 1, 2), at(1, 1, 1), at(2, 2, 2)}, 1); !got.IsZero() {
		t.Errorf("a fenced member and one of a newer term were counted: %v", got)
	}
}
