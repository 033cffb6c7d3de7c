// Package fleet runs a complete service in one process for the demo, tests and
// experiments: simulated platform and endpoints, and instances of the proxy.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"time"

	"rosemarylb"
	"rosemarylb/internal/fleet/site"
	"rosemarylb/internal/peer/platform"
	"rosemarylb/internal/process/service"
	"rosemarylb/internal/standin/endpoint"
	"rosemarylb/internal/standin/loopback"
	standin "rosemarylb/internal/standin/platform"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
)

const (
	// startTimeout bounds the wait for a started service to accept statements or to
	// converge.
	startTimeout = 20 * time.Second
	// retryInterval is the interval between attempts while a service starts.
	retryInterval = 50 * time.Millisecond
)

// Fleet is a running service.
type Fleet struct {
	// Platform is the simulated platform service.
	Platform *standin.Server
	// Endpoints are the simulated endpoints.
	Endpoints map[rosemarylb.EndpointID]*endpoint.Server
	// Instances are the instances of the proxy, grouped by domain in the order of
	// the configuration.
	Instances []*service.Instance
	// Config is the configuration as last published.
	Config rosemarylb.ServiceConfig

	store              rosemarylb.Store
	document           site.Document
	callerAddresses    []string
	instanceStops      []func()
	cleanups           []func()
	log                *slog.Logger
	instancesPerDomain int
	firstCallerPort    int
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithInstancesPerDomain sets the number of instances in each failure domain. It
// is 1 by default.
func WithInstancesPerDomain(count int) Option {
	return func(f *Fleet) {
		f.instancesPerDomain = count
	}
}

// WithLogger sets the logger of the instances. Their logs are discarded by
// default.
func WithLogger(logger *slog.Logger) Option {
	return func(f *Fleet) {
		f.log = logger
	}
}

// NewFleet starts the service that a document configures, with simulated
// endpoints in place of the configured addresses. The instances listen for
// callers on 127.0.0.1, on consecutive ports from firstPort on, or on free loopback
// addresses if it is 0. The returned function stops the service.
func NewFleet(document site.Document, firstPort int, options ...Option) (*Fleet, func(), error) {
	f := &Fleet{
		Endpoints:          map[rosemarylb.EndpointID]*endpoint.Server{},
		log:                slog.New(slog.DiscardHandler),
		instancesPerDomain: 1,
		firstCallerPort:    firstPort,
	}
	for _, o := range options {
		o(f)
	}
	if err := f.start(document); err != nil {
		f.stop()
		return nil, nil, err
	}
	return f, f.stop, nil
}

// stop stops the instances before the endpoints and the platform that they use.
func (f *Fleet) stop() {
	for _, stop := range f.instanceStops {
		stop()
	}
	for n := len(f.cleanups) - 1; n >= 0; n-- {
		f.cleanups[n]()
	}
	f.instanceStops, f.cleanups = nil, nil
}

func (f *Fleet) start(document site.Document) error {
	server, stop, err := standin.NewServer("127.0.0.1:0")
	if err != nil {
		return err
	}
	f.Platform = server
	f.cleanups = append(f.cleanups, stop)
	overlay, err := f.startEndpoints(document)
	if err != nil {
		return err
	}
	f.document, err = site.NewDocument(site.File{
		Name: "files",
		Text: document.Render(false),
	}, site.File{
		Name: "stand-ins",
		Text: overlay,
	})
	if err != nil {
		return err
	}
	f.store = platform.NewHTTPStore("http://" + server.Address())
	if err := f.Publish(f.document); err != nil {
		return err
	}
	return f.startInstances()
}

// Publish publishes a document as the configuration of the service.
func (f *Fleet) Publish(document site.Document) error {
	config, err := document.ServiceConfig()
	if err != nil {
		return err
	}
	ctx := context.Background()
	current, err := f.store.Get(ctx, platform.ConfigurationName)
	if err != nil {
		return err
	}
	outcome, err := platform.Publish(ctx, f.store, current, "fleet", document.Render(false))
	if err != nil {
		return err
	}
	f.Config = config.WithRevision(outcome.Current.Revision)
	f.document = document
	return nil
}

// Document returns the document of the published configuration.
func (f *Fleet) Document() site.Document {
	return f.document
}

// startEndpoints starts a simulated endpoint for each configured one. It returns
// a configuration overlay with their addresses.
func (f *Fleet) startEndpoints(document site.Document) ([]byte, error) {
	config, err := document.ServiceConfig()
	if err != nil {
		return nil, err
	}
	var overlay strings.Builder
	overlay.WriteString("databases:\n")
	for _, database := range config.Databases {
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

// startInstances starts the instances of each failure domain that has endpoints.
func (f *Fleet) startInstances() error {
	startedDomains := map[rosemarylb.DomainName]bool{}
	for _, database := range f.Config.Databases {
		for _, e := range database.Endpoints {
			if startedDomains[e.Domain] {
				continue
			}
			startedDomains[e.Domain] = true
			for n := range f.instancesPerDomain {
				if err := f.startInstance(e, n); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (f *Fleet) startInstance(spec rosemarylb.EndpointSpec, ordinal int) error {
	id := rosemarylb.InstanceID(fmt.Sprintf("proxy-%s-%d", spec.Domain, ordinal))
	callerAddress, err := f.nextCallerAddress()
	if err != nil {
		return err
	}
	i, stop, err := service.NewInstance(service.Settings{
		ID:              id,
		Domain:          spec.Domain,
		Region:          spec.Region,
		CallerAddress:   callerAddress,
		InstanceAddress: "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0",
		EventLoops:      1,
		Version:         "stand-in",
	}, f.store, service.WithLogger(f.log.With("instance", string(id))))
	if err != nil {
		return err
	}
	f.instanceStops = append(f.instanceStops, stop)
	f.Instances = append(f.Instances, i)
	f.callerAddresses = append(f.callerAddresses, callerAddress)
	f.registerInstances()
	return nil
}

// nextCallerAddress returns the host:port at which the next instance listens for
// callers.
func (f *Fleet) nextCallerAddress() (string, error) {
	if f.firstCallerPort == 0 {
		return loopback.Address()
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(f.firstCallerPort+len(f.Instances))), nil
}

// registerInstances sets the list of instances that the platform serves.
func (f *Fleet) registerInstances() {
	var instances []standin.Instance
	for _, i := range f.Instances {
		self := i.View().Self
		instances = append(instances, standin.Instance{
			Name:    string(self.ID),
			Address: self.Address,
			Domain:  string(self.Domain),
			Region:  string(self.Region),
		})
	}
	f.Platform.SetInstances(instances)
}

// StopInstance stops an instance immediately, without draining it.
func (f *Fleet) StopInstance(instance int) {
	f.instanceStops[instance]()
	f.instanceStops[instance] = func() {}
}

// ConnectionString returns the PostgreSQL URL at which callers connect to an
// instance.
func (f *Fleet) ConnectionString(instance int, user string, database rosemarylb.DatabaseName) string {
	return fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", user, f.callerAddresses[instance], database)
}

// Connect opens a session on an instance. It retries until the instance accepts
// sessions or startTimeout has passed.
func (f *Fleet) Connect(
	ctx context.Context, instance int, user string, database rosemarylb.DatabaseName,
) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		conn, err := pgx.Connect(ctx, f.ConnectionString(instance, user, database))
		if err == nil {
			return conn, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(err, "connect")
		case <-time.After(retryInterval):
		}
	}
}

// ExecSetup runs idempotent statements through the first instance. It repeats each
// until it succeeds, since the database has no primary at first, or until
// startTimeout has passed.
func (f *Fleet) ExecSetup(ctx context.Context, database rosemarylb.DatabaseName, statements ...string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	conn, err := f.Connect(ctx, 0, "operator", database)
	if err != nil {
		return err
	}
	defer func() {
		_ = conn.Close(ctx)
	}()
	for _, statement := range statements {
		if err := execUntilSuccess(ctx, conn, statement); err != nil {
			return err
		}
	}
	return nil
}

// execUntilSuccess repeats a statement until it succeeds or the context ends.
func execUntilSuccess(ctx context.Context, conn *pgx.Conn, statement string) error {
	for {
		_, err := conn.Exec(ctx, statement)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "execute setup statement")
		case <-time.After(retryInterval):
		}
	}
}

// WaitForConvergence waits until every instance sees all instances as alive and has the
// published configuration. It returns an error after startTimeout.
func (f *Fleet) WaitForConvergence() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if f.hasConverged() {
			return nil
		}
		time.Sleep(retryInterval)
	}
	return errors.New("instances did not converge on the member list and the configuration")
}

// hasConverged reports whether every instance sees all instances as alive and has
// the published configuration.
func (f *Fleet) hasConverged() bool {
	for _, i := range f.Instances {
		aliveCount := 0
		for _, m := range i.View().Members {
			if m.Status == rosemarylb.MemberAlive {
				aliveCount++
			}
		}
		if aliveCount != len(f.Instances) || i.View().ServiceConfig.Revision != f.Config.Revision {
			return false
		}
	}
	return true
}

// Primary returns the primary of a database in the view of the first instance.
// It is empty if that instance knows none.
func (f *Fleet) Primary(database rosemarylb.DatabaseName) rosemarylb.EndpointID {
	p, _ := f.Instances[0].View().Primary(database)
	return p.Endpoint
}
