package bluebellprocess

import (
	"time"

	"golang.org/x/sys/unix"
)

var programStart = time.Now()

// Uptime returns the time since the machine started. It includes the time for which the machine was suspended, which
// the monotonic clock of package time does not. Where there is no such clock, it is the time since the program
// started.
func Uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(programStart)
	}
	return time.Duration(ts.Nano())
}
