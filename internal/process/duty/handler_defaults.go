package duty

import "time"

// HandlerDefaults provides the methods of Handler other than Handle for a handler that
// is driven by events alone: it has no deadline, and no state in a dump.
type HandlerDefaults struct{}

// Tick implements Handler. It does nothing.
func (HandlerDefaults) Tick(time.Time) {}

// Next implements Handler. It returns the zero time.
func (HandlerDefaults) Next() time.Time {
	return time.Time{}
}

// Dump implements Handler. It returns nil.
func (HandlerDefaults) Dump() any {
	return nil
}
