package clock_test

import (
	"testing"
	"time"

	"lentilwind.dev/instance/clock"
)

func TestNowNeverGoesBack(t *testing.T) {
	last := clock.Now()
	for range 10000 {
		now := clock.Now()
		if now.Before(last) {
			t.Fatalf("the clock went back from %v to %v", last, now)
		}
		last = now
	}
	if offset := time.Until(last).Abs(); offset > time.Minute {
		t.Fatalf("the clock differs from the wall clock by %v", offset)
	}
}
