// Package demo runs a whole service in one process: stand-ins for the
// platform and the endpoints, and an instance in each failure domain.
package demo

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"rosemarylb"
	"rosemarylb/internal/fleet/site"
	"rosemarylb/internal/peer/platform"
	"rosemarylb/internal/process/service"
	"rosemarylb/internal/standin/endpoint"
	standin "rosemarylb/internal/standin/platform"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
)

const (
	// readyTimeout bounds the start of the demo.
	readyTimeout = 20 * time.Second
	// readyPoll is the time between two tries of the first statement.
	readyPoll = 100 * time.Millisecond
)

// Demo is a running service.
type Demo struct {
	settings  rosemarylb.Service
	ports     []int
	instances []*service.Instance
	cleanups  []func()
}

// NewDemo starts a service as described, on stand-ins in place of its
// endpoints' addresses. Instances listen for callers on 127.0.0.1 from the
// given port on. The returned function stops everything.
func NewDemo(d site.Document, port int, log *slog.Logger) (*Demo, func(), error) {
	m := &Demo{}
	if err := m.start(d, port, log); err != nil {
		m.stop()
		return nil, nil, err
	}
	return m, m.stop, nil
}

func (m *Demo) stop() {
	for n := len(m.cleanups) - 1; n >= 0; n-- {
		m.cleanups[n]()
	}
	m.cleanups = nil
}

func (m *Demo) start(d site.Document, port int, log *slog.Logger) error {
	p, stop, err := standin.NewServer("127.0.0.1:0")
	if err != nil {
		return err
	}
	m.cleanups = append(m.cleanups, stop)
	overlay, err := m.startEndpoints(d)
	if err != nil {
		return err
	}
	document, err := site.NewDocument(site.File{
		Name: "files",
		Text: d.Render(false),
	}, site.File{
		Name: "demo",
		Text: overlay,
	})
	if err != nil {
		return err
	}
	m.settings, err = document.Service()
	if err != nil {
		return err
	}
	store := platform.NewHTTPStore("http://" + p.Address())
	ctx := context.Background()
	seen, err := store.Get(ctx, platform.ConfigurationName)
	if err != nil {
		return err
	}
	if _, err := platform.Publish(ctx, store, seen, "demo", document.Render(false)); err != nil {
		return err
	}
	return m.startInstances(store, p, port, log)
}

// startEndpoints starts a stand-in for each endpoint, and returns an overlay
// with their addresses.
func (m *Demo) startEndpoints(d site.Document) ([]byte, error) {
	s, err := d.Service()
	if err != nil {
		return nil, err
	}
	var overlay strings.Builder
	overlay.WriteString("databases:\n")
	for _, database := range s.Databases {
		overlay.WriteString("  " + string(database.Name) + ":\n    endpoints:\n")
		for _, spec := range database.Endpoints {
			e, stop, err := endpoint.NewServer("127.0.0.1:0", endpoint.WithName(string(spec.ID)))
			if err != nil {
				return nil, err
			}
			m.cleanups = append(m.cleanups, stop)
			fmt.Fprintf(&overlay, "      %s:\n        address: %q\n", spec.ID, e.Address())
		}
	}
	return []byte(overlay.String()), nil
}

func (m *Demo) startInstances(store rosemarylb.Store, p *standin.Server, port int, log *slog.Logger) error {
	var list []standin.Instance
	domains := map[rosemarylb.DomainName]bool{}
	for _, database := range m.settings.Databases {
		for _, e := range database.Endpoints {
			if domains[e.Domain] {
				continue
			}
			domains[e.Domain] = true
			entry, err := m.startInstance(store, e, port+len(list), log)
			if err != nil {
				return err
			}
			list = append(list, entry)
			p.SetInstances(list)
		}
	}
	return nil
}

