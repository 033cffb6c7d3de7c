// Package fleet runs a whole service in one process: stand-ins for the
// platform and the endpoints, and instances of the proxy. It serves the demo,
// tests and experiments.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
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
	// readyTimeout bounds the start of a service.
	readyTimeout = 20 * time.Second
	// readyPoll is the time between two tries of the first statement.
	readyPoll = 50 * time.Millisecond
)

// Fleet is a running service.
type Fleet struct {
	// Platform is the stand-in of the platform's service.
	Platform *standin.Server
	// Endpoints are the stand-ins of the endpoints.
	Endpoints map[rosemarylb.EndpointID]*endpoint.Server
	// Instances are the instances of the proxy, in the order of the domains.
	Instances []*service.Instance
	// Service is the configuration.
	Service rosemarylb.ServiceConfig

	store     rosemarylb.Store
	document  site.Document
	ports     []int
	stops     []func()
	cleanups  []func()
	log       *slog.Logger
	perDomain int
	firstPort int
}

// Option changes a fleet under construction.
type Option func(*Fleet)

// WithInstancesPerDomain sets how many instances each domain has.
func WithInstancesPerDomain(count int) Option {
	return func(f *Fleet) {
		f.perDomain = count
	}
}

// WithLogger sets where the instances log.
func WithLogger(l *slog.Logger) Option {
	return func(f *Fleet) {
		f.log = l
	}
}

// NewFleet starts a service as described, on stand-ins in place of its
// endpoints' addresses. Instances listen for callers on 127.0.0.1 from the
// given port on, or on free ports with 0. The returned function stops
// everything.
func NewFleet(d site.Document, firstPort int, options ...Option) (*Fleet, func(), error) {
	f := &Fleet{
		Endpoints: map[rosemarylb.EndpointID]*endpoint.Server{},
		log:       slog.New(slog.DiscardHandler),
		perDomain: 1,
		firstPort: firstPort,
	}
	for _, o := range options {
		o(f)
	}
	if err := f.start(d); err != nil {
		f.stop()
		return nil, nil, err
	}
	return f, f.stop, nil
}

func (f *Fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	for n := len(f.cleanups) - 1; n >= 0; n-- {
		f.cleanups[n]()
	}
	f.stops, f.cleanups = nil, nil
}

func (f *Fleet) start(d site.Document) error {
	p, stop, err := standin.NewServer("127.0.0.1:0")
	if err != nil {
		return err
	}
	f.Platform = p
	f.cleanups = append(f.cleanups, stop)
	overlay, err := f.startEndpoints(d)
	if err != nil {
		return err
	}
	f.document, err = site.NewDocument(site.File{
		Name: "files",
		Text: d.Render(false),
	}, site.File{
		Name: "stand-ins",
		Text: overlay,
	})
	if err != nil {
		return err
	}
	f.store = platform.NewHTTPStore("http://" + p.Address())
	if err := f.Publish(f.document); err != nil {
		return err
	}
	return f.startInstances()
}

// Publish puts a document in force.
func (f *Fleet) Publish(d site.Document) error {
	s, err := d.Service()
	if err != nil {
		return err
	}
	ctx := context.Background()
	seen, err := f.store.Get(ctx, platform.ConfigurationName)
	if err != nil {
		return err
	}
	outcome, err := platform.Publish(ctx, f.store, seen, "fleet", d.Render(false))
	if err != nil {
		return err
	}
	f.Service = s.WithRevision(outcome.Current.Revision)
	f.document = d
	return nil
}

// Document returns the configuration's document.
func (f *Fleet) Document() site.Document {
	return f.document
}

// startEndpoints starts a stand-in for each endpoint, and returns an overlay
// with their addresses.
func (f *Fleet) startEndpoints(d site.Document) ([]byte, error) {
	s, err := d.Service()
	if err != nil {
		return nil, err
	}
	var overlay strings.Builder
	overlay.WriteString("databases:\n")
	for _, database := range s.Databases {
		overlay.WriteString("  " + string(database.Name) + ":\n    endpoints:\n")
		for _, spec := range database.Endpoints {
			e, stop, err := endpoint.NewServer("127.0.0.1:0",
				endpoint.WithName(string(spec.ID)),
				endpoint.WithConnectionLimit(spec.Connections))
			if err != nil {
				return nil, err
			}
			f.cleanups = append(f.cleanups, stop)
			f.Endpoints[spec.ID] = e
			fmt.Fprintf(&overlay, "      %s:\n        address: %q\n", spec.ID, e.Address())
		}
	}
	return []byte(overlay.String()), nil
}

