package duty

import "time"

// Passive is embedded by handlers that only take events: they have no deadline
// of their own and nothing to describe.
type Passive struct{}

// Tick implements Handler.
func (Passive) Tick(time.Time) {}

// Next implements Handler.
func (Passive) Next() time.Time {
	return time.Time{}
}

// Dump implements Handler.
func (Passive) Dump() any {
	return nil
}
