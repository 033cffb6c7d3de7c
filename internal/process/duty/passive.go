package duty

import "time"

// Passive provides the methods of Handler other than Handle for a handler that
// is driven by events alone: it has no deadline, and no state in a dump.
type Passive struct{}

// Tick implements Handler. It does nothing.
func (Passive) Tick(time.Time) {}

// Next implements Handler. It returns the zero time.
func (Passive) Next() time.Time {
	return time.Time{}
}

// Dump implements Handler. It returns nil.
func (Passive) Dump() any {
	return nil
}
