// Package path measures the whole path on a fleet in one process: the share
// of reads that replicas serve, the delay of commits and the failover gap.
package path

import (
	"context"

	"rosemarylb"
	"rosemarylb/internal/fleet/site"
	"rosemarylb/internal/standin/endpoint"
	"rosemarylb/internal/standin/fleet"
)

// database is the one database of the measured service.
const database = rosemarylb.DatabaseName("book")

const description = `
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

// newFleet starts the measured service with one table.
func newFleet(ctx context.Context) (*fleet.Fleet, func(), error) {
	d, err := site.NewDocument(site.File{
		Name: "measured",
		Text: []byte(description),
	})
	if err != nil {
		return nil, nil, err
	}
	f, stop, err := fleet.NewFleet(d, 0)
	if err != nil {
		return nil, nil, err
	}
	err = f.Prepare(ctx, database,
		"CREATE TABLE IF NOT EXISTS jobs (id INTEGER PRIMARY KEY, note TEXT)",
		"CREATE TABLE IF NOT EXISTS rosemarylb_requests (key TEXT PRIMARY KEY)")
	if err == nil {
		err = f.AwaitMembers()
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}

// setFaults gives all endpoints the same faults.
func setFaults(f *fleet.Fleet, faults endpoint.Faults) {
	for _, e := range f.Endpoints {
		e.SetFaults(faults)
	}
}
