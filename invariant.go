package rosemarylb

import "github.com/cockroachdb/errors"

// Invariantf panics with the formatted message if holds is false. It is for
// programming errors only: input from a peer must never cause a panic.
func Invariantf(holds bool, format string, args ...any) {
	if !holds {
		panic(errors.AssertionFailedf(format, args...))
	}
}
