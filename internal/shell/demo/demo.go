// Package demo runs a configured service in one process, with stand-ins for
// the endpoints and the platform, and a scenario that writes and reads back.
package demo

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"rosemarylb"
	"rosemarylb/internal/fleet/site"
	"rosemarylb/internal/standin/fleet"

	"github.com/cockroachdb/errors"
)

// scenarioTimeout limits the duration of a scenario.
const scenarioTimeout = 30 * time.Second

// Demo is a running service whose callers use the PostgreSQL protocol.
type Demo struct {
	fleet    *fleet.Fleet
	database rosemarylb.DatabaseName
}

// NewDemo starts the service that a document describes. The first instance
// listens for callers on the given port of 127.0.0.1, each further one on the
// next port. The returned function stops the service.
func NewDemo(document site.Document, port int, log *slog.Logger) (*Demo, func(), error) {
	f, stop, err := fleet.NewFleet(document, port, fleet.WithLogger(log))
	if err != nil {
		return nil, nil, err
	}
	return &Demo{
		fleet:    f,
		database: f.Config.Databases[0].Name,
	}, stop, nil
}

// RunScenario writes a row through the first instance, reads it back through the
// last one and returns a report. The read sets rosemarylb.floor to the
// position of the write, so that it is served by an endpoint that has the write.
func (d *Demo) RunScenario() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	err := d.fleet.ExecSetup(ctx, d.database,
		"CREATE TABLE IF NOT EXISTS rosemarylb_requests (key TEXT PRIMARY KEY)",
		"CREATE TABLE IF NOT EXISTS installs (id INTEGER PRIMARY KEY, mirror TEXT, glass_mm INTEGER)")
	if err != nil {
		return "", err
	}
	writer, err := d.fleet.Connect(ctx, 0, "fitter", d.database)
	if err != nil {
		return "", err
	}
	defer func() {
		_ = writer.Close(ctx)
	}()
	if _, err := writer.Exec(ctx, "SET rosemarylb.idempotency_key = 'demo-1'"); err != nil {
		return "", errors.Wrap(err, "set the idempotency key")
	}
	_, err = writer.Exec(ctx, "INSERT INTO installs (id, mirror, glass_mm) VALUES ($1, $2, $3)", 1, "hall mirror", 820)
	if err != nil {
		return "", errors.Wrap(err, "write the install")
	}
	return d.readBack(ctx, writer.PgConn().ParameterStatus("rosemarylb.floor"))
}

func (d *Demo) readBack(ctx context.Context, floor string) (string, error) {
	last := len(d.fleet.Instances) - 1
	reader, err := d.fleet.Connect(ctx, last, "clerk", d.database)
	if err != nil {
		return "", err
	}
	defer func() {
		_ = reader.Close(ctx)
	}()
	if _, err := reader.Exec(ctx, "SET rosemarylb.floor = '"+floor+"'"); err != nil {
		return "", errors.Wrap(err, "set the floor")
	}
	var mirror string
	var glass int
	err = reader.QueryRow(ctx, "SELECT mirror, glass_mm FROM installs WHERE id = $1", 1).Scan(&mirror, &glass)
	if err != nil {
		return "", errors.Wrap(err, "read the install")
	}
	return fmt.Sprintf("confirmed an install at floor %s through %s\nread %q, %d mm, through %s\n", floor,
		d.connectionString(0, "fitter"), mirror, glass, d.connectionString(last, "clerk")), nil
}

func (d *Demo) connectionString(instance int, user string) string {
	return d.fleet.ConnectionString(instance, user, d.database)
}

// Instructions returns how to connect to the running demo and what to try.
func (d *Demo) Instructions() string {
	var b strings.Builder
	b.WriteString("\nthe service is up; connect with:\n")
	for n := range d.fleet.Instances {
		fmt.Fprintf(&b, "  %s\n", d.connectionString(n, "fitter"))
	}
	fmt.Fprintf(&b, "try: SHOW rosemarylb.floor; SELECT * FROM installs;\nstate: rosemarylb dump --operator %s\n",
		d.fleet.Instances[0].OperatorAddress())
	return b.String()
}
