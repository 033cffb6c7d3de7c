// Package fleettest holds end-to-end tests and benchmarks that run the built
// programs as a fleet of processes.
package fleettest