func (m *Demo) startInstance(
	store rosemarylb.Store, e rosemarylb.EndpointSpec, port int, log *slog.Logger,
) (standin.Instance, error) {
	id := rosemarylb.InstanceID("proxy-" + string(e.Domain))
	i, stop, err := service.NewInstance(service.Settings{
		ID:              id,
		Domain:          e.Domain,
		Region:          e.Region,
		CallerAddress:   fmt.Sprintf("127.0.0.1:%d", port),
		InstanceAddress: "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0",
		Loops:           1,
		Version:         "demo",
	}, store, service.WithLogger(log.With("instance", string(id))))
	if err != nil {
		return standin.Instance{}, err
	}
	m.cleanups = append(m.cleanups, stop)
	m.instances = append(m.instances, i)
	m.ports = append(m.ports, port)
	return standin.Instance{
		Name:    string(id),
		Address: i.View().Self.Address,
		Domain:  string(e.Domain),
		Region:  string(e.Region),
	}, nil
}

// ConnectionString returns how a caller connects to an instance.
func (m *Demo) ConnectionString(instance int, user string) string {
	return fmt.Sprintf("postgres://%s@127.0.0.1:%d/%s?sslmode=disable", user, m.ports[instance],
		m.settings.Databases[0].Name)
}

// MainJob confirms an install through one instance and reads it back through
// another, and returns a report.
func (m *Demo) MainJob() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	fitter, err := m.connect(ctx, 0, "fitter")
	if err != nil {
		return "", err
	}
	defer func() {
		_ = fitter.Close(ctx)
	}()
	for _, statement := range []string{
		"CREATE TABLE IF NOT EXISTS rosemarylb_requests (key TEXT PRIMARY KEY)",
		"CREATE TABLE IF NOT EXISTS installs (id INTEGER PRIMARY KEY, mirror TEXT, glass_mm INTEGER)",
	} {
		if err := retryUntilReady(ctx, fitter, statement); err != nil {
			return "", err
		}
	}
	if _, err := fitter.Exec(ctx, "SET rosemarylb.idempotency_key = 'demo-1'"); err != nil {
		return "", errors.Wrap(err, "set the key")
	}
	_, err = fitter.Exec(ctx, "INSERT INTO installs (id, mirror, glass_mm) VALUES ($1, $2, $3)", 1, "hall mirror", 820)
	if err != nil {
		return "", errors.Wrap(err, "confirm the install")
	}
	floor := fitter.PgConn().ParameterStatus("rosemarylb.floor")
	return m.readBack(ctx, floor)
}

func (m *Demo) readBack(ctx context.Context, floor string) (string, error) {
	other := len(m.ports) - 1
	clerk, err := m.connect(ctx, other, "clerk")
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
		m.ConnectionString(0, "fitter"), mirror, glass, m.ConnectionString(other, "clerk")), nil
}

// connect opens a session, and waits until the instance has a configuration.
func (m *Demo) connect(ctx context.Context, instance int, user string) (*pgx.Conn, error) {
	for {
		c, err := pgx.Connect(ctx, m.ConnectionString(instance, user))
		if err == nil {
			return c, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(err, "connect")
		case <-time.After(readyPoll):
		}
	}
}

// retryUntilReady runs a statement that may be repeated until the databases
// have their first primaries.
func retryUntilReady(ctx context.Context, c *pgx.Conn, statement string) error {
	for {
		_, err := c.Exec(ctx, statement)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "first statement")
		case <-time.After(readyPoll):
		}
	}
}

// Hints tells what to try while the demo runs.
func (m *Demo) Hints() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\nthe service is up; connect with:\n")
	for n := range m.ports {
		fmt.Fprintf(&b, "  %s\n", m.ConnectionString(n, "fitter"))
	}
	fmt.Fprintf(&b, "try: SHOW rosemarylb.floor; SELECT * FROM installs;\nstate: rosemarylb dump --operator %s\n",
		m.instances[0].OperatorAddress())
	return b.String()
}
