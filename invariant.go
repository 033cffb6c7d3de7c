package rosemarylb

import "github.com/cockroachdb/errors"

// Invariantf stops the process when something that must always hold does not.
// It is for faults of the program, never for what a peer sends.
func Invariantf(holds bool, format string, args ...any) {
	if !holds {
		panic(errors.AssertionFailedf(format, args...))
	}
}
