// Package demo runs a described service in one process, on stand-ins, and
// does its main job.
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

// scenarioTimeout bounds the main job.
const scenarioTimeout = 30 * time.Second

// Demo is a running service.
type Demo struct {
	fleet    *fleet.Fleet
	database rosemarylb.DatabaseName
}

// NewDemo starts a service. Instances listen for callers on 127.0.0.1 from the
// given port on. The returned function stops everything.
func NewDemo(d site.Document, port int, log *slog.Logger) (*Demo, func(), error) {
	f, stop, err := fleet.NewFleet(d, port, fleet.WithLogger(log))
	if err != nil {
		return nil, nil, err
	}
	return &Demo{
		fleet:    f,
		database: f.Service.Databases[0].Name,
	}, stop, nil
}

// RunScenario confirms an install through one instance and reads it back through
// another, and returns a report.
func (m *Demo) RunScenario() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	err := m.fleet.Prepare(ctx, m.database,
		"CREATE TABLE IF NOT EXISTS rosemarylb_requests (key TEXT PRIMARY KEY)",
		"CREATE TABLE IF NOT EXISTS installs (id INTEGER PRIMARY KEY, mirror TEXT, glass_mm INTEGER)")
	if err != nil {
		return "", err
	}
	fitter, err := m.fleet.Connect(ctx, 0, "fitter", m.database)
	if err != nil {
		return "", err
	}
	defer func() {
		_ = fitter.Close(ctx)
	}()
	if _, err := fitter.Exec(ctx, "SET rosemarylb.idempotency_key = 'demo-1'"); err != nil {
		return "", errors.Wrap(err, "set the key")
	}
	_, err = fitter.Exec(ctx, "INSERT INTO installs (id, mirror, glass_mm) VALUES ($1, $2, $3)", 1, "hall mirror", 820)
	if err != nil {
		return "", errors.Wrap(err, "confirm the install")
	}
	return m.readBack(ctx, fitter.PgConn().ParameterStatus("rosemarylb.floor"))
}

func (m *Demo) readBack(ctx context.Context, floor string) (string, error) {
	other := len(m.fleet.Instances) - 1
	clerk, err := m.fleet.Connect(ctx, other, "clerk", m.database)
	if err != nil {
		return "", err
	}
	defer func() {
		_ = clerk.Close(ctx)
	}()
	if _, err := clerk.Exec(ctx, "SET rosemarylb.floor = '"+floor+"'"); err != nil {
		return "", errors.Wrap(err, "bring the floor")
	}
	var mirror string
	var glass int
	err = clerk.QueryRow(ctx, "SELECT mirror, glass_mm FROM installs WHERE id = $1", 1).Scan(&mirror, &glass)
	if err != nil {
		return "", errors.Wrap(err, "read the install")
	}
	return fmt.Sprintf("confirmed an install at floor %s through %s\nread %q, %d mm, through %s\n", floor,
		m.connectionString(0, "fitter"), mirror, glass, m.connectionString(other, "clerk")), nil
}

func (m *Demo) connectionString(instance int, user string) string {
	return m.fleet.ConnectionString(instance, user, m.database)
}

// Hints tells what to try while the demo runs.
func (m *Demo) Hints() string {
	var b strings.Builder
	b.WriteString("\nthe service is up; connect with:\n")
	for n := range m.fleet.Instances {
		fmt.Fprintf(&b, "  %s\n", m.connectionString(n, "fitter"))
	}
	fmt.Fprintf(&b, "try: SHOW rosemarylb.floor; SELECT * FROM installs;\nstate: rosemarylb dump --operator %s\n",
		m.fleet.Instances[0].OperatorAddress())
	return b.String()
}
