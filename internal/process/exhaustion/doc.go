// Package exhaustion tests that hostile clients do not exhaust the memory or the
// descriptors of an instance.
package exhaustion