func (f *Fleet) startInstances() error {
	domains := map[rosemarylb.DomainName]bool{}
	for _, database := range f.Service.Databases {
		for _, e := range database.Endpoints {
			if domains[e.Domain] {
				continue
			}
			domains[e.Domain] = true
			for n := range f.perDomain {
				if err := f.startInstance(e, n); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (f *Fleet) startInstance(e rosemarylb.EndpointSpec, n int) error {
	id := rosemarylb.InstanceID(fmt.Sprintf("proxy-%s-%d", e.Domain, n))
	port, err := f.port()
	if err != nil {
		return err
	}
	i, stop, err := service.NewInstance(service.Settings{
		ID:              id,
		Domain:          e.Domain,
		Region:          e.Region,
		CallerAddress:   fmt.Sprintf("127.0.0.1:%d", port),
		InstanceAddress: "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0",
		EventLoops:      1,
		Version:         "stand-in",
	}, f.store, service.WithLogger(f.log.With("instance", string(id))))
	if err != nil {
		return err
	}
	f.stops = append(f.stops, stop)
	f.Instances = append(f.Instances, i)
	f.ports = append(f.ports, port)
	f.list()
	return nil
}

// port returns the next instance's port, any free one when no first port was
// given.
func (f *Fleet) port() (int, error) {
	if f.firstPort != 0 {
		return f.firstPort + len(f.Instances), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "find a free port")
	}
	port := l.Addr().(*net.TCPAddr).Port
	return port, errors.Wrap(l.Close(), "find a free port")
}

// list tells the platform's stand-in which instances there are.
func (f *Fleet) list() {
	var list []standin.Instance
	for _, i := range f.Instances {
		self := i.View().Self
		list = append(list, standin.Instance{
			Name:    string(self.ID),
			Address: self.Address,
			Domain:  string(self.Domain),
			Region:  string(self.Region),
		})
	}
	f.Platform.SetInstances(list)
}

// Kill stops an instance at once.
func (f *Fleet) Kill(instance int) {
	f.stops[instance]()
	f.stops[instance] = func() {}
}

// ConnectionString returns how a caller connects to an instance.
func (f *Fleet) ConnectionString(instance int, user string, database rosemarylb.DatabaseName) string {
	return fmt.Sprintf("postgres://%s@127.0.0.1:%d/%s?sslmode=disable", user, f.ports[instance], database)
}

// Connect opens a session, and waits until the instance serves.
func (f *Fleet) Connect(
	ctx context.Context, instance int, user string, database rosemarylb.DatabaseName,
) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		c, err := pgx.Connect(ctx, f.ConnectionString(instance, user, database))
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

// Prepare runs statements that may be repeated, through the first instance,
// until the database has a primary and they are done.
func (f *Fleet) Prepare(ctx context.Context, database rosemarylb.DatabaseName, statements ...string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c, err := f.Connect(ctx, 0, "operator", database)
	if err != nil {
		return err
	}
	defer func() {
		_ = c.Close(ctx)
	}()
	for _, statement := range statements {
		if err := untilDone(ctx, c, statement); err != nil {
			return err
		}
	}
	return nil
}

func untilDone(ctx context.Context, c *pgx.Conn, statement string) error {
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

// AwaitMembers waits until every instance knows all of them alive.
func (f *Fleet) AwaitMembers() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if f.complete() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errors.New("the instances did not all find each other")
}

func (f *Fleet) complete() bool {
	for _, i := range f.Instances {
		alive := 0
		for _, m := range i.View().Members {
			if m.Status == rosemarylb.MemberAlive {
				alive++
			}
		}
		if alive != len(f.Instances) || i.View().ServiceConfig.Revision != f.Service.Revision {
			return false
		}
	}
	return true
}

// Primary returns the primary of a database as an instance knows it.
func (f *Fleet) Primary(database rosemarylb.DatabaseName) rosemarylb.EndpointID {
	p, _ := f.Instances[0].View().Primary(database)
	return p.Endpoint
}
