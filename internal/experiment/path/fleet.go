// Package path measures the path from callers to endpoints on a fleet in one
// process: the share of reads that replicas serve, the latency of commits, the
// failover gap and the control traffic of an idle fleet.
package path

import (
	"context"

	"rosemarylb"
	"rosemarylb/internal/fleet/site"
	"rosemarylb/internal/standin/endpoint"
	"rosemarylb/internal/standin/fleet"
)

// database is the database of the measured service.
const database = rosemarylb.DatabaseName("book")

const systemDocument = `
service: measured
regions:
  hills:
    domains:
      d0:
      d1:
  coast:
    domains:
      d2:
databases:
  book:
    endpoints:
      book-0:
        address: "127.0.0.1:1"
        domain: d0
      book-1:
        address: "127.0.0.1:2"
        domain: d1
      book-2:
        address: "127.0.0.1:3"
        domain: d2
`

// newFleet starts the measured service and creates its tables. The returned
// function stops it.
func newFleet(ctx context.Context) (*fleet.Fleet, func(), error) {
	d, err := site.NewDocument(site.File{
		Name: "measured",
		Text: []byte(systemDocument),
	})
	if err != nil {
		return nil, nil, err
	}
	f, stop, err := fleet.NewFleet(d, 0)
	if err != nil {
		return nil, nil, err
	}
	err = f.ExecSetup(ctx, database,
		"CREATE TABLE IF NOT EXISTS jobs (id INTEGER PRIMARY KEY, note TEXT)",
		"CREATE TABLE IF NOT EXISTS rosemarylb_requests (key TEXT PRIMARY KEY)")
	if err == nil {
		err = f.WaitForConvergence()
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}

// setFaults sets the same faults on all endpoints.
func setFaults(f *fleet.Fleet, faults endpoint.Faults) {
	for _, e := range f.Endpoints {
		e.SetFaults(faults)
	}
}
