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
			t.Fatalf("%v after %v", now, last)
		}
		last = now
	}
	if off := time.Until(last).Abs(); off > time.Minute {
		t.Fatalf("the clock is %v off the time of day at the start", off)
	}
}
