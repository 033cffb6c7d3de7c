package rosemarylb

import "github.com/cockroachdb/errors"

// Invariant stops the process when something that must always hold does not.
// It is for faults of the program, never for what a peer sends.
func Invariant(holds bool, format string, args ...any) {
	if !holds {
		panic(errors.AssertionFailedf(format, args...))
	}
}
