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
			t.Fatalf("the clock read %v after it had read %v", now, last)
		}
		last = now
	}
	if offset := time.Until(last).Abs(); offset > time.Minute {
		t.Fatalf("the clock differs from the wall clock by %v", offset)
	}
}
