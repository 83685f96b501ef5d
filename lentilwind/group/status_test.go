package group_test

import (
	"math"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/group"
)

func TestStatusRoundTrip(t *testing.T) {
	want := group.Status{
		Slot: 2, Role: group.RoleReplica, Term: 7, FencedTerm: 8, Received: math.MaxUint64, Applied: 119, Lag: 40 * time.Millisecond,
	}
	for _, parse := range []func() (group.Status, error){
		func() (group.Status, error) { return group.ParseStatus(want.String()) },
		func() (group.Status, error) { return group.ParseStatus([]byte(want.String())) },
	} {
		if got, err := parse(); err != nil || got != want {
			t.Errorf("got %v, %v", got, err)
		}
	}
}

func TestParseStatusRejectsMalformedText(t *testing.T) {
	for _, text := range []string{
		"", "slot=2", "slot=2 role=primary term=7 fenced=7 received=120 applied=120 ageMs=", "slot=2 role=king term=7 fenced=7 received=1 applied=1 ageMs=0",
		"slot=65536 role=primary term=7 fenced=7 received=120 applied=120 ageMs=0",
		"slot=2 role=primary term=18446744073709551616 fenced=7 received=120 applied=120 ageMs=0",
		"slot=2 role=primary term=7 fenced=7 received=120 applied=120 ageMs=0 more",
		"slot=2 role=primary term=-7 fenced=7 received=120 applied=120 ageMs=0",
	} {
		if got, err := group.ParseStatus(text); err == nil {
			t.Errorf("%q gave %v", text, got)
		}
	}
}
