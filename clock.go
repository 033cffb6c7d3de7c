package rosemarylb

import "time"

// Clock is the monotonic clock for leases, permits and staleness. It includes
// the time during which the machine is suspended, so that a lease expires while
// its holder sleeps.
type Clock interface {
	// Now returns the current time. Times of different clocks must not be
	// compared.
	Now() time.Time
}
