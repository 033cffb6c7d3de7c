// Package clock reads the clock that safety rests on.
package clock

import (
	"time"

	"rosemarylb"

	"golang.org/x/sys/unix"
)

// Boot is the time since the machine started, suspensions included.
type Boot struct{}

// Now implements rosemarylb.Clock.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	rosemarylb.Invariantf(err == nil, "the boot clock cannot be read: %v", err)
	return time.Unix(ts.Sec, ts.Nsec)
}
