// Package fleettest holds the tests that run built binaries as a fleet of
// processes.
package fleettest
