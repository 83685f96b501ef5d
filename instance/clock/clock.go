package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin pairs the wall clock at the start of the process with the boot-time clock, so that readings print as plausible dates.
var origin = struct {
	wall time.Time
	boot time.Duration
}{time.Now().Round(0), sinceBoot()}

// Now returns a time that never jumps and includes the time during which the instance was suspended. It is comparable only with
// other results of Now.
func Now() time.Time { return origin.wall.Add(sinceBoot() - origin.boot) }

// sinceBoot reads the boot-time clock, which every Linux kernel supported by Go provides.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
