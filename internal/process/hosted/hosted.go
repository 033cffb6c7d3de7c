// Package hosted assembles an instance that runs on a hosting platform. The
// platform provides a directory of endpoints, a store and a promoter, and the
// instance serves callers through the platform's front-end protocol.
package hosted

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/fleet/registry"
	"rosemarylb/internal/peer/instance"
	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/clock"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/process/meter"
	"rosemarylb/internal/process/stream"
	"rosemarylb/internal/traffic/proxy"
	"rosemarylb/internal/traffic/quota"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// idleCloseDelay is the time between the start of a drain and the closing of
	// idle sessions. By then the platform has seen that the instance is not ready,
	// and sends no new sessions.
	idleCloseDelay = 2200 * time.Millisecond
	// drainPollInterval is the time between two checks whether a drain is complete.
	drainPollInterval = 20 * time.Millisecond
	// drainFlushTime is the time after the end of a drain in which the last answers are
	// sent.
	drainFlushTime = 150 * time.Millisecond
)

// Identity is the identity of an instance and the addresses it listens on.
type Identity struct {
	// Instance is the name of the instance.
	Instance rosemarylb.InstanceID
	// Process is a number that differs between processes of the same instance.
	Process uint64
	// Domain is the failure domain of the instance.
	Domain rosemarylb.DomainName
	// Region is the region of the domain.
	Region rosemarylb.RegionName
	// Capacity is the processor time that the instance may use, in thousandths of a
	// core, 0 if unknown.
	Capacity int
	// LinkMegabits is the capacity of the machine's link in megabits a second, 0 if
	// unknown.
	LinkMegabits float64
	// Seeds are the host:port of instances that are asked for the lease holder while the
	// store does not answer.
	Seeds []string
	// QuotaTolerance is by how much teams may exceed their quotas.
	QuotaTolerance quota.Tolerance
	// InstanceAddress is the host:port for other instances.
	InstanceAddress string
	// RelayAddress is the host:port for queries that other instances relay.
	RelayAddress string
	// ReadyAddress is the host:port of the readiness check.
	ReadyAddress string
	// MetricsAddress is the host:port of metrics and dumps.
	MetricsAddress string
}

// Peers are the ports and clients through which the instance reaches its peers.
type Peers struct {
	// Callers sends replies to callers.
	Callers rosemarylb.CallerPort
	// ListenCallers starts to accept callers. The returned function stops it.
	ListenCallers func(rosemarylb.CallerSink) (func(), error)
	// Relays sends replies to instances that relay queries. ListenRelays starts to
	// accept them; the returned function stops it.
	Relays       rosemarylb.CallerPort
	ListenRelays func(rosemarylb.CallerSink) (func(), error)
	// Endpoints sends callers' queries to endpoints, and Probes those of the
	// keeper.
	Endpoints, Probes rosemarylb.EndpointPort
	// SetEndpointSink and SetProbeSink set the sinks that receive the events of
	// Endpoints and Probes.
	SetEndpointSink, SetProbeSink func(rosemarylb.EndpointSink)
	// Pool limits the connections that the process accepts.
	Pool *budget.Pool
	// Budget counts the bytes that the process holds for callers and other instances.
	Budget *budget.Budget
	// Store holds the keeper's record.
	Store rosemarylb.Store
	// Directory provides the endpoints and the configuration.
	Directory rosemarylb.Directory
	// Promoter performs promotions.
	Promoter rosemarylb.Promoter
	// Meter counts the bytes that are exchanged with other instances.
	Meter *meter.Meter
}

// Instance is a running instance.
type Instance struct {
	log          *slog.Logger
	clock        rosemarylb.Clock
	proxy        *proxy.Proxy
	keeperRunner *keeperduty.Runner
	catalogs     *registry.Configuration
	duties       []*duty.Duty
	cleanups     []func()
}

// NewInstance starts an instance. The returned function stops it without
// draining; call Drain first for a graceful shutdown. NewInstance returns an
// error if it cannot listen on an address. An unavailable MetricsAddress is only
// logged.
func NewInstance(id Identity, p Peers, l *slog.Logger) (*Instance, func(), error) {
	i := &Instance{
		log:   l,
		clock: clock.BootTime{},
	}
	if err := i.start(id, p); err != nil {
		i.runCleanups()
		return nil, nil, err
	}
	return i, i.runCleanups, nil
}

