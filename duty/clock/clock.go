// Package clock reads the time since the machine's boot. Unlike the monotonic clock of package time it also advances
// while the machine is suspended, so that the age of a lease or a value is never underestimated.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time, in nanoseconds since the machine's boot. The zero value means "never".
type Instant int64

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot-time clock: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// After reports whether t is later than u.
func (t Instant) After(u Instant) bool { return t > u }
