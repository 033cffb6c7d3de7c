// Package clock implements rosemarylb.Clock.
package clock

import (
	"time"

	"rosemarylb"

	"golang.org/x/sys/unix"
)

// BootTime is the clock CLOCK_BOOTTIME: the time since the machine booted,
// including the time during which it was suspended.
type BootTime struct{}

// Now implements rosemarylb.Clock. It panics if the clock cannot be read.
func (BootTime) Now() time.Time {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	rosemarylb.Invariantf(err == nil, "read CLOCK_BOOTTIME: %v", err)
	return time.Unix(ts.Sec, ts.Nsec)
}