// runCleanups runs the registered cleanups in reverse order.
func (i *Instance) runCleanups() {
	for n := len(i.cleanups) - 1; n >= 0; n-- {
		i.cleanups[n]()
	}
	i.cleanups = nil
}

// addDuty registers a started duty and its stop function.
func (i *Instance) addDuty(d *duty.Duty, stop func()) {
	i.duties = append(i.duties, d)
	i.cleanups = append(i.cleanups, stop)
}

func newProxy(id Identity, p Peers, l *slog.Logger) *proxy.Proxy {
	return proxy.NewProxy(p.Callers, p.Endpoints,
		proxy.WithLogger(l),
		proxy.WithLocation(id.Region, id.Domain),
		proxy.WithRelays(p.Relays, id.RelayAddress),
		proxy.WithLinkBudget(proxy.LinkBudget(id.LinkMegabits)),
		proxy.WithQuotas(id.Instance, uint64(time.Now().UnixMicro())))
}

func (i *Instance) start(id Identity, p Peers) error {
	i.proxy = newProxy(id, p, i.log)
	i.keeperRunner = keeperduty.NewRunner(keeper.NewKeeper(id.Instance, id.Process, id.InstanceAddress), i.clock,
		keeperduty.WithLogger(i.log), keeperduty.WithQuotaTolerance(id.QuotaTolerance))
	p.SetEndpointSink(i.proxy)
	p.SetProbeSink(i.keeperRunner)
	i.catalogs = registry.NewConfiguration(i.log, i.publishCatalog)
	if err := i.startServers(id, p); err != nil {
		return err
	}
	i.addDuty(i.proxy.Start(i.clock))
	storeAnsweredAt := duty.NewLatest(time.Time{})
	notification := duty.NewLatest(keeper.Notification{})
	duties, stop := i.keeperRunner.Start(p.Store, p.Promoter, p.Probes, storeAnsweredAt, notification)
	i.duties = append(i.duties, duties...)
	i.cleanups = append(i.cleanups, stop)
	i.addDuty(i.catalogs.Start(i.clock))
	i.addDuty(registry.StartConfigurationWatcher(i.clock, p.Directory, i.log, notification, i.catalogs.Latest(),
		func(c rosemarylb.Catalog) {
			i.catalogs.Ring().Put(registry.ConfigurationReceived{
				Catalog: c,
				Source:  "store",
			})
		}))
	i.addDuty(registry.StartEndpointWatcher(i.clock, p.Directory, i.log, storeAnsweredAt, notification,
		func(endpoints []rosemarylb.EndpointSpec) {
			i.proxy.Ring().Put(proxy.EndpointsChanged{
				Endpoints: endpoints,
			})
			i.keeperRunner.Ring().Put(keeperduty.EndpointsChanged{
				Endpoints: endpoints,
			})
		}))
	i.startRequesters(id, p, instance.WithStoreReports(storeAnsweredAt, notification))
	stopRelays, err := p.ListenRelays(i.proxy.RelaySink())
	if err != nil {
		return err
	}
	i.cleanups = append(i.cleanups, stopRelays)
	stopCallers, err := p.ListenCallers(i.proxy)
	if err != nil {
		return err
	}
	i.cleanups = append(i.cleanups, stopCallers)
	return nil
}

// startRequesters starts the duties that ask other instances for permits and tokens.
func (i *Instance) startRequesters(id Identity, p Peers, storeReports instance.PermitRequesterOption) {
	keeperAddress := duty.NewLatest(instance.KeeperAddress{})
	relayPeer := rosemarylb.RelayPeer{
		Address: id.RelayAddress,
		Domain:  id.Domain,
		Region:  id.Region,
	}
	i.addDuty(instance.NewPermitRequester(id.Instance, i.clock, p.Store, i.keeperRunner, i.proxy,
		instance.WithPermitLogger(i.log),
		instance.WithPermitAddresses(id.InstanceAddress, relayPeer),
		instance.WithCapacity(id.Capacity),
		instance.WithSeeds(id.Seeds),
		instance.WithMeter(p.Meter),
		instance.WithCatalogExchange(i.catalogs.Latest(), i.offerCatalog("keeper")),
		storeReports,
		instance.WithKeeperAddress(keeperAddress)).Start())
	i.addDuty(instance.NewQuotaRequester(i.clock, i.proxy, keeperAddress).Start())
	i.addDuty(instance.NewDeputyRequester(i.clock, i.proxy).Start())
}

