// Package hosted puts the duties of one instance together that serves callers
// through a front end and finds its endpoints in a directory: on a platform
// that carries out promotions and keeps what must last.
package hosted

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeping"
	"rosemarylb/internal/fleet/registry"
	"rosemarylb/internal/peer/instance"
	"rosemarylb/internal/process/clock"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/proxy"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// closeDelay is how long after the signal to stop idle sessions stay: the
	// platform sends no new ones once it has seen that the instance leaves.
	closeDelay = 2200 * time.Millisecond
	// stopPoll is the time between two looks whether all callers have left.
	stopPoll = 20 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 2 * time.Second
)

// Identity is who an instance is and where it is reached.
type Identity struct {
	// Instance names it.
	Instance rosemarylb.InstanceID
	// Process numbers this process of it.
	Process uint64
	// Domain is the failure domain that it stands in.
	Domain rosemarylb.DomainName
	// Region is the region of that domain.
	Region rosemarylb.RegionName
	// InstanceAddress is where other instances reach it, host:port.
	InstanceAddress string
	// RelayAddress is where it takes queries that others pass on, host:port.
	RelayAddress string
	// ReadyAddress is where its readiness is asked for, host:port.
	ReadyAddress string
	// MetricsAddress is where metrics and dumps are served, host:port.
	MetricsAddress string
}

// Peers are the ways to the system's peers.
type Peers struct {
	// Callers answers callers.
	Callers rosemarylb.CallerPort
	// Listen starts to take callers; the function that it returns stops it.
	Listen func(rosemarylb.CallerSink) (func(), error)
	// Relays answers instances that pass queries on, and ListenRelays starts to
	// take them.
	Relays       rosemarylb.CallerPort
	ListenRelays func(rosemarylb.CallerSink) (func(), error)
	// Endpoints reaches endpoints for queries, and Probes for the keeper.
	Endpoints, Probes rosemarylb.EndpointPort
	// BindEndpoints and BindProbes set what those ports tell.
	BindEndpoints, BindProbes func(rosemarylb.EndpointSink)
	// Store keeps what must last.
	Store rosemarylb.Store
	// Directory tells of endpoints and configurations.
	Directory rosemarylb.Directory
	// Promoter carries out promotions.
	Promoter rosemarylb.Promoter
}

// Instance is a running instance.
type Instance struct {
	log      *slog.Logger
	clock    rosemarylb.Clock
	proxy    *proxy.Proxy
	keeping  *keeping.Runner
	duties   []*duty.Duty
	cleanups []func()
}

// NewInstance starts an instance. The returned function stops it at once; use
// Drain before for a graceful end.
func NewInstance(id Identity, p Peers, l *slog.Logger) (*Instance, func(), error) {
	i := &Instance{
		log:   l,
		clock: clock.BootTime{},
	}
	if err := i.start(id, p); err != nil {
		i.cleanup()
		return nil, nil, err
	}
	return i, i.cleanup, nil
}

func (i *Instance) cleanup() {
	for n := len(i.cleanups) - 1; n >= 0; n-- {
		i.cleanups[n]()
	}
	i.cleanups = nil
}

func (i *Instance) run(d *duty.Duty, stop func()) {
	i.duties = append(i.duties, d)
	i.cleanups = append(i.cleanups, stop)
}

func (i *Instance) start(id Identity, p Peers) error {
	i.proxy = proxy.NewProxy(p.Callers, p.Endpoints, proxy.WithLogger(i.log), proxy.WithLocation(id.Region, id.Domain),
		proxy.WithRelays(p.Relays, id.RelayAddress))
	i.keeping = keeping.NewRunner(keeper.NewKeeper(id.Instance, id.Process, id.InstanceAddress), i.clock,
		keeping.WithLogger(i.log))
	p.BindEndpoints(i.proxy)
	p.BindProbes(i.keeping)
	if err := i.serve(id); err != nil {
		return err
	}
	i.run(i.proxy.Start(i.clock))
	heard := duty.NewLatest(time.Time{})
	told := duty.NewLatest(keeper.Notification{})
	duties, stop := i.keeping.Start(p.Store, p.Promoter, p.Probes, heard, told)
	i.duties = append(i.duties, duties...)
	i.cleanups = append(i.cleanups, stop)
	i.run(registry.StartConfigurationWatcher(i.clock, p.Directory, i.log, told, func(c rosemarylb.Catalog) {
		i.proxy.Ring().Put(proxy.CatalogChanged{
			Catalog: c,
		})
	}))
	i.run(registry.StartEndpointWatcher(i.clock, p.Directory, i.log, heard, told, func(all []rosemarylb.EndpointSpec) {
		i.proxy.Ring().Put(proxy.EndpointsChanged{
			Endpoints: all,
		})
		i.keeping.Ring().Put(keeping.EndpointsChanged{
			Endpoints: all,
		})
	}))
	i.run(instance.NewAsker(id.Instance, id.InstanceAddress, rosemarylb.RelayPeer{
		Address: id.RelayAddress,
		Region:  id.Region,
	}, i.clock, i.log, p.Store, i.keeping, heard, told, i.proxy).Start())
	stopRelays, err := p.ListenRelays(i.proxy.RelaySink())
	if err != nil {
		return err
	}
	i.cleanups = append(i.cleanups, stopRelays)
	stopCallers, err := p.Listen(i.proxy)
	if err != nil {
		return err
	}
	i.cleanups = append(i.cleanups, stopCallers)
	return nil
}

// serve listens for other instances, for the platform and for operators.
func (i *Instance) serve(id Identity) error {
	instances, err := net.Listen("tcp", id.InstanceAddress)
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	i.cleanups = append(i.cleanups, instance.ServePermits(instances, i.clock, i.keeping))
	ready, err := net.Listen("tcp", id.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", i.ready)
	i.cleanups = append(i.cleanups, serveHTTP(ready, mux))
	operators, err := net.Listen("tcp", id.MetricsAddress)
	if err != nil {
		i.log.Warn("no metrics", "address", id.MetricsAddress, "error", err)
		return nil
	}
	mux = http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /dump", i.dump)
	i.cleanups = append(i.cleanups, serveHTTP(operators, mux))
	return nil
}

func serveHTTP(l net.Listener, h http.Handler) func() {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
	}
	wait := duty.Spawn(func() {
		_ = s.Serve(l)
	})
	return func() {
		_ = s.Close()
		wait()
	}
}

func (i *Instance) ready(w http.ResponseWriter, _ *http.Request) {
	if !i.proxy.Status().Load().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Drain ends the sessions within a grace: it reports not ready at once, closes
// idle sessions once the platform has seen that, and rolls open transactions
// back in the second half. It gives the keeper's lease back.
func (i *Instance) Drain(grace time.Duration) {
	now := i.clock.Now()
	end := now.Add(grace / 2)
	i.keeping.Ring().Put(keeping.RetireRequested{})
	i.proxy.Ring().Put(proxy.DrainStarted{
		CloseAt: now.Add(min(closeDelay, grace/3)),
		AbortAt: end,
	})
	hardEnd := now.Add(grace * 4 / 5)
	for i.clock.Now().Before(hardEnd) {
		time.Sleep(stopPoll)
		s := i.proxy.Status().Load()
		if i.clock.Now().After(now.Add(closeDelay)) && s.Empty && i.keeping.NotHolding().Load() {
			return
		}
	}
}
