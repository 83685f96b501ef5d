package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// started pairs the time of day at the start with the boot-time clock, so that readings print as plausible dates.
var started = struct {
	wall time.Time
	boot time.Duration
}{time.Now().Round(0), sinceBoot()}

// Now returns a time that never jumps, counts suspended time and compares only with other results of Now.
func Now() time.Time { return started.wall.Add(sinceBoot() - started.boot) }

// sinceBoot reads the boot-time clock; every Linux kernel that Go supports has it.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