// publishCatalog passes a later version of the configuration to the duties that use it.
func (i *Instance) publishCatalog(c rosemarylb.Catalog) {
	i.proxy.Ring().Put(proxy.CatalogChanged{
		Catalog: c,
	})
	i.keeperRunner.Ring().Put(keeperduty.CatalogChanged{
		Catalog: c,
	})
}

// offerDeputyRequest passes on a request to this instance as the deputy of teams. It
// returns false if the proxy's ring is full.
func (i *Instance) offerDeputyRequest(demands []quota.Demand, reply chan<- quota.Reply) bool {
	return i.proxy.Ring().Offer(proxy.DeputyRequested{
		Demands: demands,
		Reply:   reply,
	})
}

// offerCatalog returns a function that passes on a configuration from another instance.
// One that meets a full ring is dropped, since the other instance sends it again.
func (i *Instance) offerCatalog(source string) func(rosemarylb.Catalog) {
	return func(c rosemarylb.Catalog) {
		i.catalogs.Ring().Offer(registry.ConfigurationReceived{
			Catalog: c,
			Source:  source,
		})
	}
}

// startServers starts the servers for other instances, readiness checks, and
// metrics and dumps.
func (i *Instance) startServers(id Identity, p Peers) error {
	instanceListener, err := net.Listen("tcp", id.InstanceAddress)
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	i.cleanups = append(i.cleanups, instance.ServeKeeper(
		stream.LimitListener(instanceListener, budget.ServerInstances, p.Pool), p.Budget, i.clock, i.keeperRunner,
		i.offerCatalog("instance"), p.Meter, i.offerDeputyRequest))
	readyListener, err := net.Listen("tcp", id.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", i.handleReady)
	i.cleanups = append(i.cleanups, stream.ServeHTTP(readyListener, budget.ServerReady, p.Pool, mux))
	metricsListener, err := net.Listen("tcp", id.MetricsAddress)
	if err != nil {
		i.log.Warn("metrics and dumps unavailable: listen failed", "address", id.MetricsAddress, "error", err)
		return nil
	}
	mux = http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /dump", i.handleDump)
	mux.HandleFunc("GET /explain", i.handleExplain)
	i.cleanups = append(i.cleanups, stream.ServeHTTP(metricsListener, budget.ServerOperators, p.Pool, mux))
	return nil
}

// handleReady responds with status 503 while the proxy is not ready.
func (i *Instance) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !i.proxy.Status().Load().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Drain shuts the instance down gracefully within a grace period. It reports not
// ready at once. From idleCloseDelay or a third of the period on, it closes idle
// sessions, and others after their next answer. It rolls back open transactions after
// half of the period, and answers the queries that are still in progress after 5/6 of
// it. It also releases the keeper's lease. Drain returns when no session is open and
// the lease is released, but not before idleCloseDelay, or at the end of the drain.
func (i *Instance) Drain(grace time.Duration) {
	now := i.clock.Now()
	endAt := now.Add(grace * 5 / 6)
	i.keeperRunner.Ring().Put(keeperduty.RetireRequested{})
	i.proxy.Ring().Put(proxy.DrainStarted{
		CloseAt: now.Add(min(idleCloseDelay, grace/3)),
		AbortAt: now.Add(grace / 2),
		EndAt:   endAt,
	})
	for i.clock.Now().Before(endAt.Add(drainFlushTime)) {
		time.Sleep(drainPollInterval)
		s := i.proxy.Status().Load()
		if i.clock.Now().After(now.Add(idleCloseDelay)) && s.Empty && i.keeperRunner.NotHolding().Load() {
			return
		}
	}
}
