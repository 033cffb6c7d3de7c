// Package shape tests that the code base keeps to its architecture: package
// layout, concurrency, immutable values and interfaces.
package shape
