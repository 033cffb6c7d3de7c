package rosemarylb

import "time"

// Clock tells the time that leases, permits and ages are held by. It goes on
// while the machine is suspended and never jumps.
type Clock interface {
	// Now returns the time; only times of the same clock compare.
	Now() time.Time
}
